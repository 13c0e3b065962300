"""Simulates entries, agents, endpoints, callers and the table service in virtual time.

The state machines, the claims and the table stand-in are the real ones; only the network, the
endpoints and the callers are simulated.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pumicedeck.actions import CallerAnswer, WriteClaim
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.claim_rows import CLAIMS_TABLE, decode_row
from pumicedeck.claims import Claims
from pumicedeck.clocks import VirtualTime
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.messages import Answer, AttemptId, Dispatch, Message
from pumicedeck.oracles import Oracle, Violation
from pumicedeck.platform_interfaces import Transaction
from pumicedeck.results import Execution, Failure
from pumicedeck.simulated_callers import Callers, CallSpec, RequestKind, Step
from pumicedeck.simulated_endpoints import SimulatedEndpoint
from pumicedeck.simulated_networks import SimulatedNetwork
from pumicedeck.simulated_processes import (
    AgentProcess,
    EntryProcess,
    SimulatedProcess,
)
from pumicedeck.standin_tables import TableData

TARGET = "target"
AGENTS = 3
ENTRIES = 2
SLOTS_PER_AGENT = 2
RESTART_DELAY_SECONDS = 1.0
VM_LIST_LAG_SECONDS = 10.0
LATE_CALL_SECONDS = 7.0
MAX_CALLS_SECONDS = 120.0
SETTLE_SECONDS = 12.0
MAX_WORK_SECONDS = 17.0
DRAIN_GRACE_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class StateMachineFactories:
    """Constructors of the state machines; tests replace them by faulty ones."""

    entry: Callable[..., EntryRequests] = EntryRequests
    agent: Callable[..., AgentRequests] = AgentRequests
    claims: Callable[..., Claims] = Claims


@dataclass(slots=True)
class _Injection:
    """A fault to inject `delay` seconds after the target reaches `step`, at most once."""

    step: Step
    inject: Callable[[Simulation], None]
    delay: float
    is_done: bool = False


@dataclass(slots=True)
class TargetProcesses:
    """The entry and the agent that handle the target request."""

    entry: EntryProcess
    agent: AgentProcess
    is_dispatched: bool = False


@dataclass(slots=True)
class SimulationOutcome:
    """Result of a run.

    `reached` says for each injection whether the target reached its step; `target` is what the
    first caller of the target was told about its execution.
    """

    reached: tuple[bool, ...]
    violations: list[Violation]
    target: Execution | None


class Simulation:
    """One run of a few requests; faults are injected at steps of one of them, the target."""

    def __init__(self, kind: RequestKind, factories: StateMachineFactories | None = None) -> None:
        """Create all processes and schedule the calls; `run` starts the simulation."""
        self.kind = kind
        self.factories = factories or StateMachineFactories()
        self.time = VirtualTime()
        self.oracle = Oracle()
        self.table = TableData()
        self.network = SimulatedNetwork(self)
        self.callers = Callers(self)
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.agents: list[AgentProcess] = []
        self.entries: list[EntryProcess] = []
        self._injections: list[_Injection] = []
        self._entry_killed_at: dict[str, float] = {}
        self._dispatches: dict[tuple[str, AttemptId], Dispatch] = {}
        self._must_succeed = False
        self._end_at = 0.0
        for number in range(ENTRIES):
            self.entries.append(EntryProcess(self, f"entry{number}", 1))
        for number in range(AGENTS):
            self.add_agent(f"agent{number}", 1)
        self.target_processes = TargetProcesses(self.entries[0], self.agents[0])
        self._make_calls()

    def inject(self, step: Step, inject: Callable[[Simulation], None], delay: float = 0.0) -> None:
        """Inject a fault `delay` seconds after the target first reaches `step`."""
        self._injections.append(_Injection(step, inject, delay))

    def process_resumed(self) -> None:
        """Extend the run by the longest time that a resumed process may need for its work."""
        self._end_at = max(self._end_at, self.time.now() + MAX_WORK_SECONDS)

    def expect_success(self) -> None:
        """Require that every call succeeds."""
        self._must_succeed = True

    def run(self) -> SimulationOutcome:
        """Run until all calls and processes have settled and check the promises."""
        self.time.run_until(2.0)
        while not self.callers.is_settled and self.time.now() < MAX_CALLS_SECONDS:
            self.time.run_until(self.time.now() + 1.0)
        self._end_at = max(self._end_at, self.time.now() + SETTLE_SECONDS)
        while self.time.now() < self._end_at:
            self.time.run_until(self._end_at)
        self._record_unreleased()
        reached = tuple(each.is_done for each in self._injections)
        violations = self.oracle.violations(self._must_succeed)
        first = self.callers.first_handle(TARGET)
        return SimulationOutcome(reached, violations, _execution(self.oracle.final_answer(first)))

    def _record_unreleased(self) -> None:
        for agent in self.agents:
            load = agent.requests.load()
            if agent.is_alive and not agent.is_paused and load.running + load.queued:
                self.oracle.record_unreleased(
                    f"{load.running} running and {load.queued} queued requests left at {agent.vm}"
                )
        for entry in self.entries:
            if entry.is_alive and not entry.is_paused and entry.requests.pending:
                self.oracle.record_unreleased(
                    f"{entry.requests.pending} pending requests left at {entry.vm}"
                )

    def add_agent(self, vm: str, number: int) -> AgentProcess:
        """Start an agent for the endpoint of a VM and connect it to all entries."""
        if vm not in self.endpoints:
            self.endpoints[vm] = SimulatedEndpoint(
                self, vm, len(self.endpoints) + 1, SLOTS_PER_AGENT
            )
        agent = AgentProcess(self, vm, number)
        self.agents.append(agent)
        for entry in self.entries:
            self.network.dial(entry, agent)
        return agent

    def replace_agent(self, previous: AgentProcess, vm: str, number: int) -> None:
        """Notify the entries that `previous` has ended and start its successor on `vm`."""
        for entry in self.entries:
            entry.peer_replaced(previous.incarnation)
        self.add_agent(vm, number)

    def replace_entry(self, previous: EntryProcess) -> None:
        """Start the successor of an entry on the same VM."""
        number = int(previous.incarnation.rpartition("/")[2]) + 1
        entry = EntryProcess(self, previous.vm, number)
        self.entries.append(entry)
        for agent in self.agents:
            self.network.dial(entry, agent)

    def end_entry(self, entry: EntryProcess) -> None:
        """Kill an entry, break its callers' connections and restart it after the restart delay."""
        if not entry.is_alive:
            return
        entry.kill()
        self._entry_killed_at[entry.incarnation] = self.time.now()
        self.network.process_killed(entry, is_noticed=True)
        self.callers.entry_killed(entry)
        self.time.call_later(RESTART_DELAY_SECONDS, lambda: self.replace_entry(entry))

    def end_agent(self, agent: AgentProcess, is_noticed: bool = True) -> None:
        """Kill an agent; `is_noticed` says whether its connections close at once."""
        if agent.is_alive:
            agent.kill()
            self.network.process_killed(agent, is_noticed)

    def ready_entry(self, number: int) -> EntryProcess | None:
        """Return one of the ready entries, as a load balancer would select it, or None."""
        ready = [each for each in self.entries if each.is_alive and each.is_ready]
        return ready[number % len(ready)] if ready else None

    def is_entry_live(self, incarnation: str) -> bool:
        """Return whether an incarnation is live according to the VM list, which lags by 10 s."""
        killed_at = self._entry_killed_at.get(incarnation)
        return killed_at is None or self.time.now() < killed_at + VM_LIST_LAG_SECONDS

    def entry_drained(self, entry: EntryProcess) -> None:
        """End a drained entry after its claims are flushed."""
        for handle in self.callers.open_calls_at(entry):
            self.oracle.record_cut_off_work(f"{handle} was open at {entry.incarnation}")
        entry.claims.flush(lambda: self.time.call_later(0.0, lambda: self.end_entry(entry)))

    def agent_drained(self, agent: AgentProcess) -> None:
        """End a drained agent and start another one on a new VM after the restart delay."""
        if agent.endpoint.running(agent.incarnation):
            self.oracle.record_cut_off_work(f"work was running at {agent.incarnation}")
        self.time.call_later(0.0, lambda: self.end_agent(agent))
        successor = agent.vm + "n"
        self.time.call_later(RESTART_DELAY_SECONDS, lambda: self.replace_agent(agent, successor, 1))

    def step_reached(
        self,
        step: Step,
        request_id: str,
        entry: EntryProcess | None = None,
        agent: AgentProcess | None = None,
    ) -> None:
        """Inject the faults of a step when the target reaches it; other requests are ignored."""
        if request_id != TARGET:
            return
        self.target_processes.entry = entry or self.target_processes.entry
        self.target_processes.agent = agent or self.target_processes.agent
        self.target_processes.is_dispatched = (
            self.target_processes.is_dispatched or agent is not None
        )
        for each in self._injections:
            if each.step is step and not each.is_done:
                each.is_done = True
                self.time.call_later(each.delay, lambda each=each: each.inject(self))

    def observe_message(self, process: SimulatedProcess, peer: str, message: Message) -> None:
        """Observe that a process sends a message."""
        match message:
            case Dispatch(request_id=request_id):
                agent = next(each for each in self.agents if each.incarnation == peer)
                self.step_reached(Step.DISPATCHED, request_id, agent=agent)
            case Answer(attempt) if isinstance(process, AgentProcess):
                self.step_reached(Step.ANSWER_SENT, self._request_of(process, attempt))

    def observe_claim(self, entry: EntryProcess, claim: WriteClaim) -> None:
        """Observe that an entry claims a request."""
        self.step_reached(Step.CLAIM_SENT, claim.request_id, entry)

    def observe_transaction_end(self, process: SimulatedProcess, transaction: Transaction) -> None:
        """Observe that a transaction ended; it counts as carried out whatever its result."""
        for write in transaction.writes:
            if write.table != CLAIMS_TABLE or write.value is None:
                continue
            request_id = write.key.rpartition("/")[2]
            is_outcome = decode_row(write.value).code is not None
            self.step_reached(
                Step.OUTCOME_WRITTEN if is_outcome else Step.CLAIM_WRITTEN, request_id
            )

    def observe_queued(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Observe that an agent queued a dispatch."""
        self.step_reached(Step.QUEUED, dispatch.request_id, agent=agent)

    def observe_start(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Observe that an agent passes a dispatch to its endpoint."""
        self._dispatches[(agent.incarnation, dispatch.attempt)] = dispatch
        self.step_reached(Step.STARTED, dispatch.request_id, agent=agent)

    def observe_execution(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Observe that an endpoint started to execute a dispatch."""
        self.step_reached(Step.EXECUTING, dispatch.request_id, agent=agent)

    def observe_chunk(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Observe that an endpoint produced a chunk."""
        self.step_reached(Step.PARTIAL, dispatch.request_id, agent=agent)

    def observe_finish(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Observe that an endpoint finished an execution."""
        self.step_reached(Step.FINISHED, dispatch.request_id, agent=agent)

    def observe_corrupted_chunk(self, agent: str, attempt: AttemptId) -> None:
        """Observe that a chunk was corrupted in transit."""
        self.oracle.allow_corrupted_chunks(self._dispatches[(agent, attempt)].prefix)

    def _request_of(self, agent: AgentProcess, attempt: AttemptId) -> str:
        dispatch = self._dispatches.get((agent.incarnation, attempt))
        return dispatch.request_id if dispatch else ""

    def _make_calls(self) -> None:
        kind = self.kind
        if kind is RequestKind.DRAIN:
            kind = RequestKind.NON_IDEMPOTENT
        for number in range(AGENTS * SLOTS_PER_AGENT):
            spec = CallSpec(f"early{number}", RequestKind.IDEMPOTENT)
            self.callers.call_later(0.9 + number * 0.01, spec, number)
        self.callers.call_later(1.0, CallSpec(TARGET, kind))
        self.callers.call_later(1.02, CallSpec("once", RequestKind.NON_IDEMPOTENT), 1)
        self.callers.call_later(1.03, CallSpec("stream", RequestKind.STREAMED))
        self.callers.call_later(1.04, CallSpec("draft", RequestKind.DRAFT), 1)
        for number, late_kind in enumerate((RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT)):
            self.callers.call_later(LATE_CALL_SECONDS, CallSpec(f"late{number}", late_kind))


def _execution(final: CallerAnswer | Failure | None) -> Execution | None:
    if isinstance(final, CallerAnswer):
        return Execution.RAN
    return final.execution if final else None
