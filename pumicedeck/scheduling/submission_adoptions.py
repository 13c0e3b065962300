"""Claims submissions and collects the outputs of earlier steps and schedulers that they reuse."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from result import Err

from pumicedeck.clocks import TimerQueue
from pumicedeck.partitioned_stores import PartitionedStore
from pumicedeck.results import ResultCode
from pumicedeck.scheduling.item_pacing import PacingSettings, choose_pace
from pumicedeck.scheduling.item_queues import choose_optional_groups
from pumicedeck.scheduling.reusable_outputs import ReusableOutputs
from pumicedeck.scheduling.submission_rows import read_progress, read_results
from pumicedeck.scheduling.submission_works import SubmissionWork
from pumicedeck.store_clocks import StoreClock
from pumicedeck.submissions import ItemResult
from pumicedeck.tasks import sleep
from pumicedeck.work_mirrors import SubmissionView, WorkMirror

_log = logger.bind(module="submission_adoptions")


@dataclass(frozen=True, slots=True)
class AdoptionSettings:
    """Limits of the search for reusable outputs; `retry_seconds` follows a failed claim.

    With `reuses_outputs` the outputs of a model's last `searched_steps` ended steps are reused.
    The results of the last `retained_submissions` submissions of this process are retained in
    memory, so that they need not be read from the store.
    """

    retry_seconds: float = 0.2
    reuses_outputs: bool = True
    searched_steps: int = 2
    retained_submissions: int = 8
    pacing: PacingSettings = PacingSettings()


class SubmissionAdoptions:
    """Claims submissions, each at most once at a time."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        clock: StoreClock,
        mirror: WorkMirror,
        holder: str,
        on_lost: Callable[[SubmissionWork], None],
        settings: AdoptionSettings | None = None,
    ) -> None:
        """Claim as `holder`; `on_lost` gets a submission that another scheduler has claimed."""
        self._timers = timers
        self._store = store
        self._clock = clock
        self._mirror = mirror
        self._holder = holder
        self._on_lost = on_lost
        self._settings = settings or AdoptionSettings()
        self._adopting: set[str] = set()
        self._reusable_outputs = ReusableOutputs()
        self._own_results: OrderedDict[str, list[ItemResult]] = OrderedDict()
        self._collected_steps: set[str] = set()

    def is_adopting(self, submission_id: str) -> bool:
        """Return whether `adopt` is under way for a submission."""
        return submission_id in self._adopting

    def retain_outputs(self, work: SubmissionWork) -> None:
        """Retain the outputs of a submission whose work has ended, for the next step."""
        self._own_results[work.submission_id] = work.results
        while len(self._own_results) > self._settings.retained_submissions:
            self._own_results.popitem(last=False)
        if not self._settings.reuses_outputs:
            return
        for item_work in (*work.waiting.values(), *work.running.values()):
            self._reusable_outputs.add_output(
                item_work.item.item_id, item_work.progress, work.head.account
            )

    async def adopt(
        self,
        view: SubmissionView,
        fencing: int,
        single_version: bool,
        accept: Callable[[SubmissionWork], bool],
    ) -> None:
        """Claim a submission and pass it to `accept`, which returns False to reject it.

        A rejected submission is closed. With `single_version` only outputs of one weight version
        are reused.
        """
        self._adopting.add(view.submission_id)
        try:
            work = await self._claim(view, fencing)
            if work is None:
                return
            self._prepare(work, single_version)
            # The submission stays marked until it is accepted: a second claim before that would run
            # its items twice.
            if not accept(work):
                work.close()
        finally:
            self._adopting.discard(view.submission_id)

    async def _claim(self, view: SubmissionView, fencing: int) -> SubmissionWork | None:
        """Claim a submission and read what it can reuse; None if the claim failed."""
        work = SubmissionWork(self._timers, self._store, view.head, self._holder, self._on_lost)
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
        if self._settings.reuses_outputs:
            await self._collect_reusable_outputs(view)
        return work

    def _prepare(self, work: SubmissionWork, single_version: bool) -> None:
        """Reuse earlier outputs and choose the groups that the step can do without."""
        reused = self._reuse_outputs(work, single_version)
        work.optional_groups = choose_optional_groups(
            [
                (item_work.item.group, item_work.item.expected_length, item_work.carried_over)
                for item_work in work.waiting.values()
            ],
            work.head.wanted_groups,
        )
        work.pace = choose_pace(
            [
                (item_work.item.expected_length, item_work.item.group in work.optional_groups)
                for item_work in work.waiting.values()
            ],
            self._settings.pacing,
        )
        _log.info(
            "submission adopted",
            **work.head.log_fields,
            step=work.head.step,
            model=work.head.model,
            min_version=work.head.min_version,
            items=len(work.waiting),
            listed=work.listed,
            resumed=sum(1 for item_work in work.waiting.values() if item_work.progress.last_event),
            reused=reused,
            age=round(self._clock.now() - work.head.accepted, 3),
        )

    async def _collect_reusable_outputs(self, view: SubmissionView) -> None:
        """Collect the outputs of the model's last ended steps, from memory or from the store.

        Steps of other client accounts are left out.
        """
        account = view.head.account
        ended = sorted(
            (
                ended_view
                for ended_view in self._mirror.views
                if ended_view.head is not None
                and ended_view.ended
                and ended_view.head.model == view.head.model
                and ended_view.head.account == account
            ),
            key=lambda ended_view: -ended_view.head.accepted,
        )
        for ended_view in ended[: self._settings.searched_steps]:
            if ended_view.submission_id in self._collected_steps:
                continue
            results = self._own_results.pop(ended_view.submission_id, None)
            if results is None:
                read = await read_results(self._store, ended_view.submission_id)
                if isinstance(read, Err):
                    _log.warning(
                        "results of ended step unreadable; its outputs are not reused",
                        submission=ended_view.submission_id,
                    )
                    continue
                results = read.ok_value
                progress_by_item = await read_progress(self._store, ended_view.submission_id)
                for item_id, progress in progress_by_item.items():
                    self._reusable_outputs.add_output(item_id, progress, account)
            self._collected_steps.add(ended_view.submission_id)
            for result in results:
                self._reusable_outputs.add_result(result, account)

    def _reuse_outputs(self, work: SubmissionWork, single_version: bool) -> int:
        """Let items continue from outputs of earlier steps; return how many do."""
        account = work.head.account
        carried_over = {
            item_work.item.group
            for item_work in work.waiting.values()
            if self._reusable_outputs.contains(item_work.item.item_id, account)
        }
        reused = 0
        for item_work in work.waiting.values():
            item_work.carried_over = item_work.item.group in carried_over
            if item_work.progress.last_event:
                continue
            found = self._reusable_outputs.find(
                item_work.item.item_id, work.head.min_version, single_version, account
            )
            if found is not None:
                item_work.progress = found
                reused += 1
        return reused
