"""Entries, agents, endpoints, callers and the table service in one virtual time.

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
SLOTS = 2
RESTART_SECONDS = 1.0
LIST_LAG_SECONDS = 10.0
LATE_SECONDS = 7.0
HORIZON_SECONDS = 120.0
SETTLE_SECONDS = 12.0
LONGEST_WORK_SECONDS = 17.0
GRACE_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class StateMachineFactories:
    """Makes the state machines; tests put broken ones in their place."""

    entry: Callable[..., EntryRequests] = EntryRequests
    agent: Callable[..., AgentRequests] = AgentRequests
    claims: Callable[..., Claims] = Claims


@dataclass(slots=True)
class _Injection:
    step: Step
    inject: Callable[[Simulation], None]
    delay: float
    is_done: bool = False


@dataclass(slots=True)
class TargetProcesses:
    """The processes that handle the target request."""

    entry: EntryProcess
    agent: AgentProcess
    is_dispatched: bool = False


@dataclass(slots=True)
class Outcome:
    """What a run showed: which injections struck, what was violated, how the target ended."""

    reached: tuple[bool, ...]
    violations: list[Violation]
    target: Execution | None


class Simulation:
    """One run of a few requests, among them the target, with faults at steps of the target."""

    def __init__(self, kind: RequestKind, factories: StateMachineFactories | None = None) -> None:
        """Start all processes and let callers make their calls."""
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
        self._gone: dict[str, float] = {}
        self._dispatches: dict[tuple[str, AttemptId], Dispatch] = {}
        self._must_succeed = False
        self._over_at = 0.0
        for number in range(ENTRIES):
            self.entries.append(EntryProcess(self, f"entry{number}", 1))
        for number in range(AGENTS):
            self.add_agent(f"agent{number}", 1)
        self.target_processes = TargetProcesses(self.entries[0], self.agents[0])
        self._make_calls()

    def inject(self, step: Step, inject: Callable[[Simulation], None], delay: float = 0.0) -> None:
        """Let a fault strike `delay` seconds after the target first reaches a step."""
        self._injections.append(_Injection(step, inject, delay))

    def process_resumed(self) -> None:
        """Leave a resumed process the time that its longest work may take."""
        self._over_at = max(self._over_at, self.time.now() + LONGEST_WORK_SECONDS)

    def expect_success(self) -> None:
        """Let the oracle hold that no call fails."""
        self._must_succeed = True

    def run(self) -> Outcome:
        """Run until all is settled and judge."""
        self.time.run_until(2.0)
        while not self.callers.is_settled and self.time.now() < HORIZON_SECONDS:
            self.time.run_until(self.time.now() + 1.0)
        self._over_at = max(self._over_at, self.time.now() + SETTLE_SECONDS)
        while self.time.now() < self._over_at:
            self.time.run_until(self._over_at)
        self._note_what_is_left()
        reached = tuple(each.is_done for each in self._injections)
        violations = self.oracle.violations(self._must_succeed)
        first = self.callers.first_handle(TARGET)
        return Outcome(reached, violations, _execution(self.oracle.final(first)))

    def _note_what_is_left(self) -> None:
        for agent in self.agents:
            load = agent.requests.load()
            if agent.is_alive and not agent.is_paused and load.running + load.queued:
                self.oracle.record_unreleased(
                    f"{load.running} run and {load.queued} wait at {agent.vm}"
                )
        for entry in self.entries:
            if entry.is_alive and not entry.is_paused and entry.requests.pending:
                self.oracle.record_unreleased(f"{entry.requests.pending} pending at {entry.vm}")

    def add_agent(self, vm: str, number: int) -> AgentProcess:
        """Start an agent beside the endpoint of a VM and connect it to all entries."""
        if vm not in self.endpoints:
            self.endpoints[vm] = SimulatedEndpoint(self, vm, len(self.endpoints) + 1, SLOTS)
        agent = AgentProcess(self, vm, number)
        self.agents.append(agent)
        for entry in self.entries:
            self.network.dial(entry, agent)
        return agent

    def replace_agent(self, former: AgentProcess, vm: str, number: int) -> None:
        """Start the successor of an agent and tell the entries that the former is gone."""
        for entry in self.entries:
            entry.peer_replaced(former.incarnation)
        self.add_agent(vm, number)

    def replace_entry(self, former: EntryProcess) -> None:
        """Start the successor of an entry."""
        number = int(former.incarnation.rpartition("/")[2]) + 1
        entry = EntryProcess(self, former.vm, number)
        self.entries.append(entry)
        for agent in self.agents:
            self.network.dial(entry, agent)

    def end_entry(self, entry: EntryProcess) -> None:
        """End an entry process; its callers' connections break."""
        if not entry.is_alive:
            return
        entry.kill()
        self._gone[entry.incarnation] = self.time.now()
        self.network.process_killed(entry, is_noticed=True)
        self.callers.entry_died(entry)
        self.time.call_later(RESTART_SECONDS, lambda: self.replace_entry(entry))

    def end_agent(self, agent: AgentProcess, is_noticed: bool = True) -> None:
        """End an agent process."""
        if agent.is_alive:
            agent.kill()
            self.network.process_killed(agent, is_noticed)

    def ready_entry(self, number: int) -> EntryProcess | None:
        """Return an entry that the balancer would choose."""
        ready = [each for each in self.entries if each.is_alive and each.is_ready]
        return ready[number % len(ready)] if ready else None

    def is_entry_live(self, incarnation: str) -> bool:
        """Return what the lagging VM list says of an entry incarnation."""
        gone_at = self._gone.get(incarnation)
        return gone_at is None or self.time.now() < gone_at + LIST_LAG_SECONDS

    def entry_drained(self, entry: EntryProcess) -> None:
        """Let a drained entry exit."""
        for handle in self.callers.open_calls_at(entry):
            self.oracle.record_cut_off_work(f"{handle} was open at {entry.incarnation}")
        entry.claims.flush(lambda: self.time.call_later(0.0, lambda: self.end_entry(entry)))

    def agent_drained(self, agent: AgentProcess) -> None:
        """Let a drained agent exit and its VM be replaced."""
        if agent.endpoint.running(agent.incarnation):
            self.oracle.record_cut_off_work(f"work was running at {agent.incarnation}")
        self.time.call_later(0.0, lambda: self.end_agent(agent))
        successor = agent.vm + "n"
        self.time.call_later(RESTART_SECONDS, lambda: self.replace_agent(agent, successor, 1))

    def step_reached(
        self,
        step: Step,
        request_id: str,
        entry: EntryProcess | None = None,
        agent: AgentProcess | None = None,
    ) -> None:
        """Let the faults of a step strike when the target reaches it."""
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

    def sending(self, process: SimulatedProcess, peer: str, message: Message) -> None:
        """Hear that a process sends a message."""
        match message:
            case Dispatch(request_id=request_id):
                agent = next(each for each in self.agents if each.incarnation == peer)
                self.step_reached(Step.DISPATCHED, request_id, agent=agent)
            case Answer(attempt) if isinstance(process, AgentProcess):
                self.step_reached(Step.ANSWER_SENT, self._request_of(process, attempt))

    def claiming(self, entry: EntryProcess, claim: WriteClaim) -> None:
        """Hear that an entry claims a request."""
        self.step_reached(Step.CLAIM_SENT, claim.request_id, entry)

    def rows_written(self, process: SimulatedProcess, transaction: Transaction) -> None:
        """Hear that a transaction was carried out."""
        for write in transaction.writes:
            if write.table != CLAIMS_TABLE or write.value is None:
                continue
            request_id = write.key.rpartition("/")[2]
            is_outcome = decode_row(write.value).code is not None
            self.step_reached(
                Step.OUTCOME_WRITTEN if is_outcome else Step.CLAIM_WRITTEN, request_id
            )

    def queued(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Hear that an agent queued a dispatch."""
        self.step_reached(Step.QUEUED, dispatch.request_id, agent=agent)

    def starting(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Hear that an agent hands a dispatch over."""
        self._dispatches[(agent.incarnation, dispatch.attempt)] = dispatch
        self.step_reached(Step.STARTED, dispatch.request_id, agent=agent)

    def executing(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Hear that an endpoint began to run a dispatch."""
        self.step_reached(Step.EXECUTING, dispatch.request_id, agent=agent)

    def chunk_produced(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Hear that an endpoint produced bytes."""
        self.step_reached(Step.PARTIAL, dispatch.request_id, agent=agent)

    def finished(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Hear that an endpoint finished."""
        self.step_reached(Step.FINISHED, dispatch.request_id, agent=agent)

    def damaged(self, agent: str, attempt: AttemptId) -> None:
        """Hear that a chunk was damaged on its way."""
        self.oracle.allow_corrupted_chunks(self._dispatches[(agent, attempt)].prefix)

    def _request_of(self, agent: AgentProcess, attempt: AttemptId) -> str:
        dispatch = self._dispatches.get((agent.incarnation, attempt))
        return dispatch.request_id if dispatch else ""

    def _make_calls(self) -> None:
        kind = self.kind
        if kind is RequestKind.DRAIN:
            kind = RequestKind.NON_IDEMPOTENT
        for number in range(AGENTS * SLOTS):
            spec = CallSpec(f"early{number}", RequestKind.IDEMPOTENT)
            self.callers.call_later(0.9 + number * 0.01, spec, number)
        self.callers.call_later(1.0, CallSpec(TARGET, kind))
        self.callers.call_later(1.02, CallSpec("once", RequestKind.NON_IDEMPOTENT), 1)
        self.callers.call_later(1.03, CallSpec("stream", RequestKind.STREAMED))
        self.callers.call_later(1.04, CallSpec("draft", RequestKind.DRAFT), 1)
        for number, late in enumerate((RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT)):
            self.callers.call_later(LATE_SECONDS, CallSpec(f"late{number}", late))


def _execution(final: CallerAnswer | Failure | None) -> Execution | None:
    if isinstance(final, CallerAnswer):
        return Execution.RAN
    return final.execution if final else None
