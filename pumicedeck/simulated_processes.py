"""Processes of a simulation in virtual time: the real state machines with simulated I/O."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from result import Result

from pumicedeck.actions import (
    Action,
    CallerRequest,
    CancelExecution,
    DeliverAnswer,
    DeliverChunk,
    DeliverFailure,
    Drained,
    RecordOutcome,
    SendMessage,
    StartExecution,
    WriteClaim,
)
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.attempts import ExecutionEnd
from pumicedeck.claims import Claims
from pumicedeck.clocks import Timer, TimerQueue, VirtualTime
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.faults import FaultSwitches
from pumicedeck.messages import AttemptId, Dispatch, Heartbeat, Message
from pumicedeck.platform_interfaces import (
    Committed,
    ResultCallback,
    Row,
    StoreKey,
    TableStore,
    Transaction,
)
from pumicedeck.queues import FirstInFirstOutQueue
from pumicedeck.results import Failure
from pumicedeck.routers import Candidate, RoundRobinRouter
from pumicedeck.standin_tables import StandinTableStore, StoreLimits, TableData
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain
from pumicedeck.wakeups import Wakeup

if TYPE_CHECKING:
    from pumicedeck.simulations import Simulation

STORE_SECONDS = 0.002
HEARTBEAT_SECONDS = 4.0
POOL = "pool"
DOMAIN = FailureDomain("a", "r")


class SimulatedProcess:
    """A process that can be stopped, resumed and killed; what reaches it meanwhile waits."""

    def __init__(self, simulation: Simulation, vm: str, number: int) -> None:
        """Run as incarnation `number` on `vm`."""
        self.simulation = simulation
        self.time: VirtualTime = simulation.time
        self.vm = vm
        self.incarnation = f"{vm}/{number}"
        self.is_alive = True
        self.is_paused = False
        self._inbox: list[Callable[[], None]] = []

    def deliver(self, event: Callable[[], None]) -> None:
        """Run an event, now or when the process is resumed."""
        if self.is_paused:
            self._inbox.append(event)
        elif self.is_alive:
            event()

    def signal(self, event: Callable[[], None]) -> None:
        """Run an event that meets a resumed process before all that waits for it."""
        if self.is_paused:
            self._inbox.insert(0, event)
        else:
            self.deliver(event)

    def pause(self) -> None:
        """Stop the process."""
        self.is_paused = True

    def resume(self) -> None:
        """Let the process go on with what waits for it."""
        self.is_paused = False
        self.simulation.process_resumed()
        waiting, self._inbox = self._inbox, []
        for event in waiting:
            self.deliver(event)

    def kill(self) -> None:
        """End the process without any last words."""
        self.is_alive = False
        self.is_paused = False
        self._inbox.clear()


class ProcessTimers(TimerQueue):
    """Timers that run in a process: not while it is stopped, never after it died."""

    def __init__(self, process: SimulatedProcess) -> None:
        """Use the simulation's time."""
        super().__init__(process.time.now)
        self._process = process

    def call_at(self, due: float, callback: Callable[[], None]) -> Timer:
        """Run `callback` in the process at `due`."""

        def run() -> None:
            if not timer.cancelled:
                callback()

        timer = self._process.time.call_at(due, lambda: self._process.deliver(run))
        return timer


class ProcessStore(TableStore):
    """A process's client of the table service; replies take time and meet a stopped process."""

    def __init__(self, process: SimulatedProcess, data: TableData) -> None:
        """Share `data` with the other processes."""
        self._process = process
        self.faults = FaultSwitches(Random(0))
        limits = StoreLimits(latency=STORE_SECONDS)
        self._store = StandinTableStore(process.time, self.faults, data, limits)

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows as of one moment."""
        self._store.read(keys, self._reply(done))

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read rows by prefix."""
        self._store.scan(table, prefix, limit, self._reply(done))

    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction."""
        reply = self._reply(done)

        def committed(result: Result[Committed, Failure]) -> None:
            self._process.simulation.rows_written(self._process, transaction)
            reply(result)

        self._store.commit(transaction, committed)

    def _reply(self, done: ResultCallback[Any]) -> ResultCallback[Any]:
        def reply(result: Result[Any, Failure]) -> None:
            deliver = self._process.deliver
            self._process.time.call_later(STORE_SECONDS, lambda: deliver(lambda: done(result)))

        return reply


class EntryProcess(SimulatedProcess):
    """An entry: its state machine, its claims and its callers' connections."""

    def __init__(self, simulation: Simulation, vm: str, number: int) -> None:
        """Start without sessions."""
        super().__init__(simulation, vm, number)
        timers = ProcessTimers(self)
        router = RoundRobinRouter(DOMAIN)
        factories = simulation.factories
        self.requests: EntryRequests = factories.entry(self.incarnation, router)
        self.store = ProcessStore(self, simulation.table)
        self.claims: Claims = factories.claims(
            self.incarnation,
            self.store,
            timers,
            self._claim_answered,
            simulation.is_entry_live,
            self.time.now,
        )
        self.is_ready = True
        self._wakeup = Wakeup(timers, self.requests.next_wakeup, self._on_time)
        timers.call_later(HEARTBEAT_SECONDS, self._heartbeat)
        self._timers = timers

    def submit(self, request: CallerRequest) -> None:
        """Take in a call."""
        self.deliver(lambda: self._do(self.requests.submit(self.time.now(), request)))

    def caller_disconnected(self, handle: str) -> None:
        """Hear that a caller's connection closed."""
        self.deliver(lambda: self._do(self.requests.caller_disconnected(self.time.now(), handle)))

    def session_opened(self, agent: str) -> None:
        """Hear of a session."""
        endpoint = Endpoint(agent, POOL, EndpointKind.SERVICE, slots=1)
        candidate = Candidate(agent, endpoint, DOMAIN)
        self._do(self.requests.session_opened(self.time.now(), agent, candidate))

    def session_closed(self, agent: str) -> None:
        """Hear that a session was given up."""
        self._do(self.requests.session_closed(self.time.now(), agent))

    def peer_replaced(self, agent: str) -> None:
        """Hear that an agent incarnation is gone for good."""
        self.deliver(lambda: self._do(self.requests.agent_replaced(self.time.now(), agent)))

    def message(self, agent: str, message: Message) -> None:
        """Hear a message."""
        self._do(self.requests.message(self.time.now(), agent, message))

    def begin_drain(self) -> None:
        """Hear that the process is to leave."""
        self.is_ready = False
        self.signal(lambda: self._do(self.requests.begin_drain(self.time.now())))

    def _claim_answered(self, handle: str, outcome: Any) -> None:
        self._do(self.requests.claim_answered(self.time.now(), handle, outcome))

    def _on_time(self, now: float) -> None:
        self._do(self.requests.on_timer(now))

    def _heartbeat(self) -> None:
        floor = self.requests.floor
        self.simulation.network.send_to_all(self, Heartbeat(0, 0, floor))
        self._timers.call_later(HEARTBEAT_SECONDS, self._heartbeat)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            self._do_one(action)
        self._wakeup.refresh()

    def _do_one(self, action: Action) -> None:
        callers = self.simulation.callers
        match action:
            case SendMessage(peer, message):
                self.simulation.sending(self, peer, message)
                self.simulation.network.send(self, peer, message)
            case DeliverChunk(handle, data):
                callers.chunk_received(handle, data)
            case DeliverAnswer(handle, answer):
                callers.final_answer_received(handle, answer)
            case DeliverFailure(handle, failure):
                callers.final_answer_received(handle, failure)
            case WriteClaim():
                self.simulation.claiming(self, action)
                self.claims.claim(action)
            case RecordOutcome():
                self.claims.record(action)
            case Drained():
                self.simulation.entry_drained(self)


class AgentProcess(SimulatedProcess):
    """An agent: its state machine and the calls to its endpoint."""

    def __init__(self, simulation: Simulation, vm: str, number: int) -> None:
        """Start without sessions, beside the endpoint of its VM."""
        super().__init__(simulation, vm, number)
        self.endpoint = simulation.endpoints[vm]
        self.requests: AgentRequests = simulation.factories.agent(
            self.incarnation, FirstInFirstOutQueue(), self.endpoint.slots
        )
        self._timers = ProcessTimers(self)
        self._wakeup = Wakeup(self._timers, self.requests.next_wakeup, self._on_time)
        self._timers.call_later(HEARTBEAT_SECONDS, self._heartbeat)

    def session_opened(self, entry: str) -> None:
        """Hear of a session."""
        self._do(self.requests.session_opened(self.time.now(), entry))

    def session_closed(self, entry: str) -> None:
        """Hear that a session was given up."""
        self._do(self.requests.session_closed(self.time.now(), entry))

    def peer_replaced(self, entry: str) -> None:
        """Entries that are gone need no action: their attempts are abandoned in time."""

    def message(self, entry: str, message: Message) -> None:
        """Hear a message."""
        actions = self.requests.message(self.time.now(), entry, message)
        started = [each.dispatch for each in actions if isinstance(each, StartExecution)]
        if isinstance(message, Dispatch) and message not in started:
            self.simulation.queued(self, message)
        self._do(actions)

    def chunk_produced(self, attempt: AttemptId, data: bytes) -> None:
        """Hear bytes of the endpoint."""
        now = self.time.now()
        self.deliver(lambda: self._do(self.requests.execution_chunk(now, attempt, data)))

    def execution_ended(self, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]) -> None:
        """Hear the end of an execution."""
        self.deliver(lambda: self._finish(attempt, outcome))

    def begin_drain(self, grace: float) -> None:
        """Hear that the endpoint or VM is leaving."""
        self.simulation.oracle.drain_started(self.time.now(), self.incarnation)
        self.signal(lambda: self._do(self.requests.begin_drain(self.time.now(), grace)))

    def _finish(self, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]) -> None:
        self._do(self.requests.execution_finished(self.time.now(), attempt, outcome))

    def _on_time(self, now: float) -> None:
        self._do(self.requests.on_timer(now))

    def _heartbeat(self) -> None:
        beat = Heartbeat(0, 0, 0, self.requests.load())
        self.simulation.network.send_to_all(self, beat)
        self._timers.call_later(HEARTBEAT_SECONDS, self._heartbeat)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            self._do_one(action)
        self._wakeup.refresh()

    def _do_one(self, action: Action) -> None:
        match action:
            case SendMessage(peer, message):
                self.simulation.sending(self, peer, message)
                self.simulation.network.send(self, peer, message)
            case StartExecution(dispatch):
                self.simulation.starting(self, dispatch)
                self.endpoint.start(self, dispatch)
            case CancelExecution(attempt):
                self.endpoint.cancel(self, attempt)
            case Drained():
                self.simulation.agent_drained(self)
