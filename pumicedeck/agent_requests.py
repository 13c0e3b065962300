"""The life of an attempt at the agent, free of I/O.

An attempt is taken as new at most once. Everything that the agent says about one that it refused,
revoked or forgot is final: see `tombstones`.
"""

from dataclasses import replace

from result import Err, Ok, Result

from pumicedeck.actions import Action, CancelExecution, Drained, SendMessage, StartExecution
from pumicedeck.attempts import Attempt, AttemptPhase, ExecutionEnd
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.deadlines import Deadlines
from pumicedeck.kept_answers import KeptAnswers
from pumicedeck.messages import (
    Acknowledge,
    AttemptId,
    Cancel,
    Dispatch,
    Heartbeat,
    Leaving,
    LoadReport,
    Message,
    Reattach,
    Refused,
    Revoke,
    Revoked,
    RevokeOutcome,
    Started,
)
from pumicedeck.queues import DispatchQueue
from pumicedeck.request_counters import AgentRequestCounters
from pumicedeck.request_settings import AgentRequestSettings
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tombstones import Tombstone, Tombstones, Verdict
from pumicedeck.world import Incarnation

_NOTICE = "end of notice"
_DRAIN = "end of grace"


class AgentRequests:
    """Every method takes monotonic seconds and an event and returns actions."""

    def __init__(
        self,
        incarnation: Incarnation | str,
        queue: DispatchQueue,
        slots: int,
        settings: AgentRequestSettings | None = None,
    ) -> None:
        """Serve one endpoint that runs `slots` requests at once."""
        self._incarnation = str(incarnation)
        self._queue = queue
        self._slots = slots
        self._settings = settings or AgentRequestSettings()
        self._attempts: dict[AttemptId, Attempt] = {}
        self._running = 0
        self._running_tokens = 0
        self._tombstones = Tombstones(
            self._settings.tombstone_seconds,
            self._settings.max_tombstones,
            self._settings.max_entry_incarnations,
        )
        self._kept = KeptAnswers(
            self._settings.answer_retention_bytes, self._settings.answer_retention_seconds
        )
        self._sessions: set[str] = set()
        self._deadlines: Deadlines[AttemptId | str] = Deadlines()
        self._counters = AgentRequestCounters()
        self._leaving: Leaving | None = None
        self._leave_at = 0.0
        self._drained = False

    @property
    def counters(self) -> AgentRequestCounters:
        """Return a copy of the counts."""
        return replace(self._counters)

    @property
    def draining(self) -> bool:
        """Return whether new work is refused."""
        return self._leaving is not None

    def load(self) -> LoadReport:
        """Return the load that entries should know."""
        return LoadReport(
            queued=len(self._queue),
            running=self._running,
            slots=self._slots,
            queued_tokens=self._queue.queued_tokens,
            running_tokens=self._running_tokens,
            service_rate=self._queue.service_rate,
            accepting=not self.draining,
            interactive_tokens=self._queue.interactive_tokens,
        )

    def next_wakeup(self) -> float | None:
        """Return the next second at which `on_time` is wanted."""
        dues = (self._deadlines.next_due(), self._kept.next_due())
        return min((due for due in dues if due is not None), default=None)

    def session_opened(self, now: float, entry: str) -> list[Action]:
        """Take note of a session; a draining agent says so at once."""
        self._sessions.add(entry)
        self._deadlines.remove(entry)
        if self._leaving:
            return [SendMessage(entry, self._leaving)]
        return []

    def session_closed(self, now: float, entry: str) -> list[Action]:
        """Stop sending to `entry` until it reattaches."""
        self._sessions.discard(entry)
        for held in self._attempts.values():
            if held.dispatch.attempt.entry == entry:
                held.attached = False
        self._deadlines.set(entry, now + self._settings.orphan_seconds)
        return []

    def message(self, now: float, entry: str, message: Message) -> list[Action]:
        """Handle a message from an entry incarnation."""
        match message:
            case Dispatch():
                actions = self._dispatch(now, entry, message)
            case Revoke():
                actions = self._revoke(now, entry, message)
            case Reattach():
                actions = self._reattach(now, entry, message)
            case Cancel(attempt):
                actions = self._cancel(now, attempt)
            case Acknowledge(attempt):
                actions = self._acknowledge(now, attempt)
            case Heartbeat():
                actions = self._cancel_settled(now, entry, message.floor)
            case _:
                actions = []
        return actions + self._advance(now)

    def execution_chunk(
        self, now: float, attempt: AttemptId, data: bytes, tokens: int = 0, offset: int = -1
    ) -> list[Action]:
        """Take in bytes that the endpoint produced.

        An `offset` below what came before says that the endpoint began again from there.
        """
        held = self._attempts.get(attempt)
        if held is None or held.phase is not AttemptPhase.RUNNING or held.cancelled:
            return []
        if 0 <= offset < len(held.output):
            if held.dispatch.streamed:
                return self._stop(now, attempt, ResultCode.ENDPOINT_FAILED, "the stream restarted")
            held.rewind(offset)
        if offset > len(held.output):
            return self._stop(now, attempt, ResultCode.ENDPOINT_FAILED, "the answer has a gap")
        if len(held.output) + len(data) > self._settings.max_answer_bytes:
            return self._stop(now, attempt, ResultCode.ENDPOINT_FAILED, "the answer is too large")
        chunk = held.append(data)
        if held.dispatch.streamed and held.attached:
            return [SendMessage(attempt.entry, chunk)]
        return []

    def execution_finished(
        self, now: float, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]
    ) -> list[Action]:
        """Take in the end of what the endpoint ran; a second end of one attempt is dropped."""
        held = self._attempts.get(attempt)
        if held is None or held.phase is not AttemptPhase.RUNNING:
            return []
        self._free_slot(now, held, outcome)
        if isinstance(outcome, Err) and held.is_proven_not_run(outcome.err_value):
            actions = self._refuse(now, attempt, outcome.err_value)
        elif held.cancelled:
            actions = []
            self._bury(now, attempt, Tombstone(Verdict.EXECUTED))
        else:
            actions = self._keep(now, held, outcome)
        return actions + self._advance(now)

    def configure(self, now: float, catalogue: Catalogue) -> list[Action]:
        """Apply new shares and limits to what is queued."""
        actions: list[Action] = []
        for dispatch in self._queue.configure(now, catalogue):
            failure = Failure(ResultCode.RATE_LIMITED, "the limit was lowered", 1.0)
            actions += self._refuse(now, dispatch.attempt, failure)
        return actions + self._advance(now)

    def begin_drain(self, now: float, grace: float) -> list[Action]:
        """Refuse new work, hand back what waits and let what runs finish within `grace`.

        The process stays for a notice time in any case, to refuse what was already on its way.
        """
        if self._leaving:
            return []
        self._leaving = Leaving("draining", grace)
        self._leave_at = now + min(grace, self._settings.drain_notice_seconds)
        self._deadlines.set(_NOTICE, self._leave_at)
        self._deadlines.set(_DRAIN, now + grace)
        actions: list[Action] = [SendMessage(each, self._leaving) for each in self._sessions]
        for attempt in self._in_phase(AttemptPhase.QUEUED):
            self._queue.remove(now, attempt)
            actions += self._refuse(now, attempt, self._leaving_failure())
        return actions + self._advance(now)

    def on_timer(self, now: float) -> list[Action]:
        """Do what is due."""
        actions: list[Action] = []
        for dispatch in self._queue.expire(now):
            actions += self._refuse(now, dispatch.attempt, _queue_timeout())
        for key in self._deadlines.pop_due(now):
            if isinstance(key, AttemptId):
                actions += self._on_attempt_deadline(now, key)
            elif key == _DRAIN:
                actions += self._end_grace(now)
            elif key != _NOTICE:
                actions += self._abandon_entry(now, key)
        for attempt in self._kept.expire(now):
            self._drop_answer(now, attempt)
        return actions + self._advance(now)

    def _dispatch(self, now: float, entry: str, dispatch: Dispatch) -> list[Action]:
        attempt = dispatch.attempt
        if dispatch.agent != self._incarnation or attempt.entry != entry:
            self._counters.misaddressed += 1
            code = int(ResultCode.NOT_READY)
            return [SendMessage(entry, Refused(attempt, code, "addressed to another process"))]
        self._tombstones.raise_floor(entry, dispatch.floor)
        if self._is_known(attempt):
            self._counters.repeated += 1
            return self._resend(now, entry, attempt, 0)
        self._counters.dispatched += 1
        refusal = self._admit(now, dispatch)
        if refusal:
            return self._refuse(now, attempt, refusal)
        self._attempts[attempt] = Attempt(dispatch, now)
        self._deadlines.set(attempt, now + min(dispatch.queue_budget, dispatch.budget))
        return []

    def _admit(self, now: float, dispatch: Dispatch) -> Failure | None:
        if self.draining:
            return self._leaving_failure()
        if not self._tombstones.admit_entry(dispatch.attempt.entry):
            return Failure(ResultCode.NOT_READY, "too many entry incarnations", 1.0)
        if dispatch.resume_offset:
            return Failure(ResultCode.BAD_REQUEST, "only a reattach resumes an answer")
        pushed = self._queue.push(now, dispatch)
        return pushed.err_value if isinstance(pushed, Err) else None

    def _is_known(self, attempt: AttemptId) -> bool:
        if attempt in self._attempts or self._tombstones.find(attempt):
            return True
        return self._is_below_floor(attempt)

    def _is_below_floor(self, attempt: AttemptId) -> bool:
        below = self._tombstones.is_below_floor(attempt)
        self._counters.below_floor += below
        return below

    def _revoke(self, now: float, entry: str, revoke: Revoke) -> list[Action]:
        outcome = self._revoke_outcome(now, revoke)
        self._counters.revoked += 1
        return [SendMessage(entry, Revoked(revoke.attempt, outcome))]

    def _revoke_outcome(self, now: float, revoke: Revoke) -> RevokeOutcome:
        attempt = revoke.attempt
        if revoke.agent != self._incarnation:
            return RevokeOutcome.UNKNOWN
        held = self._attempts.get(attempt)
        if held is None:
            return self._tombstones.revoke_unseen(now, attempt)
        if held.phase is AttemptPhase.QUEUED:
            self._queue.remove(now, attempt)
            self._bury(now, attempt, Tombstone(Verdict.REVOKED_QUEUED))
            return RevokeOutcome.DEQUEUED
        if held.phase is AttemptPhase.RUNNING:
            return RevokeOutcome.RUNNING
        return RevokeOutcome.FINISHED

    def _reattach(self, now: float, entry: str, reattach: Reattach) -> list[Action]:
        self._counters.reattached += 1
        if reattach.agent != self._incarnation:
            return [SendMessage(entry, Revoked(reattach.attempt, RevokeOutcome.UNKNOWN))]
        return self._resend(now, entry, reattach.attempt, reattach.offset)

    def _resend(self, now: float, entry: str, attempt: AttemptId, offset: int) -> list[Action]:
        held = self._attempts.get(attempt)
        if held is None:
            return [SendMessage(entry, self._tombstones.final_word(now, attempt))]
        held.attached = True
        return [SendMessage(entry, each) for each in held.messages_from(offset)]

    def _cancel(self, now: float, attempt: AttemptId) -> list[Action]:
        held = self._attempts.get(attempt)
        if held is None:
            self._tombstones.revoke_unseen(now, attempt)
            return []
        self._counters.cancelled += 1
        if held.phase is AttemptPhase.QUEUED:
            self._queue.remove(now, attempt)
            self._bury(now, attempt, Tombstone(Verdict.REFUSED, int(ResultCode.CANCELLED)))
            return []
        if held.phase is AttemptPhase.RUNNING:
            return self._cancel_running(now, held)
        return self._acknowledge(now, attempt)

    def _cancel_running(self, now: float, held: Attempt) -> list[Action]:
        if held.cancelled:
            return []
        held.cancelled = True
        self._deadlines.set(held.dispatch.attempt, now + self._settings.cancel_seconds)
        return [CancelExecution(held.dispatch.attempt)]

    def _acknowledge(self, now: float, attempt: AttemptId) -> list[Action]:
        held = self._attempts.get(attempt)
        if held and held.phase is AttemptPhase.FINISHED:
            self._kept.remove(attempt)
            self._bury(now, attempt, Tombstone(Verdict.EXECUTED))
        return []

    def _cancel_settled(self, now: float, entry: str, floor: int) -> list[Action]:
        if not self._tombstones.admit_entry(entry):
            return []
        self._tombstones.raise_floor(entry, floor)
        settled = [each for each in self._attempts if each.entry == entry and each.sequence < floor]
        return [action for each in settled for action in self._cancel(now, each)]

    def _on_attempt_deadline(self, now: float, attempt: AttemptId) -> list[Action]:
        held = self._attempts.get(attempt)
        if held is None or held.phase is AttemptPhase.FINISHED:
            return []
        if held.phase is AttemptPhase.QUEUED:
            self._queue.remove(now, attempt)
            return self._refuse(now, attempt, _queue_timeout())
        if held.cancelled:
            failure = Failure(ResultCode.ENDPOINT_FAILED, "no reply to the cancellation")
            return self.execution_finished(now, attempt, Err(failure))
        return self._stop(now, attempt, ResultCode.DEADLINE_EXCEEDED, "the time budget is used up")

    def _stop(self, now: float, attempt: AttemptId, code: ResultCode, why: str) -> list[Action]:
        actions: list[Action] = [CancelExecution(attempt)]
        return actions + self.execution_finished(now, attempt, Err(Failure(code, why)))

    def _abandon_entry(self, now: float, entry: str) -> list[Action]:
        actions: list[Action] = []
        for attempt in [each for each in self._attempts if each.entry == entry]:
            held = self._attempts[attempt]
            if held.phase is AttemptPhase.QUEUED or held.dispatch.idempotent:
                actions += self._cancel(now, attempt)
        return actions

    def _end_grace(self, now: float) -> list[Action]:
        actions: list[Action] = []
        running = self._in_phase(AttemptPhase.RUNNING)
        for attempt in running:
            why = "the grace period ended"
            actions += self._stop(now, attempt, ResultCode.ENDPOINT_FAILED, why)
        if running:
            self._deadlines.set(_DRAIN, now + self._settings.drain_linger_seconds)
            return actions
        for attempt in self._in_phase(AttemptPhase.FINISHED):
            self._kept.remove(attempt)
            self._drop_answer(now, attempt)
        return actions

    def _advance(self, now: float) -> list[Action]:
        actions: list[Action] = []
        handed_over = self._slots + self._queue.express_slots
        while self._running < handed_over and not self.draining:
            dispatch = self._queue.pop(now)
            if dispatch is None:
                break
            actions += self._start(now, dispatch)
        if self.draining and not self._attempts and not self._drained and now >= self._leave_at:
            self._drained = True
            actions.append(Drained())
        return actions

    def _start(self, now: float, dispatch: Dispatch) -> list[Action]:
        attempt = dispatch.attempt
        held = self._attempts[attempt]
        remaining = held.arrived + dispatch.budget - now
        if remaining <= 0.0:
            self._queue.finished(now, dispatch, 0)
            return self._refuse(now, attempt, _queue_timeout())
        held.phase = AttemptPhase.RUNNING
        held.started = now
        self._running += 1
        self._running_tokens += dispatch.expected_tokens
        self._counters.started += 1
        margin = self._settings.budget_margin_seconds
        self._deadlines.set(attempt, now + remaining + margin)
        actions: list[Action] = [StartExecution(dispatch)]
        if held.attached:
            actions.append(SendMessage(attempt.entry, Started(attempt, held.queue_wait)))
        return actions

    def _free_slot(self, now: float, held: Attempt, outcome: Result[ExecutionEnd, Failure]) -> None:
        self._running -= 1
        self._running_tokens -= held.dispatch.expected_tokens
        self._deadlines.remove(held.dispatch.attempt)
        tokens = outcome.ok_value.tokens if isinstance(outcome, Ok) else 0
        self._queue.finished(now, held.dispatch, tokens)
        if isinstance(outcome, Ok):
            self._counters.finished += 1
        else:
            self._counters.failed += 1

    def _keep(
        self, now: float, held: Attempt, outcome: Result[ExecutionEnd, Failure]
    ) -> list[Action]:
        attempt = held.dispatch.attempt
        answer = held.end(now, outcome)
        for dropped in self._kept.add(now, attempt, len(held.output)):
            self._drop_answer(now, dropped)
        return [SendMessage(attempt.entry, answer)] if held.attached else []

    def _drop_answer(self, now: float, attempt: AttemptId) -> None:
        self._counters.answers_dropped += 1
        self._bury(now, attempt, Tombstone(Verdict.EXECUTED))

    def _refuse(self, now: float, attempt: AttemptId, failure: Failure) -> list[Action]:
        retry_after = failure.retry_after or 0.0
        tombstone = Tombstone(Verdict.REFUSED, int(failure.code), failure.detail, retry_after)
        self._bury(now, attempt, tombstone)
        self._counters.refused += 1
        refused = Refused(attempt, int(failure.code), failure.detail, retry_after)
        return [SendMessage(attempt.entry, refused)]

    def _bury(self, now: float, attempt: AttemptId, tombstone: Tombstone) -> None:
        self._attempts.pop(attempt, None)
        self._deadlines.remove(attempt)
        self._tombstones.add(now, attempt, tombstone)

    def _in_phase(self, phase: AttemptPhase) -> list[AttemptId]:
        return [key for key, held in self._attempts.items() if held.phase is phase]

    def _leaving_failure(self) -> Failure:
        retry_after = self._settings.leaving_retry_seconds
        return Failure(ResultCode.ENDPOINT_LEAVING, "the endpoint is draining", retry_after)


def _queue_timeout() -> Failure:
    return Failure(ResultCode.QUEUE_TIMEOUT, "waited too long at the agent", 1.0)
