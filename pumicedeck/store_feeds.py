"""Follows one table of the store through its change feed."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from result import Err

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import Page, PartitionedStore, StoredRow
from pumicedeck.results import ResultCode
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import Task, sleep, spawn

_log = logger.bind(module="store_feeds")


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Times in seconds: a call waits `wait_seconds`, the next one follows after `pause_seconds`.

    `reread_seconds` bounds how long a feed that says nothing is believed without a full read.
    """

    wait_seconds: float = 0.5
    pause_seconds: float = 0.02
    retry_seconds: float = 0.15
    reread_seconds: float = 3.0


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
    ) -> None:
        """Follow `table` after `start`."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._table = table
        self._take = take
        self._settings = settings or FeedSettings()
        self._revision = 0
        self._loaded = False
        self._heard_at = -1e9
        self._full_at = -1e9
        self._lost = False
        self._task: Task | None = None

    @property
    def is_loaded(self) -> bool:
        """Return whether the table was read once."""
        return self._loaded

    @property
    def heard_at(self) -> float:
        """Return the second at which the last answered call was sent."""
        return self._heard_at

    def start(self) -> None:
        """Begin to follow."""
        self._task = spawn(self._follow(), f"feed of {self._table}")

    def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        while True:
            await self._round()

    async def _round(self) -> None:
        sent = self._timers.now()
        full = self._revision == 0
        wait = 0.0 if full else self._settings.wait_seconds
        outcome = await self._store.changes(self._table, self._revision, wait)
        if isinstance(outcome, Err):
            await self._recover(outcome.err_value.code)
            return
        page = outcome.ok_value
        self._accept(page, full, sent)
        if not page.truncated and page.rows:
            await sleep(self._timers, self._settings.pause_seconds)

    async def _recover(self, code: ResultCode) -> None:
        if code is ResultCode.HISTORY_GONE:
            _log.info("history gone; table read anew", table=self._table, after=self._revision)
            self._revision = 0
            return
        if not self._lost:
            self._lost = True
            _log.warning("feed lost", table=self._table, after=self._revision, code=code.name)
        await sleep(self._timers, self._settings.retry_seconds)

    def _accept(self, page: Page, full: bool, sent: float) -> None:
        self._clock.saw(page.store_seconds)
        self._heard_at = sent
        if self._lost:
            self._lost = False
            _log.info("feed regained", table=self._table, revision=page.revision)
        if full:
            self._full_at = sent
        if page.rows or full:
            self._take(page.rows, full)
        self._loaded = True
        # A page that was cut off ends at its last row.
        newest = page.rows[-1].revision if page.truncated and page.rows else page.revision
        self._revision = max(self._revision, newest)
