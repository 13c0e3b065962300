"""A submission that the scheduler works on: its unfinished items, and the writer of its results."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from itertools import chain, islice
from typing import Any

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import Change, Expectation, PartitionedStore, Put, read_partition
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scheduling.item_pacing import NO_PACE
from pumicedeck.scheduling.submission_rows import (
    read_items,
    read_progress,
    read_results,
    results_puts,
    results_row,
)
from pumicedeck.scheduling.tracked_items import TrackedItems
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

# A number of saved events that makes every output count as grown.
REPLACE_SAVED = -1_000_000

_log = logger.bind(module="submission_works")


@dataclass(frozen=True, slots=True)
class WriterSettings:
    """Times in seconds; sizes in bytes and rows.

    `gather_seconds` is how long results are gathered before they are written together, at most
    `commit_bytes` at once, so that a reader gets results that are complete together with one
    answer. A failed commit is repeated after `retry_seconds`. `flush_seconds` is how long a
    hand-over waits for the last results to be written.

    A partial output is saved once it has grown by `progress_events` events, at most `progress_rows`
    of them at once. One larger than `progress_bytes` is not saved.
    """

    gather_seconds: float = 0.02
    retry_seconds: float = 0.15
    flush_seconds: float = 0.5
    commit_bytes: int = 240_000
    progress_rows: int = 40
    progress_bytes: int = 60_000
    progress_events: int = 6


@dataclass(slots=True, eq=False)
class ItemWork:
    """An item without a listed result, with the state of the work on it.

    `errors` counts runs that the engine answered with an error, `attempts` all runs, `moves` those
    ended to move the item to a faster engine. `avoid_until_by_engine` has the time until which the
    item avoids an engine, `not_before` is the earliest time of its next run; both are in seconds on
    the process's clock. `saved_event` and `saved_complete` are the state of the output last saved;
    `saved_event` is negative if what is saved must be replaced.
    `carried_over` means that an earlier step has started an item of the same group.
    `waiting_since` is when the item began to wait for an engine, on the process's clock, and
    `waiting_event` its last event then: a run without a new event does not end the wait.
    """

    item: Item
    progress: Progress = field(default_factory=Progress)
    errors: int = 0
    attempts: int = 0
    moves: int = 0
    avoid_until_by_engine: dict[str, float] = field(default_factory=dict)
    saved_event: int = 0
    saved_complete: bool = False
    carried_over: bool = False
    not_before: float = 0.0
    waiting_since: float = 0.0
    waiting_event: int = -1

    def begin_waiting(self, now: float) -> None:
        """Begin to wait for an engine, or go on waiting after a run that brought nothing."""
        if self.waiting_event != self.progress.last_event:
            self.waiting_event = self.progress.last_event
            self.waiting_since = now

    def discard_output(self) -> None:
        """Discard the output so far, so that the next run begins anew."""
        self.progress = Progress()
        self.saved_event = 0
        self.saved_complete = False

    def replace_saved_output(self) -> None:
        """Have the output saved as it is now, whatever has been saved of it."""
        self.saved_event = REPLACE_SAVED
        self.saved_complete = False


class SubmissionWork:
    """The work on one submission, whose results it writes while it is the owner.

    Each write is conditional on the owner row having the revision of this scheduler's claim, so
    nothing is written after another scheduler has claimed the submission. A result is listed once
    it is committed at a position, which it then keeps.

    `waiting` has the items that wait for an engine, `running` those that an engine runs, that a
    scorer scores or that wait for newer routes to be given up, both by item id. `results` are the
    listed results by position. `optional_groups` are the groups that the step can do without,
    `pace` says how many of its short items run at once.
    """

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        head: SubmissionHead,
        holder: str,
        on_lost: Callable[["SubmissionWork"], None],
        settings: WriterSettings | None = None,
    ) -> None:
        """Create the work of an unclaimed submission without items; `adopt` claims and fills it.

        `on_lost` is called when another scheduler has claimed the submission.
        """
        self._timers = timers
        self._store = store
        self._holder = holder
        self._on_lost = on_lost
        self._settings = settings or WriterSettings()
        self.head = head
        self.waiting: TrackedItems[ItemWork] = TrackedItems()
        self.running: dict[str, ItemWork] = {}
        self.results: list[ItemResult] = []
        self.fencing = 0
        self.optional_groups: frozenset[str] = frozenset()
        self.pace = NO_PACE
        self._owner_revision = 0
        self._pending_results: list[ItemResult] = []
        self._ending_tasks: dict[str, Task] = {}
        self._writer_task: Task | None = None
        self._saving = False
        self._closed = False

    @property
    def listed(self) -> int:
        """Return the number of listed results."""
        return len(self.results)

    @property
    def submission_id(self) -> str:
        """Return the submission's id."""
        return self.head.submission_id

    async def adopt(self, fencing: int, view: SubmissionView) -> Result[None, Failure]:
        """Claim the submission and read its results, unfinished items and partial outputs.

        FENCED if a scheduler with a higher fencing number owns it; failures of the store's reads
        are returned.
        """
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
        listed_ids = {result.item_id for result in self.results}
        for item in items.ok_value:
            if item.item_id not in listed_ids:
                item_work = ItemWork(
                    item,
                    progress.get(item.item_id, Progress()),
                    waiting_since=self._timers.now(),
                )
                item_work.saved_event = item_work.progress.last_event
                self.waiting[item.item_id] = item_work
        return Ok(None)

    @property
    def free_short_runs(self) -> int:
        """Return how many more short items may run now."""
        running = sum(
            1 for each in self.running.values() if self.pace.is_short(each.item.expected_length)
        )
        return self.pace.max_short_runs - running

    def close(self) -> None:
        """Stop writing and cancel the tasks of items, such as reward calls."""
        self._closed = True
        for task in tuple(self._ending_tasks.values()):
            task.cancel()
        self._ending_tasks.clear()
        if self._writer_task is not None:
            self._writer_task.cancel()

    def start_task(
        self, item_id: str, ending: Coroutine[Any, Any, None], on_failure: Callable[[], None]
    ) -> None:
        """Run what ends the work on an item, such as its reward call.

        `close` cancels it, `on_failure` follows an exception.
        """
        task = spawn(ending, f"end of item {item_id}", on_failure)
        if not task.is_done:
            self._ending_tasks[item_id] = task
            task.ended.then(lambda _: self._ending_tasks.pop(item_id, None))

    def add_result(self, result: ItemResult) -> None:
        """Queue a result to be written; it is listed once its write is committed."""
        self._pending_results.append(result)
        if self._writer_task is None and not self._closed:
            self._writer_task = spawn(self._write_results(), f"results of {self.submission_id}")

    def save_progress(self) -> None:
        """Start to save the partial outputs that have grown enough since they were last saved."""
        if not self._saving and not self._closed:
            spawn(self._save_partial_outputs(), f"progress of {self.submission_id}")

    async def save_all(self) -> None:
        """Save up to `progress_rows` grown outputs; wait up to `flush_seconds` for results."""
        await self._save_partial_outputs(min_events=1)
        if self._writer_task is not None:
            await within(self._timers, self._settings.flush_seconds, self._writer_task.ended, None)

    async def _claim(self, fencing: int, view: SubmissionView) -> Result[None, Failure]:
        """Write the owner row, unless a scheduler with a higher fencing number has done so."""
        row = owner_row(self.submission_id)
        value = encode_owner(fencing, self._holder)
        newer_owner = Err(Failure(ResultCode.FENCED, "a newer scheduler owns the submission"))
        revision = view.owner_revision
        if view.fencing > fencing:
            return newer_owner
        while True:
            change = Change((Expectation(row, revision),), (Put(row, value),))
            outcome = await self._store.commit(change)
            if isinstance(outcome, Ok):
                self._owner_revision = outcome.ok_value
                return Ok(None)
            rows = await read_partition(self._store, WORK_TABLE, self.submission_id)
            if isinstance(rows, Err):
                return rows
            found = [each for each in rows.ok_value if each.row == row]
            if found and found[0].value == value:
                self._owner_revision = found[0].revision
                return Ok(None)
            stored = SubmissionView(self.submission_id)
            stored.apply(found[0]) if found else None
            if stored.fencing > fencing:
                return newer_owner
            revision = stored.owner_revision
            await sleep(self._timers, self._settings.retry_seconds)

    async def _write_results(self) -> None:
        """Write the pending results batch by batch."""
        await sleep(self._timers, self._settings.gather_seconds)
        while self._pending_results and not self._closed:
            batch = self._choose_next_batch()
            if not await self._commit_batch(batch):
                return
            self.results.extend(batch)
            del self._pending_results[: len(batch)]
        self._writer_task = None

    async def _commit_batch(self, batch: tuple[ItemResult, ...]) -> bool:
        """Commit a batch of results; return False if the submission is closed or lost."""
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
                return await self._resolve_conflict(results[0])
            await sleep(self._timers, self._settings.retry_seconds)
        return False

    async def _resolve_conflict(self, put: Put) -> bool:
        """Return whether the rows that met a conflict are this scheduler's own earlier write.

        That is so if the reply to the first commit was lost. Otherwise another scheduler has
        claimed the submission, and `on_lost` is called.
        """
        while not self._closed:
            page = await self._store.read(put.row.table, self.submission_id, put.row.key, 1)
            if isinstance(page, Ok):
                is_own = any(r.row == put.row and r.value == put.value for r in page.ok_value.rows)
                if not is_own:
                    _log.info("submission lost to another scheduler", id=self.submission_id)
                    self._on_lost(self)
                return is_own
            await sleep(self._timers, self._settings.retry_seconds)
        return False

    def _choose_next_batch(self) -> tuple[ItemResult, ...]:
        """Return the first pending results, as many as fit one write."""
        batch: list[ItemResult] = []
        size = 0
        for result in self._pending_results:
            size += len(result.text) + len(result.score) + 200
            if batch and size > self._settings.commit_bytes:
                break
            batch.append(result)
        return tuple(batch)

    async def _save_partial_outputs(self, min_events: int | None = None) -> None:
        """Save the outputs that grew by `min_events`, or by the configured number of events."""
        min_growth = self._settings.progress_events if min_events is None else min_events
        candidates = (
            item_work
            for item_work in chain(self.running.values(), self.waiting.values())
            if item_work.progress.last_event - item_work.saved_event >= min_growth
            or (item_work.progress.whole and not item_work.saved_complete)
        )
        grown = list(islice(candidates, self._settings.progress_rows))
        if not grown:
            return
        owner = Expectation(owner_row(self.submission_id), self._owner_revision)
        saved_states = [
            (item_work, item_work.progress, item_work.progress.last_event, item_work.progress.whole)
            for item_work in grown
        ]
        encoded_outputs = [(item_work, encode_progress(item_work.progress)) for item_work in grown]
        puts = tuple(
            Put(progress_row(self.submission_id, item_work.item.item_id), value)
            for item_work, value in encoded_outputs
            if len(value) <= self._settings.progress_bytes
        )
        self._saving = True
        try:
            outcome = await self._store.commit(Change((owner,), puts))
        finally:
            self._saving = False
        if isinstance(outcome, Ok):
            for item_work, progress, event, complete in saved_states:
                if item_work.progress is progress:
                    item_work.saved_event = event
                    item_work.saved_complete = complete
        else:
            _log.debug("progress not saved", id=self.submission_id)
