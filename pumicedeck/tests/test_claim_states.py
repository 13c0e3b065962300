"""Stateful test of claims: several entries, lost store replies, vanished holders."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from result import Ok

from pumicedeck.actions import RecordOutcome, WriteClaim
from pumicedeck.claim_outcomes import Claimed
from pumicedeck.claims import Claims
from pumicedeck.faults import Fault
from pumicedeck.results import Execution, ResultCode
from pumicedeck.tests.test_claims import World

NAMES = ("a/1", "b/1", "c/1")
CODES = (ResultCode.OK, ResultCode.OVERLOADED, ResultCode.OUTCOME_UNKNOWN)
COMMIT_FAULTS = (Fault.LOSE_REPLY, Fault.LOSE_REQUEST, Fault.SILENT, Fault.DOWN)

names = st.sampled_from(NAMES)
request_ids = st.sampled_from(("r1", "r2"))


class ClaimMachine(RuleBasedStateMachine):
    """A request id is granted again only after its last grant was recorded as not run."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.world.live = set(NAMES)
        self.entries: dict[str, Claims] = {name: self.world.entry(name) for name in NAMES}
        self.runnable = {"r1": True, "r2": True}
        self.holders: dict[str, str] = {}
        self.handles: dict[str, tuple[str, str]] = {}
        self.open: set[str] = set()
        for entry in self.entries.values():
            entry._answered = self.answered

    def answered(self, handle: str, outcome: object) -> None:
        name, request_id = self.handles[handle]
        self.open.remove(handle)
        if outcome == Ok(Claimed()):
            assert self.runnable[request_id], f"{request_id} granted twice"
            self.runnable[request_id] = False
            self.holders[request_id] = name

    @rule(name=names, request_id=request_ids)
    def claim(self, name: str, request_id: str) -> None:
        if name not in self.world.live:
            return
        handle = f"h{len(self.handles)}"
        self.handles[handle] = (name, request_id)
        self.open.add(handle)
        self.entries[name].claim(WriteClaim(handle, "f", request_id, "x"))

    @rule(request_id=request_ids, code=st.sampled_from(CODES))
    def record(self, request_id: str, code: ResultCode) -> None:
        name = self.holders.pop(request_id, None)
        if name not in self.world.live:
            return
        self.entries[name].record(RecordOutcome("f", request_id, int(code), None))
        self.runnable[request_id] = code.info.execution is Execution.NOT_RUN

    @rule(name=names, fault=st.sampled_from(COMMIT_FAULTS), nth=st.integers(1, 2))
    def fail_commit(self, name: str, fault: Fault, nth: int) -> None:
        self.world.stores[name].faults.script(fault, nth, "commit")

    @rule(name=names, fault=st.sampled_from((Fault.DOWN, Fault.SILENT)))
    def fail_read(self, name: str, fault: Fault) -> None:
        self.world.stores[name].faults.script(fault, 1, "read")

    @rule(name=names, delay=st.sampled_from((0.0, 0.3, 0.7)))
    def slow_down(self, name: str, delay: float) -> None:
        self.world.stores[name].faults.delay = delay

    @rule(seconds=st.floats(0.001, 3.0))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule()
    def lose_an_entry(self) -> None:
        if len(self.world.live) < len(NAMES):
            return
        self.world.live.discard("c/1")
        self.entries["c/1"].close()

    def teardown(self) -> None:
        self.world.run(5.0)
        lost = {each for each in self.open if self.handles[each][0] not in self.world.live}
        assert self.open <= lost


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
