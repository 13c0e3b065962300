"""Timeouts for calls that report to a callback, such as those of stores."""

from typing import Any

from result import Err, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.platform_interfaces import (
    Committed,
    ObjectStore,
    ResultCallback,
    Row,
    StoreKey,
    TableStore,
    Transaction,
)
from pumicedeck.results import Failure, ResultCode

_READ_TIMED_OUT = Failure(ResultCode.STORE_UNAVAILABLE, "the store did not answer in time")
_WRITE_TIMED_OUT = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the store did not answer in time")


def with_timeout(
    timers: TimerQueue, seconds: float, failure: Failure, done: ResultCallback[Any]
) -> ResultCallback[Any]:
    """Return a callback that passes its first result to `done`, or `failure` after `seconds`."""
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
    """A table service whose calls report within `seconds`.

    A commit that times out fails with STORE_OUTCOME_UNKNOWN, other calls with STORE_UNAVAILABLE.
    """

    def __init__(self, table: TableStore, timers: TimerQueue, seconds: float) -> None:
        """Limit the calls to `table`; closing `table` is left to the caller."""
        self._table = table
        self._timers = timers
        self._seconds = seconds

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows from one consistent snapshot."""
        self._table.read(keys, with_timeout(self._timers, self._seconds, _READ_TIMED_OUT, done))

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read up to `limit` rows with a key prefix, in key order."""
        with_deadline = with_timeout(self._timers, self._seconds, _READ_TIMED_OUT, done)
        self._table.scan(table, prefix, limit, with_deadline)

    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction."""
        with_deadline = with_timeout(self._timers, self._seconds, _WRITE_TIMED_OUT, done)
        self._table.commit(transaction, with_deadline)


class TimedObjectStore(ObjectStore):
    """An object store whose calls report within `seconds`.

    A put that times out fails with STORE_OUTCOME_UNKNOWN, a get with STORE_UNAVAILABLE.
    """

    def __init__(self, objects: ObjectStore, timers: TimerQueue, seconds: float) -> None:
        """Limit the calls to `objects`; closing `objects` is left to the caller."""
        self._objects = objects
        self._timers = timers
        self._seconds = seconds

    def get(self, name: str, done: ResultCallback[bytes]) -> None:
        """Read an object."""
        self._objects.get(name, with_timeout(self._timers, self._seconds, _READ_TIMED_OUT, done))

    def put(self, name: str, data: bytes, done: ResultCallback[None]) -> None:
        """Write an object."""
        with_deadline = with_timeout(self._timers, self._seconds, _WRITE_TIMED_OUT, done)
        self._objects.put(name, data, with_deadline)
