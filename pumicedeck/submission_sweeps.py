"""Removes submissions from the store once nobody may ask for them any more."""

from dataclasses import dataclass

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import Change, PartitionedStore, Put, read_part
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
    """Times in seconds.

    A submission that is not open is kept for `status_seconds` after its acceptance and
    `margin_seconds` more, since processes estimate the store's clock.
    """

    status_seconds: float = 120.0
    margin_seconds: float = 30.0
    every_seconds: float = 5.0
    rows_per_change: int = 80


def choose_expired(
    views: tuple[SubmissionView, ...], now: float, settings: SweepSettings
) -> list[SubmissionView]:
    """Return the submissions that may go, the oldest first; `now` is the store's clock."""
    oldest = now - settings.status_seconds - settings.margin_seconds
    expired = [
        view
        for view in views
        if view.head is not None and not view.is_open and view.head.accepted < oldest
    ]
    return sorted(expired, key=lambda view: view.head.accepted)


class SubmissionSweep:
    """Sweeps one submission at a time while this process holds the scheduler's lease."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        mirror: WorkMirror,
        settings: SweepSettings,
    ) -> None:
        """Use `store` and `mirror`, which stay the caller's."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._mirror = mirror
        self._settings = settings

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await sleep(self._timers, self._settings.every_seconds)
            for view in choose_expired(self._mirror.views, self._clock.now(), self._settings):
                if isinstance(await self._remove(view.submission_id), Err):
                    break

    async def _remove(self, submission_id: str) -> Result[None, Failure]:
        """Remove all rows; the head goes last, so that a sweep cut short is taken up again."""
        removed = 0
        for table in (ITEMS_TABLE, PROGRESS_TABLE, RESULTS_TABLE, WORK_TABLE):
            found = await read_part(self._store, table, submission_id)
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
