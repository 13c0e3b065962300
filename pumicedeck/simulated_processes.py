"""Simulates entry and agent processes: the real state machines with simulated I/O."""

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

STORE_LATENCY_SECONDS = 0.002
HEARTBEAT_INTERVAL_SECONDS = 4.0
POOL = "pool"
DOMAIN = FailureDomain("a", "r")


class SimulatedProcess:
    """A process that can be paused, resumed and killed; events wait while it is paused."""

    def __init__(self, simulation: Simulation, vm: str, number: int) -> None:
        """Create incarnation `number` on `vm`."""
        self.simulation = simulation
        self.time: VirtualTime = simulation.time
        self.vm = vm
        self.incarnation = f"{vm}/{number}"
        self.is_alive = True
        self.is_paused = False
        self._inbox: list[Callable[[], None]] = []

    def deliver(self, event: Callable[[], None]) -> None:
        """Run an event now, or when the process is resumed; a killed process runs none."""
        if self.is_paused:
            self._inbox.append(event)
        elif self.is_alive:
            event()

    def signal(self, event: Callable[[], None]) -> None:
        """Run a signal, which a resumed process handles before all other waiting events."""
        if self.is_paused:
            self._inbox.insert(0, event)
        else:
            self.deliver(event)

    def pause(self) -> None:
        """Pause the process, as SIGSTOP does."""
        self.is_paused = True

    def resume(self) -> None:
        """Resume the process and run the waiting events."""
        self.is_paused = False
        self.simulation.process_resumed()
        waiting, self._inbox = self._inbox, []
        for event in waiting:
            self.deliver(event)

    def kill(self) -> None:
        """Kill the process; waiting events are dropped."""
        self.is_alive = False
        self.is_paused = False
        self._inbox.clear()


class ProcessTimers(TimerQueue):
    """Timers of a process; callbacks wait while it is paused and never run once it is dead."""

    def __init__(self, process: SimulatedProcess) -> None:
        """Create timers that use the virtual time of the simulation."""
        super().__init__(process.time.now)
        self._process = process

    def call_at(self, due: float, callback: Callable[[], None]) -> Timer:
        """Run `callback` in the process at second `due`."""

        def run() -> None:
            if not timer.cancelled:
                callback()

        timer = self._process.time.call_at(due, lambda: self._process.deliver(run))
        return timer


class ProcessStore(TableStore):
    """The table service of one process; replies take time and wait while the process is paused."""

    def __init__(self, process: SimulatedProcess, data: TableData) -> None:
        """Create a client whose table `data` is shared with the other processes."""
        self._process = process
        self.faults = FaultSwitches(Random(0))
        limits = StoreLimits(latency=STORE_LATENCY_SECONDS)
        self._store = StandinTableStore(process.time, self.faults, data, limits)

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows in one consistent snapshot."""
        self._store.read(keys, self._reply(done))

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read at most `limit` rows whose keys begin with `prefix`."""
        self._store.scan(table, prefix, limit, self._reply(done))

    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction."""
        delayed_callback = self._reply(done)

        def on_commit_result(result: Result[Committed, Failure]) -> None:
            self._process.simulation.observe_transaction_end(self._process, transaction)
            delayed_callback(result)

        self._store.commit(transaction, on_commit_result)

    def _reply(self, done: ResultCallback[Any]) -> ResultCallback[Any]:
        def delayed_callback(result: Result[Any, Failure]) -> None:
            deliver = self._process.deliver
            self._process.time.call_later(
                STORE_LATENCY_SECONDS, lambda: deliver(lambda: done(result))
            )

        return delayed_callback


class EntryProcess(SimulatedProcess):
    """An entry with its state machine, its claims and the connections of its callers."""

    def __init__(self, simulation: Simulation, vm: str, number: int) -> None:
        """Create an entry without sessions."""
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
        self._wakeup = Wakeup(timers, self.requests.next_wakeup, self._on_timer)
        timers.call_later(HEARTBEAT_INTERVAL_SECONDS, self._heartbeat)
        self._timers = timers

    def submit(self, request: CallerRequest) -> None:
        """Submit the request of a caller."""
        self.deliver(lambda: self._perform(self.requests.submit(self.time.now(), request)))

    def caller_disconnected(self, handle: str) -> None:
        """Handle the disconnection of a caller."""
        self.deliver(
            lambda: self._perform(self.requests.caller_disconnected(self.time.now(), handle))
        )

    def session_opened(self, agent: str) -> None:
        """Handle a newly opened session."""
        endpoint = Endpoint(agent, POOL, EndpointKind.SERVICE, slots=1)
        candidate = Candidate(agent, endpoint, DOMAIN)
        self._perform(self.requests.session_opened(self.time.now(), agent, candidate))

    def session_closed(self, agent: str) -> None:
        """Handle the close of a session."""
        self._perform(self.requests.session_closed(self.time.now(), agent))

    def peer_replaced(self, agent: str) -> None:
        """Handle the notice that an agent incarnation has ended and will not return."""
        self.deliver(lambda: self._perform(self.requests.agent_replaced(self.time.now(), agent)))

    def message(self, agent: str, message: Message) -> None:
        """Handle a message."""
        self._perform(self.requests.message(self.time.now(), agent, message))

    def begin_drain(self) -> None:
        """Start the drain of the entry."""
        self.is_ready = False
        self.signal(lambda: self._perform(self.requests.begin_drain(self.time.now())))

    def _claim_answered(self, handle: str, outcome: Any) -> None:
        self._perform(self.requests.claim_answered(self.time.now(), handle, outcome))

    def _on_timer(self, now: float) -> None:
        self._perform(self.requests.on_timer(now))

    def _heartbeat(self) -> None:
        floor = self.requests.floor
        self.simulation.network.send_to_all(self, Heartbeat(0, 0, floor))
        self._timers.call_later(HEARTBEAT_INTERVAL_SECONDS, self._heartbeat)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            self._perform_one(action)
        self._wakeup.refresh()

    def _perform_one(self, action: Action) -> None:
        callers = self.simulation.callers
        match action:
            case SendMessage(peer, message):
                self.simulation.observe_message(self, peer, message)
                self.simulation.network.send(self, peer, message)
            case DeliverChunk(handle, data):
                callers.chunk_received(handle, data)
            case DeliverAnswer(handle, answer):
                callers.final_answer_received(handle, answer)
            case DeliverFailure(handle, failure):
                callers.final_answer_received(handle, failure)
            case WriteClaim():
                self.simulation.observe_claim(self, action)
                self.claims.claim(action)
            case RecordOutcome():
                self.claims.record(action)
            case Drained():
                self.simulation.entry_drained(self)


class AgentProcess(SimulatedProcess):
    """An agent with its state machine and the calls to its endpoint."""

    def __init__(self, simulation: Simulation, vm: str, number: int) -> None:
        """Create an agent without sessions for the endpoint of its VM."""
        super().__init__(simulation, vm, number)
        self.endpoint = simulation.endpoints[vm]
        self.requests: AgentRequests = simulation.factories.agent(
            self.incarnation, FirstInFirstOutQueue(), self.endpoint.slots
        )
        self._timers = ProcessTimers(self)
        self._wakeup = Wakeup(self._timers, self.requests.next_wakeup, self._on_timer)
        self._timers.call_later(HEARTBEAT_INTERVAL_SECONDS, self._heartbeat)

    def session_opened(self, entry: str) -> None:
        """Handle a newly opened session."""
        self._perform(self.requests.session_opened(self.time.now(), entry))

    def session_closed(self, entry: str) -> None:
        """Handle the close of a session."""
        self._perform(self.requests.session_closed(self.time.now(), entry))

    def peer_replaced(self, entry: str) -> None:
        """Do nothing: the attempts of an entry that has ended are abandoned after a time limit."""

    def message(self, entry: str, message: Message) -> None:
        """Handle a message."""
        actions = self.requests.message(self.time.now(), entry, message)
        started = [each.dispatch for each in actions if isinstance(each, StartExecution)]
        if isinstance(message, Dispatch) and message not in started:
            self.simulation.observe_queued(self, message)
        self._perform(actions)

    def chunk_produced(self, attempt: AttemptId, data: bytes) -> None:
        """Handle bytes of an answer from the endpoint."""
        now = self.time.now()
        self.deliver(lambda: self._perform(self.requests.execution_chunk(now, attempt, data)))

    def execution_ended(self, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]) -> None:
        """Handle the end of an execution."""
        self.deliver(lambda: self._report_end(attempt, outcome))

    def begin_drain(self, grace: float) -> None:
        """Start the drain of the endpoint with `grace` seconds."""
        self.simulation.oracle.drain_started(self.time.now(), self.incarnation)
        self.signal(lambda: self._perform(self.requests.begin_drain(self.time.now(), grace)))

    def _report_end(self, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]) -> None:
        self._perform(self.requests.execution_finished(self.time.now(), attempt, outcome))

    def _on_timer(self, now: float) -> None:
        self._perform(self.requests.on_timer(now))

    def _heartbeat(self) -> None:
        heartbeat = Heartbeat(0, 0, 0, self.requests.load())
        self.simulation.network.send_to_all(self, heartbeat)
        self._timers.call_later(HEARTBEAT_INTERVAL_SECONDS, self._heartbeat)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            self._perform_one(action)
        self._wakeup.refresh()

    def _perform_one(self, action: Action) -> None:
        match action:
            case SendMessage(peer, message):
                self.simulation.observe_message(self, peer, message)
                self.simulation.network.send(self, peer, message)
            case StartExecution(dispatch):
                self.simulation.observe_start(self, dispatch)
                self.endpoint.start(self, dispatch)
            case CancelExecution(attempt):
                self.endpoint.cancel(self, attempt)
            case Drained():
                self.simulation.agent_drained(self)
