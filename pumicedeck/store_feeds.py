"""Follows one table of the store through its change feed."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import PartitionedStore, StoredRow, read_partition
from pumicedeck.results import Failure, ResultCode
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import Promise, Task, sleep, spawn

_log = logger.bind(module="store_feeds")


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Times in seconds: a call waits `wait_seconds`, the next one follows after `pause_seconds`.

    A full read asks for `parts_at_once` parts at the same time.
    """

    wait_seconds: float = 0.5
    pause_seconds: float = 0.02
    retry_seconds: float = 0.15
    max_concurrent_reads: int = 16


class StoreFeed:
    """Hands changed rows to `take`, which is also told whether they are all rows there are."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        table: str,
        take: Callable[[tuple[StoredRow, ...], bool], None],
        settings: FeedSettings | None = None,
        partitions: tuple[str, ...] | None = None,
    ) -> None:
        """Follow `table` after `start`; `parts` names its parts if they are known beforehand."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._table = table
        self._take = take
        self._settings = settings or FeedSettings()
        self._parts = partitions
        self._revision: int | None = None
        self._loaded = False
        self._heard_at = -1e9
        self._lost = False
        self._round_trip = 0.0
        self._task: Task | None = None

    @property
    def table(self) -> str:
        """Return the table's name."""
        return self._table

    @property
    def is_loaded(self) -> bool:
        """Return whether the table was read once."""
        return self._loaded

    @property
    def last_contact_at(self) -> float:
        """Return the second at which the last answered call was sent."""
        return self._heard_at

    @property
    def round_trip_seconds(self) -> float:
        """Return the seconds that the last short call took."""
        return self._round_trip

    def start(self) -> None:
        """Begin to follow."""
        self._task = spawn(self._follow(), f"feed of {self._table}")

    def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        while True:
            if self._revision is None:
                await self._read_all()
            else:
                await self._read_changes()

    async def _read_changes(self) -> None:
        sent = self._timers.now()
        outcome = await self._store.read_changes(
            self._table, self._revision, self._settings.wait_seconds
        )
        if isinstance(outcome, Err):
            await self._recover(outcome.err_value)
            return
        page = outcome.ok_value
        self._heard(page.store_seconds, sent)
        if page.rows:
            self._take(page.rows, False)
        # A page that was cut off ends at its last row.
        newest = page.rows[-1].revision if page.truncated and page.rows else page.revision
        self._revision = max(self._revision, newest)
        if page.rows and not page.truncated:
            await sleep(self._timers, self._settings.pause_seconds)

    async def _read_all(self) -> None:
        """Read every row as of now or a little later; the changes since then follow."""
        sent = self._timers.now()
        listed = await self._list_parts()
        if isinstance(listed, Err):
            await self._recover(listed.err_value)
            return
        partitions, revision = listed.ok_value
        rows: list[StoredRow] = []
        for at in range(0, len(partitions), self._settings.max_concurrent_reads):
            reads = [
                self._read_part(partition_key)
                for partition_key in partitions[at : at + self._settings.max_concurrent_reads]
            ]
            for read in reads:
                outcome = await read
                if isinstance(outcome, Err):
                    await self._recover(outcome.err_value)
                    return
                rows.extend(outcome.ok_value)
        self._heard(self._clock.now(), sent)
        self._take(tuple(rows), True)
        self._loaded = True
        self._revision = revision

    async def _list_parts(self) -> Result[tuple[tuple[str, ...], int], Failure]:
        partitions: list[str] = []
        revision: int | None = None
        while True:
            asked = self._timers.now()
            outcome = await self._store.partitions(
                self._table, partitions[-1] if partitions else ""
            )
            self._round_trip = self._timers.now() - asked
            if isinstance(outcome, Err):
                return outcome
            listed = outcome.ok_value
            self._clock.record_store_seconds(listed.store_seconds)
            # What was committed while the parts were read comes again with the changes.
            revision = listed.revision if revision is None else revision
            partitions.extend(listed.partitions)
            if not listed.truncated:
                return Ok((self._parts or tuple(partitions), revision))

    def _read_part(self, partition_key: str) -> Promise[Result[list[StoredRow], Failure]]:
        promise: Promise[Result[list[StoredRow], Failure]] = Promise()

        async def read() -> None:
            promise.resolve(await read_partition(self._store, self._table, partition_key))

        spawn(read(), f"rows of {self._table}/{partition_key}")
        return promise

    async def _recover(self, failure: Failure) -> None:
        if failure.code is ResultCode.HISTORY_GONE:
            _log.info(
                "change history dropped by store; reading the whole table",
                table=self._table,
                after=self._revision,
            )
            self._revision = None
            return
        if not self._lost:
            self._lost = True
            _log.warning(
                "store lost",
                table=self._table,
                after=self._revision,
                code=failure.code.name,
                detail=failure.detail,
            )
        await sleep(self._timers, self._settings.retry_seconds)

    def _heard(self, store_seconds: float, sent: float) -> None:
        self._clock.record_store_seconds(store_seconds)
        self._heard_at = sent
        if self._lost:
            self._lost = False
            _log.info("store regained", table=self._table, revision=self._revision)
