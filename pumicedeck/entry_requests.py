"""The life of a request at the entry, free of I/O.

A request gets exactly one final answer. "Not run" is answered only if every attempt is proven not
to have run: nothing was sent, the agent refused, or the agent answered a revoke.
"""

import hashlib
from collections import OrderedDict, deque
from dataclasses import replace

from result import Err

from pumicedeck.actions import (
    Action,
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
from pumicedeck.claim_outcomes import ClaimOutcome, RecordedAnswer
from pumicedeck.messages import (
    Acknowledge,
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Heartbeat,
    Leaving,
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
from pumicedeck.routers import Candidate, RouteQuery, Router
from pumicedeck.world import Incarnation

_PROOFS = (RevokeOutcome.NEVER_SEEN, RevokeOutcome.DEQUEUED, RevokeOutcome.ALREADY_REFUSED)
_FINAL_REFUSALS = (ResultCode.RATE_LIMITED, ResultCode.BAD_REQUEST, ResultCode.TOO_LARGE)
_RETRIED_ANSWERS = (
    ResultCode.ENDPOINT_FAILED,
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.ANSWER_EXPIRED,
)


class EntryRequests:
    """Every method takes monotonic seconds and an event and returns actions."""

    def __init__(
        self,
        incarnation: Incarnation | str,
        router: Router,
        settings: EntryRequestSettings | None = None,
    ) -> None:
        """Dispatch to the agents that `router` chooses."""
        self._incarnation = str(incarnation)
        self._router = router
        self._settings = settings or EntryRequestSettings()
        self._pending = PendingRequests(self._incarnation)
        self._retries = RetryBudget(self._settings.retry_ratio, self._settings.retry_burst)
        self._late_claims: OrderedDict[str, CallerRequest] = OrderedDict()
        self._orphans: deque[tuple[str, AttemptId]] = deque(maxlen=self._settings.max_orphans)
        self._leaving: set[str] = set()
        self._counters = EntryRequestCounters()
        self._closed_at: float | None = None
        self._drained = False

    @property
    def counters(self) -> EntryRequestCounters:
        """Return a copy of the counts."""
        return replace(self._counters)

    @property
    def pending(self) -> int:
        """Return how many requests have no final answer."""
        return len(self._pending)

    @property
    def floor(self) -> int:
        """Return the lowest sequence that is not settled; heartbeats carry it to agents."""
        return self._pending.floor

    def next_wakeup(self) -> float | None:
        """Return the next second at which `on_time` is wanted."""
        due = self._pending.next_due()
        if self._closed_at is None or self._drained:
            return due
        return self._closed_at if due is None else min(due, self._closed_at)

    def submit(self, now: float, request: CallerRequest) -> list[Action]:
        """Take in a checked request."""
        self._counters.submitted += 1
        if self._closed_at is not None and now >= self._closed_at:
            failure = Failure(ResultCode.NOT_READY, "the entry is leaving", 0.0)
            return [DeliverFailure(request.handle, failure)]
        if len(self._pending) >= self._settings.max_pending:
            retry_after = self._settings.overload_retry_seconds
            failure = Failure(ResultCode.OVERLOADED, "too many pending requests", retry_after)
            return [DeliverFailure(request.handle, failure)]
        self._retries.earn()
        pending = self._admit(now, request)
        if request.idempotent:
            return self._route(now, pending)
        self._counters.claims += 1
        self._pending.enter(pending, RequestPhase.CLAIMING, now + self._settings.claim_seconds)
        return [self._claim(request)]

    def caller_gone(self, now: float, handle: str) -> list[Action]:
        """Give up what nobody waits for; the outcome of a claimed request is still recorded."""
        pending = self._pending.find(handle)
        if pending is None or pending.abandoned:
            return []
        self._counters.callers_gone += 1
        pending.abandoned = True
        if pending.phase is RequestPhase.CLAIMING:
            self._late_claims[handle] = pending.request
        if pending.attempt is None:
            return self._fail(now, pending, Failure(ResultCode.CANCELLED, "caller left"))
        if pending.claimed:
            is_settled = pending.started or pending.phase is RequestPhase.DETACHED
            return [] if is_settled else self._revoke(pending)
        actions = self._give_up(now, pending)
        return actions + self._fail(now, pending, Failure(ResultCode.CANCELLED, "caller left"))

    def claim_answered(self, now: float, handle: str, outcome: ClaimOutcome) -> list[Action]:
        """Dispatch a claimed request, or answer from what the claim row says."""
        late = self._late_claims.pop(handle, None)
        if late:
            return self._release(late, outcome)
        pending = self._pending.find(handle)
        if pending is None or pending.phase is not RequestPhase.CLAIMING:
            return []
        if isinstance(outcome, Err):
            return self._fail(now, pending, outcome.err_value)
        if isinstance(outcome.ok_value, RecordedAnswer):
            self._pending.remove(pending)
            self._counters.answered += 1
            return [DeliverAnswer(handle, outcome.ok_value.answer)] + self._check_drained(now)
        pending.claimed = True
        return self._route(now, pending)

    def session_up(
        self, now: float, agent: str, candidate: Candidate | None = None
    ) -> list[Action]:
        """Take an agent into the choice and settle what was outstanding there."""
        if candidate and agent not in self._leaving:
            self._router.add(now, candidate)
        actions: list[Action] = []
        for pending in self._pending.at_agent(agent):
            actions += self._resume(now, pending)
        for orphan in [each for each in self._orphans if each[0] == agent]:
            self._orphans.remove(orphan)
            actions.append(SendMessage(agent, Cancel(orphan[1])))
        return actions

    def session_lost(self, now: float, agent: str) -> list[Action]:
        """Wait a bounded time for a new session to the same incarnation."""
        self._router.remove(now, agent)
        for pending in self._pending.at_agent(agent):
            if pending.phase is RequestPhase.DETACHED:
                continue
            wait = self._settings.reattach_seconds
            if pending.is_repeatable:
                wait = self._settings.reattach_idempotent_seconds
            self._pending.enter(pending, RequestPhase.DETACHED, now + wait)
        return []

    def agent_replaced(self, now: float, agent: str) -> list[Action]:
        """Settle what was outstanding at an incarnation that is gone for good."""
        self._router.remove(now, agent)
        self._leaving.discard(agent)
        actions: list[Action] = []
        for pending in self._pending.at_agent(agent):
            actions += self._outcome_unknown(now, pending, "the agent is gone")
        for orphan in [each for each in self._orphans if each[0] == agent]:
            self._orphans.remove(orphan)
        return actions

    def message(self, now: float, agent: str, message: Message) -> list[Action]:
        """Handle a message from an agent incarnation."""
        match message:
            case Heartbeat():
                return self._heartbeat(now, agent, message)
            case Leaving():
                return self._agent_leaving(now, agent)
            case Refused() | Started() | Chunk() | Answer() | Revoked():
                return self._attempt_message(now, agent, message)
            case _:
                return []

    def begin_drain(self, now: float) -> list[Action]:
        """Refuse new requests after the balancer's notice time and finish those in flight."""
        if self._closed_at is None:
            self._closed_at = now + self._settings.notice_seconds
        return self._check_drained(now)

    def on_time(self, now: float) -> list[Action]:
        """Do what is due."""
        actions: list[Action] = []
        for pending in self._pending.pop_due(now):
            actions += self._due(now, pending)
        return actions + self._check_drained(now)

    def _admit(self, now: float, request: CallerRequest) -> PendingRequest:
        limits = request.entry.limits
        pending = PendingRequest(
            request=request,
            query=RouteQuery(request.entry, request.expected_tokens, request.prefix),
            deadline=now + min(request.budget, limits.deadline_seconds),
            queue_due=now + limits.queue_seconds,
        )
        self._pending.add(pending)
        return pending

    def _claim(self, request: CallerRequest) -> WriteClaim:
        return WriteClaim(
            request.handle,
            request.entry.firm,
            request.request_id,
            claim_digest(request),
        )

    def _release(self, request: CallerRequest, outcome: ClaimOutcome) -> list[Action]:
        if isinstance(outcome, Err) or isinstance(outcome.ok_value, RecordedAnswer):
            return []
        code = int(ResultCode.CANCELLED)
        return [RecordOutcome(request.entry.firm, request.request_id, code, None)]

    def _route(self, now: float, pending: PendingRequest) -> list[Action]:
        query = replace(pending.query, excluded=pending.excluded)
        choice = self._router.choose(now, query)
        if isinstance(choice, Err) and pending.attempts == 0:
            return self._fail(now, pending, choice.err_value)
        if isinstance(choice, Err):
            pending.excluded = ()
            return self._wait(now, pending, pending.last_failure or choice.err_value)
        if pending.attempts > 0 and not self._retries.spend():
            self._counters.retries_denied += 1
            return self._wait(now, pending, pending.last_failure or _overloaded())
        return self._send(now, pending, choice.ok_value)

    def _send(self, now: float, pending: PendingRequest, agent: str) -> list[Action]:
        self._counters.attempts += 1
        self._counters.retries += pending.attempts > 0
        self._pending.begin_attempt(pending, agent)
        self._router.dispatched(now, agent, pending.query)
        self._pending.enter(
            pending, RequestPhase.SENT, pending.revoke_due(self._settings.revoke_seconds)
        )
        return [SendMessage(agent, pending.dispatch(now, self.floor))]

    def _wait(self, now: float, pending: PendingRequest, failure: Failure) -> list[Action]:
        pending.last_failure = failure
        if now >= pending.last_route_due:
            return self._fail(now, pending, failure)
        retry_at = now + self._settings.retry_wait_seconds
        due = min(retry_at, pending.queue_due, pending.deadline)
        self._pending.enter(pending, RequestPhase.WAITING, due)
        return []

    def _retry(self, now: float, pending: PendingRequest, failure: Failure) -> list[Action]:
        pending.last_failure = failure
        pending.excluded += (pending.agent,)
        if pending.abandoned or pending.attempts >= self._settings.max_attempts:
            return self._fail(now, pending, failure)
        if now >= pending.last_route_due:
            return self._fail(now, pending, failure)
        return self._route(now, pending)

    def _fail(self, now: float, pending: PendingRequest, failure: Failure) -> list[Action]:
        self._pending.remove(pending)
        self._counters.failed += 1
        final = pending.final_failure(failure)
        actions: list[Action] = []
        if not pending.abandoned:
            actions.append(DeliverFailure(pending.request.handle, final))
        if pending.claimed:
            actions.append(self._record(pending, _recorded_code(final), None))
        return actions + self._check_drained(now)

    def _record(
        self, pending: PendingRequest, code: ResultCode, answer: CallerAnswer | None
    ) -> RecordOutcome:
        request = pending.request
        return RecordOutcome(request.entry.firm, request.request_id, int(code), answer)

    def _end_attempt(self, now: float, pending: PendingRequest, code: ResultCode) -> None:
        self._pending.end_attempt(pending)
        self._router.finished(now, pending.agent, pending.query, code)

    def _attempt_message(
        self, now: float, agent: str, message: Refused | Started | Chunk | Answer | Revoked
    ) -> list[Action]:
        pending = self._pending.find_attempt(message.attempt, agent)
        if pending is None:
            return self._late(agent, message)
        match message:
            case Refused():
                return self._refused(now, pending, message)
            case Started():
                return self._started(pending)
            case Chunk():
                return self._chunk(pending, message)
            case Answer():
                return self._answer(now, pending, message)
            case Revoked():
                return self._revoked(now, pending, message.outcome)

    def _late(self, agent: str, message: Message) -> list[Action]:
        self._counters.late_dropped += 1
        match message:
            case Answer(attempt):
                return [SendMessage(agent, Acknowledge(attempt))]
            case Started(attempt):
                return [SendMessage(agent, Cancel(attempt))]
            case _:
                return []

    def _refused(self, now: float, pending: PendingRequest, refused: Refused) -> list[Action]:
        self._counters.refused += 1
        code = _result_code(refused.code)
        self._end_attempt(now, pending, code)
        failure = Failure(code, refused.detail, refused.retry_after or None, True)
        return self._not_run(now, pending, failure)

    def _not_run(self, now: float, pending: PendingRequest, failure: Failure) -> list[Action]:
        if failure.code in _FINAL_REFUSALS:
            return self._fail(now, pending, failure)
        return self._retry(now, pending, failure)

    def _started(self, pending: PendingRequest) -> list[Action]:
        pending.started = True
        if pending.phase is not RequestPhase.SENT:
            return []
        self._pending.enter(pending, RequestPhase.SENT, pending.deadline)
        return []

    def _chunk(self, pending: PendingRequest, chunk: Chunk) -> list[Action]:
        if not pending.request.streamed or pending.phase is RequestPhase.DETACHED:
            return []
        if chunk.offset > pending.delivered:
            return self._fill_gap(pending)
        fresh = pending.append(chunk.offset, chunk.data)
        if not fresh or pending.abandoned:
            return []
        return [DeliverChunk(pending.request.handle, fresh)]

    def _fill_gap(self, pending: PendingRequest) -> list[Action]:
        if pending.gap_at == pending.delivered:
            return []
        pending.gap_at = pending.delivered
        return [self._reattach(pending)]

    def _answer(self, now: float, pending: PendingRequest, answer: Answer) -> list[Action]:
        assert pending.attempt is not None
        code = _result_code(answer.code)
        if code is not ResultCode.OK:
            return self._failed(now, pending, code, answer.detail)
        if pending.request.streamed and answer.length > pending.delivered:
            return self._fill_gap(pending)
        if not pending.is_whole(answer):
            return self._not_whole(now, pending)
        acknowledge = SendMessage(pending.agent, Acknowledge(pending.attempt))
        self._end_attempt(now, pending, code)
        return [acknowledge] + self._succeed(now, pending, answer)

    def _succeed(self, now: float, pending: PendingRequest, answer: Answer) -> list[Action]:
        whole = pending.caller_answer(answer)
        self._pending.remove(pending)
        self._counters.answered += 1
        actions: list[Action] = []
        if not pending.abandoned:
            actions.append(DeliverAnswer(pending.request.handle, whole))
        if pending.claimed:
            actions.append(self._record(pending, ResultCode.OK, whole))
        return actions + self._check_drained(now)

    def _not_whole(self, now: float, pending: PendingRequest) -> list[Action]:
        self._counters.not_whole += 1
        if not pending.asked_again and not pending.request.streamed:
            pending.asked_again = True
            return [self._reattach(pending)]
        return self._failed(now, pending, ResultCode.OUTCOME_UNKNOWN, "length or digest differ")

    def _failed(
        self, now: float, pending: PendingRequest, code: ResultCode, detail: str
    ) -> list[Action]:
        assert pending.attempt is not None
        acknowledge = SendMessage(pending.agent, Acknowledge(pending.attempt))
        self._end_attempt(now, pending, code)
        pending.may_have_run = True
        failure = Failure(code, detail)
        if pending.is_repeatable and code in _RETRIED_ANSWERS:
            return [acknowledge] + self._retry(now, pending, failure)
        return [acknowledge] + self._fail(now, pending, failure)

    def _revoked(self, now: float, pending: PendingRequest, outcome: RevokeOutcome) -> list[Action]:
        if outcome in _PROOFS:
            self._counters.revoked += 1
            self._end_attempt(now, pending, ResultCode.REVOKED)
            return self._proven(now, pending)
        if outcome is RevokeOutcome.UNKNOWN:
            return self._outcome_unknown(now, pending, "the agent forgot the attempt")
        if pending.phase is RequestPhase.DETACHED:
            return []
        pending.started = True
        self._pending.enter(pending, RequestPhase.SENT, pending.deadline)
        if outcome is RevokeOutcome.FINISHED:
            return [self._reattach(pending)]
        return []

    def _proven(self, now: float, pending: PendingRequest) -> list[Action]:
        if pending.abandoned:
            return self._fail(now, pending, Failure(ResultCode.CANCELLED, "caller left"))
        if now >= pending.revoke_due(self._settings.revoke_seconds):
            failure = Failure(ResultCode.DEADLINE_EXCEEDED, "revoked", None, True)
            return self._fail(now, pending, failure)
        return self._retry(now, pending, Failure(ResultCode.REVOKED, "not seen by the agent"))

    def _outcome_unknown(self, now: float, pending: PendingRequest, detail: str) -> list[Action]:
        self._counters.outcomes_unknown += 1
        if pending.attempt:
            self._orphans.append((pending.agent, pending.attempt))
        self._end_attempt(now, pending, ResultCode.OUTCOME_UNKNOWN)
        pending.may_have_run = True
        failure = Failure(ResultCode.OUTCOME_UNKNOWN, detail)
        if pending.is_repeatable:
            return self._retry(now, pending, failure)
        return self._fail(now, pending, failure)

    def _heartbeat(self, now: float, agent: str, heartbeat: Heartbeat) -> list[Action]:
        if heartbeat.load is None:
            return []
        self._router.reported(now, agent, heartbeat.load)
        if not heartbeat.load.accepting:
            return self._agent_leaving(now, agent)
        return []

    def _agent_leaving(self, now: float, agent: str) -> list[Action]:
        self._leaving.add(agent)
        self._router.remove(now, agent)
        return []

    def _resume(self, now: float, pending: PendingRequest) -> list[Action]:
        self._counters.reattached += 1
        if pending.abandoned and not pending.started:
            return self._revoke(pending)
        due = pending.revoke_due(self._settings.revoke_seconds)
        self._pending.enter(
            pending, RequestPhase.SENT, pending.deadline if pending.started else max(now, due)
        )
        return [self._reattach(pending)]

    def _reattach(self, pending: PendingRequest) -> SendMessage:
        assert pending.attempt is not None
        message = Reattach(pending.attempt, pending.agent, pending.delivered)
        return SendMessage(pending.agent, message)

    def _revoke(self, pending: PendingRequest) -> list[Action]:
        assert pending.attempt is not None
        self._pending.enter(pending, RequestPhase.REVOKING, pending.deadline)
        return [SendMessage(pending.agent, Revoke(pending.attempt, pending.agent))]

    def _give_up(self, now: float, pending: PendingRequest) -> list[Action]:
        attempt = pending.attempt
        assert attempt is not None
        self._end_attempt(now, pending, ResultCode.CANCELLED)
        pending.may_have_run = True
        if pending.phase is RequestPhase.DETACHED:
            self._orphans.append((pending.agent, attempt))
            return []
        return [SendMessage(pending.agent, Cancel(attempt))]

    def _due(self, now: float, pending: PendingRequest) -> list[Action]:
        if now >= pending.deadline:
            return self._deadline_passed(now, pending)
        match pending.phase:
            case RequestPhase.CLAIMING:
                self._late_claims[pending.request.handle] = pending.request
                failure = Failure(ResultCode.STORE_UNAVAILABLE, "no reply to the claim", 1.0)
                return self._fail(now, pending, failure)
            case RequestPhase.WAITING:
                if now >= pending.queue_due:
                    return self._fail(now, pending, pending.last_failure or _overloaded())
                return self._route(now, pending)
            case RequestPhase.SENT:
                return self._revoke(pending)
            case RequestPhase.DETACHED:
                return self._outcome_unknown(now, pending, "the session did not come back")
            case RequestPhase.REVOKING:
                return []

    def _deadline_passed(self, now: float, pending: PendingRequest) -> list[Action]:
        failure = Failure(ResultCode.DEADLINE_EXCEEDED, "time budget used up")
        if pending.attempt is None:
            if pending.phase is RequestPhase.CLAIMING:
                self._late_claims[pending.request.handle] = pending.request
            proven = not pending.may_have_run
            return self._fail(now, pending, replace(failure, proven_not_run=proven))
        return self._give_up(now, pending) + self._fail(now, pending, failure)

    def _check_drained(self, now: float) -> list[Action]:
        if self._drained or self._closed_at is None or now < self._closed_at or self._pending:
            return []
        self._drained = True
        return [Drained()]


def claim_digest(request: CallerRequest) -> str:
    """Return the digest that tells one body under a request id from another."""
    return hashlib.sha256(request.path.encode() + b"\0" + request.body).hexdigest()


def _overloaded() -> Failure:
    return Failure(ResultCode.OVERLOADED, "the retry budget is used up", 1.0)


def _recorded_code(failure: Failure) -> ResultCode:
    if failure.proven_not_run and failure.code.info.execution is not Execution.NOT_RUN:
        return ResultCode.REVOKED
    return failure.code


def _result_code(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.INTERNAL_ERROR
