"""Decides which report of use is fixed, sent and repeated, and when; free of I/O.

The load is one report for each window of five seconds, in order, through holders that are killed,
frozen, cut off and replaced at any step, a store that is silent for seconds and carries calls out
late, and an API that is slow, refuses calls or loses its answers. What a window's report says is
fixed in the store before it is sent, so that every holder sends the same.
"""

from dataclasses import dataclass, field
from math import inf

from result import Err, Ok, Result

from pumicedeck.backoffs import doubled_seconds
from pumicedeck.duties.usage_rows import WindowRows
from pumicedeck.results import Failure, ResultCode


def is_taken(status: int | None) -> bool:
    """Return whether the API has taken a report that it answered with `status`, None if never."""
    return status is not None and 200 <= status < 300


@dataclass(frozen=True, slots=True)
class ReportSettings:
    """Times in seconds; those after a window's end are on the scale of true time.

    A window's report is fixed `fix_seconds` after its end. It waits up to `patience_seconds` for
    the final rows of gateways that have one or had one in the window before, and up to
    `outage_seconds` if the store was away, until `recovery_seconds` after it answered again. It is
    late after `late_seconds`, and sent only once after `give_up_seconds`. A holder that follows
    another one waits `quiet_seconds`.

    Calls are repeated after `first_repeat_seconds`, doubling up to `max_repeat_seconds`, or up to
    `max_repeat_in_time_seconds` while the report is not late: a longer pause could pass over the
    rest of that time. Two calls are at least `spacing_seconds` apart.
    """

    window_seconds: float = 5.0
    fix_seconds: float = 3.0
    patience_seconds: float = 5.0
    outage_seconds: float = 7.0
    recovery_seconds: float = 2.5
    store_lost_seconds: float = 1.5
    late_seconds: float = 10.0
    give_up_seconds: float = 60.0
    quiet_seconds: float = 3.0
    first_repeat_seconds: float = 0.5
    max_repeat_seconds: float = 4.0
    max_repeat_in_time_seconds: float = 1.5
    spacing_seconds: float = 0.1
    store_retry_seconds: float = 0.2
    patience_step_seconds: float = 0.3


@dataclass(frozen=True, slots=True)
class Situation:
    """What a process knows when it decides; `now` is its clock, in seconds.

    `token` is the fencing number of the lease, 0 if it is not held. `true_now` and `first_window`
    are None while the gateways do not agree on the time. `store_contact_at` is when the store
    answered last, on the process's clock.
    """

    now: float
    token: int
    true_now: float | None
    first_window: int | None
    store_contact_at: float


@dataclass(frozen=True, slots=True)
class ReadProgress:
    """Read the number of the last window that is done with."""


@dataclass(frozen=True, slots=True)
class ReadWindow:
    """Read the rows of a window."""

    window: int


@dataclass(frozen=True, slots=True)
class FixReport:
    """Insert the row that says what is reported for a window, if there is none."""

    window: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a window's report; `age` is in seconds since the end of the window."""

    window: int
    counts: dict[str, int]
    token: int
    age: float
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class RecordProgress:
    """Write the number of the last window that is done with; `given_up` if it was not answered."""

    window: int
    given_up: bool = False


ReportAction = ReadProgress | ReadWindow | FixReport | SendReport | RecordProgress


@dataclass(slots=True)
class _OpenWindow:
    """The window whose report is next."""

    window: int
    counts: dict[str, int] | None = None
    calls: int = 0
    is_last_call: bool = False


@dataclass(slots=True)
class _Duty:
    """What a holder knows under one token; it forgets all of it with the lease."""

    token: int
    quiet_until: float
    open_window: _OpenWindow | None = None
    is_busy: bool = False
    retry_at: float = -inf
    usual_vms: frozenset[str] = field(default_factory=frozenset)


class UsageReports:
    """The duty of one process: `step` at short intervals, and the outcomes of its actions."""

    def __init__(self, settings: ReportSettings | None = None) -> None:
        """Start without the duty."""
        self._settings = settings or ReportSettings()
        self._duty: _Duty | None = None
        self._last_token = 0
        self._call_number = 0
        self._sent_number = 0
        self._sent_at = -inf
        # When the last call without an answer was sent: it may arrive late.
        self._unanswered_at = -inf
        self._store_lost_at: float | None = None

    @property
    def call_number(self) -> int:
        """Return the number of the last action whose outcome is awaited."""
        return self._call_number

    @property
    def done_through(self) -> int | None:
        """Return the last window that is done with, None without the duty."""
        duty = self._duty
        if duty is None or duty.open_window is None:
            return None
        return duty.open_window.window - 1

    def step(self, situation: Situation) -> list[ReportAction]:
        """Return what is to be done now.

        Each action but RecordProgress has an outcome, which is handed back with its `call_number`.
        """
        self._observe_store(situation)
        if not situation.token:
            self._duty = None
            return []
        if self._duty is None or self._duty.token != situation.token:
            self._begin_duty(situation)
        duty = self._duty
        if duty.is_busy or situation.now < duty.retry_at:
            return []
        if situation.true_now is None or situation.first_window is None:
            return []
        if duty.open_window is None:
            return [self._begin_call(ReadProgress())]
        if duty.open_window.counts is None:
            return self._read_when_due(duty, situation)
        return self._send_when_due(duty, situation)

    def progress_read(
        self, situation: Situation, number: int, outcome: Result[int | None, Failure]
    ) -> list[ReportAction]:
        """Handle the number of the last window that is done with, None if there is none."""
        duty = self._end_call(number)
        if duty is None:
            return []
        if isinstance(outcome, Err):
            duty.retry_at = situation.now + self._settings.store_retry_seconds
            return []
        last = outcome.ok_value
        first = situation.first_window if last is None else last + 1
        if first is not None:
            duty.open_window = _OpenWindow(first)
        return self.step(situation)

    def window_read(
        self, situation: Situation, number: int, outcome: Result[WindowRows, Failure]
    ) -> list[ReportAction]:
        """Handle the rows of the window: its report, or what to fix it from."""
        duty = self._end_call(number)
        if duty is None:
            return []
        if isinstance(outcome, Err):
            duty.retry_at = situation.now + self._settings.store_retry_seconds
            return []
        rows = outcome.ok_value
        if rows.report is not None:
            duty.usual_vms = rows.vms
            duty.open_window.counts = rows.report
            return self.step(situation)
        age = self._age(situation, duty.open_window.window)
        missing_vms = (duty.usual_vms | rows.vms) - rows.final_vms
        if missing_vms and age < self._settings.patience_seconds:
            duty.retry_at = situation.now + self._settings.patience_step_seconds
            return []
        duty.usual_vms = rows.vms
        return [self._begin_call(FixReport(duty.open_window.window, rows.counts))]

    def report_fixed(
        self,
        situation: Situation,
        number: int,
        counts: dict[str, int],
        outcome: Result[int, Failure],
    ) -> list[ReportAction]:
        """Handle the insertion of a report; unless it is certain, the window is read again."""
        duty = self._end_call(number)
        if duty is None:
            return []
        if isinstance(outcome, Ok):
            duty.open_window.counts = counts
        elif outcome.err_value.code is not ResultCode.STORE_CONFLICT:
            duty.retry_at = situation.now + self._settings.store_retry_seconds
        return self.step(situation)

    def report_answered(
        self, situation: Situation, number: int, status: int | None
    ) -> list[ReportAction]:
        """Handle the status with which the API answered a report, None if it did not answer."""
        if status is not None and number == self._sent_number:
            self._unanswered_at = -inf
        duty = self._end_call(number)
        if duty is None:
            return []
        open_window = duty.open_window
        if not is_taken(status) and not open_window.is_last_call:
            duty.retry_at = self._sent_at + self._repeat_delay(situation, open_window)
            return []
        duty.open_window = _OpenWindow(open_window.window + 1)
        done = RecordProgress(open_window.window, given_up=not is_taken(status))
        return [done, *self.step(situation)]

    def _repeat_delay(self, situation: Situation, open_window: _OpenWindow) -> float:
        """Return how many seconds after the last call the next one follows."""
        settings = self._settings
        is_in_time = self._age(situation, open_window.window) < settings.late_seconds
        longest = settings.max_repeat_seconds
        if is_in_time:
            longest = min(longest, settings.max_repeat_in_time_seconds)
        return doubled_seconds(settings.first_repeat_seconds, open_window.calls - 1, longest)

    def _begin_duty(self, situation: Situation) -> None:
        """Start anew under another token, after the calls of the holder before have timed out.

        The holder before was this process if the number grew by one at most since it last held the
        lease: then only a call of its own that was not answered may arrive late.
        """
        quiet_until = situation.now + self._settings.quiet_seconds
        if situation.token == 1:
            quiet_until = situation.now
        elif self._last_token and situation.token - self._last_token in (0, 1):
            quiet_until = self._unanswered_at + self._settings.quiet_seconds
        self._last_token = situation.token
        self._call_number += 1
        self._duty = _Duty(situation.token, quiet_until)

    def _observe_store(self, situation: Situation) -> None:
        """Note when the store was away last; a process that starts counts as if it had been."""
        contact_age = situation.now - situation.store_contact_at
        if self._store_lost_at is None or contact_age > self._settings.store_lost_seconds:
            self._store_lost_at = situation.now

    def _begin_call(self, action: ReportAction) -> ReportAction:
        """Do nothing further until the outcome of `action` is known."""
        self._call_number += 1
        self._duty.is_busy = True
        return action

    def _end_call(self, number: int) -> _Duty | None:
        """Return the duty that an outcome belongs to, None if it was lost since."""
        if self._duty is None or number != self._call_number:
            return None
        self._duty.is_busy = False
        return self._duty

    def _age(self, situation: Situation, window: int) -> float:
        return situation.true_now - (window + 1) * self._settings.window_seconds

    def _read_when_due(self, duty: _Duty, situation: Situation) -> list[ReportAction]:
        settings = self._settings
        age = self._age(situation, duty.open_window.window)
        since_lost = situation.now - self._store_lost_at
        recovers = since_lost < settings.recovery_seconds and age < settings.outage_seconds
        if age < settings.fix_seconds or recovers:
            return []
        return [self._begin_call(ReadWindow(duty.open_window.window))]

    def _send_when_due(self, duty: _Duty, situation: Situation) -> list[ReportAction]:
        open_window = duty.open_window
        spaced_at = self._sent_at + self._settings.spacing_seconds
        if situation.now < max(duty.quiet_until, spaced_at):
            return []
        age = self._age(situation, open_window.window)
        open_window.calls += 1
        open_window.is_last_call = age > self._settings.give_up_seconds
        self._sent_at = self._unanswered_at = situation.now
        report = SendReport(
            open_window.window,
            open_window.counts,
            duty.token,
            age,
            is_repeat=open_window.calls > 1,
        )
        action = self._begin_call(report)
        self._sent_number = self._call_number
        return [action]
