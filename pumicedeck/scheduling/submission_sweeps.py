"""Removes submissions from the store after the time in which callers may read them."""

from dataclasses import dataclass

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import Change, PartitionedStore, Put, read_partition
from pumicedeck.results import Failure
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import sleep
from pumicedeck.work_mirrors import (
    HEAD_KEY,
    ITEMS_TABLE,
    PROGRESS_TABLE,
    RESULTS_TABLE,
    WORK_TABLE,
    SubmissionView,
    WorkMirror,
)

_log = logger.bind(module="submission_sweeps")


@dataclass(frozen=True, slots=True)
class SweepSettings:
    """Timing of the sweep, in seconds, and the limit of one transaction, in rows.

    A submission that is not open is kept for `status_seconds` after its acceptance, and
    `margin_seconds` longer because processes only estimate the store's clock.
    """

    status_seconds: float = 120.0
    margin_seconds: float = 30.0
    interval_seconds: float = 5.0
    rows_per_change: int = 80


def choose_expired(
    views: tuple[SubmissionView, ...], now: float, settings: SweepSettings
) -> list[SubmissionView]:
    """Return the submissions to remove, the oldest first; `now` in seconds on the store's clock."""
    oldest = now - settings.status_seconds - settings.margin_seconds
    expired = [
        view
        for view in views
        if view.head is not None and not view.is_open and view.head.accepted < oldest
    ]
    return sorted(expired, key=lambda view: view.head.accepted)


class SubmissionSweep:
    """Removes expired submissions one by one while the scheduler of this process is active."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        mirror: WorkMirror,
        settings: SweepSettings,
    ) -> None:
        """Create a sweep of `store`; the caller keeps `mirror` up to date."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._mirror = mirror
        self._settings = settings

    async def run(self) -> None:
        """Remove expired submissions at regular intervals until cancelled."""
        while True:
            await sleep(self._timers, self._settings.interval_seconds)
            for view in choose_expired(self._mirror.views, self._clock.now(), self._settings):
                if isinstance(await self._remove(view.submission_id), Err):
                    break

    async def _remove(self, submission_id: str) -> Result[None, Failure]:
        """Remove all rows of a submission.

        The head row goes last, so that an interrupted removal is continued by a later sweep.
        """
        removed = 0
        for table in (ITEMS_TABLE, PROGRESS_TABLE, RESULTS_TABLE, WORK_TABLE):
            found = await read_partition(self._store, table, submission_id)
            if isinstance(found, Err):
                return found
            rows = sorted(found.ok_value, key=lambda row: row.row.key == HEAD_KEY)
            for at in range(0, len(rows), self._settings.rows_per_change):
                chunk = rows[at : at + self._settings.rows_per_change]
                outcome = await self._store.commit(
                    Change((), tuple(Put(row.row, None) for row in chunk))
                )
                if isinstance(outcome, Err):
                    return outcome
                removed += len(chunk)
        _log.info("submission removed", submission=submission_id, rows=removed)
        return Ok(None)
