"""Stateful tests of the two request state machines against small models."""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err, Ok

from pumicedeck.actions import (
    DeliverAnswer,
    DeliverFailure,
    RecordOutcome,
    SendMessage,
    StartExecution,
    WriteClaim,
)
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.claim_outcomes import Claimed
from pumicedeck.messages import (
    Acknowledge,
    AttemptId,
    Cancel,
    Chunk,
    Dispatch,
    Heartbeat,
    Reattach,
    Refused,
    Revoke,
    Revoked,
    RevokeOutcome,
    Started,
)
from pumicedeck.queues import FirstInFirstOutQueue
from pumicedeck.request_settings import AgentRequestSettings
from pumicedeck.results import Execution, Failure, ResultCode
from pumicedeck.tests import test_agent_requests as agents
from pumicedeck.tests import test_entry_requests as entries

BOUNDED = settings(max_examples=60, stateful_step_count=50, derandomize=True, deadline=None)
PROOFS = (RevokeOutcome.NEVER_SEEN, RevokeOutcome.DEQUEUED, RevokeOutcome.ALREADY_REFUSED)
SLOTS = 2
BURST = 4.0

sequences = st.integers(min_value=1, max_value=12)
agent_names = st.sampled_from(("a/1", "b/1"))


class AgentMachine(RuleBasedStateMachine):
    """An attempt starts at most once, and never after the agent said that it never will."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        settings = AgentRequestSettings(
            tombstone_seconds=3.0,
            max_tombstones=4,
            answer_retention_bytes=8,
            answer_retention_seconds=2.0,
        )
        queue = FirstInFirstOutQueue(4)
        self.requests = AgentRequests(agents.AGENT, queue, SLOTS, settings)
        self.started: set[AttemptId] = set()
        self.disproven: set[AttemptId] = set()
        self.drained_at: float | None = None
        self.do(self.requests.session_opened(0.0, agents.ENTRY))

    def do(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, StartExecution):
                attempt = action.dispatch.attempt
                assert attempt not in self.started | self.disproven
                assert self.drained_at is None
                self.started.add(attempt)
            if isinstance(action, SendMessage):
                self.take(action.message)

    def take(self, message: object) -> None:
        if isinstance(message, Refused):
            self.disproven.add(message.attempt)
        if isinstance(message, Revoked) and message.outcome in PROOFS:
            assert message.attempt not in self.started or message.attempt in self.disproven
            self.disproven.add(message.attempt)

    def tell(self, message: object) -> None:
        self.do(self.requests.message(self.now, agents.ENTRY, message))

    @rule(sequence=sequences, streamed=st.booleans(), queue_budget=st.floats(0.1, 5.0))
    def dispatch(self, sequence: int, streamed: bool, queue_budget: float) -> None:
        message = agents.dispatch(sequence, streamed=streamed, queue_budget=queue_budget)
        self.tell(message)

    @rule(sequence=sequences, kind=st.sampled_from(("revoke", "cancel", "acknowledge", "reattach")))
    def ask(self, sequence: int, kind: str) -> None:
        attempt = AttemptId(agents.ENTRY, sequence)
        messages = {
            "revoke": Revoke(attempt, agents.AGENT),
            "cancel": Cancel(attempt),
            "acknowledge": Acknowledge(attempt),
            "reattach": Reattach(attempt, agents.AGENT, 0),
        }
        self.tell(messages[kind])

    @rule(floor=st.integers(0, 4))
    def raise_floor(self, floor: int) -> None:
        self.tell(Heartbeat(1, 1, floor))

    @rule(sequence=sequences, data=st.binary(max_size=5))
    def produce(self, sequence: int, data: bytes) -> None:
        attempt = AttemptId(agents.ENTRY, sequence)
        self.do(self.requests.execution_chunk(self.now, attempt, data))

    @rule(sequence=sequences, code=st.sampled_from((None, "ENDPOINT_FAILED", "CANCELLED")))
    def finish(self, sequence: int, code: str | None) -> None:
        outcome = Err(Failure(ResultCode[code])) if code else Ok(agents.END)
        attempt = AttemptId(agents.ENTRY, sequence)
        self.do(self.requests.execution_finished(self.now, attempt, outcome))

    @rule(up=st.booleans())
    def change_session(self, up: bool) -> None:
        change = self.requests.session_opened if up else self.requests.session_closed
        self.do(change(self.now, agents.ENTRY))

    @rule(seconds=st.floats(0.01, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.do(self.requests.on_timer(self.now))
        due = self.requests.next_wakeup()
        assert due is None or due > self.now

    @precondition(lambda self: self.drained_at is None and self.now > 20.0)
    @rule()
    def drain(self) -> None:
        actions = self.requests.begin_drain(self.now, 5.0)
        self.drained_at = self.now
        self.do(actions)

    @invariant()
    def slots_are_not_exceeded(self) -> None:
        load = self.requests.load()
        assert 0 <= load.running <= SLOTS
        assert load.queued <= 4


class EntryMachine(RuleBasedStateMachine):
    """Each request ends once; "not run" is said, and others are retried, only with proof."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.requests = entries.entry(
            "a/1", "b/1", retry_burst=BURST, claim_seconds=5.0, max_attempts=2
        )
        self.made: dict[str, bool] = {}
        self.ended: dict[str, object] = {}
        self.gone: set[str] = set()
        self.unproven: dict[str, set[AttemptId]] = {}
        self.claiming: set[str] = set()
        self.dispatches: list[Dispatch] = []
        self.highest = 0

    def do(self, actions: list) -> None:
        for action in actions:
            match action:
                case SendMessage(_, Dispatch() as dispatch):
                    self.sent(dispatch)
                case DeliverAnswer(handle) | DeliverFailure(handle):
                    assert handle not in self.ended and handle not in self.gone
                    self.ended[handle] = action
                    self.check_end(handle, action)
                case WriteClaim(handle):
                    self.claiming.add(handle)
                case RecordOutcome(_, request_id):
                    assert not self.made[request_id.removeprefix("id-")]

    def sent(self, dispatch: Dispatch) -> None:
        handle = dispatch.request_id.removeprefix("id-")
        assert dispatch.attempt.sequence > self.highest
        self.highest = dispatch.attempt.sequence
        assert self.made[handle] or not self.unproven[handle]
        assert 0.0 <= dispatch.queue_budget <= dispatch.budget
        self.unproven[handle].add(dispatch.attempt)
        self.dispatches.append(dispatch)

    def check_end(self, handle: str, action: object) -> None:
        if isinstance(action, DeliverFailure) and action.failure.execution is Execution.NOT_RUN:
            assert not self.unproven[handle]

    def tell(self, dispatch: Dispatch, message: object, is_proof: bool = False) -> None:
        if is_proof:
            handle = dispatch.request_id.removeprefix("id-")
            self.unproven[handle].discard(dispatch.attempt)
        self.do(self.requests.message(self.now, dispatch.agent, message))

    @rule(idempotent=st.booleans(), streamed=st.booleans(), budget=st.floats(2.0, 10.0))
    def submit(self, idempotent: bool, streamed: bool, budget: float) -> None:
        handle = f"h{len(self.made)}"
        self.made[handle] = idempotent
        self.unproven[handle] = set()
        request = entries.request(handle, idempotent=idempotent, streamed=streamed, budget=budget)
        self.do(self.requests.submit(self.now, request))

    @precondition(lambda self: self.claiming)
    @rule(refused=st.integers(0, 3))
    def answer_claim(self, refused: int) -> None:
        handle = min(self.claiming)
        self.claiming.discard(handle)
        outcome = Ok(Claimed()) if refused else Err(Failure(ResultCode.IN_PROGRESS))
        self.do(self.requests.claim_answered(self.now, handle, outcome))

    @precondition(lambda self: self.dispatches)
    @rule(back=st.integers(1, 3))
    def refuse(self, back: int) -> None:
        dispatch = self.dispatches[-back:][0]
        refused = Refused(dispatch.attempt, int(ResultCode.ENDPOINT_LEAVING))
        self.tell(dispatch, refused, is_proof=True)

    @precondition(lambda self: self.dispatches)
    @rule(back=st.integers(1, 3), is_whole=st.booleans())
    def answer(self, back: int, is_whole: bool) -> None:
        dispatch = self.dispatches[-back:][0]
        answer = entries.answer(dispatch.attempt, b"body", dispatch.streamed)
        if not is_whole:
            answer = replace(answer, code=int(ResultCode.ENDPOINT_FAILED))
        elif dispatch.streamed:
            self.tell(dispatch, Chunk(dispatch.attempt, 0, b"body"))
        self.tell(dispatch, answer)

    @precondition(lambda self: self.dispatches)
    @rule(back=st.integers(1, 3), offset=st.integers(0, 3))
    def progress(self, back: int, offset: int) -> None:
        dispatch = self.dispatches[-back:][0]
        self.tell(dispatch, Started(dispatch.attempt, 0.0))
        self.tell(dispatch, Chunk(dispatch.attempt, offset, b"body"[offset:]))

    @precondition(lambda self: self.dispatches)
    @rule(back=st.integers(1, 3), outcome=st.sampled_from(RevokeOutcome))
    def revoked(self, back: int, outcome: RevokeOutcome) -> None:
        dispatch = self.dispatches[-back:][0]
        self.tell(dispatch, Revoked(dispatch.attempt, outcome), outcome in PROOFS)

    @rule(agent=agent_names, event=st.sampled_from(("up", "up", "lost", "replaced")))
    def change_agent(self, agent: str, event: str) -> None:
        if event == "up":
            up = self.requests.session_opened(self.now, agent, entries.candidate(agent))
            self.do(up)
        elif event == "lost":
            self.do(self.requests.session_closed(self.now, agent))
        else:
            self.do(self.requests.agent_replaced(self.now, agent))

    @precondition(lambda self: len(self.made) > len(self.ended))
    @rule()
    def caller_leaves(self) -> None:
        handle = min(set(self.made) - set(self.ended))
        actions = self.requests.caller_disconnected(self.now, handle)
        if handle not in self.ended:
            self.gone.add(handle)
        self.do(actions)

    @rule(seconds=st.floats(0.01, 0.5))
    def wait(self, seconds: float) -> None:
        self.advance(self.now + seconds)

    def advance(self, until: float) -> None:
        while (due := self.requests.next_wakeup()) is not None and due <= until:
            self.now = max(self.now, due)
            self.do(self.requests.on_timer(self.now))
        self.now = until

    @invariant()
    def retries_are_bounded(self) -> None:
        counters = self.requests.counters
        assert counters.attempts <= 1.1 * counters.submitted + BURST

    def teardown(self) -> None:
        self.advance(self.now + 11.0)
        assert self.requests.pending == 0
        assert set(self.made) == set(self.ended) | self.gone


TestAgentMachine = AgentMachine.TestCase
TestAgentMachine.settings = BOUNDED
TestEntryMachine = EntryMachine.TestCase
TestEntryMachine.settings = BOUNDED
