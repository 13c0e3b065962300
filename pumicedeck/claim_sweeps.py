"""Deletes claim rows that are older than the time within which callers may retry.

The watermark is raised before the rows below it are deleted, and every claim checks the watermark
in its transaction. An id whose row was deleted is therefore refused and never accepted as new,
even if the clocks of the VMs differ. The wall clock only decides when rows are deleted.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from result import Err, Result

from pumicedeck.claim_rows import CLAIMS_TABLE, TIMED_PREFIX, WATERMARK_KEY, bucket_end
from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.platform_interfaces import (
    Committed,
    Condition,
    Row,
    StoreKey,
    TableStore,
    Transaction,
    Write,
)
from pumicedeck.results import Failure
from pumicedeck.timeouts import TimedTableStore


@dataclass(frozen=True, slots=True)
class ClaimSweepSettings:
    """Times and write budget of a sweep.

    Callers may repeat a request id for `retry_seconds`; its row is kept `margin_seconds` longer.
    A sweep starts every `sweep_seconds` on average. It deletes up to `transaction_rows` rows in a
    transaction and waits `transaction_seconds` between transactions. `call_seconds` is the timeout
    of a store call.
    """

    retry_seconds: float = 3600.0
    margin_seconds: float = 600.0
    sweep_seconds: float = 600.0
    call_seconds: float = 2.0
    transaction_rows: int = 256
    transaction_seconds: float = 0.5


@dataclass(slots=True)
class ClaimSweepCounters:
    """Counts since the start of the process."""

    watermarks: int = 0
    transactions: int = 0
    rows_deleted: int = 0
    failures: int = 0


class ClaimSweeps:
    """Raises the watermark periodically and, on success, deletes the rows below the watermark."""

    def __init__(
        self,
        store: TableStore,
        timers: TimerQueue,
        wall_clock: Callable[[], float],
        random: Random,
        settings: ClaimSweepSettings | None = None,
    ) -> None:
        """Sweep the claims in `store`; `wall_clock` returns Unix seconds."""
        self._settings = settings or ClaimSweepSettings()
        self._store = TimedTableStore(store, timers, self._settings.call_seconds)
        self._timers = timers
        self._wall_clock = wall_clock
        self._random = random
        self._watermark = 0
        self._timer: Timer | None = None
        self._counters = ClaimSweepCounters()

    @property
    def counters(self) -> ClaimSweepCounters:
        """Return a copy of the counters."""
        return replace(self._counters)

    def start(self) -> None:
        """Schedule the first sweep at a random moment of the first interval."""
        self._call_later(
            self._random.uniform(0.0, self._settings.sweep_seconds), self._read_watermark
        )

    def close(self) -> None:
        """Stop sweeping."""
        if self._timer:
            self._timer.cancel()

    def _call_later(self, seconds: float, step: Callable[[], None]) -> None:
        self._timer = self._timers.call_later(seconds, step)

    def _schedule_sweep(self) -> None:
        jitter = self._random.uniform(0.9, 1.1)
        self._call_later(self._settings.sweep_seconds * jitter, self._read_watermark)

    def _on_failure(self) -> None:
        self._counters.failures += 1
        self._schedule_sweep()

    def _read_watermark(self) -> None:
        self._store.read((StoreKey(CLAIMS_TABLE, WATERMARK_KEY),), self._watermark_read)

    def _watermark_read(self, result: Result[tuple[Row, ...], Failure]) -> None:
        if isinstance(result, Err):
            self._on_failure()
            return
        row = result.ok_value[0]
        lifetime = self._settings.retry_seconds + self._settings.margin_seconds
        new_watermark = int(self._wall_clock() - lifetime)
        if new_watermark < int(row.value or b"0") + self._settings.sweep_seconds:
            self._schedule_sweep()
            return
        condition = Condition(CLAIMS_TABLE, WATERMARK_KEY, row.revision)
        write = Write(CLAIMS_TABLE, WATERMARK_KEY, str(new_watermark).encode())
        self._counters.transactions += 1
        self._store.commit(
            Transaction((condition,), (write,)),
            lambda committed: self._watermark_raised(new_watermark, committed),
        )

    def _watermark_raised(self, watermark: int, result: Result[Committed, Failure]) -> None:
        if isinstance(result, Err):
            self._on_failure()
            return
        self._counters.watermarks += 1
        self._watermark = watermark
        self._scan()

    def _scan(self) -> None:
        limit = self._settings.transaction_rows
        self._store.scan(CLAIMS_TABLE, TIMED_PREFIX, limit, self._scanned)

    def _scanned(self, result: Result[tuple[Row, ...], Failure]) -> None:
        if isinstance(result, Err):
            self._on_failure()
            return
        expired_rows = [row for row in result.ok_value if bucket_end(row.key) <= self._watermark]
        if not expired_rows:
            self._schedule_sweep()
            return
        conditions = tuple(Condition(CLAIMS_TABLE, row.key, row.revision) for row in expired_rows)
        writes = tuple(Write(CLAIMS_TABLE, row.key, None) for row in expired_rows)
        self._counters.transactions += 1
        self._store.commit(Transaction(conditions, writes), self._deleted)

    def _deleted(self, result: Result[Committed, Failure]) -> None:
        if isinstance(result, Err):
            self._on_failure()
            return
        self._counters.rows_deleted += len(result.ok_value.revisions)
        self._call_later(self._settings.transaction_seconds, self._scan)
