"""Routes the attempts of requests to agents and handles the agents' messages about them.

A request fails as "not run" only if no attempt was sent or each attempt is proven not to have run:
the agent refused the attempt, or the agent's reply to a revoke proves that the attempt did not run.
"""

import hashlib
from collections import deque
from dataclasses import replace

from result import Err

from pumicedeck.actions import (
    Action,
    CallerAnswer,
    CallerRequest,
    DeliverAnswer,
    DeliverChunk,
    DeliverFailure,
    RecordOutcome,
    SendMessage,
)
from pumicedeck.messages import (
    Acknowledge,
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Message,
    Reattach,
    Refused,
    Revoke,
    Revoked,
    RevokeOutcome,
    Started,
)
from pumicedeck.pending_requests import PendingRequest, PendingRequests, RequestPhase
from pumicedeck.request_counters import EntryRequestCounters
from pumicedeck.request_settings import EntryRequestSettings
from pumicedeck.results import Execution, Failure, ResultCode
from pumicedeck.retry_budgets import RetryBudget
from pumicedeck.routers import Router

_NOT_RUN_OUTCOMES = (
    RevokeOutcome.NEVER_SEEN,
    RevokeOutcome.DEQUEUED,
    RevokeOutcome.ALREADY_REFUSED,
)
_NOT_RETRIED_REFUSAL_CODES = (ResultCode.RATE_LIMITED, ResultCode.BAD_REQUEST, ResultCode.TOO_LARGE)
_RETRIED_ANSWER_CODES = (
    ResultCode.ENDPOINT_FAILED,
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.ANSWER_EXPIRED,
)

AttemptMessage = Refused | Started | Chunk | Answer | Revoked


class RequestAttempts:
    """Sends attempts of pending requests to agents and handles the messages about them."""

    def __init__(
        self,
        pending: PendingRequests,
        router: Router,
        settings: EntryRequestSettings,
        counters: EntryRequestCounters,
    ) -> None:
        """Handle the requests in `pending`; `counters` are updated in place."""
        self._pending = pending
        self._router = router
        self._settings = settings
        self._counters = counters
        self._retries = RetryBudget(settings.retry_ratio, settings.retry_burst)
        self._ended_without_session: deque[tuple[str, AttemptId]] = deque(
            maxlen=settings.max_ended_without_session
        )

    def earn_retry(self) -> None:
        """Add a new request's share to the retry budget."""
        self._retries.earn()

    def route(self, now: float, pending: PendingRequest) -> list[Action]:
        """Send the request to an agent; without an agent fail a new request and delay a retry."""
        query = pending.query
        if pending.excluded:
            query = replace(query, excluded=pending.excluded)
        choice = self._router.choose(now, query)
        if isinstance(choice, Err) and pending.attempts == 0:
            return self.fail(now, pending, choice.err_value)
        if isinstance(choice, Err):
            pending.excluded = ()
            return self._wait_to_retry(now, pending, pending.last_failure or choice.err_value)
        if pending.attempts > 0 and not self._retries.spend():
            self._counters.retries_denied += 1
            return self._wait_to_retry(now, pending, pending.last_failure or _overloaded())
        return self._send(now, pending, choice.ok_value)

    def receive(self, now: float, agent: str, message: AttemptMessage) -> list[Action]:
        """Handle an agent's message about an attempt; late messages are counted and dropped."""
        pending = self._pending.find_attempt(message.attempt, agent)
        if pending is None:
            return self._handle_late_message(agent, message)
        match message:
            case Refused():
                return self._on_refused(now, pending, message)
            case Started():
                return self._on_started(pending)
            case Chunk():
                return self._on_chunk(pending, message)
            case Answer():
                return self._on_answer(now, pending, message)
            case Revoked():
                return self._on_revoked(now, pending, message.outcome)

    def fail(self, now: float, pending: PendingRequest, failure: Failure) -> list[Action]:
        """End the request with a failure that holds for all its attempts."""
        self._pending.remove(pending)
        self._counters.failed += 1
        final = pending.final_failure(failure)
        actions: list[Action] = []
        if not pending.abandoned:
            actions.append(DeliverFailure(pending.request.handle, final))
        if pending.claimed:
            actions.append(_record_outcome(pending.request, _recorded_code(final), None))
        return actions

    def detach(self, now: float, pending: PendingRequest) -> None:
        """Wait a bounded time for a new session to the same agent incarnation.

        The wait is shorter for a request that may be tried at another agent.
        """
        if pending.phase is RequestPhase.DETACHED:
            return
        wait = self._settings.reattach_seconds
        if pending.is_retryable:
            wait = self._settings.reattach_idempotent_seconds
        self._pending.enter_phase(pending, RequestPhase.DETACHED, now + wait)

    def resume(self, now: float, pending: PendingRequest) -> list[Action]:
        """Request the state of an attempt over a new session.

        An attempt that has not started is revoked if its caller has disconnected.
        """
        self._counters.reattached += 1
        if pending.abandoned and not pending.started:
            return self.revoke(pending)
        phase_end = pending.deadline
        if not pending.started:
            phase_end = max(now, pending.revoke_time(self._settings.revoke_seconds))
        self._pending.enter_phase(pending, RequestPhase.SENT, phase_end)
        return [_reattach(pending)]

    def revoke(self, pending: PendingRequest) -> list[Action]:
        """Ask the agent not to start the open attempt."""
        assert pending.attempt is not None
        self._pending.enter_phase(pending, RequestPhase.REVOKING, pending.deadline)
        return [SendMessage(pending.agent, Revoke(pending.attempt, pending.agent))]

    def abandon_attempt(self, now: float, pending: PendingRequest) -> list[Action]:
        """End the open attempt without waiting for its outcome and cancel it at the agent."""
        attempt = pending.attempt
        assert attempt is not None
        self._end_attempt(now, pending, ResultCode.CANCELLED)
        pending.may_have_run = True
        if pending.phase is RequestPhase.DETACHED:
            self._ended_without_session.append((pending.agent, attempt))
            return []
        return [SendMessage(pending.agent, Cancel(attempt))]

    def end_with_unknown_outcome(
        self, now: float, pending: PendingRequest, detail: str
    ) -> list[Action]:
        """End an attempt that may have run; only a retryable request is tried again."""
        self._counters.outcomes_unknown += 1
        if pending.attempt:
            self._ended_without_session.append((pending.agent, pending.attempt))
        self._end_attempt(now, pending, ResultCode.OUTCOME_UNKNOWN)
        pending.may_have_run = True
        failure = Failure(ResultCode.OUTCOME_UNKNOWN, detail)
        if pending.is_retryable:
            return self._retry(now, pending, failure)
        return self.fail(now, pending, failure)

    def cancel_ended_attempts(self, agent: str) -> list[Action]:
        """Cancel the attempts that were ended while there was no session to the agent."""
        return [SendMessage(agent, Cancel(attempt)) for attempt in self.drop_ended_attempts(agent)]

    def drop_ended_attempts(self, agent: str) -> list[AttemptId]:
        """Remove and return the attempts that were ended without a session to the agent."""
        ended = [each for each in self._ended_without_session if each[0] == agent]
        for agent_and_attempt in ended:
            self._ended_without_session.remove(agent_and_attempt)
        return [attempt for _, attempt in ended]

    def _send(self, now: float, pending: PendingRequest, agent: str) -> list[Action]:
        self._counters.attempts += 1
        self._counters.retries += pending.attempts > 0
        self._pending.begin_attempt(pending, agent)
        self._router.dispatched(now, agent, pending.query)
        phase_end = pending.revoke_time(self._settings.revoke_seconds)
        self._pending.enter_phase(pending, RequestPhase.SENT, phase_end)
        return [SendMessage(agent, pending.build_dispatch(now, self._pending.floor))]

    def _wait_to_retry(self, now: float, pending: PendingRequest, failure: Failure) -> list[Action]:
        """Route the request again later, or fail it after an overload or the routing deadline."""
        pending.last_failure = failure
        refused_early = failure.code is ResultCode.OVERLOADED and not pending.may_have_run
        if refused_early or now >= pending.routing_deadline:
            return self.fail(now, pending, failure)
        retry_at = now + self._settings.retry_wait_seconds
        phase_end = min(retry_at, pending.routing_deadline)
        self._pending.enter_phase(pending, RequestPhase.WAITING, phase_end)
        return []

    def _retry(self, now: float, pending: PendingRequest, failure: Failure) -> list[Action]:
        """Try another agent; fail the request if its attempts or its routing time are used up."""
        pending.last_failure = failure
        pending.excluded += (pending.agent,)
        if pending.abandoned or pending.attempts >= self._settings.max_attempts:
            return self.fail(now, pending, failure)
        if now >= pending.routing_deadline:
            return self.fail(now, pending, failure)
        return self.route(now, pending)

    def _end_attempt(self, now: float, pending: PendingRequest, code: ResultCode) -> None:
        self._pending.end_attempt(pending)
        self._router.finished(now, pending.agent, pending.query, code)

    def _handle_late_message(self, agent: str, message: Message) -> list[Action]:
        """Let the agent drop an attempt that has ended here: acknowledge or cancel it."""
        self._counters.late_dropped += 1
        match message:
            case Answer(attempt):
                return [SendMessage(agent, Acknowledge(attempt))]
            case Started(attempt):
                return [SendMessage(agent, Cancel(attempt))]
            case _:
                return []

    def _on_refused(self, now: float, pending: PendingRequest, refused: Refused) -> list[Action]:
        self._counters.refused += 1
        code = _result_code(refused.code)
        self._end_attempt(now, pending, code)
        failure = Failure(code, refused.detail, refused.retry_after or None, True)
        if failure.code in _NOT_RETRIED_REFUSAL_CODES:
            return self.fail(now, pending, failure)
        return self._retry(now, pending, failure)

    def _on_started(self, pending: PendingRequest) -> list[Action]:
        pending.started = True
        if pending.phase is RequestPhase.SENT:
            self._pending.enter_phase(pending, RequestPhase.SENT, pending.deadline)
        return []

    def _on_chunk(self, pending: PendingRequest, chunk: Chunk) -> list[Action]:
        if not pending.request.streamed or pending.phase is RequestPhase.DETACHED:
            return []
        if chunk.offset > pending.delivered:
            return self._request_missing_output(pending)
        new_bytes = pending.append(chunk.offset, chunk.data)
        if not new_bytes or pending.abandoned:
            return []
        return [DeliverChunk(pending.request.handle, new_bytes)]

    def _request_missing_output(self, pending: PendingRequest) -> list[Action]:
        """Request the stream output after the delivered bytes, once per offset."""
        if pending.resend_offset == pending.delivered:
            return []
        pending.resend_offset = pending.delivered
        return [_reattach(pending)]

    def _on_answer(self, now: float, pending: PendingRequest, answer: Answer) -> list[Action]:
        assert pending.attempt is not None
        code = _result_code(answer.code)
        if code is not ResultCode.OK:
            return self._on_failed_attempt(now, pending, code, answer.detail)
        if pending.request.streamed and answer.length > pending.delivered:
            return self._request_missing_output(pending)
        if not pending.is_complete(answer):
            return self._on_incomplete_answer(now, pending)
        acknowledge = SendMessage(pending.agent, Acknowledge(pending.attempt))
        self._end_attempt(now, pending, code)
        return [acknowledge] + self._succeed(pending, answer)

    def _succeed(self, pending: PendingRequest, answer: Answer) -> list[Action]:
        delivered_answer = pending.caller_answer(answer)
        self._pending.remove(pending)
        self._counters.answered += 1
        actions: list[Action] = []
        if not pending.abandoned:
            actions.append(DeliverAnswer(pending.request.handle, delivered_answer))
        if pending.claimed:
            recorded = pending.recorded_answer(delivered_answer)
            actions.append(_record_outcome(pending.request, ResultCode.OK, recorded))
        return actions

    def _on_incomplete_answer(self, now: float, pending: PendingRequest) -> list[Action]:
        """Request an answer that was not streamed again, once; else fail the attempt."""
        self._counters.not_whole += 1
        if not pending.resend_requested and not pending.request.streamed:
            pending.resend_requested = True
            return [_reattach(pending)]
        return self._on_failed_attempt(
            now,
            pending,
            ResultCode.OUTCOME_UNKNOWN,
            "length or digest of the answer does not match",
        )

    def _on_failed_attempt(
        self, now: float, pending: PendingRequest, code: ResultCode, detail: str
    ) -> list[Action]:
        """Acknowledge an answer that is a failure or invalid; retry or fail the request."""
        assert pending.attempt is not None
        acknowledge = SendMessage(pending.agent, Acknowledge(pending.attempt))
        self._end_attempt(now, pending, code)
        pending.may_have_run = True
        failure = Failure(code, detail)
        if pending.is_retryable and code in _RETRIED_ANSWER_CODES:
            return [acknowledge] + self._retry(now, pending, failure)
        return [acknowledge] + self.fail(now, pending, failure)

    def _on_revoked(
        self, now: float, pending: PendingRequest, outcome: RevokeOutcome
    ) -> list[Action]:
        if outcome in _NOT_RUN_OUTCOMES:
            self._counters.revoked += 1
            self._end_attempt(now, pending, ResultCode.REVOKED)
            return self._on_proven_not_run(now, pending)
        if outcome is RevokeOutcome.UNKNOWN:
            return self.end_with_unknown_outcome(
                now, pending, "the agent has no record of the attempt"
            )
        if pending.phase is RequestPhase.DETACHED:
            return []
        pending.started = True
        self._pending.enter_phase(pending, RequestPhase.SENT, pending.deadline)
        return [_reattach(pending)] if outcome is RevokeOutcome.FINISHED else []

    def _on_proven_not_run(self, now: float, pending: PendingRequest) -> list[Action]:
        """Fail or retry a request whose attempt was revoked and proven not to have run."""
        if pending.abandoned:
            return self.fail(now, pending, Failure(ResultCode.CANCELLED, "the caller disconnected"))
        if now >= pending.revoke_time(self._settings.revoke_seconds):
            failure = Failure(
                ResultCode.DEADLINE_EXCEEDED, "revoked before the deadline", None, True
            )
            return self.fail(now, pending, failure)
        return self._retry(
            now, pending, Failure(ResultCode.REVOKED, "the attempt was revoked before it ran")
        )


def _reattach(pending: PendingRequest) -> SendMessage:
    assert pending.attempt is not None
    return SendMessage(pending.agent, Reattach(pending.attempt, pending.agent, pending.delivered))


def _record_outcome(
    request: CallerRequest, code: ResultCode, answer: CallerAnswer | None
) -> Action:
    return RecordOutcome(request.entry.firm, request.request_id, int(code), answer)


def claim_digest(request: CallerRequest) -> str:
    """Return the SHA-256 of path and body, which detects reuse of an id for another request."""
    return hashlib.sha256(request.path.encode() + b"\0" + request.body).hexdigest()


def _overloaded() -> Failure:
    # Retry after 1 s.
    return Failure(ResultCode.OVERLOADED, "the retry budget is exhausted", 1.0)


def _recorded_code(failure: Failure) -> ResultCode:
    """Return REVOKED if the failure is proven not run but its own code does not say so."""
    if failure.proven_not_run and failure.code.info.execution is not Execution.NOT_RUN:
        return ResultCode.REVOKED
    return failure.code


def _result_code(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.INTERNAL_ERROR
