"""In-process stand-in for the platform's partitioned store, with its possible faults."""

from collections import deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import (
    Change,
    Page,
    PartitionedStore,
    PartitionList,
    RowKey,
    StoredRow,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tasks import Promise, Signal, spawn, within

DEFAULT_PAGE_ROWS = 500
MAX_LISTED_PARTITIONS = 1000

_DOWN = Failure(ResultCode.STORE_UNAVAILABLE, "the store is down")
_RATE_EXCEEDED = Failure(ResultCode.STORE_UNAVAILABLE, "calls per second exceeded")
_REPLY_LOST = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the reply was lost")
_READ_LOST = Failure(ResultCode.STORE_UNAVAILABLE, "the reply was lost")


class PartitionedData:
    """The rows and their history, shared by every client of the stand-in."""

    def __init__(self) -> None:
        """Create a store without rows, at revision 0."""
        self._rows: dict[RowKey, StoredRow] = {}
        self._history: deque[StoredRow] = deque()
        self._dropped_revision = 0
        self._calls: deque[tuple[float, bool]] = deque()
        self.revision = 0
        self.changed = Signal()

    def commit(self, change: Change) -> Result[int, Failure]:
        """Apply a change if every expected revision matches, else fail with STORE_CONFLICT."""
        for expectation in change.expected:
            found = self._rows.get(expectation.row)
            if (found.revision if found is not None else 0) != expectation.revision:
                return Err(Failure(ResultCode.STORE_CONFLICT, str(expectation.row)))
        if len({put.row.partition_key for put in change.puts}) > 1:
            return Err(Failure(ResultCode.STORE_UNAVAILABLE, "rows of several partitions"))
        self.revision += 1
        for put in change.puts:
            row = StoredRow(put.row, put.value, self.revision)
            self._history.append(row)
            if put.value is None:
                self._rows.pop(put.row, None)
            else:
                self._rows[put.row] = row
        self.changed.notify()
        return Ok(self.revision)

    def read(self, table: str, partition_key: str, first: str, limit: int) -> tuple[StoredRow, ...]:
        """Return up to `limit` rows of a partition from key `first` on, in key order."""
        matching = [
            row
            for key, row in self._rows.items()
            if key.table == table and key.partition_key == partition_key and key.key >= first
        ]
        return tuple(sorted(matching, key=lambda row: row.row.key)[:limit])

    def partitions(self, table: str, after: str) -> tuple[str, ...]:
        """Return the names of a table's partitions after `after`, in order."""
        names = {
            key.partition_key
            for key in self._rows
            if key.table == table and key.partition_key > after
        }
        return tuple(sorted(names)[:MAX_LISTED_PARTITIONS])

    def read_changes(self, table: str, after: int) -> Result[tuple[StoredRow, ...], Failure]:
        """Return the changes after a revision, or HISTORY_GONE if some of them were dropped."""
        if after < self._dropped_revision:
            return Err(
                Failure(
                    ResultCode.HISTORY_GONE,
                    f"changes dropped up to revision {self._dropped_revision}",
                )
            )
        return Ok(
            tuple(row for row in self._history if row.revision > after and row.row.table == table)
        )

    def drop_history(self) -> None:
        """Discard the history of all changes made so far."""
        self._history.clear()
        self._dropped_revision = self.revision

    def try_admit_call(self, now: float, is_write: bool, per_second: int) -> bool:
        """Count a read or write; return False if the last second had `per_second` of its kind."""
        while self._calls and self._calls[0][0] <= now - 1.0:
            self._calls.popleft()
        if sum(1 for _, call_is_write in self._calls if call_is_write is is_write) >= per_second:
            return False
        self._calls.append((now, is_write))
        return True


@dataclass(slots=True)
class StoreFaults:
    """Faults of one client of the store; counts are of the next commits, times are in seconds.

    `late_commits` are applied `late_commit_seconds` after the call, whose outcome is reported as
    unknown. With `silent` no call is answered; with `feed_stalled` a feed receives no changes, and
    at most `max_feed_rows` at a time.
    """

    down: bool = False
    silent: bool = False
    feed_stalled: bool = False
    max_feed_rows: int | None = None
    lost_replies: int = 0
    late_commits: int = 0
    late_commit_seconds: float = 2.0
    delay: float = 0.005
    writes_per_second: int = 800
    reads_per_second: int = 2000


@dataclass(slots=True)
class StoreCalls:
    """Numbers of calls of one client."""

    commits: int = 0
    reads: int = 0
    feeds: int = 0


@dataclass(slots=True)
class StandinPartitionedStore(PartitionedStore):
    """One client of the data; an unanswered call fails after `call_timeout_seconds`."""

    timers: TimerQueue
    data: PartitionedData
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: StoreCalls = field(default_factory=StoreCalls)
    call_timeout_seconds: float = 2.0

    def commit(self, change: Change) -> Promise[Result[int, Failure]]:
        """Apply a change after `faults.delay`."""
        self.calls.commits += 1
        promise: Promise[Result[int, Failure]] = Promise()
        faults = self.faults
        if faults.silent:
            return self._resolve_later(promise, Err(_REPLY_LOST), self.call_timeout_seconds)
        if faults.down:
            return self._resolve_later(promise, Err(_DOWN))
        if not self.data.try_admit_call(self.timers.now(), True, faults.writes_per_second):
            return self._resolve_later(promise, Err(_RATE_EXCEEDED))
        if faults.late_commits:
            faults.late_commits -= 1
            self.timers.call_later(faults.late_commit_seconds, lambda: self.data.commit(change))
            return self._resolve_later(promise, Err(_REPLY_LOST), self.call_timeout_seconds)
        loses_reply = faults.lost_replies > 0
        faults.lost_replies -= loses_reply

        def apply() -> None:
            outcome = self.data.commit(change)
            if loses_reply:
                self._resolve_later(promise, Err(_REPLY_LOST), self.call_timeout_seconds)
            else:
                promise.resolve(outcome)

        self.timers.call_later(faults.delay, apply)
        return promise

    def read(
        self, table: str, partition_key: str, first: str = "", limit: int = DEFAULT_PAGE_ROWS
    ) -> Promise[Result[Page, Failure]]:
        """Read rows after `faults.delay`."""

        def build_answer() -> Result[Page, Failure]:
            rows = self.data.read(table, partition_key, first, limit + 1)
            page = rows[:limit]
            return Ok(Page(page, self.data.revision, self.timers.now(), len(rows) > limit))

        return self._start_read(build_answer)

    def partitions(self, table: str, after: str = "") -> Promise[Result[PartitionList, Failure]]:
        """List partitions after `faults.delay`."""

        def build_answer() -> Result[PartitionList, Failure]:
            partitions = self.data.partitions(table, after)
            is_complete = len(partitions) < MAX_LISTED_PARTITIONS
            return Ok(
                PartitionList(partitions, self.data.revision, self.timers.now(), not is_complete)
            )

        return self._start_read(build_answer)

    def read_changes(self, table: str, after: int, wait: float) -> Promise[Result[Page, Failure]]:
        """Read the changes after a revision, waiting up to `wait` seconds for the first one."""
        self.calls.feeds += 1
        promise: Promise[Result[Page, Failure]] = Promise()
        failure = self._injected_failure()
        if failure is not None:
            return self._resolve_later(promise, Err(failure), self._failure_delay_seconds())
        spawn(self._await_changes(table, after, wait, promise), "stand-in feed")
        return promise

    async def _await_changes(
        self, table: str, after: int, wait: float, promise: Promise[Result[Page, Failure]]
    ) -> None:
        deadline = self.timers.now() + wait
        while True:
            outcome = Ok(()) if self.faults.feed_stalled else self.data.read_changes(table, after)
            remaining_seconds = deadline - self.timers.now()
            if isinstance(outcome, Err) or outcome.ok_value or remaining_seconds <= 0:
                break
            await within(self.timers, remaining_seconds, self.data.changed.wait(), False)
        if isinstance(outcome, Err):
            self._resolve_later(promise, outcome)
            return
        revision = after if self.faults.feed_stalled else self.data.revision
        rows = outcome.ok_value[: self.faults.max_feed_rows]
        is_truncated = len(rows) < len(outcome.ok_value)
        page = Page(rows, revision, self.timers.now(), is_truncated)
        self._resolve_later(promise, Ok(page))

    def _start_read(self, build_answer) -> Promise[Result]:
        self.calls.reads += 1
        promise: Promise[Result] = Promise()
        failure = self._injected_failure()
        if failure is not None:
            return self._resolve_later(promise, Err(failure), self._failure_delay_seconds())
        if not self.data.try_admit_call(self.timers.now(), False, self.faults.reads_per_second):
            return self._resolve_later(promise, Err(_RATE_EXCEEDED))
        self.timers.call_later(self.faults.delay, lambda: promise.resolve(build_answer()))
        return promise

    def _injected_failure(self) -> Failure | None:
        if self.faults.silent:
            return _READ_LOST
        return _DOWN if self.faults.down else None

    def _failure_delay_seconds(self) -> float:
        return self.call_timeout_seconds if self.faults.silent else self.faults.delay

    def _resolve_later(
        self, promise: Promise[Result], outcome: Result, seconds: float | None = None
    ) -> Promise[Result]:
        delay = self.faults.delay if seconds is None else seconds
        self.timers.call_later(delay, lambda: promise.resolve(outcome))
        return promise
