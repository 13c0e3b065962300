"""Table and object stores in virtual time for experiments, with delays and faults."""

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
    """Delays in seconds and the chance of each fault per call.

    A late call takes effect only after `late_seconds`. An unanswered call never reports.
    """

    min_delay: float = 0.001
    max_delay: float = 0.010
    lost_request: float = 0.0
    lost_reply: float = 0.0
    late: float = 0.0
    late_seconds: float = 10.0
    unanswered: float = 0.0


class StoreService:
    """The shared state behind all clients' stores, with counts of calls for each second."""

    def __init__(self, timers: TimerQueue, rng: Random, faults: StoreFaults) -> None:
        """Start empty and reachable."""
        self.timers = timers
        self.rng = rng
        self.faults = faults
        self.down = False
        self.data = TableData()
        self.objects: dict[str, bytes] = {}
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()
        self.bytes_out = 0

    def call(
        self,
        counts: Counter[int],
        reachable: Callable[[], bool],
        work: Callable[[], Result[Any, Failure]],
        lost: ResultCode,
        done: ResultCallback[Any],
    ) -> None:
        """Run `work` after a delay and report, subject to the faults."""
        second = int(self.timers.now())
        if self.down or not reachable():
            self.refused[second] += 1
            failure = Failure(ResultCode.STORE_UNAVAILABLE, "store down")
            self.timers.call_later(self._delay(), lambda: done(Err(failure)))
            return
        counts[second] += 1
        _Call(self, reachable, work, lost, done).start(self._delay(), self._delay())

    def _delay(self) -> float:
        return self.rng.uniform(self.faults.min_delay, self.faults.max_delay)


class _Call:
    """One call on its way to the service and back."""

    def __init__(
        self,
        service: StoreService,
        reachable: Callable[[], bool],
        work: Callable[[], Result[Any, Failure]],
        lost: ResultCode,
        done: ResultCallback[Any],
    ) -> None:
        self._service = service
        self._reachable = reachable
        self._work = work
        self._lost = lost
        self._done = done
        self._delay_back = 0.0

    def start(self, delay: float, delay_back: float) -> None:
        self._delay_back = delay_back
        faults = self._service.faults
        if self._strikes(faults.lost_request):
            self._report(Err(Failure(self._lost, "request lost")))
            return
        if self._strikes(faults.late):
            self._report(Err(Failure(self._lost, "request delayed")))
            self._service.timers.call_later(faults.late_seconds, self._work)
            return
        self._service.timers.call_later(delay, self._run)

    def _run(self) -> None:
        if self._service.down or not self._reachable():
            self._report(Err(Failure(self._lost, "request lost")))
            return
        result = self._work()
        if self._strikes(self._service.faults.lost_reply) or not self._reachable():
            result = Err(Failure(self._lost, "reply lost"))
        self._report(result)

    def _report(self, result: Result[Any, Failure]) -> None:
        if self._strikes(self._service.faults.unanswered):
            return
        self._service.timers.call_later(self._delay_back, lambda: self._done(result))

    def _strikes(self, chance: float) -> bool:
        return chance > 0.0 and self._service.rng.random() < chance


def _always() -> bool:
    return True


class ExperimentTableStore(TableStore):
    """One client's view of the table service."""

    def __init__(self, service: StoreService, reachable: Callable[[], bool] = _always) -> None:
        """Call `service` while `reachable` says so."""
        self._service = service
        self._reachable = reachable

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows as of one moment."""
        self._query(lambda: tuple(self._service.data.read(key) for key in keys), done)

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read rows by prefix in key order."""

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
        def work() -> Result[tuple[Row, ...], Failure]:
            found = rows()
            self._service.bytes_out += sum(len(row.value) for row in found)
            return Ok(found)

        self._service.call(
            self._service.reads, self._reachable, work, ResultCode.STORE_UNAVAILABLE, done
        )


class ExperimentObjectStore(ObjectStore):
    """One client's view of the object store."""

    def __init__(self, service: StoreService, reachable: Callable[[], bool] = _always) -> None:
        """Call `service` while `reachable` says so."""
        self._service = service
        self._reachable = reachable

    def get(self, name: str, done: ResultCallback[bytes]) -> None:
        """Read an object."""

        def work() -> Result[bytes, Failure]:
            data = self._service.objects.get(name)
            if data is None:
                return Err(Failure(ResultCode.NOT_FOUND, name))
            self._service.bytes_out += len(data)
            return Ok(data)

        self._service.call(
            self._service.reads, self._reachable, work, ResultCode.STORE_UNAVAILABLE, done
        )

    def put(self, name: str, data: bytes, done: ResultCallback[None]) -> None:
        """Write an object."""

        def work() -> Result[None, Failure]:
            self._service.objects[name] = data
            return Ok(None)

        self._service.call(
            self._service.writes, self._reachable, work, ResultCode.STORE_OUTCOME_UNKNOWN, done
        )


class ExperimentVmList(VmList):
    """One client's view of the list of VMs; readings count as the store's reads."""

    def __init__(
        self,
        service: StoreService,
        list_vms: Callable[[], tuple[Vm, ...]],
        reachable: Callable[[], bool] = _always,
    ) -> None:
        """Show what `listed` returns while `reachable` says so."""
        self._service = service
        self._listed = list_vms
        self._reachable = reachable

    def list(self, done: ResultCallback[tuple[Vm, ...]]) -> None:
        """Read the list as the platform shows it now."""
        self._service.call(
            self._service.reads,
            self._reachable,
            lambda: Ok(self._listed()),
            ResultCode.STORE_UNAVAILABLE,
            done,
        )
