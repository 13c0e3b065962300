"""Bounds the time that a call with a callback may take."""

from typing import Any

from result import Err, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.platform_interfaces import (
    Committed,
    Done,
    ObjectStore,
    Row,
    StoreKey,
    TableStore,
    Transaction,
)
from pumicedeck.results import Failure, ResultCode

_READ_TIMED_OUT = Failure(ResultCode.STORE_UNAVAILABLE, "the store did not answer")
_WRITE_TIMED_OUT = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the store did not answer")


def with_timeout(
    timers: TimerQueue, seconds: float, failure: Failure, done: Done[Any]
) -> Done[Any]:
    """Return a callback that reports once to `done`: the first result or, too late, `failure`."""
    reported = False

    def report(result: Result[Any, Failure]) -> None:
        nonlocal reported
        if reported:
            return
        reported = True
        timer.cancel()
        done(result)

    timer = timers.call_later(seconds, lambda: report(Err(failure)))
    return report


class TimedTableStore(TableStore):
    """Reports within `seconds`; a commit without a reply has an unknown outcome."""

    def __init__(self, table: TableStore, timers: TimerQueue, seconds: float) -> None:
        """Bound the calls to `table`, which stays the caller's to close."""
        self._table = table
        self._timers = timers
        self._seconds = seconds

    def read(self, keys: tuple[StoreKey, ...], done: Done[tuple[Row, ...]]) -> None:
        """Read rows as of one moment."""
        self._table.read(keys, with_timeout(self._timers, self._seconds, _READ_TIMED_OUT, done))

    def scan(self, table: str, prefix: str, limit: int, done: Done[tuple[Row, ...]]) -> None:
        """Read rows by prefix in key order."""
        with_deadline = with_timeout(self._timers, self._seconds, _READ_TIMED_OUT, done)
        self._table.scan(table, prefix, limit, with_deadline)

    def commit(self, transaction: Transaction, done: Done[Committed]) -> None:
        """Commit a transaction."""
        with_deadline = with_timeout(self._timers, self._seconds, _WRITE_TIMED_OUT, done)
        self._table.commit(transaction, with_deadline)


class TimedObjectStore(ObjectStore):
    """Reports within `seconds`; a put without a reply has an unknown outcome."""

    def __init__(self, objects: ObjectStore, timers: TimerQueue, seconds: float) -> None:
        """Bound the calls to `objects`, which stays the caller's to close."""
        self._objects = objects
        self._timers = timers
        self._seconds = seconds

    def get(self, name: str, done: Done[bytes]) -> None:
        """Read an object."""
        self._objects.get(name, with_timeout(self._timers, self._seconds, _READ_TIMED_OUT, done))

    def put(self, name: str, data: bytes, done: Done[None]) -> None:
        """Write an object."""
        with_deadline = with_timeout(self._timers, self._seconds, _WRITE_TIMED_OUT, done)
        self._objects.put(name, data, with_deadline)
