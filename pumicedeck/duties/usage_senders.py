"""Carries out the duty of reports of use at the holder of the scheduler's lease."""

from collections import deque
from collections.abc import Callable

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.duties.usage_clocks import UsageClock
from pumicedeck.duties.usage_reports import (
    FixReport,
    ReadProgress,
    ReadWindow,
    RecordProgress,
    ReportAction,
    ReportSettings,
    SendReport,
    Situation,
    UsageReports,
    is_taken,
)
from pumicedeck.duties.usage_rows import (
    REPORT_KEY,
    USAGE_TABLE,
    encode_counts,
    last_row,
    report_row,
    sum_rows,
)
from pumicedeck.leases import LeaseHolder
from pumicedeck.partitioned_stores import (
    Change,
    Expectation,
    PartitionedStore,
    Put,
    RowKey,
    read_partition,
)
from pumicedeck.results import Failure
from pumicedeck.tasks import Promise, Task, sleep, spawn

STEP_SECONDS = 0.1
KEEP_SECONDS = 120.0
SWEEP_SECONDS = 30.0
RETRY_SECONDS = 0.3
ROWS_PER_CHANGE = 80

_log = logger.bind(module="usage_senders")

# Sends a window's counts under a token; the promise is of the status, None without an answer.
SendUsage = Callable[[int, int, dict[str, int]], Promise[int | None]]


class UsageSender:
    """Fixes, sends and removes the reports of use while this process holds the lease."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: UsageClock,
        lease: LeaseHolder,
        send: SendUsage,
        settings: ReportSettings,
        store_contact_at: Callable[[], float],
    ) -> None:
        """Send with `send`; `store_contact_at` returns when the store answered last."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._lease = lease
        self._send = send
        self._settings = settings
        self._store_contact_at = store_contact_at
        self._reports = UsageReports(settings)
        self._progress: int | None = None
        self._is_recording = False
        self._last_revision = 0
        # When which windows were done with, to remove the rows later.
        self._done: deque[tuple[float, int]] = deque()
        self._tasks: list[Task] = []
        self.sent = 0
        self.late = 0
        self.repeated = 0

    def start(self) -> None:
        """Do the duty whenever the lease is held."""
        self._tasks = [
            spawn(self._step_periodically(), "usage reports"),
            spawn(self._sweep_periodically(), "usage sweep"),
        ]

    def close(self) -> None:
        """Stop; a report that was sent may still arrive."""
        for task in self._tasks:
            task.cancel()

    @property
    def token(self) -> int:
        """Return the fencing number of the lease, 0 if it is not held."""
        return self._lease.fencing if self._lease.holds(self._timers.now()) else 0

    def _situation(self) -> Situation:
        agreed = self._clock.agreed
        return Situation(
            now=self._timers.now(),
            token=self.token,
            true_now=self._clock.true_now,
            first_window=agreed.first_window if agreed is not None else None,
            store_contact_at=self._store_contact_at(),
        )

    async def _step_periodically(self) -> None:
        while True:
            await sleep(self._timers, STEP_SECONDS)
            self._carry_out(self._reports.step(self._situation()))
            self._note_done()

    def _carry_out(self, actions: list[ReportAction]) -> None:
        number = self._reports.call_number
        for action in actions:
            match action:
                case ReadProgress():
                    spawn(self._read_progress(number), "usage progress")
                case ReadWindow(window):
                    spawn(self._read_window(number, window), f"usage rows of {window}")
                case FixReport(window, counts):
                    spawn(self._fix(number, window, counts), f"usage report of {window}")
                case SendReport():
                    spawn(self._send_report(number, action), f"usage call for {action.window}")
                case RecordProgress(window, given_up):
                    if given_up:
                        _log.error("usage report given up", window=window)
                    self._record(window)

    async def _read_progress(self, number: int) -> None:
        outcome = await self._read_last()
        self._carry_out(self._reports.progress_read(self._situation(), number, outcome))

    async def _read_last(self) -> Result[int | None, Failure]:
        """Read the number of the last window that is done with, and the revision of its row."""
        row = last_row()
        page = await self._store.read(row.table, row.partition_key, row.key, 1)
        if isinstance(page, Err):
            return page
        for stored in page.ok_value.rows:
            if stored.row == row and stored.value:
                self._last_revision = stored.revision
                return Ok(int(stored.value))
        self._last_revision = 0
        return Ok(None)

    async def _read_window(self, number: int, window: int) -> None:
        read = await read_partition(self._store, USAGE_TABLE, str(window))
        outcome = read if isinstance(read, Err) else Ok(sum_rows(read.ok_value))
        self._carry_out(self._reports.window_read(self._situation(), number, outcome))

    async def _fix(self, number: int, window: int, counts: dict[str, int]) -> None:
        row = report_row(window)
        change = Change((Expectation(row, 0),), (Put(row, encode_counts(counts)),))
        fixed = await self._store.commit(change)
        self._carry_out(self._reports.report_fixed(self._situation(), number, counts, fixed))

    async def _send_report(self, number: int, report: SendReport) -> None:
        self.repeated += report.is_repeat
        status = await self._send(report.token, report.window, report.counts)
        if is_taken(status):
            self.sent += 1
            self.late += report.age > self._settings.late_seconds
            _log.info(
                "usage reported",
                window=report.window,
                requests=sum(report.counts.values()),
                accounts=len(report.counts),
                token=report.token,
                age=round(report.age, 3),
            )
        else:
            _log.warning(
                "usage report not taken",
                window=report.window,
                token=report.token,
                status=status,
                age=round(report.age, 3),
            )
        self._carry_out(self._reports.report_answered(self._situation(), number, status))

    def _record(self, window: int) -> None:
        self._progress = window
        if not self._is_recording:
            self._is_recording = True
            spawn(self._record_progress(), "usage progress")

    async def _record_progress(self) -> None:
        """Write the last window that is done with, until it is written or the lease is lost.

        The number never falls, also if a call is carried out long after its sender has lost the
        lease: whoever began anew at a window whose rows are removed would report it as empty.
        """
        written: int | None = None
        while written != self._progress and self.token:
            window = self._progress
            expected = Expectation(last_row(), self._last_revision)
            put = Put(last_row(), str(window).encode())
            outcome = await self._store.commit(Change((expected,), (put,)))
            if isinstance(outcome, Ok):
                self._last_revision = outcome.ok_value
                written = window
                continue
            last = await self._read_last()
            if isinstance(last, Ok) and last.ok_value is not None and last.ok_value >= window:
                written = window
                continue
            await sleep(self._timers, RETRY_SECONDS)
        self._is_recording = False

    def _note_done(self) -> None:
        done = self._reports.done_through
        if done is None:
            self._done.clear()
        elif not self._done or self._done[-1][1] != done:
            self._done.append((self._timers.now(), done))

    async def _sweep_periodically(self) -> None:
        while True:
            await sleep(self._timers, SWEEP_SECONDS)
            removable = None
            while self._done and self._done[0][0] < self._timers.now() - KEEP_SECONDS:
                removable = self._done.popleft()[1]
            if removable is not None:
                await self._remove_windows(removable)

    async def _remove_windows(self, last: int) -> None:
        """Remove the rows of the windows up to `last`; the next sweep repeats what fails."""
        after = ""
        while self.token:
            listed = await self._store.partitions(USAGE_TABLE, after)
            if isinstance(listed, Err):
                return
            for name in listed.ok_value.partitions:
                if name.isdigit() and int(name) <= last and not await self._remove(name):
                    return
            if not listed.ok_value.truncated:
                return
            after = listed.ok_value.partitions[-1]

    async def _remove(self, partition: str) -> bool:
        """Remove a window's rows, its report last: while that exists, no others are written."""
        read = await read_partition(self._store, USAGE_TABLE, partition)
        if isinstance(read, Err):
            return False
        keys = [stored.row.key for stored in read.ok_value]
        keys.sort(key=lambda key: key == REPORT_KEY)
        for at in range(0, len(keys), ROWS_PER_CHANGE):
            puts = tuple(
                Put(RowKey(USAGE_TABLE, partition, key), None)
                for key in keys[at : at + ROWS_PER_CHANGE]
            )
            if not self.token or isinstance(await self._store.commit(Change((), puts)), Err):
                return False
        return True
