"""In-process stand-in for the platform's transactional table service."""

from bisect import bisect_left, insort
from collections import Counter
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.faults import FaultSwitches, StandIn
from pumicedeck.platform_interfaces import (
    Committed,
    Condition,
    ResultCallback,
    Row,
    StoreKey,
    TableStore,
    Transaction,
    Write,
    adapter,
)
from pumicedeck.results import Failure, ResultCode

_DOWN = Failure(ResultCode.STORE_UNAVAILABLE, "the table service is down")
_READ_LOST = Failure(ResultCode.STORE_UNAVAILABLE, "the reply to a read was lost")
_COMMIT_LOST = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the reply to a commit was lost")


class TableData:
    """The rows of a table service, shared by one or more stand-in clients."""

    def __init__(self) -> None:
        """Create a store without rows."""
        self._rows: dict[str, dict[str, Row]] = {}
        self._keys: dict[str, list[str]] = {}
        self._revision = 0

    def read(self, key: StoreKey) -> Row:
        """Return a row, with revision 0 if it is absent."""
        row = self._rows.get(key.table, {}).get(key.key)
        return row or Row(key.table, key.key, b"", 0)

    def scan(self, table: str, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows whose key starts with `prefix`, in key order."""
        keys = self._keys.get(table, [])
        rows = self._rows.get(table, {})
        found = []
        for key in keys[bisect_left(keys, prefix) :]:
            if len(found) >= limit or not key.startswith(prefix):
                break
            found.append(rows[key])
        return tuple(found)

    def commit(self, transaction: Transaction) -> Result[Committed, Failure]:
        """Apply all writes if every condition holds, else fail with STORE_CONFLICT."""
        for condition in transaction.conditions:
            if not self._is_met(condition):
                name = f"{condition.table}/{condition.key}"
                return Err(Failure(ResultCode.STORE_CONFLICT, name))
        return Ok(Committed(tuple(self._apply_write(write) for write in transaction.writes)))

    def _is_met(self, condition: Condition) -> bool:
        row = self.read(StoreKey(condition.table, condition.key))
        return row.revision == condition.revision

    def _apply_write(self, write: Write) -> int:
        self._revision += 1
        rows = self._rows.setdefault(write.table, {})
        keys = self._keys.setdefault(write.table, [])
        if write.value is None:
            if rows.pop(write.key, None) is not None:
                del keys[bisect_left(keys, write.key)]
            return self._revision
        if write.key not in rows:
            insort(keys, write.key)
        rows[write.key] = Row(write.table, write.key, write.value, self._revision)
        return self._revision


class StoreUsage:
    """Counts operations in total and per second, to check them against a budget."""

    def __init__(self) -> None:
        """Create counters at zero."""
        self.reads = 0
        self.rows_read = 0
        self.transactions = 0
        self.rows_written = 0
        self._reads_by_second: Counter[int] = Counter()
        self._writes_by_second: Counter[int] = Counter()

    @property
    def peak_reads(self) -> int:
        """Return the highest number of read calls in one second."""
        return max(self._reads_by_second.values(), default=0)

    @property
    def peak_transactions(self) -> int:
        """Return the highest number of transactions in one second."""
        return max(self._writes_by_second.values(), default=0)

    def count_read(self, now: float, rows: int) -> None:
        """Count one read or scan."""
        self.reads += 1
        self.rows_read += rows
        self._reads_by_second[int(now)] += 1

    def count_commit(self, now: float, rows: int) -> None:
        """Count one transaction, committed or in conflict."""
        self.transactions += 1
        self.rows_written += rows
        self._writes_by_second[int(now)] += 1


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Highest numbers of calls per second, 0 for no limit, and the latency in seconds."""

    reads_per_second: float = 0.0
    transactions_per_second: float = 0.0
    latency: float = 0.0


class _CallSpacer:
    """Delays calls so that they are evenly spaced and never exceed a rate per second."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._base_seconds = 0.0
        self._calls_since_base = 0

    def reserve_start(self, now: float) -> float:
        """Reserve the next start time and return the seconds until then."""
        if self._rate <= 0:
            return 0.0
        # Start times are computed from a base, since a running sum of intervals would drift.
        start = self._base_seconds + self._calls_since_base / self._rate
        if start < now:
            start = self._base_seconds = now
            self._calls_since_base = 0
        self._calls_since_base += 1
        return start - now


@adapter("TableStore", "standin")
class StandinTableStore(StandIn, TableStore):
    """A table service in memory; several clients may share one `data`."""

    def __init__(
        self,
        timers: TimerQueue,
        faults: FaultSwitches | None = None,
        data: TableData | None = None,
        limits: StoreLimits | None = None,
    ) -> None:
        """Serve `data` within `limits`."""
        super().__init__(timers, faults)
        limits = limits or StoreLimits()
        self.data = data or TableData()
        self.usage = StoreUsage()
        self._latency = limits.latency
        self._read_spacer = _CallSpacer(limits.reads_per_second)
        self._commit_spacer = _CallSpacer(limits.transactions_per_second)

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows, all as of the same moment."""
        self._serve_read("read", lambda: tuple(self.data.read(key) for key in keys), done)

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read up to `limit` rows whose key starts with `prefix`, in key order."""
        self._serve_read("scan", lambda: self.data.scan(table, prefix, limit), done)

    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction."""

        def work() -> Result[Committed, Failure]:
            self.usage.count_commit(self._timers.now(), len(transaction.writes))
            return self.data.commit(transaction)

        work_seconds = self._latency + self._commit_spacer.reserve_start(self._timers.now())
        self._serve("commit", work, done, _DOWN, _COMMIT_LOST, work_seconds)

    def _serve_read(self, operation, read, done) -> None:
        def work() -> Result[tuple[Row, ...], Failure]:
            rows = read()
            self.usage.count_read(self._timers.now(), len(rows))
            return Ok(rows)

        work_seconds = self._latency + self._read_spacer.reserve_start(self._timers.now())
        self._serve(operation, work, done, _DOWN, _READ_LOST, work_seconds)
