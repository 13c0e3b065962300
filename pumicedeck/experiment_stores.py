"""Simulates the table service, the object store and the VM list in virtual time, with faults."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.platform_interfaces import (
    Committed,
    ObjectStore,
    ResultCallback,
    Row,
    StoreKey,
    TableStore,
    Transaction,
    VmList,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.standin_tables import TableData
from pumicedeck.topology import Vm


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Delays in seconds and the probability of each fault per call.

    A late call reports a failure but takes effect after `late_seconds`. The callback of an
    unanswered call is never called.
    """

    min_delay: float = 0.001
    max_delay: float = 0.010
    lost_request: float = 0.0
    lost_reply: float = 0.0
    late: float = 0.0
    late_seconds: float = 10.0
    unanswered: float = 0.0


class StoreService:
    """The state shared by the stores of all clients; counts the calls in each second."""

    def __init__(self, timers: TimerQueue, rng: Random, faults: StoreFaults) -> None:
        """Create an empty service that is up."""
        self.timers = timers
        self.rng = rng
        self.faults = faults
        self.down = False
        self.data = TableData()
        self.objects: dict[str, bytes] = {}
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()
        self.bytes_read = 0

    def call(
        self,
        counts: Counter[int],
        reachable: Callable[[], bool],
        operation: Callable[[], Result[Any, Failure]],
        lost_code: ResultCode,
        done: ResultCallback[Any],
    ) -> None:
        """Run `operation` after a delay and pass its result to `done`, subject to the faults.

        `counts` counts the calls of this kind, except refused ones. `lost_code` is the result code
        of a call whose request or reply is lost.
        """
        second = int(self.timers.now())
        if self.down or not reachable():
            self.refused[second] += 1
            failure = Failure(ResultCode.STORE_UNAVAILABLE, "store down")
            self.timers.call_later(self._delay(), lambda: done(Err(failure)))
            return
        counts[second] += 1
        _Call(self, reachable, operation, lost_code, done).start(self._delay(), self._delay())

    def _delay(self) -> float:
        return self.rng.uniform(self.faults.min_delay, self.faults.max_delay)


class _Call:
    """One call to the service, with its delays and faults in both directions."""

    def __init__(
        self,
        service: StoreService,
        reachable: Callable[[], bool],
        operation: Callable[[], Result[Any, Failure]],
        lost_code: ResultCode,
        done: ResultCallback[Any],
    ) -> None:
        self._service = service
        self._reachable = reachable
        self._operation = operation
        self._lost_code = lost_code
        self._done = done
        self._reply_delay = 0.0

    def start(self, delay: float, reply_delay: float) -> None:
        self._reply_delay = reply_delay
        faults = self._service.faults
        if self._occurs(faults.lost_request):
            self._report_result(Err(Failure(self._lost_code, "request lost")))
            return
        if self._occurs(faults.late):
            self._report_result(Err(Failure(self._lost_code, "request delayed")))
            self._service.timers.call_later(faults.late_seconds, self._operation)
            return
        self._service.timers.call_later(delay, self._execute)

    def _execute(self) -> None:
        if self._service.down or not self._reachable():
            self._report_result(Err(Failure(self._lost_code, "request lost")))
            return
        result = self._operation()
        if self._occurs(self._service.faults.lost_reply) or not self._reachable():
            result = Err(Failure(self._lost_code, "reply lost"))
        self._report_result(result)

    def _report_result(self, result: Result[Any, Failure]) -> None:
        if self._occurs(self._service.faults.unanswered):
            return
        self._service.timers.call_later(self._reply_delay, lambda: self._done(result))

    def _occurs(self, probability: float) -> bool:
        return probability > 0.0 and self._service.rng.random() < probability


def _always_reachable() -> bool:
    return True


class ExperimentTableStore(TableStore):
    """The table service as one client sees it."""

    def __init__(
        self, service: StoreService, reachable: Callable[[], bool] = _always_reachable
    ) -> None:
        """Use `service` as long as `reachable` returns True."""
        self._service = service
        self._reachable = reachable

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows in one consistent snapshot."""
        self._query(lambda: tuple(self._service.data.read(key) for key in keys), done)

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read at most `limit` rows whose keys begin with `prefix`, in key order."""

        self._query(lambda: self._service.data.scan(table, prefix, limit), done)

    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction."""
        self._service.call(
            self._service.writes,
            self._reachable,
            lambda: self._service.data.commit(transaction),
            ResultCode.STORE_OUTCOME_UNKNOWN,
            done,
        )

    def _query(
        self, rows: Callable[[], tuple[Row, ...]], done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        def operation() -> Result[tuple[Row, ...], Failure]:
            found = rows()
            self._service.bytes_read += sum(len(row.value) for row in found)
            return Ok(found)

        self._service.call(
            self._service.reads, self._reachable, operation, ResultCode.STORE_UNAVAILABLE, done
        )


class ExperimentObjectStore(ObjectStore):
    """The object store as one client sees it."""

    def __init__(
        self, service: StoreService, reachable: Callable[[], bool] = _always_reachable
    ) -> None:
        """Use `service` as long as `reachable` returns True."""
        self._service = service
        self._reachable = reachable

    def get(self, name: str, done: ResultCallback[bytes]) -> None:
        """Read an object; a missing one fails with NOT_FOUND."""

        def operation() -> Result[bytes, Failure]:
            data = self._service.objects.get(name)
            if data is None:
                return Err(Failure(ResultCode.NOT_FOUND, name))
            self._service.bytes_read += len(data)
            return Ok(data)

        self._service.call(
            self._service.reads, self._reachable, operation, ResultCode.STORE_UNAVAILABLE, done
        )

    def put(self, name: str, data: bytes, done: ResultCallback[None]) -> None:
        """Write an object."""

        def operation() -> Result[None, Failure]:
            self._service.objects[name] = data
            return Ok(None)

        self._service.call(
            self._service.writes, self._reachable, operation, ResultCode.STORE_OUTCOME_UNKNOWN, done
        )


class ExperimentVmList(VmList):
    """The VM list as one client sees it; each request counts as a read of the store."""

    def __init__(
        self,
        service: StoreService,
        list_vms: Callable[[], tuple[Vm, ...]],
        reachable: Callable[[], bool] = _always_reachable,
    ) -> None:
        """List what `list_vms` returns as long as `reachable` returns True."""
        self._service = service
        self._list_vms = list_vms
        self._reachable = reachable

    def list(self, done: ResultCallback[tuple[Vm, ...]]) -> None:
        """Read the current list of VMs."""
        self._service.call(
            self._service.reads,
            self._reachable,
            lambda: Ok(self._list_vms()),
            ResultCode.STORE_UNAVAILABLE,
            done,
        )
