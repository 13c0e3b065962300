"""Simulates sessions between entries and agents, with connection faults."""

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
REDIAL_DELAY_SECONDS = 0.2
MAX_SILENCE_SECONDS = 3.0


@dataclass(slots=True, eq=False)
class Session:
    """One connection between an entry and an agent.

    `open_sides` holds the incarnations that have not closed the session, `silenced_senders` those
    whose messages are lost. Messages of the entry are held back until second `stalled_until`.
    """

    entry: EntryProcess
    agent: AgentProcess
    open_sides: set[str] = field(default_factory=set)
    silenced_senders: set[str] = field(default_factory=set)
    stalled_until: float = 0.0
    corrupt_next_answer: Callable[[Message], Message | None] | None = None
    duplicate_next_dispatch: bool = False

    def peer_of(self, process: Process) -> Process:
        """Return the process on the other side."""
        return self.agent if process is self.entry else self.entry


class SimulatedNetwork:
    """Keeps a session between each live entry and each live agent that can reach each other."""

    def __init__(self, simulation: Simulation) -> None:
        """Create a network without sessions."""
        self._simulation = simulation
        self._time = simulation.time
        self._sessions: dict[tuple[str, str], Session] = {}
        self._partitioned_until: dict[tuple[str, str], float] = {}

    def session(self, one: Process, other: str) -> Session | None:
        """Return the newest session between a process and a peer incarnation, or None."""
        return self._sessions.get((one.incarnation, other))

    def dial(self, entry: EntryProcess, agent: AgentProcess) -> None:
        """Open a session as soon as both sides run and can reach each other."""
        if not entry.is_alive or not agent.is_alive:
            return
        partitioned_until = self._partitioned_until.get((entry.incarnation, agent.incarnation), 0.0)
        if entry.is_paused or agent.is_paused or partitioned_until > self._time.now():
            self._time.call_later(REDIAL_DELAY_SECONDS, lambda: self.dial(entry, agent))
            return
        previous = self.session(entry, agent.incarnation)
        if previous:
            self._close_side(previous, agent)
            self._close_side(previous, entry)
        session = Session(entry, agent, {entry.incarnation, agent.incarnation})
        self._sessions[(entry.incarnation, agent.incarnation)] = session
        self._sessions[(agent.incarnation, entry.incarnation)] = session
        agent.session_opened(entry.incarnation)
        entry.session_opened(agent.incarnation)

    def send(self, sender: Process, peer: str, message: Message) -> None:
        """Send a message over the newest session unless the sender has closed it."""
        session = self.session(sender, peer)
        if session and sender.incarnation in session.open_sides:
            self._transmit(session, sender, message)

    def send_to_all(self, sender: Process, message: Message) -> None:
        """Send a message over every session that the sender has open."""
        for (one, _), session in list(self._sessions.items()):
            if one == sender.incarnation and one in session.open_sides:
                self._transmit(session, sender, message)

    def reset(self, session: Session) -> None:
        """Reset a connection; both sides close the session."""
        for side in (session.entry, session.agent):
            self._notify_closed(session, side)

    def silence(self, session: Session, *senders: Process) -> None:
        """Lose the messages of `senders`; their peers close the session after 3 s of silence."""
        session.silenced_senders.update(each.incarnation for each in senders)
        for sender in senders:
            peer = session.peer_of(sender)
            self._time.call_later(
                MAX_SILENCE_SECONDS, lambda peer=peer: self._notify_closed(session, peer)
            )

    def stall(self, session: Session, seconds: float) -> None:
        """Hold back messages of the entry for `seconds`, until the session has been replaced."""
        session.stalled_until = self._time.now() + seconds
        self._time.call_later(
            MAX_SILENCE_SECONDS, lambda: self._notify_closed(session, session.entry)
        )

    def partition(self, session: Session, seconds: float) -> None:
        """Cut the two processes of a session off from each other for `seconds`."""
        key = (session.entry.incarnation, session.agent.incarnation)
        self._partitioned_until[key] = self._time.now() + seconds
        self.silence(session, session.entry, session.agent)

    def process_paused(self, process: Process) -> None:
        """Silence a paused process; its peers close their sessions after the silence limit."""
        for session in self._sessions_of(process):
            self.silence(session, process)

    def process_killed(self, process: Process, is_noticed: bool) -> None:
        """Close the sessions of a killed process: at once if `is_noticed`, else for its silence."""
        for session in self._sessions_of(process):
            if is_noticed:
                self._notify_closed(session, session.peer_of(process))
            else:
                self.silence(session, process)

    def _sessions_of(self, process: Process) -> list[Session]:
        return [each for (one, _), each in self._sessions.items() if one == process.incarnation]

    def _transmit(self, session: Session, sender: Process, message: Message) -> None:
        self._schedule_arrival(LATENCY_SECONDS, session, sender, message)

    def _schedule_arrival(
        self, seconds: float, session: Session, sender: Process, message: Message
    ) -> None:
        self._time.call_later(seconds, lambda: self._deliver_or_drop(session, sender, message))

    def _deliver_or_drop(self, session: Session, sender: Process, message: Message) -> None:
        """Deliver a message subject to the faults of its session at the time of arrival."""
        if sender.incarnation in session.silenced_senders:
            return
        held_for = session.stalled_until - self._time.now()
        if sender is session.entry and held_for > 0.0:
            self._schedule_arrival(held_for, session, sender, message)
            return
        if session.corrupt_next_answer and isinstance(message, Answer | Chunk):
            corrupt, session.corrupt_next_answer = session.corrupt_next_answer, None
            corrupted = corrupt(message)
            if corrupted is None:
                return
            if isinstance(message, Chunk):
                self._simulation.observe_corrupted_chunk(session.agent.incarnation, message.attempt)
            message = corrupted
        if session.duplicate_next_dispatch and isinstance(message, Dispatch):
            session.duplicate_next_dispatch = False
            self._schedule_arrival(LATENCY_SECONDS, session, sender, message)
        self._deliver(session, sender, message)

    def _deliver(self, session: Session, sender: Process, message: Message) -> None:
        receiver = session.peer_of(sender)

        def handle_if_open() -> None:
            if receiver.incarnation in session.open_sides or session.stalled_until:
                receiver.message(sender.incarnation, message)

        receiver.deliver(handle_if_open)

    def _notify_closed(self, session: Session, side: Process) -> None:
        if side.incarnation not in session.open_sides:
            return
        side.deliver(lambda: self._handle_closed(session, side))

    def _handle_closed(self, session: Session, side: Process) -> None:
        if not self._close_side(session, side):
            return
        peer = session.peer_of(side)
        self._time.call_later(LATENCY_SECONDS, lambda: self._notify_closed(session, peer))
        newest = self.session(session.entry, session.agent.incarnation)
        if newest is session:
            peers = (session.entry, session.agent)
            self._time.call_later(REDIAL_DELAY_SECONDS, lambda: self._redial(session, *peers))

    def _redial(self, session: Session, entry: EntryProcess, agent: AgentProcess) -> None:
        if self.session(entry, agent.incarnation) is session:
            self.dial(entry, agent)

    def _close_side(self, session: Session, side: Process) -> bool:
        if side.incarnation not in session.open_sides:
            return False
        session.open_sides.discard(side.incarnation)
        side.session_closed(session.peer_of(side).incarnation)
        return True


def flip_first_byte(message: Message) -> Message | None:
    """Corrupt the first byte of a chunk or an answer; an answer without a body loses its digest."""
    if isinstance(message, Chunk):
        return replace(message, data=_flip_lowest_bit(message.data))
    if isinstance(message, Answer) and message.body:
        return replace(message, body=_flip_lowest_bit(message.body))
    return replace(message, digest="") if isinstance(message, Answer) else message


def drop_message(message: Message) -> Message | None:
    """Return None, so that the message is lost."""
    return None


def _flip_lowest_bit(data: bytes) -> bytes:
    return bytes([data[0] ^ 1]) + data[1:]
