"""Stateful test of claims by several entries with lost store replies and removed holders."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from result import Ok

from pumicedeck.actions import RecordOutcome, WriteClaim
from pumicedeck.claim_outcomes import Claimed
from pumicedeck.claims import Claims
from pumicedeck.faults import Fault
from pumicedeck.results import Execution, ResultCode
from pumicedeck.tests.test_claims import ClaimSimulation

ENTRY_NAMES = ("a/1", "b/1", "c/1")
CODES = (ResultCode.OK, ResultCode.OVERLOADED, ResultCode.OUTCOME_UNKNOWN)
COMMIT_FAULTS = (Fault.LOSE_REPLY, Fault.LOSE_REQUEST, Fault.SILENT, Fault.DOWN)

entry_names = st.sampled_from(ENTRY_NAMES)
request_ids = st.sampled_from(("r1", "r2"))


class ClaimMachine(RuleBasedStateMachine):
    """A request id is granted again only after its last grant was recorded as not run."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = ClaimSimulation()
        self.simulation.live = set(ENTRY_NAMES)
        self.entries: dict[str, Claims] = {
            name: self.simulation.add_entry(name) for name in ENTRY_NAMES
        }
        self.grantable = {"r1": True, "r2": True}
        self.holder_by_id: dict[str, str] = {}
        self.claim_by_handle: dict[str, tuple[str, str]] = {}
        self.unanswered: set[str] = set()
        for entry in self.entries.values():
            entry._answered = self.on_answered

    def on_answered(self, handle: str, outcome: object) -> None:
        name, request_id = self.claim_by_handle[handle]
        self.unanswered.remove(handle)
        if outcome == Ok(Claimed()):
            assert self.grantable[request_id], f"{request_id} granted twice"
            self.grantable[request_id] = False
            self.holder_by_id[request_id] = name

    @rule(name=entry_names, request_id=request_ids)
    def claim(self, name: str, request_id: str) -> None:
        if name not in self.simulation.live:
            return
        handle = f"h{len(self.claim_by_handle)}"
        self.claim_by_handle[handle] = (name, request_id)
        self.unanswered.add(handle)
        self.entries[name].claim(WriteClaim(handle, "f", request_id, "x"))

    @rule(request_id=request_ids, code=st.sampled_from(CODES))
    def record(self, request_id: str, code: ResultCode) -> None:
        name = self.holder_by_id.pop(request_id, None)
        if name not in self.simulation.live:
            return
        self.entries[name].record(RecordOutcome("f", request_id, int(code), None))
        self.grantable[request_id] = code.info.execution is Execution.NOT_RUN

    @rule(name=entry_names, fault=st.sampled_from(COMMIT_FAULTS), nth=st.integers(1, 2))
    def fail_commit(self, name: str, fault: Fault, nth: int) -> None:
        self.simulation.stores[name].faults.script(fault, nth, "commit")

    @rule(name=entry_names, fault=st.sampled_from((Fault.DOWN, Fault.SILENT)))
    def fail_read(self, name: str, fault: Fault) -> None:
        self.simulation.stores[name].faults.script(fault, 1, "read")

    @rule(name=entry_names, delay=st.sampled_from((0.0, 0.3, 0.7)))
    def slow_down(self, name: str, delay: float) -> None:
        self.simulation.stores[name].faults.delay = delay

    @rule(seconds=st.floats(0.001, 3.0))
    def wait(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @rule()
    def remove_an_entry(self) -> None:
        if len(self.simulation.live) < len(ENTRY_NAMES):
            return
        self.simulation.live.discard("c/1")
        self.entries["c/1"].close()

    def teardown(self) -> None:
        self.simulation.run(5.0)
        removed = {
            each
            for each in self.unanswered
            if self.claim_by_handle[each][0] not in self.simulation.live
        }
        assert self.unanswered <= removed


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
