"""Passes all rows of one store table, and then its changed rows, to a callback.

Reads the whole table first, and again when the store has dropped changes that were not yet read.
"""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import Page, PartitionedStore, StoredRow, read_partition
from pumicedeck.results import Failure, ResultCode
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import Promise, Task, sleep, spawn

_log = logger.bind(module="store_feeds")


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Settings of a feed; times in seconds.

    A feed call waits up to `wait_seconds` for a change. The next call follows `pause_seconds` after
    a page of changes and `retry_seconds` after a failure. A read of the whole table reads up to
    `max_concurrent_reads` partitions at a time.
    """

    wait_seconds: float = 0.5
    pause_seconds: float = 0.02
    retry_seconds: float = 0.15
    max_concurrent_reads: int = 16


class StoreFeed:
    """Follows a table and calls `on_rows(rows, is_whole_table)` with changed rows or all rows."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        table: str,
        on_rows: Callable[[tuple[StoredRow, ...], bool], None],
        settings: FeedSettings | None = None,
        partitions: tuple[str, ...] | None = None,
    ) -> None:
        """Follow `table` after `start`; `partitions` limits full reads to these partitions."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._table = table
        self._on_rows = on_rows
        self._settings = settings or FeedSettings()
        self._fixed_partitions = partitions
        self._revision: int | None = None
        self._loaded = False
        self._last_contact_at = -1e9
        self._complete_as_of = -1e9
        self._confirmed_at = -1e9
        self._is_store_unreachable = False
        self._round_trip_seconds = 0.0
        self._skipped = 0
        self._task: Task | None = None
        self._extra_read: Task | None = None

    @property
    def table(self) -> str:
        """Return the name of the table."""
        return self._table

    @property
    def is_loaded(self) -> bool:
        """Return whether the whole table was read at least once."""
        return self._loaded

    @property
    def last_contact_at(self) -> float:
        """Return the monotonic time, in seconds, at which the last answered call was sent."""
        return self._last_contact_at

    @property
    def complete_as_of(self) -> float:
        """Return the monotonic time, in seconds, of whose state all rows were received.

        It is when the last call was sent whose answer left no change out. After an outage the
        changes may come in several answers, the first of which show an older state.
        """
        return self._complete_as_of

    @property
    def confirmed_at(self) -> float:
        """Return the monotonic time, in seconds, up to which all changes were received.

        It is the store's time in the last answer, but not later than the call can have waited:
        an answer that a frozen process reads late confirms only what was true when it was sent.
        """
        return self._confirmed_at

    @property
    def round_trip_seconds(self) -> float:
        """Return the duration of the last call that listed partitions, in seconds.

        Feed calls do not count: they wait for a change.
        """
        return self._round_trip_seconds

    @property
    def skipped(self) -> int:
        """Return how many rows, counted each time they were received, the callback failed on."""
        return self._skipped

    def start(self) -> None:
        """Start following the table."""
        self._task = spawn(self._follow(), f"feed of {self._table}")

    def close(self) -> None:
        """Stop following the table."""
        for task in (self._task, self._extra_read):
            if task is not None:
                task.cancel()

    def read_soon(self) -> None:
        """Read the newest changes at once, beside the call that waits for them.

        The connection of the waiting call may have failed without a sign.
        """
        if self._extra_read is None and self._revision is not None:
            task = spawn(self._read_extra(), f"read of {self._table}")
            if not task.is_done:
                self._extra_read = task

    async def _read_extra(self) -> None:
        try:
            sent_at = self._timers.now()
            outcome = await self._store.read_changes(self._table, self._revision, 0.0)
            if isinstance(outcome, Ok):
                # Without a revision the whole table is being read.
                if self._revision is not None:
                    self._apply_page(outcome.ok_value, sent_at, 0.0)
                return
            _log.debug(
                "extra read of changes failed",
                table=self._table,
                code=outcome.err_value.code.name,
                detail=outcome.err_value.detail,
            )
            await sleep(self._timers, self._settings.retry_seconds)
        finally:
            self._extra_read = None

    async def _follow(self) -> None:
        while True:
            if self._revision is None:
                await self._read_all()
            else:
                await self._read_changes()

    async def _read_changes(self) -> None:
        sent_at = self._timers.now()
        outcome = await self._store.read_changes(
            self._table, self._revision, self._settings.wait_seconds
        )
        if isinstance(outcome, Err):
            await self._handle_failure(outcome.err_value)
            return
        page = outcome.ok_value
        self._apply_page(page, sent_at, self._settings.wait_seconds)
        if page.rows and not page.truncated:
            await sleep(self._timers, self._settings.pause_seconds)

    def _apply_page(self, page: Page, sent_at: float, wait_seconds: float) -> None:
        """Pass on the changes of an answer to a call that waited up to `wait_seconds`."""
        self._record_answer(page.store_seconds, sent_at)
        if not page.truncated:
            answered_at = self._clock.to_local_seconds(page.store_seconds)
            confirmed_at = min(answered_at, sent_at + wait_seconds)
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        # Two calls may be under way; what the later one brought must not be replaced by older rows.
        rows = tuple(row for row in page.rows if row.revision > self._revision)
        if rows:
            self._deliver(rows, False)
        if not page.truncated:
            self._complete_as_of = max(self._complete_as_of, sent_at)
        # A truncated page covers the changes up to its last row only.
        newest_revision = page.rows[-1].revision if page.truncated and page.rows else page.revision
        self._revision = max(self._revision, newest_revision)

    async def _read_all(self) -> None:
        """Read all rows of the table; the feed continues after the revision at the start."""
        sent_at = self._timers.now()
        listed = await self._list_partitions()
        if isinstance(listed, Err):
            await self._handle_failure(listed.err_value)
            return
        partitions, revision = listed.ok_value
        rows: list[StoredRow] = []
        for first in range(0, len(partitions), self._settings.max_concurrent_reads):
            reads = [
                self._start_partition_read(partition_key)
                for partition_key in partitions[first : first + self._settings.max_concurrent_reads]
            ]
            for read in reads:
                outcome = await read
                if isinstance(outcome, Err):
                    await self._handle_failure(outcome.err_value)
                    return
                rows.extend(outcome.ok_value)
        self._record_answer(self._clock.now(), sent_at)
        self._deliver(tuple(rows), True)
        self._loaded = True
        self._complete_as_of = sent_at
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._revision = revision

    def _deliver(self, rows: tuple[StoredRow, ...], is_whole_table: bool) -> None:
        """Pass rows on; one that the callback fails on must not stop the feed or hide the others.

        Rows are states, so that those before the failure can be passed on again.
        """
        if self._try_rows(rows, is_whole_table):
            return
        accepted = []
        for row in rows:
            if self._try_rows((row,), False):
                accepted.append(row)
                continue
            self._skipped += 1
            _log.error(
                "row skipped",
                table=self._table,
                partition=row.row.partition_key,
                key=row.row.key,
                revision=row.revision,
            )
        if is_whole_table:
            self._try_rows(tuple(accepted), True)

    def _try_rows(self, rows: tuple[StoredRow, ...], is_whole_table: bool) -> bool:
        """Pass rows on and return whether the callback did not fail."""
        try:
            self._on_rows(rows, is_whole_table)
        except Exception:
            _log.opt(exception=True).error("rows not applied", table=self._table, rows=len(rows))
            return False
        return True

    async def _list_partitions(self) -> Result[tuple[tuple[str, ...], int], Failure]:
        partitions: list[str] = []
        revision: int | None = None
        while True:
            sent_at = self._timers.now()
            outcome = await self._store.partitions(
                self._table, partitions[-1] if partitions else ""
            )
            self._round_trip_seconds = self._timers.now() - sent_at
            if isinstance(outcome, Err):
                return outcome
            listed = outcome.ok_value
            self._clock.record_store_time(listed.store_seconds)
            # The feed continues after the first revision: later commits come again as changes.
            revision = listed.revision if revision is None else revision
            partitions.extend(listed.partitions)
            if not listed.truncated:
                return Ok((self._fixed_partitions or tuple(partitions), revision))

    def _start_partition_read(
        self, partition_key: str
    ) -> Promise[Result[list[StoredRow], Failure]]:
        promise: Promise[Result[list[StoredRow], Failure]] = Promise()

        async def read() -> None:
            promise.resolve(await read_partition(self._store, self._table, partition_key))

        spawn(read(), f"rows of {self._table}/{partition_key}")
        return promise

    async def _handle_failure(self, failure: Failure) -> None:
        if failure.code is ResultCode.HISTORY_GONE:
            _log.info(
                "change history dropped by store; reading the whole table",
                table=self._table,
                after=self._revision,
            )
            self._revision = None
            return
        if not self._is_store_unreachable:
            self._is_store_unreachable = True
            _log.warning(
                "store lost",
                table=self._table,
                after=self._revision,
                code=failure.code.name,
                detail=failure.detail,
            )
        await sleep(self._timers, self._settings.retry_seconds)

    def _record_answer(self, store_time_seconds: float, sent_at: float) -> None:
        self._clock.record_store_time(store_time_seconds)
        self._last_contact_at = max(self._last_contact_at, sent_at)
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            _log.info("store regained", table=self._table, revision=self._revision)
