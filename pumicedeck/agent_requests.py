"""State machine of the attempts at an agent, from dispatch to acknowledgement; free of I/O.

The agent starts an attempt at most once. It never starts an attempt that it has reported as
refused or revoked, nor one whose record it has dropped: see `tombstones`.
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
from pumicedeck.topology import Incarnation

_END_OF_NOTICE = "end of notice"
_END_OF_GRACE_OR_LINGER = "end of grace"


class AgentRequests:
    """Attempts of one agent; event methods take monotonic time in seconds and return actions."""

    def __init__(
        self,
        incarnation: Incarnation | str,
        queue: DispatchQueue,
        slots: int,
        settings: AgentRequestSettings | None = None,
    ) -> None:
        """Serve an endpoint with `slots` concurrent requests; `queue` orders those that wait."""
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
        self._finished_answers = KeptAnswers(
            self._settings.answer_retention_bytes, self._settings.answer_retention_seconds
        )
        self._sessions: set[str] = set()
        self._deadlines: Deadlines[AttemptId | str] = Deadlines()
        self._counters = AgentRequestCounters()
        self._leaving_message: Leaving | None = None
        self._notice_ends_at = 0.0
        self._drained = False

    @property
    def counters(self) -> AgentRequestCounters:
        """Return a copy of the counters."""
        return replace(self._counters)

    @property
    def draining(self) -> bool:
        """Return whether the agent is draining and refuses new attempts."""
        return self._leaving_message is not None

    def load(self) -> LoadReport:
        """Return the load that heartbeats report to the entries."""
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
        """Return the monotonic time in seconds at which to call `on_timer`; None if no need."""
        times = (self._deadlines.next_deadline(), self._finished_answers.next_deadline())
        return min((each for each in times if each is not None), default=None)

    def session_opened(self, now: float, entry: str) -> list[Action]:
        """Record a session to `entry`; a draining agent sends `Leaving` at once."""
        self._sessions.add(entry)
        self._deadlines.remove(entry)
        if self._leaving_message:
            return [SendMessage(entry, self._leaving_message)]
        return []

    def session_closed(self, now: float, entry: str) -> list[Action]:
        """Stop sending to `entry` until it reattaches.

        Without a new session, part of its work is cancelled after `absent_entry_seconds`.
        """
        self._sessions.discard(entry)
        for state in self._attempts.values():
            if state.dispatch.attempt.entry == entry:
                state.attached = False
        self._deadlines.set(entry, now + self._settings.absent_entry_seconds)
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
                actions = self._cancel_below_floor(now, entry, message.floor)
            case _:
                actions = []
        return actions + self._start_queued(now)

    def execution_chunk(
        self, now: float, attempt: AttemptId, data: bytes, tokens: int = 0, offset: int = -1
    ) -> list[Action]:
        """Record bytes that the endpoint produced.

        An `offset` below the number of bytes received so far means that the endpoint restarted
        its output at that offset; -1 appends.
        """
        state = self._attempts.get(attempt)
        if state is None or state.phase is not AttemptPhase.RUNNING or state.cancelled:
            return []
        if 0 <= offset < len(state.output):
            if state.dispatch.streamed:
                return self._stop_running(
                    now,
                    attempt,
                    ResultCode.ENDPOINT_FAILED,
                    "the endpoint restarted a streamed answer",
                )
            state.truncate(offset)
        if offset > len(state.output):
            return self._stop_running(
                now,
                attempt,
                ResultCode.ENDPOINT_FAILED,
                "bytes are missing in the endpoint's answer",
            )
        if len(state.output) + len(data) > self._settings.max_answer_bytes:
            return self._stop_running(
                now,
                attempt,
                ResultCode.ENDPOINT_FAILED,
                "the endpoint's answer exceeds the size limit",
            )
        chunk = state.append(data)
        if state.dispatch.streamed and state.attached:
            return [SendMessage(attempt.entry, chunk)]
        return []

    def execution_finished(
        self, now: float, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]
    ) -> list[Action]:
        """Record the end of an execution; a second end of the same attempt is ignored."""
        state = self._attempts.get(attempt)
        if state is None or state.phase is not AttemptPhase.RUNNING:
            return []
        self._free_slot(now, state, outcome)
        if isinstance(outcome, Err) and state.is_proven_not_run(outcome.err_value):
            actions = self._refuse(now, attempt, outcome.err_value)
        elif state.cancelled:
            actions = []
            self._replace_by_tombstone(now, attempt, Tombstone(Verdict.EXECUTED))
        else:
            actions = self._retain_answer(now, state, outcome)
        return actions + self._start_queued(now)

    def configure(self, now: float, catalogue: Catalogue) -> list[Action]:
        """Apply new shares and limits to the queue and refuse attempts that exceed a limit."""
        actions: list[Action] = []
        for dispatch in self._queue.configure(now, catalogue):
            failure = Failure(
                ResultCode.RATE_LIMITED,
                "a limit of the catalogue entry was lowered",
                1.0,  # retry after 1 s
            )
            actions += self._refuse(now, dispatch.attempt, failure)
        return actions + self._start_queued(now)

    def begin_drain(self, now: float, grace: float) -> list[Action]:
        """Refuse new and queued attempts and let running ones finish within `grace` seconds.

        The drain lasts at least the shorter of `grace` and `drain_notice_seconds`, so that
        dispatches sent before entries received `Leaving` are refused rather than lost.
        """
        if self._leaving_message:
            return []
        self._leaving_message = Leaving("draining", grace)
        self._notice_ends_at = now + min(grace, self._settings.drain_notice_seconds)
        self._deadlines.set(_END_OF_NOTICE, self._notice_ends_at)
        self._deadlines.set(_END_OF_GRACE_OR_LINGER, now + grace)
        actions: list[Action] = [
            SendMessage(each, self._leaving_message) for each in self._sessions
        ]
        for attempt in self._in_phase(AttemptPhase.QUEUED):
            self._queue.remove(now, attempt)
            actions += self._refuse(now, attempt, self._leaving_failure())
        return actions + self._start_queued(now)

    def on_timer(self, now: float) -> list[Action]:
        """Handle expired queue times, deadlines, sessions and retained answers."""
        actions: list[Action] = []
        for dispatch in self._queue.expire(now):
            actions += self._refuse(now, dispatch.attempt, _queue_timeout())
        for key in self._deadlines.pop_expired(now):
            if isinstance(key, AttemptId):
                actions += self._on_attempt_deadline(now, key)
            elif key == _END_OF_GRACE_OR_LINGER:
                actions += self._end_grace(now)
            elif key != _END_OF_NOTICE:
                actions += self._cancel_work_of_absent_entry(now, key)
        for attempt in self._finished_answers.expire(now):
            self._drop_answer(now, attempt)
        return actions + self._start_queued(now)

    def _dispatch(self, now: float, entry: str, dispatch: Dispatch) -> list[Action]:
        attempt = dispatch.attempt
        if dispatch.agent != self._incarnation or attempt.entry != entry:
            self._counters.misaddressed += 1
            code = int(ResultCode.NOT_READY)
            return [
                SendMessage(
                    entry, Refused(attempt, code, "dispatch addressed to another agent incarnation")
                )
            ]
        self._tombstones.raise_floor(entry, dispatch.floor)
        if self._is_known(attempt):
            self._counters.repeated += 1
            return self._resend_state(now, entry, attempt, 0)
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
            # Retry after 1 s.
            return Failure(ResultCode.NOT_READY, "the limit of entry incarnations is reached", 1.0)
        if dispatch.resume_offset:
            return Failure(ResultCode.BAD_REQUEST, "resume_offset must be 0 in a dispatch")
        accepted = self._queue.push(now, dispatch)
        return accepted.err_value if isinstance(accepted, Err) else None

    def _is_known(self, attempt: AttemptId) -> bool:
        """Return whether an attempt must not be accepted as new."""
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
        """Revoke the attempt if it has not started and return what was found."""
        attempt = revoke.attempt
        if revoke.agent != self._incarnation:
            return RevokeOutcome.UNKNOWN
        state = self._attempts.get(attempt)
        if state is None:
            return self._tombstones.revoke_absent(now, attempt)
        if state.phase is AttemptPhase.QUEUED:
            self._queue.remove(now, attempt)
            self._replace_by_tombstone(now, attempt, Tombstone(Verdict.REVOKED_QUEUED))
            return RevokeOutcome.DEQUEUED
        if state.phase is AttemptPhase.RUNNING:
            return RevokeOutcome.RUNNING
        return RevokeOutcome.FINISHED

    def _reattach(self, now: float, entry: str, reattach: Reattach) -> list[Action]:
        self._counters.reattached += 1
        if reattach.agent != self._incarnation:
            return [SendMessage(entry, Revoked(reattach.attempt, RevokeOutcome.UNKNOWN))]
        return self._resend_state(now, entry, reattach.attempt, reattach.offset)

    def _resend_state(
        self, now: float, entry: str, attempt: AttemptId, offset: int
    ) -> list[Action]:
        """Attach `entry` to the attempt and send its state and its output from `offset`."""
        state = self._attempts.get(attempt)
        if state is None:
            return [SendMessage(entry, self._tombstones.final_reply(now, attempt))]
        state.attached = True
        return [SendMessage(entry, each) for each in state.messages_from(offset)]

    def _cancel(self, now: float, attempt: AttemptId) -> list[Action]:
        state = self._attempts.get(attempt)
        if state is None:
            self._tombstones.revoke_absent(now, attempt)
            return []
        self._counters.cancelled += 1
        if state.phase is AttemptPhase.QUEUED:
            self._queue.remove(now, attempt)
            self._replace_by_tombstone(
                now, attempt, Tombstone(Verdict.REFUSED, int(ResultCode.CANCELLED))
            )
            return []
        if state.phase is AttemptPhase.RUNNING:
            return self._cancel_running(now, state)
        return self._acknowledge(now, attempt)

    def _cancel_running(self, now: float, state: Attempt) -> list[Action]:
        if state.cancelled:
            return []
        state.cancelled = True
        self._deadlines.set(state.dispatch.attempt, now + self._settings.cancel_seconds)
        return [CancelExecution(state.dispatch.attempt)]

    def _acknowledge(self, now: float, attempt: AttemptId) -> list[Action]:
        state = self._attempts.get(attempt)
        if state and state.phase is AttemptPhase.FINISHED:
            self._finished_answers.remove(attempt)
            self._replace_by_tombstone(now, attempt, Tombstone(Verdict.EXECUTED))
        return []

    def _cancel_below_floor(self, now: float, entry: str, floor: int) -> list[Action]:
        """Cancel attempts below the floor of `entry`, which have ended at the entry."""
        if not self._tombstones.admit_entry(entry):
            return []
        self._tombstones.raise_floor(entry, floor)
        ended_attempts = [
            each for each in self._attempts if each.entry == entry and each.sequence < floor
        ]
        return [action for each in ended_attempts for action in self._cancel(now, each)]

    def _on_attempt_deadline(self, now: float, attempt: AttemptId) -> list[Action]:
        state = self._attempts.get(attempt)
        if state is None or state.phase is AttemptPhase.FINISHED:
            return []
        if state.phase is AttemptPhase.QUEUED:
            self._queue.remove(now, attempt)
            return self._refuse(now, attempt, _queue_timeout())
        if state.cancelled:
            failure = Failure(
                ResultCode.ENDPOINT_FAILED, "the endpoint did not confirm the cancellation"
            )
            return self.execution_finished(now, attempt, Err(failure))
        return self._stop_running(
            now, attempt, ResultCode.DEADLINE_EXCEEDED, "the time budget of the request expired"
        )

    def _stop_running(
        self, now: float, attempt: AttemptId, code: ResultCode, reason: str
    ) -> list[Action]:
        actions: list[Action] = [CancelExecution(attempt)]
        return actions + self.execution_finished(now, attempt, Err(Failure(code, reason)))

    def _cancel_work_of_absent_entry(self, now: float, entry: str) -> list[Action]:
        """Cancel queued and idempotent work of an entry that did not open a session again.

        A running non-idempotent request is left to finish.
        """
        actions: list[Action] = []
        for attempt in [each for each in self._attempts if each.entry == entry]:
            state = self._attempts[attempt]
            if state.phase is AttemptPhase.QUEUED or state.dispatch.idempotent:
                actions += self._cancel(now, attempt)
        return actions

    def _end_grace(self, now: float) -> list[Action]:
        """Fail running attempts, or drop unacknowledged answers if no attempt is running.

        If attempts were running, this is called again after `drain_linger_seconds`, which gives
        the entries time to acknowledge the failures.
        """
        actions: list[Action] = []
        running = self._in_phase(AttemptPhase.RUNNING)
        for attempt in running:
            reason = "the grace period of the drain ended"
            actions += self._stop_running(now, attempt, ResultCode.ENDPOINT_FAILED, reason)
        if running:
            self._deadlines.set(_END_OF_GRACE_OR_LINGER, now + self._settings.drain_linger_seconds)
            return actions
        for attempt in self._in_phase(AttemptPhase.FINISHED):
            self._finished_answers.remove(attempt)
            self._drop_answer(now, attempt)
        return actions

    def _start_queued(self, now: float) -> list[Action]:
        """Start queued attempts while slots are free; report when a drain is complete."""
        actions: list[Action] = []
        max_running = self._slots + self._queue.express_slots
        while self._running < max_running and not self.draining:
            dispatch = self._queue.pop(now)
            if dispatch is None:
                break
            actions += self._start(now, dispatch)
        if (
            self.draining
            and not self._attempts
            and not self._drained
            and now >= self._notice_ends_at
        ):
            self._drained = True
            actions.append(Drained())
        return actions

    def _start(self, now: float, dispatch: Dispatch) -> list[Action]:
        attempt = dispatch.attempt
        state = self._attempts[attempt]
        remaining = state.arrived_at + dispatch.budget - now
        if remaining <= 0.0:
            self._queue.finished(now, dispatch, 0)
            return self._refuse(now, attempt, _queue_timeout())
        state.phase = AttemptPhase.RUNNING
        state.started_at = now
        self._running += 1
        self._running_tokens += dispatch.expected_tokens
        self._counters.started += 1
        margin = self._settings.budget_margin_seconds
        self._deadlines.set(attempt, now + remaining + margin)
        actions: list[Action] = [StartExecution(dispatch)]
        if state.attached:
            actions.append(SendMessage(attempt.entry, Started(attempt, state.queue_wait)))
        return actions

    def _free_slot(
        self, now: float, state: Attempt, outcome: Result[ExecutionEnd, Failure]
    ) -> None:
        self._running -= 1
        self._running_tokens -= state.dispatch.expected_tokens
        self._deadlines.remove(state.dispatch.attempt)
        tokens = outcome.ok_value.tokens if isinstance(outcome, Ok) else 0
        self._queue.finished(now, state.dispatch, tokens)
        if isinstance(outcome, Ok):
            self._counters.finished += 1
        else:
            self._counters.failed += 1

    def _retain_answer(
        self, now: float, state: Attempt, outcome: Result[ExecutionEnd, Failure]
    ) -> list[Action]:
        """Send the answer; retain it until acknowledged, dropped to save memory, or expired."""
        attempt = state.dispatch.attempt
        answer = state.end(now, outcome)
        for dropped in self._finished_answers.add(now, attempt, len(state.output)):
            self._drop_answer(now, dropped)
        return [SendMessage(attempt.entry, answer)] if state.attached else []

    def _drop_answer(self, now: float, attempt: AttemptId) -> None:
        self._counters.answers_dropped += 1
        self._replace_by_tombstone(now, attempt, Tombstone(Verdict.EXECUTED))

    def _refuse(self, now: float, attempt: AttemptId, failure: Failure) -> list[Action]:
        retry_after = failure.retry_after or 0.0
        tombstone = Tombstone(Verdict.REFUSED, int(failure.code), failure.detail, retry_after)
        self._replace_by_tombstone(now, attempt, tombstone)
        self._counters.refused += 1
        refused = Refused(attempt, int(failure.code), failure.detail, retry_after)
        return [SendMessage(attempt.entry, refused)]

    def _replace_by_tombstone(self, now: float, attempt: AttemptId, tombstone: Tombstone) -> None:
        """Drop the record of an attempt and remember why it never runs again."""
        self._attempts.pop(attempt, None)
        self._deadlines.remove(attempt)
        self._tombstones.add(now, attempt, tombstone)

    def _in_phase(self, phase: AttemptPhase) -> list[AttemptId]:
        return [key for key, state in self._attempts.items() if state.phase is phase]

    def _leaving_failure(self) -> Failure:
        retry_after = self._settings.leaving_retry_seconds
        return Failure(ResultCode.ENDPOINT_LEAVING, "the endpoint is draining", retry_after)


def _queue_timeout() -> Failure:
    # Retry after 1 s.
    return Failure(ResultCode.QUEUE_TIMEOUT, "the queue time at the agent expired", 1.0)
