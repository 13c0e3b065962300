"""Stateful tests of the request state machines of entry and agent against small models."""

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

TEST_SETTINGS = settings(max_examples=60, stateful_step_count=50, derandomize=True, deadline=None)
NOT_RUN_OUTCOMES = (RevokeOutcome.NEVER_SEEN, RevokeOutcome.DEQUEUED, RevokeOutcome.ALREADY_REFUSED)
SLOTS = 2
RETRY_BURST = 4.0

sequences = st.integers(min_value=1, max_value=12)
agent_names = st.sampled_from(("a/1", "b/1"))


class AgentMachine(RuleBasedStateMachine):
    """An attempt starts at most once, and never after the agent reported it as not run."""

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
        self.proven_not_run: set[AttemptId] = set()
        self.drained_at: float | None = None
        self.perform(self.requests.session_opened(0.0, agents.ENTRY))

    def perform(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, StartExecution):
                attempt = action.dispatch.attempt
                assert attempt not in self.started | self.proven_not_run
                assert self.drained_at is None
                self.started.add(attempt)
            if isinstance(action, SendMessage):
                self.check_message(action.message)

    def check_message(self, message: object) -> None:
        if isinstance(message, Refused):
            self.proven_not_run.add(message.attempt)
        if isinstance(message, Revoked) and message.outcome in NOT_RUN_OUTCOMES:
            assert message.attempt not in self.started or message.attempt in self.proven_not_run
            self.proven_not_run.add(message.attempt)

    def deliver(self, message: object) -> None:
        self.perform(self.requests.message(self.now, agents.ENTRY, message))

    @rule(sequence=sequences, streamed=st.booleans(), queue_budget=st.floats(0.1, 5.0))
    def dispatch(self, sequence: int, streamed: bool, queue_budget: float) -> None:
        message = agents.make_dispatch(sequence, streamed=streamed, queue_budget=queue_budget)
        self.deliver(message)

    @rule(sequence=sequences, kind=st.sampled_from(("revoke", "cancel", "acknowledge", "reattach")))
    def send_request(self, sequence: int, kind: str) -> None:
        attempt = AttemptId(agents.ENTRY, sequence)
        messages = {
            "revoke": Revoke(attempt, agents.AGENT),
            "cancel": Cancel(attempt),
            "acknowledge": Acknowledge(attempt),
            "reattach": Reattach(attempt, agents.AGENT, 0),
        }
        self.deliver(messages[kind])

    @rule(floor=st.integers(0, 4))
    def raise_floor(self, floor: int) -> None:
        self.deliver(Heartbeat(1, 1, floor))

    @rule(sequence=sequences, data=st.binary(max_size=5))
    def produce(self, sequence: int, data: bytes) -> None:
        attempt = AttemptId(agents.ENTRY, sequence)
        self.perform(self.requests.execution_chunk(self.now, attempt, data))

    @rule(sequence=sequences, code=st.sampled_from((None, "ENDPOINT_FAILED", "CANCELLED")))
    def finish(self, sequence: int, code: str | None) -> None:
        outcome = Err(Failure(ResultCode[code])) if code else Ok(agents.END)
        attempt = AttemptId(agents.ENTRY, sequence)
        self.perform(self.requests.execution_finished(self.now, attempt, outcome))

    @rule(up=st.booleans())
    def change_session(self, up: bool) -> None:
        change = self.requests.session_opened if up else self.requests.session_closed
        self.perform(change(self.now, agents.ENTRY))

    @rule(seconds=st.floats(0.01, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.perform(self.requests.on_timer(self.now))
        wakeup = self.requests.next_wakeup()
        assert wakeup is None or wakeup > self.now

    @precondition(lambda self: self.drained_at is None and self.now > 20.0)
    @rule()
    def drain(self) -> None:
        actions = self.requests.begin_drain(self.now, 5.0)
        self.drained_at = self.now
        self.perform(actions)

    @invariant()
    def slots_are_not_exceeded(self) -> None:
        load = self.requests.load()
        assert 0 <= load.running <= SLOTS
        assert load.queued <= 4


class EntryMachine(RuleBasedStateMachine):
    """Each request ends once; it fails as "not run" only if all its attempts are proven not run.

    A request that is not idempotent is retried only under the same condition.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.requests = entries.make_entry(
            "a/1", "b/1", retry_burst=RETRY_BURST, claim_seconds=5.0, max_attempts=2
        )
        self.idempotent_by_handle: dict[str, bool] = {}
        self.ended: dict[str, object] = {}
        self.disconnected: set[str] = set()
        self.unproven: dict[str, set[AttemptId]] = {}
        self.claiming: set[str] = set()
        self.dispatches: list[Dispatch] = []
        self.highest_sequence = 0

    def perform(self, actions: list) -> None:
        for action in actions:
            match action:
                case SendMessage(_, Dispatch() as dispatch):
                    self.check_dispatch(dispatch)
                case DeliverAnswer(handle) | DeliverFailure(handle):
                    assert handle not in self.ended and handle not in self.disconnected
                    self.ended[handle] = action
                    self.check_end(handle, action)
                case WriteClaim(handle):
                    self.claiming.add(handle)
                case RecordOutcome(_, request_id):
                    assert not self.idempotent_by_handle[request_id.removeprefix("id-")]

    def check_dispatch(self, dispatch: Dispatch) -> None:
        handle = dispatch.request_id.removeprefix("id-")
        assert dispatch.attempt.sequence > self.highest_sequence
        self.highest_sequence = dispatch.attempt.sequence
        assert self.idempotent_by_handle[handle] or not self.unproven[handle]
        assert 0.0 <= dispatch.queue_budget <= dispatch.budget
        self.unproven[handle].add(dispatch.attempt)
        self.dispatches.append(dispatch)

    def check_end(self, handle: str, action: object) -> None:
        if isinstance(action, DeliverFailure) and action.failure.execution is Execution.NOT_RUN:
            assert not self.unproven[handle]

    def deliver(self, dispatch: Dispatch, message: object, is_proof: bool = False) -> None:
        if is_proof:
            handle = dispatch.request_id.removeprefix("id-")
            self.unproven[handle].discard(dispatch.attempt)
        self.perform(self.requests.message(self.now, dispatch.agent, message))

    @rule(idempotent=st.booleans(), streamed=st.booleans(), budget=st.floats(2.0, 10.0))
    def submit(self, idempotent: bool, streamed: bool, budget: float) -> None:
        handle = f"h{len(self.idempotent_by_handle)}"
        self.idempotent_by_handle[handle] = idempotent
        self.unproven[handle] = set()
        request = entries.make_request(
            handle, idempotent=idempotent, streamed=streamed, budget=budget
        )
        self.perform(self.requests.submit(self.now, request))

    @precondition(lambda self: self.claiming)
    @rule(refused=st.integers(0, 3))
    def answer_claim(self, refused: int) -> None:
        handle = min(self.claiming)
        self.claiming.discard(handle)
        outcome = Ok(Claimed()) if refused else Err(Failure(ResultCode.IN_PROGRESS))
        self.perform(self.requests.claim_answered(self.now, handle, outcome))

    @precondition(lambda self: self.dispatches)
    @rule(from_end=st.integers(1, 3))
    def refuse(self, from_end: int) -> None:
        dispatch = self.dispatches[-from_end:][0]
        refused = Refused(dispatch.attempt, int(ResultCode.ENDPOINT_LEAVING))
        self.deliver(dispatch, refused, is_proof=True)

    @precondition(lambda self: self.dispatches)
    @rule(from_end=st.integers(1, 3), is_complete=st.booleans())
    def answer(self, from_end: int, is_complete: bool) -> None:
        dispatch = self.dispatches[-from_end:][0]
        answer = entries.make_answer(dispatch.attempt, b"body", dispatch.streamed)
        if not is_complete:
            answer = replace(answer, code=int(ResultCode.ENDPOINT_FAILED))
        elif dispatch.streamed:
            self.deliver(dispatch, Chunk(dispatch.attempt, 0, b"body"))
        self.deliver(dispatch, answer)

    @precondition(lambda self: self.dispatches)
    @rule(from_end=st.integers(1, 3), offset=st.integers(0, 3))
    def progress(self, from_end: int, offset: int) -> None:
        dispatch = self.dispatches[-from_end:][0]
        self.deliver(dispatch, Started(dispatch.attempt, 0.0))
        self.deliver(dispatch, Chunk(dispatch.attempt, offset, b"body"[offset:]))

    @precondition(lambda self: self.dispatches)
    @rule(from_end=st.integers(1, 3), outcome=st.sampled_from(RevokeOutcome))
    def revoked(self, from_end: int, outcome: RevokeOutcome) -> None:
        dispatch = self.dispatches[-from_end:][0]
        self.deliver(dispatch, Revoked(dispatch.attempt, outcome), outcome in NOT_RUN_OUTCOMES)

    @rule(agent=agent_names, event=st.sampled_from(("up", "up", "lost", "replaced")))
    def change_agent(self, agent: str, event: str) -> None:
        if event == "up":
            up = self.requests.session_opened(self.now, agent, entries.make_candidate(agent))
            self.perform(up)
        elif event == "lost":
            self.perform(self.requests.session_closed(self.now, agent))
        else:
            self.perform(self.requests.agent_replaced(self.now, agent))

    @precondition(lambda self: len(self.idempotent_by_handle) > len(self.ended))
    @rule()
    def disconnect_caller(self) -> None:
        handle = min(set(self.idempotent_by_handle) - set(self.ended))
        actions = self.requests.caller_disconnected(self.now, handle)
        if handle not in self.ended:
            self.disconnected.add(handle)
        self.perform(actions)

    @rule(seconds=st.floats(0.01, 0.5))
    def wait(self, seconds: float) -> None:
        self.advance(self.now + seconds)

    def advance(self, until: float) -> None:
        while (wakeup := self.requests.next_wakeup()) is not None and wakeup <= until:
            self.now = max(self.now, wakeup)
            self.perform(self.requests.on_timer(self.now))
        self.now = until

    @invariant()
    def retries_are_bounded(self) -> None:
        counters = self.requests.counters
        assert counters.attempts <= 1.1 * counters.submitted + RETRY_BURST

    def teardown(self) -> None:
        self.advance(self.now + 11.0)
        assert self.requests.pending == 0
        assert set(self.idempotent_by_handle) == set(self.ended) | self.disconnected


TestAgentMachine = AgentMachine.TestCase
TestAgentMachine.settings = TEST_SETTINGS
TestEntryMachine = EntryMachine.TestCase
TestEntryMachine.settings = TEST_SETTINGS
