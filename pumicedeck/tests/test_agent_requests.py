"""Tests of the state machine of attempts at the agent."""

from dataclasses import replace

import pytest
from result import Err, Ok

from pumicedeck.actions import CancelExecution, Drained, SendMessage, StartExecution
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.attempts import ExecutionEnd
from pumicedeck.catalogue_entries import RequestClass
from pumicedeck.messages import (
    Acknowledge,
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Dispatch,
    Heartbeat,
    Leaving,
    Reattach,
    Refused,
    Revoke,
    Revoked,
    RevokeOutcome,
    Started,
)
from pumicedeck.queues import FirstInFirstOutQueue
from pumicedeck.request_settings import AgentRequestSettings
from pumicedeck.results import Failure, ResultCode

ENTRY = "entry/1"
AGENT = "agent/1"
END = ExecutionEnd(200, "text/plain")


def make_dispatch(sequence: int, **changes: object) -> Dispatch:
    template = Dispatch(
        attempt=AttemptId(ENTRY, sequence),
        agent=AGENT,
        request_id=f"r{sequence}",
        entry_name="e",
        firm="f",
        request_class=RequestClass.BATCH,
        idempotent=True,
        streamed=False,
        path="/",
        body=b"",
        budget=10.0,
        queue_budget=5.0,
        expected_tokens=1,
    )
    return replace(template, **changes)


def make_agent(slots: int = 1, **settings: object) -> AgentRequests:
    requests = AgentRequests(AGENT, FirstInFirstOutQueue(), slots, AgentRequestSettings(**settings))
    requests.session_opened(0.0, ENTRY)
    return requests


def sent_messages(actions: list, kind: type) -> list:
    messages = [each.message for each in actions if isinstance(each, SendMessage)]
    return [each for each in messages if isinstance(each, kind)]


def started_attempts(actions: list) -> list[AttemptId]:
    return [each.dispatch.attempt for each in actions if isinstance(each, StartExecution)]


def test_a_repeated_dispatch_runs_once_and_gets_the_state_again() -> None:
    requests = make_agent()
    assert started_attempts(requests.message(0.0, ENTRY, make_dispatch(1))) == [AttemptId(ENTRY, 1)]
    repeated = requests.message(0.1, ENTRY, make_dispatch(1))
    assert started_attempts(repeated) == [] and sent_messages(repeated, Started)
    requests.execution_chunk(0.2, AttemptId(ENTRY, 1), b"whole")
    requests.execution_finished(0.3, AttemptId(ENTRY, 1), Ok(END))
    assert sent_messages(requests.message(0.4, ENTRY, make_dispatch(1)), Answer)[0].body == b"whole"
    requests.message(0.5, ENTRY, Acknowledge(AttemptId(ENTRY, 1)))
    repeated_later = requests.message(0.6, ENTRY, make_dispatch(1))
    assert started_attempts(repeated_later) == []
    assert sent_messages(repeated_later, Answer)[0].code == ResultCode.ANSWER_EXPIRED


@pytest.mark.parametrize(
    "revoke_or_cancel", [Revoke(AttemptId(ENTRY, 3), AGENT), Cancel(AttemptId(ENTRY, 3))]
)
def test_what_was_revoked_unseen_never_runs_also_after_the_tombstone_is_forgotten(
    revoke_or_cancel,
) -> None:
    requests = make_agent(tombstone_seconds=1.0)
    requests.message(0.0, ENTRY, revoke_or_cancel)
    assert started_attempts(requests.message(0.5, ENTRY, make_dispatch(3))) == []
    requests.message(5.0, ENTRY, Revoke(AttemptId(ENTRY, 9), AGENT))
    late = requests.message(5.1, ENTRY, make_dispatch(3))
    assert started_attempts(late) == []
    assert sent_messages(late, Revoked)[0].outcome is RevokeOutcome.UNKNOWN
    assert started_attempts(requests.message(5.2, ENTRY, make_dispatch(4))) == [AttemptId(ENTRY, 4)]


def test_revoke_tells_queued_running_finished_and_refused_apart() -> None:
    requests = make_agent()
    requests.message(0.0, ENTRY, make_dispatch(1))
    requests.message(0.0, ENTRY, make_dispatch(2))
    requests.message(0.0, ENTRY, make_dispatch(3, agent="agent/0"))
    requests.message(0.0, ENTRY, make_dispatch(4, queue_budget=1.0))
    requests.on_timer(1.0)

    def outcome(sequence: int) -> RevokeOutcome:
        revoke = Revoke(AttemptId(ENTRY, sequence), AGENT)
        return sent_messages(requests.message(2.0, ENTRY, revoke), Revoked)[0].outcome

    assert outcome(1) is RevokeOutcome.RUNNING
    assert outcome(2) is RevokeOutcome.DEQUEUED
    assert outcome(4) is RevokeOutcome.ALREADY_REFUSED
    requests.execution_finished(2.0, AttemptId(ENTRY, 1), Ok(END))
    assert outcome(1) is RevokeOutcome.FINISHED


def test_queue_time_counts_from_arrival_on_the_agents_clock() -> None:
    requests = make_agent()
    requests.message(100.0, ENTRY, make_dispatch(1))
    requests.message(100.0, ENTRY, make_dispatch(2, queue_budget=3.0))
    assert requests.next_wakeup() == 103.0
    refused = sent_messages(requests.on_timer(103.0), Refused)
    assert [each.code for each in refused] == [ResultCode.QUEUE_TIMEOUT]


def test_a_stream_is_taken_up_at_the_offset_asked_for_and_not_sent_while_detached() -> None:
    requests = make_agent()
    attempt = AttemptId(ENTRY, 1)
    requests.message(0.0, ENTRY, make_dispatch(1, streamed=True))
    assert sent_messages(requests.execution_chunk(0.1, attempt, b"abc"), Chunk) == [
        Chunk(attempt, 0, b"abc")
    ]
    requests.session_closed(0.2, ENTRY)
    assert requests.execution_chunk(0.3, attempt, b"def") == []
    assert requests.execution_finished(0.4, attempt, Ok(END)) == []
    requests.session_opened(0.5, ENTRY)
    actions = requests.message(0.6, ENTRY, Reattach(attempt, AGENT, 2))
    assert sent_messages(actions, Chunk) == [Chunk(attempt, 2, b"cdef")]
    assert sent_messages(actions, Answer)[0].length == 6


def test_kept_answers_are_bounded_in_bytes_and_time() -> None:
    requests = make_agent(answer_retention_bytes=10, answer_retention_seconds=5.0)
    for sequence in (1, 2):
        requests.message(0.0, ENTRY, make_dispatch(sequence))
        requests.execution_chunk(0.0, AttemptId(ENTRY, sequence), b"12345678")
        requests.execution_finished(0.0, AttemptId(ENTRY, sequence), Ok(END))

    def code(now: float, sequence: int) -> int:
        reattach = Reattach(AttemptId(ENTRY, sequence), AGENT, 0)
        return sent_messages(requests.message(now, ENTRY, reattach), Answer)[0].code

    assert (code(0.1, 1), code(0.1, 2)) == (ResultCode.ANSWER_EXPIRED, ResultCode.OK)
    requests.on_timer(5.0)
    assert code(5.1, 2) == ResultCode.ANSWER_EXPIRED


@pytest.mark.parametrize(
    ("streamed", "offset", "body"), [(False, 1, b"aXY"), (True, 1, b""), (False, 9, b"")]
)
def test_an_answer_that_begins_again_is_never_mixed(streamed: bool, offset: int, body) -> None:
    requests = make_agent()
    attempt = AttemptId(ENTRY, 1)
    requests.message(0.0, ENTRY, make_dispatch(1, streamed=streamed))
    requests.execution_chunk(0.1, attempt, b"abc", 1, 0)
    actions = requests.execution_chunk(0.2, attempt, b"XY", 1, offset)
    actions += requests.execution_finished(0.3, attempt, Ok(END))
    code = ResultCode.OK if body else ResultCode.ENDPOINT_FAILED
    assert [(each.code, each.body) for each in sent_messages(actions, Answer)] == [(code, body)]


def test_a_floor_settles_what_is_below_it() -> None:
    requests = make_agent()
    requests.message(0.0, ENTRY, make_dispatch(2))
    actions = requests.message(0.1, ENTRY, Heartbeat(1, 1, floor=5))
    assert CancelExecution(AttemptId(ENTRY, 2)) in actions
    assert started_attempts(requests.message(0.2, ENTRY, make_dispatch(3))) == []


def test_only_a_failure_before_the_first_byte_is_a_refusal() -> None:
    requests = make_agent(slots=3)
    unreachable = Failure(ResultCode.ENDPOINT_UNREACHABLE)
    for sequence in (1, 2, 3):
        requests.message(0.0, ENTRY, make_dispatch(sequence))
    assert sent_messages(
        requests.execution_finished(0.1, AttemptId(ENTRY, 1), Err(unreachable)), Refused
    )
    requests.execution_chunk(0.1, AttemptId(ENTRY, 2), b"x")
    after_output = requests.execution_finished(0.1, AttemptId(ENTRY, 2), Err(unreachable))
    assert sent_messages(after_output, Answer)[0].code == ResultCode.ENDPOINT_FAILED
    cancelled = Err(Failure(ResultCode.CANCELLED))
    ended = requests.execution_finished(0.1, AttemptId(ENTRY, 3), cancelled)
    assert sent_messages(ended, Answer)[0].code == ResultCode.ENDPOINT_FAILED


def test_a_drain_hands_back_what_waits_and_finishes_what_runs() -> None:
    requests = make_agent()
    requests.message(0.0, ENTRY, make_dispatch(1))
    requests.message(0.0, ENTRY, make_dispatch(2))
    actions = requests.begin_drain(1.0, 30.0)
    assert sent_messages(actions, Leaving) == [Leaving("draining", 30.0)]
    refused_codes = [each.code for each in sent_messages(actions, Refused)]
    new_refusals = sent_messages(requests.message(1.1, ENTRY, make_dispatch(3)), Refused)
    assert refused_codes == [each.code for each in new_refusals] == [ResultCode.ENDPOINT_LEAVING]
    assert not requests.load().accepting
    requests.execution_finished(2.0, AttemptId(ENTRY, 1), Ok(END))
    acknowledged = requests.message(2.1, ENTRY, Acknowledge(AttemptId(ENTRY, 1)))
    late_dispatch = requests.message(3.9, ENTRY, make_dispatch(4))
    assert Drained() not in acknowledged + late_dispatch and sent_messages(late_dispatch, Refused)
    assert requests.next_wakeup() == 4.0 and requests.on_timer(4.0) == [Drained()]


def test_the_end_of_the_grace_period_is_an_explicit_failure() -> None:
    requests = make_agent()
    requests.message(0.0, ENTRY, make_dispatch(1, budget=100.0))
    requests.begin_drain(1.0, 5.0)
    actions = requests.on_timer(6.0)
    assert CancelExecution(AttemptId(ENTRY, 1)) in actions
    assert sent_messages(actions, Answer)[0].code == ResultCode.ENDPOINT_FAILED
    assert Drained() in requests.on_timer(requests.next_wakeup())


def test_an_entry_that_stays_away_loses_queued_and_repeatable_work_only() -> None:
    requests = make_agent(slots=2, absent_entry_seconds=5.0)
    requests.message(0.0, ENTRY, make_dispatch(1, idempotent=False, budget=100.0))
    requests.message(0.0, ENTRY, make_dispatch(2, budget=100.0))
    requests.message(0.0, ENTRY, make_dispatch(3, budget=100.0, queue_budget=100.0))
    requests.session_closed(0.0, ENTRY)
    assert requests.on_timer(5.0) == [CancelExecution(AttemptId(ENTRY, 2))]
    assert len(sent_messages(requests.message(6.0, ENTRY, make_dispatch(3)), Refused)) == 1


def test_an_execution_that_ignores_its_cancellation_frees_its_slot() -> None:
    requests = make_agent(cancel_seconds=2.0)
    requests.message(0.0, ENTRY, make_dispatch(1))
    requests.message(0.0, ENTRY, Cancel(AttemptId(ENTRY, 1)))
    requests.message(0.0, ENTRY, make_dispatch(2))
    assert started_attempts(requests.on_timer(2.0)) == [AttemptId(ENTRY, 2)]
