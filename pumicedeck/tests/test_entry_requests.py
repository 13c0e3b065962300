"""Tests of the state machine of requests at the entry."""

import hashlib
from dataclasses import replace

import pytest
from result import Err, Ok

from pumicedeck.actions import (
    CallerAnswer,
    CallerRequest,
    DeliverAnswer,
    DeliverChunk,
    DeliverFailure,
    Drained,
    RecordOutcome,
    SendMessage,
    WriteClaim,
)
from pumicedeck.catalogue_entries import CatalogueEntry, Limits, RequestClass
from pumicedeck.claim_outcomes import Claimed, RecordedAnswer
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.messages import (
    Acknowledge,
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Dispatch,
    Leaving,
    Reattach,
    Refused,
    Revoke,
    Revoked,
    RevokeOutcome,
    Started,
)
from pumicedeck.request_settings import EntryRequestSettings
from pumicedeck.results import Execution, Failure, ResultCode
from pumicedeck.routers import Candidate, RoundRobinRouter
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain

DOMAIN = FailureDomain("d", "r")
CATALOGUE_ENTRY = CatalogueEntry("e", "f", RequestClass.BATCH, ("pool",), Limits(queue_seconds=5.0))


def make_candidate(agent: str) -> Candidate:
    return Candidate(agent, Endpoint(agent, "pool", EndpointKind.SERVICE), DOMAIN)


def make_entry(*agents: str, **settings: object) -> EntryRequests:
    requests = EntryRequests("entry/1", RoundRobinRouter(DOMAIN), EntryRequestSettings(**settings))
    for each in agents:
        requests.session_opened(0.0, each, make_candidate(each))
    return requests


def make_request(handle: str = "h", **changes: object) -> CallerRequest:
    template = CallerRequest(
        handle, "id-" + handle, CATALOGUE_ENTRY, "/", b"body", True, False, 10.0
    )
    return replace(template, **changes)


def sent_messages(actions: list, kind: type) -> list:
    messages = [each.message for each in actions if isinstance(each, SendMessage)]
    return [each for each in messages if isinstance(each, kind)]


def delivered_failures(actions: list) -> list[Failure]:
    return [each.failure for each in actions if isinstance(each, DeliverFailure)]


def make_answer(
    attempt: AttemptId, body: bytes, streamed: bool = False, **changes: object
) -> Answer:
    digest = hashlib.sha256(body).hexdigest()
    sent_body = b"" if streamed else body
    template = Answer(attempt, int(ResultCode.OK), 200, "text/plain", sent_body, len(body), digest)
    return replace(template, **changes)


def submit_request(requests: EntryRequests, **changes: object) -> Dispatch:
    return sent_messages(requests.submit(0.0, make_request(**changes)), Dispatch)[0]


def test_a_whole_answer_is_delivered_and_acknowledged_once() -> None:
    requests = make_entry("a/1")
    attempt = submit_request(requests).attempt
    actions = requests.message(0.1, "a/1", make_answer(attempt, b"mine"))
    assert [each.answer.body for each in actions if isinstance(each, DeliverAnswer)] == [b"mine"]
    assert sent_messages(actions, Acknowledge) == [Acknowledge(attempt)]
    late = requests.message(0.2, "a/1", make_answer(attempt, b"mine"))
    assert late == [SendMessage("a/1", Acknowledge(attempt))]
    assert requests.counters.late_dropped == 1


def test_a_message_of_another_agent_about_an_attempt_is_no_proof() -> None:
    requests = make_entry("a/1")
    attempt = submit_request(requests).attempt
    assert requests.message(0.1, "b/1", Refused(attempt, int(ResultCode.OVERLOADED))) == []
    assert requests.pending == 1


def test_a_wrong_digest_is_asked_for_again_once_and_never_delivered() -> None:
    requests = make_entry("a/1")
    attempt = submit_request(requests, idempotent=True).attempt
    wrong = replace(make_answer(attempt, b"mine"), body=b"your")
    assert sent_messages(requests.message(0.1, "a/1", wrong), Reattach)
    actions = requests.message(0.2, "a/1", wrong)
    assert not [each for each in actions if isinstance(each, DeliverAnswer)]


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_lost_incarnation_proves_nothing(idempotent: bool) -> None:
    requests = make_entry("a/1")
    if idempotent:
        submit_request(requests)
    else:
        requests.submit(0.0, make_request(idempotent=False))
        requests.claim_answered(0.0, "h", Ok(Claimed()))
    requests.session_opened(0.1, "b/1", make_candidate("b/1"))
    actions = requests.agent_replaced(0.2, "a/1")
    if idempotent:
        assert sent_messages(actions, Dispatch)[0].agent == "b/1"
        return
    assert [each.code for each in delivered_failures(actions)] == [ResultCode.OUTCOME_UNKNOWN]
    assert not sent_messages(actions, Dispatch)
    assert [each.code for each in actions if isinstance(each, RecordOutcome)] == [300]


def test_a_proof_about_the_last_attempt_says_nothing_about_the_first() -> None:
    requests = make_entry("a/1", "b/1", max_attempts=2)
    first = submit_request(requests)
    other = sent_messages(requests.agent_replaced(0.1, first.agent), Dispatch)[0]
    refused = Refused(other.attempt, int(ResultCode.OVERLOADED))
    failure = delivered_failures(requests.message(0.2, other.agent, refused))[0]
    assert failure.code is ResultCode.OUTCOME_UNKNOWN


def test_a_refusal_is_tried_elsewhere_and_then_answered_as_not_run() -> None:
    requests = make_entry("a/1", "b/1", max_attempts=2)
    first = submit_request(requests)
    refused = Refused(first.attempt, int(ResultCode.OVERLOADED), retry_after=2.0)
    second = sent_messages(requests.message(0.1, first.agent, refused), Dispatch)[0]
    assert second.agent != first.agent
    failure = delivered_failures(
        requests.message(0.2, second.agent, replace(refused, attempt=second.attempt))
    )
    assert (failure[0].execution, failure[0].retry_after) == (Execution.NOT_RUN, 2.0)


def test_retries_stay_within_their_budget() -> None:
    requests = make_entry("a/1", "b/1", retry_burst=2.0)
    for number in range(100):
        first = submit_request(requests, handle=f"h{number}")
        requests.message(0.1, first.agent, Refused(first.attempt, int(ResultCode.OVERLOADED)))
    counters = requests.counters
    assert counters.attempts <= 1.1 * counters.submitted + 2
    assert counters.retries > 0 and counters.retries_denied > 0


@pytest.mark.parametrize(
    ("outcome", "execution"),
    [
        (RevokeOutcome.NEVER_SEEN, Execution.NOT_RUN),
        (RevokeOutcome.DEQUEUED, Execution.NOT_RUN),
        (RevokeOutcome.RUNNING, Execution.MAY_HAVE_RUN),
        (None, Execution.MAY_HAVE_RUN),
    ],
)
def test_at_the_deadline_only_a_revoke_proves(outcome: RevokeOutcome | None, execution) -> None:
    requests = make_entry("a/1")
    attempt = submit_request(requests).attempt
    revoke_at = requests.next_wakeup()
    assert revoke_at < 10.0 and sent_messages(requests.on_timer(revoke_at), Revoke) == [
        Revoke(attempt, "a/1")
    ]
    actions = []
    if outcome:
        actions = requests.message(revoke_at, "a/1", Revoked(attempt, outcome))
    actions += requests.on_timer(10.0)
    assert [each.execution for each in delivered_failures(actions)] == [execution]
    assert [each.code for each in delivered_failures(actions)] == [ResultCode.DEADLINE_EXCEEDED]
    assert requests.next_wakeup() is None


def test_a_stream_resumes_by_offset_over_a_new_session() -> None:
    requests = make_entry("a/1")
    attempt = submit_request(requests, streamed=True).attempt
    requests.message(0.1, "a/1", Started(attempt, 0.0))
    requests.message(0.1, "a/1", Chunk(attempt, 0, b"abc"))
    requests.session_closed(0.2, "a/1")
    resumed = requests.session_opened(0.3, "a/1", make_candidate("a/1"))
    assert sent_messages(resumed, Reattach) == [Reattach(attempt, "a/1", 3)]
    delivered = requests.message(0.4, "a/1", Chunk(attempt, 2, b"cd"))
    assert delivered == [DeliverChunk("h", b"d")]
    end = requests.message(0.5, "a/1", make_answer(attempt, b"abcd", streamed=True))
    assert any(isinstance(each, DeliverAnswer) for each in end)


def test_a_stream_that_cannot_be_resumed_ends_in_an_error() -> None:
    requests = make_entry("a/1", "b/1")
    first = submit_request(requests, streamed=True)
    requests.message(0.1, first.agent, Chunk(first.attempt, 0, b"abc"))
    requests.session_closed(0.2, first.agent)
    actions = requests.on_timer(requests.next_wakeup())
    assert [each.code for each in delivered_failures(actions)] == [ResultCode.STREAM_BROKEN]
    assert not sent_messages(actions, Dispatch)


def test_a_gap_in_a_stream_is_asked_for_and_an_end_before_it_is_no_end() -> None:
    requests = make_entry("a/1")
    attempt = submit_request(requests, streamed=True).attempt
    assert sent_messages(requests.message(0.1, "a/1", Chunk(attempt, 5, b"x")), Reattach)
    actions = requests.message(0.2, "a/1", make_answer(attempt, b"123456", streamed=True))
    assert actions == [] and requests.pending == 1


def test_a_claim_comes_before_the_dispatch_and_its_outcome_after_the_answer() -> None:
    requests = make_entry("a/1")
    claim = requests.submit(0.0, make_request(idempotent=False))
    assert [type(each) for each in claim] == [WriteClaim]
    attempt = sent_messages(requests.claim_answered(0.1, "h", Ok(Claimed())), Dispatch)[0].attempt
    actions = requests.message(0.2, "a/1", make_answer(attempt, b"booked"))
    recorded = [each for each in actions if isinstance(each, RecordOutcome)]
    assert [(each.code, each.answer.body) for each in recorded] == [(ResultCode.OK, b"booked")]


def test_claims_that_were_found_or_not_written_are_answered_without_a_dispatch() -> None:
    requests = make_entry("a/1")
    recorded_answer = CallerAnswer(200, "text/plain", b"booked", 6, "")
    requests.submit(0.0, make_request("h1", idempotent=False))
    found = requests.claim_answered(0.1, "h1", Ok(RecordedAnswer(recorded_answer)))
    assert found == [DeliverAnswer("h1", recorded_answer)]
    requests.submit(0.0, make_request("h2", idempotent=False))
    failed = requests.claim_answered(0.1, "h2", Err(Failure(ResultCode.IN_PROGRESS)))
    assert [each.code for each in delivered_failures(failed)] == [ResultCode.IN_PROGRESS]


def test_a_claim_granted_too_late_is_released_and_never_dispatched() -> None:
    requests = make_entry("a/1", claim_seconds=1.0)
    requests.submit(0.0, make_request(idempotent=False))
    failure = delivered_failures(requests.on_timer(1.0))[0]
    assert (failure.code, failure.execution) == (ResultCode.STORE_UNAVAILABLE, Execution.NOT_RUN)
    late = requests.claim_answered(1.5, "h", Ok(Claimed()))
    assert late == [RecordOutcome("f", "id-h", int(ResultCode.CANCELLED), None)]


def test_a_caller_that_leaves_cancels_repeatable_work_and_keeps_the_outcome_of_other() -> None:
    requests = make_entry("a/1")
    attempt = submit_request(requests).attempt
    assert requests.caller_disconnected(0.1, "h") == [SendMessage("a/1", Cancel(attempt))]
    requests.submit(0.2, make_request("h2", idempotent=False))
    claimed = requests.claim_answered(0.2, "h2", Ok(Claimed()))
    attempt = sent_messages(claimed, Dispatch)[0].attempt
    assert sent_messages(requests.caller_disconnected(0.3, "h2"), Revoke) == [
        Revoke(attempt, "a/1")
    ]
    requests.message(0.4, "a/1", Revoked(attempt, RevokeOutcome.RUNNING))
    end = requests.message(0.5, "a/1", make_answer(attempt, b"booked"))
    assert [type(each) for each in end] == [SendMessage, RecordOutcome]


def test_a_leaving_agent_gets_no_new_work_and_work_waits_for_another() -> None:
    requests = make_entry("a/1")
    attempt = submit_request(requests).attempt
    requests.message(0.1, "a/1", Leaving("drain", 30.0))
    handed_back = Refused(attempt, int(ResultCode.ENDPOINT_LEAVING), retry_after=0.5)
    assert requests.message(0.2, "a/1", handed_back) == []
    requests.session_opened(0.25, "a/1", make_candidate("a/1"))
    requests.session_opened(0.25, "b/1", make_candidate("b/1"))
    assert sent_messages(requests.on_timer(requests.next_wakeup()), Dispatch)[0].agent == "b/1"
    assert requests.submit(0.4, make_request("h2")) != []


def test_a_draining_entry_serves_for_the_notice_time_and_then_finishes() -> None:
    requests = make_entry("a/1", balancer_notice_seconds=5.0)
    requests.begin_drain(0.0)
    attempt = sent_messages(requests.submit(1.0, make_request()), Dispatch)[0].attempt
    refused = delivered_failures(requests.submit(5.0, make_request("h2")))[0]
    assert refused.code is ResultCode.NOT_READY
    assert Drained() in requests.message(6.0, "a/1", make_answer(attempt, b""))


def test_the_floor_follows_the_oldest_attempt() -> None:
    requests = make_entry("a/1")
    first, second = submit_request(requests, handle="h1"), submit_request(requests, handle="h2")
    assert (first.floor, second.floor) == (1, 1)
    requests.message(0.1, "a/1", make_answer(first.attempt, b""))
    assert requests.floor == second.attempt.sequence


def test_a_new_incarnation_on_a_vm_settles_what_was_sent_to_the_former_one() -> None:
    requests = make_entry("a/1", "b/1")
    dispatches = [submit_request(requests, handle=f"h{number}") for number in range(2)]
    unanswered = next(each for each in dispatches if each.agent == "a/1")
    actions = requests.session_opened(0.1, "a/2", make_candidate("a/2"))
    assert [each.request_id for each in sent_messages(actions, Dispatch)] == [unanswered.request_id]
    assert requests.message(0.2, "a/1", make_answer(unanswered.attempt, b"")) != []
    assert requests.counters.late_dropped == 1
