"""Sessions between simulated entries and agents, with the faults of connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from pumicedeck.messages import Answer, Chunk, Dispatch, Message

if TYPE_CHECKING:
    from pumicedeck.simulated_processes import AgentProcess, EntryProcess
    from pumicedeck.simulations import Simulation

    Process = EntryProcess | AgentProcess

LATENCY_SECONDS = 0.0015
DIAL_SECONDS = 0.2
SILENCE_SECONDS = 3.0


@dataclass(slots=True, eq=False)
class Session:
    """One connection; each side may have given it up. Directions go silent or stall."""

    entry: EntryProcess
    agent: AgentProcess
    open_sides: set[str] = field(default_factory=set)
    silent_from: set[str] = field(default_factory=set)
    stalled_until: float = 0.0
    corrupt_next_answer: Callable[[Message], Message | None] | None = None
    duplicate_next_dispatch: bool = False

    def peer_of(self, process: Process) -> Process:
        """Return the other side."""
        return self.agent if process is self.entry else self.entry


class SimulatedNetwork:
    """Keeps a session between each entry and each agent that live and can reach each other."""

    def __init__(self, simulation: Simulation) -> None:
        """Begin without sessions."""
        self._simulation = simulation
        self._time = simulation.time
        self._sessions: dict[tuple[str, str], Session] = {}
        self._partitioned: dict[tuple[str, str], float] = {}

    def session(self, one: Process, other: str) -> Session | None:
        """Return the newest session between a process and a peer incarnation."""
        return self._sessions.get((one.incarnation, other))

    def dial(self, entry: EntryProcess, agent: AgentProcess) -> None:
        """Open a session as soon as both sides can."""
        if not entry.is_alive or not agent.is_alive:
            return
        until = self._partitioned.get((entry.incarnation, agent.incarnation), 0.0)
        if entry.is_paused or agent.is_paused or until > self._time.now():
            self._time.call_later(DIAL_SECONDS, lambda: self.dial(entry, agent))
            return
        former = self.session(entry, agent.incarnation)
        if former:
            self._give_up(former, agent)
            self._give_up(former, entry)
        session = Session(entry, agent, {entry.incarnation, agent.incarnation})
        self._sessions[(entry.incarnation, agent.incarnation)] = session
        self._sessions[(agent.incarnation, entry.incarnation)] = session
        agent.session_opened(entry.incarnation)
        entry.session_opened(agent.incarnation)

    def send(self, sender: Process, peer: str, message: Message) -> None:
        """Send over the newest session, if the sender has not given it up."""
        session = self.session(sender, peer)
        if session and sender.incarnation in session.open_sides:
            self._transmit(session, sender, message)

    def send_to_all(self, sender: Process, message: Message) -> None:
        """Send to every peer with a session."""
        for (one, _), session in list(self._sessions.items()):
            if one == sender.incarnation and one in session.open_sides:
                self._transmit(session, sender, message)

    def reset(self, session: Session) -> None:
        """Break a connection so that both sides learn of it."""
        for side in (session.entry, session.agent):
            self._lose(session, side)

    def silence(self, session: Session, *senders: Process) -> None:
        """Let what `senders` send vanish until a side gives the session up for its silence."""
        session.silent_from.update(each.incarnation for each in senders)
        for sender in senders:
            peer = session.peer_of(sender)
            self._time.call_later(SILENCE_SECONDS, lambda peer=peer: self._lose(session, peer))

    def stall(self, session: Session, seconds: float) -> None:
        """Hold back what the entry sends; it arrives late, after the session was replaced."""
        session.stalled_until = self._time.now() + seconds
        self._time.call_later(SILENCE_SECONDS, lambda: self._lose(session, session.entry))

    def partition(self, session: Session, seconds: float) -> None:
        """Cut two processes off from each other."""
        key = (session.entry.incarnation, session.agent.incarnation)
        self._partitioned[key] = self._time.now() + seconds
        self.silence(session, session.entry, session.agent)

    def process_paused(self, process: Process) -> None:
        """Let the peers of a stopped process notice its silence."""
        for session in self._sessions_of(process):
            self.silence(session, process)

    def process_killed(self, process: Process, is_noticed: bool) -> None:
        """Let the peers learn that a process died: at once, or by its silence."""
        for session in self._sessions_of(process):
            if is_noticed:
                self._lose(session, session.peer_of(process))
            else:
                self.silence(session, process)

    def _sessions_of(self, process: Process) -> list[Session]:
        return [each for (one, _), each in self._sessions.items() if one == process.incarnation]

    def _transmit(self, session: Session, sender: Process, message: Message) -> None:
        self._arrive_later(LATENCY_SECONDS, session, sender, message)

    def _arrive_later(
        self, seconds: float, session: Session, sender: Process, message: Message
    ) -> None:
        self._time.call_later(seconds, lambda: self._arrive(session, sender, message))

    def _arrive(self, session: Session, sender: Process, message: Message) -> None:
        """Let a message meet the faults that its connection has by now."""
        if sender.incarnation in session.silent_from:
            return
        held_for = session.stalled_until - self._time.now()
        if sender is session.entry and held_for > 0.0:
            self._arrive_later(held_for, session, sender, message)
            return
        if session.corrupt_next_answer and isinstance(message, Answer | Chunk):
            damage, session.corrupt_next_answer = session.corrupt_next_answer, None
            damaged = damage(message)
            if damaged is None:
                return
            if isinstance(message, Chunk):
                self._simulation.damaged(session.agent.incarnation, message.attempt)
            message = damaged
        if session.duplicate_next_dispatch and isinstance(message, Dispatch):
            session.duplicate_next_dispatch = False
            self._arrive_later(LATENCY_SECONDS, session, sender, message)
        self._hear(session, sender, message)

    def _hear(self, session: Session, sender: Process, message: Message) -> None:
        receiver = session.peer_of(sender)

        def hear() -> None:
            if receiver.incarnation in session.open_sides or session.stalled_until:
                receiver.message(sender.incarnation, message)

        receiver.deliver(hear)

    def _lose(self, session: Session, side: Process) -> None:
        if side.incarnation not in session.open_sides:
            return
        side.deliver(lambda: self._lost(session, side))

    def _lost(self, session: Session, side: Process) -> None:
        if not self._give_up(session, side):
            return
        peer = session.peer_of(side)
        self._time.call_later(LATENCY_SECONDS, lambda: self._lose(session, peer))
        newest = self.session(session.entry, session.agent.incarnation)
        if newest is session:
            again = (session.entry, session.agent)
            self._time.call_later(DIAL_SECONDS, lambda: self._redial(session, *again))

    def _redial(self, session: Session, entry: EntryProcess, agent: AgentProcess) -> None:
        if self.session(entry, agent.incarnation) is session:
            self.dial(entry, agent)

    def _give_up(self, session: Session, side: Process) -> bool:
        if side.incarnation not in session.open_sides:
            return False
        session.open_sides.discard(side.incarnation)
        side.session_closed(session.peer_of(side).incarnation)
        return True


def flip_first_byte(message: Message) -> Message | None:
    """Damage the bytes of an answer; an answer without a body loses its digest."""
    if isinstance(message, Chunk):
        return replace(message, data=_flipped(message.data))
    if isinstance(message, Answer) and message.body:
        return replace(message, body=_flipped(message.body))
    return replace(message, digest="") if isinstance(message, Answer) else message


def drop_message(message: Message) -> Message | None:
    """Lose a message."""
    return None


def _flipped(data: bytes) -> bytes:
    return bytes([data[0] ^ 1]) + data[1:]
