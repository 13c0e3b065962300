"""A submission in the scheduler's hands: its items, and the writer of its results."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import Change, Expectation, PartitionedStore, Put, read_part
from pumicedeck.results import Failure, ResultCode
from pumicedeck.submission_rows import (
    read_items,
    read_progress,
    read_results,
    results_puts,
    results_row,
)
from pumicedeck.submissions import (
    Item,
    ItemResult,
    Progress,
    SubmissionHead,
    encode_progress,
)
from pumicedeck.tasks import Task, sleep, spawn, within
from pumicedeck.work_mirrors import (
    WORK_TABLE,
    SubmissionView,
    encode_listed,
    encode_owner,
    listed_row,
    owner_row,
    progress_row,
)

_log = logger.bind(module="submission_works")


@dataclass(frozen=True, slots=True)
class WriterSettings:
    """Times in seconds; sizes in bytes and rows.

    `gather_seconds` is how long results are gathered for one row, `flush_seconds` how long a
    hand-over waits for the last of them.
    """

    gather_seconds: float = 0.02
    retry_seconds: float = 0.15
    flush_seconds: float = 0.5
    row_bytes: int = 40_000
    progress_rows: int = 40
    progress_bytes: int = 60_000
    progress_events: int = 6


@dataclass(slots=True, eq=False)
class ItemWork:
    """An item that is not listed yet."""

    item: Item
    progress: Progress = field(default_factory=Progress)
    errors: int = 0
    attempts: int = 0
    moves: int = 0
    avoid: dict[str, float] = field(default_factory=dict)
    saved_event: int = 0
    saved_whole: bool = False
    carried_over: bool = False
    not_before: float = 0.0


class SubmissionWork:
    """Owns a submission's results as long as its owner row stands at our revision."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        head: SubmissionHead,
        holder: str,
        lost: Callable[["SubmissionWork"], None],
        settings: WriterSettings | None = None,
    ) -> None:
        """Report to `lost` when another scheduler owns the submission."""
        self._timers = timers
        self._store = store
        self._holder = holder
        self._lost = lost
        self._settings = settings or WriterSettings()
        self.head = head
        self.waiting: dict[str, ItemWork] = {}
        self.running: dict[str, ItemWork] = {}
        self.results: list[ItemResult] = []
        self.fencing = 0
        self.optional_groups: frozenset[str] = frozenset()
        self._owner_revision = 0
        self._pending: list[ItemResult] = []
        self._scorings: dict[str, Task] = {}
        self._writer: Task | None = None
        self._saving = False
        self._closed = False

    @property
    def listed(self) -> int:
        """Return how many results have their position."""
        return len(self.results)

    @property
    def submission_id(self) -> str:
        """Return the submission's id."""
        return self.head.submission_id

    async def adopt(self, fencing: int, view: SubmissionView) -> Result[None, Failure]:
        """Become the owner and read what is left to do."""
        self.fencing = fencing
        claimed = await self._claim(fencing, view)
        if isinstance(claimed, Err):
            return claimed
        results = await read_results(self._store, self.submission_id)
        if isinstance(results, Err):
            return results
        items = await read_items(self._store, self.head)
        if isinstance(items, Err):
            return items
        progress = await read_progress(self._store, self.submission_id)
        self.results = results.ok_value
        done = {result.item_id for result in self.results}
        for item in items.ok_value:
            if item.item_id not in done:
                work = ItemWork(item, progress.get(item.item_id, Progress()))
                work.saved_event = work.progress.last_event
                self.waiting[item.item_id] = work
        return Ok(None)

    def close(self) -> None:
        """Write nothing more and end the reward calls."""
        self._closed = True
        for task in tuple(self._scorings.values()):
            task.cancel()
        self._scorings.clear()
        if self._writer is not None:
            self._writer.cancel()

    def score(self, item_id: str, scoring: Coroutine[Any, Any, None]) -> None:
        """Run the reward call of an item until the submission is closed."""
        task = spawn(scoring, f"score {item_id}")
        if not task.is_done:
            self._scorings[item_id] = task
            task.ended.then(lambda _: self._scorings.pop(item_id, None))

    def add_result(self, result: ItemResult) -> None:
        """List a result; it keeps its position from its commit on."""
        self._pending.append(result)
        if self._writer is None and not self._closed:
            self._writer = spawn(self._write(), f"results of {self.submission_id}")

    def save_progress(self) -> None:
        """Store the texts that have grown since the last time."""
        if not self._saving and not self._closed:
            spawn(self._save(), f"progress of {self.submission_id}")

    async def save_all(self) -> None:
        """Store every text that has grown, and the results that wait, within a moment."""
        await self._save(least_events=1)
        if self._writer is not None:
            await within(self._timers, self._settings.flush_seconds, self._writer.ended, None)

    async def _claim(self, fencing: int, view: SubmissionView) -> Result[None, Failure]:
        row = owner_row(self.submission_id)
        value = encode_owner(fencing, self._holder)
        fenced = Err(Failure(ResultCode.FENCED, "a newer scheduler owns the submission"))
        revision = view.owner_revision
        if view.fencing > fencing:
            return fenced
        while True:
            change = Change((Expectation(row, revision),), (Put(row, value),))
            outcome = await self._store.commit(change)
            if isinstance(outcome, Ok):
                self._owner_revision = outcome.ok_value
                return Ok(None)
            rows = await read_part(self._store, WORK_TABLE, self.submission_id)
            if isinstance(rows, Err):
                return rows
            found = [each for each in rows.ok_value if each.row == row]
            if found and found[0].value == value:
                self._owner_revision = found[0].revision
                return Ok(None)
            probe = SubmissionView(self.submission_id)
            probe.apply(found[0]) if found else None
            if probe.fencing > fencing:
                return fenced
            revision = probe.owner_revision
            await sleep(self._timers, self._settings.retry_seconds)

    async def _write(self) -> None:
        await sleep(self._timers, self._settings.gather_seconds)
        while self._pending and not self._closed:
            batch = self._batch()
            if not await self._commit_batch(batch):
                return
            self.results.extend(batch)
            del self._pending[: len(batch)]
        self._writer = None

    async def _commit_batch(self, batch: tuple[ItemResult, ...]) -> bool:
        row = results_row(self.submission_id, self.listed)
        results = results_puts(self.submission_id, self.listed, batch)
        owner = Expectation(owner_row(self.submission_id), self._owner_revision)
        count = Put(listed_row(self.submission_id), encode_listed(self.listed + len(batch)))
        change = Change((owner, Expectation(row, 0)), (*results, count))
        while not self._closed:
            outcome = await self._store.commit(change)
            if isinstance(outcome, Ok):
                return True
            if outcome.err_value.code is ResultCode.STORE_CONFLICT:
                return await self._settle_conflict(results[0])
            await sleep(self._timers, self._settings.retry_seconds)
        return False

    async def _settle_conflict(self, put: Put) -> bool:
        """Tell a write of our own whose reply was lost from the loss of the submission."""
        while not self._closed:
            page = await self._store.read(put.row.table, self.submission_id, put.row.key, 1)
            if isinstance(page, Ok):
                mine = any(r.row == put.row and r.value == put.value for r in page.ok_value.rows)
                if not mine:
                    _log.info("submission lost to another scheduler", id=self.submission_id)
                    self._lost(self)
                return mine
            await sleep(self._timers, self._settings.retry_seconds)
        return False

    def _batch(self) -> tuple[ItemResult, ...]:
        batch: list[ItemResult] = []
        size = 0
        for result in self._pending:
            size += len(result.text) + len(result.score) + 200
            if batch and size > self._settings.row_bytes:
                break
            batch.append(result)
        return tuple(batch)

    async def _save(self, least_events: int | None = None) -> None:
        least = self._settings.progress_events if least_events is None else least_events
        grown = [
            work
            for work in (*self.running.values(), *self.waiting.values())
            if work.progress.last_event - work.saved_event >= least
            or (work.progress.whole and not work.saved_whole)
        ][: self._settings.progress_rows]
        if not grown:
            return
        owner = Expectation(owner_row(self.submission_id), self._owner_revision)
        marks = [(work, work.progress.last_event, work.progress.whole) for work in grown]
        texts = [(work, encode_progress(work.progress)) for work in grown]
        puts = tuple(
            Put(progress_row(self.submission_id, work.item.item_id), text)
            for work, text in texts
            if len(text) <= self._settings.progress_bytes
        )
        self._saving = True
        try:
            outcome = await self._store.commit(Change((owner,), puts))
        finally:
            self._saving = False
        if isinstance(outcome, Ok):
            for work, event, whole in marks:
                work.saved_event = event
                work.saved_whole = whole
        else:
            _log.debug("progress not saved", id=self.submission_id)
