"""Writes one gateway's counts into rows of the store."""

from collections.abc import Callable
from random import Random

from loguru import logger
from result import Err, Ok

from pumicedeck.clocks import TimerQueue
from pumicedeck.duties.request_beginnings import RequestBeginnings
from pumicedeck.duties.usage_clocks import UsageClock
from pumicedeck.duties.usage_counts import UsageCounts
from pumicedeck.duties.usage_rows import count_row, encode_count_row, report_row
from pumicedeck.partitioned_stores import Change, Expectation, PartitionedStore, Put, RowKey
from pumicedeck.results import ResultCode
from pumicedeck.tasks import Task, sleep, spawn

CHECK_SECONDS = 0.1
# After a window's end, so that the gateways' writes are spread and late refusals are known.
MIN_DELAY_SECONDS = 0.2
MAX_DELAY_SECONDS = 1.2
# Counts of the present window are saved before its end too, so that a VM that is lost takes less
# with it; all gateways together make at most this many of these writes a second.
EARLY_WRITES_PER_SECOND = 16.0
MIN_EARLY_SECONDS = 0.5
RETRY_SECONDS = 0.2
# Reports are given up after a minute, and their rows removed two minutes after they were sent.
MAX_AGE_SECONDS = 60.0
# The longest that a request may be pending: it is in a row before its window's report is fixed.
PENDING_SECONDS = 1.0

_log = logger.bind(module="usage_savers")


class UsageSaver:
    """Saves the counts of one gateway, window by window."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: UsageClock,
        counts: UsageCounts,
        beginnings: RequestBeginnings,
        incarnation: str,
        window_seconds: float,
        members: Callable[[], int],
        random: Random,
    ) -> None:
        """Write under `incarnation`, which is VM and incarnation with a slash between them."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._counts = counts
        self._beginnings = beginnings
        self._incarnation = incarnation
        self._window_seconds = window_seconds
        self._members = members
        self._delay_seconds = random.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
        self._saving: set[int] = set()
        self._saved_at: dict[int, float] = {}
        # Windows with an early row of this gateway, which the holder expects a final one of.
        self._unfinished: set[int] = set()
        self._rows = 0
        self._too_late = 0
        self._stops = False
        self._task: Task | None = None

    @property
    def too_late(self) -> int:
        """Return how many requests were counted after their window's report was fixed."""
        return self._too_late

    @property
    def is_saved(self) -> bool:
        """Return whether all counts are in the store."""
        is_taken = not (self._counts.windows or self._counts.has_pending)
        return is_taken and not (self._saving or self._unfinished)

    def start(self) -> None:
        """Save counts when they are due."""
        self._task = spawn(self._save_periodically(), "usage rows")

    def stop(self) -> None:
        """Save all counts at once, and later ones as they come, because the process ends."""
        self._stops = True
        self._save_due()

    def close(self) -> None:
        """Stop saving."""
        if self._task is not None:
            self._task.cancel()

    async def _save_periodically(self) -> None:
        while True:
            await sleep(self._timers, CHECK_SECONDS)
            self._save_due()

    def _save_due(self) -> None:
        now = self._timers.now()
        self._counts.place_pending(self._clock.window_at, now)
        pending_until = now if self._stops else now - self._window_seconds - PENDING_SECONDS
        self._counts.place_pending(self._clock.own_window_at, pending_until)
        self._beginnings.count_open(now if self._stops else now - MIN_DELAY_SECONDS)
        dropped = self._counts.take_dropped()
        if dropped:
            self._drop(None, dropped, "too many windows")
        for window in sorted({*self._counts.windows, *self._unfinished}):
            if window not in self._saving and self._is_due(window, now):
                self._saving.add(window)
                spawn(self._save(window), f"usage row of {window}")
        for window in tuple(self._saved_at):
            if now - self._clock.window_end(window) > MAX_AGE_SECONDS:
                del self._saved_at[window]

    def _is_due(self, window: int, now: float) -> bool:
        if self._is_over(window, now):
            return True
        if window not in self._counts.windows:
            return False
        seconds = max(MIN_EARLY_SECONDS, self._members() / EARLY_WRITES_PER_SECOND)
        began_at = self._clock.window_end(window) - self._window_seconds
        return now >= self._saved_at.get(window, began_at) + seconds

    def _is_over(self, window: int, now: float) -> bool:
        """Return whether all that began in a window is counted, as far as is known."""
        return self._stops or now >= self._clock.window_end(window) + self._delay_seconds

    async def _save(self, window: int) -> None:
        self._saved_at[window] = self._timers.now()
        is_final = self._is_over(window, self._timers.now())
        counts = self._counts.take(window)
        if is_final:
            self._unfinished.discard(window)
        else:
            self._unfinished.add(window)
        self._rows += 1
        row = count_row(window, self._incarnation, self._rows)
        may_be_written = False
        while True:
            if self._timers.now() - self._clock.window_end(window) > MAX_AGE_SECONDS:
                self._drop(window, sum(counts.values()), "the window is too old")
                break
            # A row that comes after the report is refused, so that it cannot be missed unnoticed.
            expected = Expectation(report_row(window), 0)
            change = Change((expected,), (Put(row, encode_count_row(counts, is_final)),))
            written = await self._store.commit(change)
            if isinstance(written, Ok):
                break
            code = written.err_value.code
            may_be_written |= code is ResultCode.STORE_OUTCOME_UNKNOWN
            if code is ResultCode.STORE_CONFLICT:
                if not may_be_written or not await self._exists(row):
                    self._drop(window, sum(counts.values()), "the report is fixed")
                break
            await sleep(self._timers, RETRY_SECONDS)
        self._saving.discard(window)

    async def _exists(self, row: RowKey) -> bool:
        """Return whether a row was written by a call whose answer was lost."""
        page = await self._store.read(row.table, row.partition_key, row.key, 1)
        if isinstance(page, Err):
            return False
        return any(stored.row == row for stored in page.ok_value.rows)

    def _drop(self, window: int | None, requests: int, reason: str) -> None:
        # The final row of a window may have no counts.
        if not requests:
            return
        self._too_late += abs(requests)
        _log.warning("usage counted too late", window=window, requests=requests, reason=reason)
