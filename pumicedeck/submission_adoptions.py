"""Takes submissions over from the store, with the texts that earlier steps and schedulers left."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from result import Err

from pumicedeck.clocks import TimerQueue
from pumicedeck.item_queues import choose_optional_groups
from pumicedeck.partitioned_stores import PartitionedStore
from pumicedeck.results import ResultCode
from pumicedeck.reusable_outputs import ReusableOutputs
from pumicedeck.store_clocks import StoreClock
from pumicedeck.submission_rows import read_progress, read_results
from pumicedeck.submission_works import SubmissionWork
from pumicedeck.submissions import ItemResult
from pumicedeck.tasks import sleep
from pumicedeck.work_mirrors import SubmissionView, WorkMirror

_log = logger.bind(module="submission_adoptions")


@dataclass(frozen=True, slots=True)
class AdoptionSettings:
    """Texts of the last `searched_steps` ended steps of a model are searched.

    The results of the last `kept_works` works of our own are kept until then.
    """

    retry_seconds: float = 0.2
    searched_steps: int = 2
    kept_works: int = 8


class SubmissionAdoptions:
    """Claims one submission at most once at a time."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        mirror: WorkMirror,
        holder: str,
        lost: Callable[[SubmissionWork], None],
        settings: AdoptionSettings | None = None,
    ) -> None:
        """Claim as `holder`; works report their loss to `lost`."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._mirror = mirror
        self._holder = holder
        self._lost = lost
        self._settings = settings or AdoptionSettings()
        self._under_way: set[str] = set()
        self._leftovers = ReusableOutputs()
        self._own_results: OrderedDict[str, list[ItemResult]] = OrderedDict()
        self._searched: set[str] = set()

    def is_adopting(self, submission_id: str) -> bool:
        """Return whether a submission is being taken over."""
        return submission_id in self._under_way

    def add_progress(self, work: SubmissionWork) -> None:
        """Keep the texts of a work that ended, for the next step."""
        self._own_results[work.submission_id] = work.results
        while len(self._own_results) > self._settings.kept_works:
            self._own_results.popitem(last=False)
        for each in (*work.waiting.values(), *work.running.values()):
            self._leftovers.add_progress(each.item.item_id, each.progress)

    async def adopt(
        self,
        view: SubmissionView,
        fencing: int,
        single_version: bool,
        accept: Callable[[SubmissionWork], bool],
    ) -> None:
        """Claim a submission and offer the work to `accept`, which may turn it down."""
        self._under_way.add(view.submission_id)
        try:
            work = await self._take_over(view, fencing)
            if work is None:
                return
            self._prepare(work, single_version)
            # Until the work is accepted, a second claim would run its items twice.
            if not accept(work):
                work.close()
        finally:
            self._under_way.discard(view.submission_id)

    async def _take_over(self, view: SubmissionView, fencing: int) -> SubmissionWork | None:
        work = SubmissionWork(self._timers, self._store, view.head, self._holder, self._lost)
        outcome = await work.adopt(fencing, view)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            _log.warning(
                "submission not adopted",
                submission=view.submission_id,
                code=failure.code.name,
                detail=failure.detail,
            )
            if failure.code is not ResultCode.FENCED:
                await sleep(self._timers, self._settings.retry_seconds)
            return None
        await self._search_leftovers(view)
        return work

    def _prepare(self, work: SubmissionWork, single_version: bool) -> None:
        """Let items go on from earlier texts and choose the groups that can be spared."""
        reused = self._reuse(work, single_version)
        work.optional_groups = choose_optional_groups(
            [
                (each.item.group, each.item.expected_length, each.carried_over)
                for each in work.waiting.values()
            ],
            work.head.wanted_groups,
        )
        _log.info(
            "submission adopted",
            submission=work.submission_id,
            step=work.head.step,
            model=work.head.model,
            min_version=work.head.min_version,
            items=len(work.waiting),
            listed=work.listed,
            resumed=sum(1 for each in work.waiting.values() if each.progress.last_event),
            reused=reused,
            age=round(self._clock.now() - work.head.accepted, 3),
        )

    async def _search_leftovers(self, view: SubmissionView) -> None:
        """Read the texts of the last ended steps that a scheduler before us has left."""
        ended = sorted(
            (
                each
                for each in self._mirror.views
                if each.head is not None and each.ended and each.head.model == view.head.model
            ),
            key=lambda each: -each.head.accepted,
        )
        for each in ended[: self._settings.searched_steps]:
            if each.submission_id in self._searched:
                continue
            results = self._own_results.pop(each.submission_id, None)
            if results is None:
                read = await read_results(self._store, each.submission_id)
                if isinstance(read, Err):
                    _log.warning(
                        "results of ended step unreadable; its outputs are not reused",
                        submission=each.submission_id,
                    )
                    continue
                results = read.ok_value
                texts = await read_progress(self._store, each.submission_id)
                for item_id, progress in texts.items():
                    self._leftovers.add_progress(item_id, progress)
            self._searched.add(each.submission_id)
            for result in results:
                self._leftovers.add_result(result)

    def _reuse(self, work: SubmissionWork, single_version: bool) -> int:
        """Let items go on from texts of earlier steps; return how many do."""
        carried_over = {
            each.item.group
            for each in work.waiting.values()
            if self._leftovers.contains(each.item.item_id)
        }
        reused = 0
        for each in work.waiting.values():
            each.carried_over = each.item.group in carried_over
            if each.progress.last_event:
                continue
            found = self._leftovers.find(each.item.item_id, work.head.min_version, single_version)
            if found is not None:
                each.progress = found
                reused += 1
        return reused
