"""Decides what happens to an item whose run has ended: it is scored, requeued or given up."""

from collections.abc import Callable

from loguru import logger

from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.route_tables import Route
from pumicedeck.scheduling.reward_calls import ScoreLimits
from pumicedeck.scheduling.run_ends import RunEnd
from pumicedeck.scheduling.scheduler_parts import SchedulerParts, SchedulerSettings
from pumicedeck.scheduling.submission_works import ItemWork, SubmissionWork
from pumicedeck.submissions import ItemResult
from pumicedeck.tasks import sleep

_log = logger.bind(module="item_endings")


class ItemEndings:
    """Handles the ends of item runs, for submissions that this scheduler still works on."""

    def __init__(
        self,
        parts: SchedulerParts,
        settings: SchedulerSettings,
        is_worked_on: Callable[[SubmissionWork], bool],
        on_requeued: Callable[[], None],
    ) -> None:
        """Call `on_requeued` after an item was put back among the waiting ones.

        `is_worked_on` returns whether this scheduler still works on a submission.
        """
        self._parts = parts
        self._timers = parts.timers
        self._settings = settings
        self._is_worked_on = is_worked_on
        self._on_requeued = on_requeued

    def give_up_at(self, work: SubmissionWork, route: Route | None) -> float:
        """Return when a submission's items are given up, in seconds on the process's clock.

        A complete output is scored after its submission's `route` has been removed, too.
        """
        seconds = route.give_up_seconds if route is not None else 0.0
        seconds = seconds or self._settings.default_give_up_seconds
        return self._parts.clock.to_local_seconds(work.head.accepted) + seconds

    def give_up_all(self, work: SubmissionWork, reason: str) -> None:
        """Give up all waiting items of a submission."""
        for item_work in tuple(work.waiting.values()):
            self.give_up(work, item_work, reason)

    def give_up(self, work: SubmissionWork, item_work: ItemWork, reason: str) -> None:
        """Add an incomplete result for an item, which ends the work on it."""
        work.waiting.pop(item_work.item.item_id, None)
        work.running.pop(item_work.item.item_id, None)
        _log.info(
            "item given up",
            **work.head.log_fields,
            item=item_work.item.item_id,
            reason=reason,
            attempts=item_work.attempts,
            errors=item_work.errors,
            **self._parts.freshness.log_fields,
        )
        work.add_result(ItemResult(item_work.item.item_id, completed=False))

    def begin_scoring(self, work: SubmissionWork, item_work: ItemWork) -> None:
        """Start the reward call for a complete output; the item's result is added when it ends."""
        if self._is_worked_on(work):
            work.start_task(
                item_work.item.item_id,
                self._score(work, item_work),
                lambda: self._end_failed_task(work, item_work),
            )

    def _end_failed_task(self, work: SubmissionWork, item_work: ItemWork) -> None:
        """Give up an item whose task raised an exception; its step must not wait for it."""
        if self._is_worked_on(work):
            self.give_up(work, item_work, "a fault of the scheduler; see its log")

    async def _score(self, work: SubmissionWork, item_work: ItemWork) -> None:
        """Score a complete output and add the result; give the item up if it gets no score."""
        self._parts.lengths.record(
            work.head.model, item_work.item.expected_length, item_work.progress.last_event
        )
        score: str | None = ""
        if item_work.item.reward is not None:
            score = await self._parts.rewards.score(
                item_work.item.reward, self._parts.routes, lambda: self._score_limits(work)
            )
        if not self._is_worked_on(work):
            return
        if score is None:
            self.give_up(work, item_work, "no score")
            return
        work.running.pop(item_work.item.item_id, None)
        _log.info(
            "item completed",
            **work.head.log_fields,
            item=item_work.item.item_id,
            attempts=item_work.attempts,
            events=item_work.progress.last_event,
            versions=item_work.progress.versions,
            age=round(self._parts.clock.now() - work.head.accepted, 3),
        )
        progress = item_work.progress
        work.add_result(
            ItemResult(
                item_work.item.item_id, True, progress.text, tuple(progress.versions), score or ""
            )
        )

    def _score_limits(self, work: SubmissionWork) -> ScoreLimits:
        """Return how long the reward calls of a submission's outputs may go on."""
        route = self._parts.route(work.head.route)
        return ScoreLimits(
            route.max_attempts if route is not None else 1,
            self.give_up_at(work, route),
            lambda: self._parts.freshness.covers(work.submission_id),
        )

    def requeue(
        self,
        work: SubmissionWork,
        item_work: ItemWork,
        endpoint: DirectEndpoint,
        end: RunEnd,
        detail: str,
    ) -> None:
        """Put an item whose run ended early back among the waiting ones, or give it up.

        It is given up if the engine cannot process it at all, or if engines answered with an error
        as often as the route allows.
        """
        now = self._timers.now()
        _log.info(
            "run ended early",
            **work.head.log_fields,
            item=item_work.item.item_id,
            engine=endpoint.name,
            end=end.value,
            detail=detail,
            after_event=item_work.progress.last_event,
        )
        if not self._is_worked_on(work):
            return
        work.running.pop(item_work.item.item_id, None)
        route = self._parts.route(work.head.route)
        if end is RunEnd.ENGINE_ERROR:
            item_work.errors += 1
            if route is not None and item_work.errors >= route.max_attempts:
                self._give_up_when_current(work, item_work)
                return
        if end is RunEnd.IMPOSSIBLE:
            self.give_up(work, item_work, "the engine cannot process the item")
            return
        pause = self._settings.avoid_seconds
        if end is RunEnd.NOT_TAKEN:
            pause = self._settings.refusal_pause_seconds
            item_work.not_before = now + self._settings.refusal_pause_seconds
        if end is RunEnd.UNEXPECTED_STATUS:
            # Such an answer comes at once, and the next one may be the same.
            item_work.not_before = now + self._settings.status_pause_seconds
        item_work.avoid_until_by_engine[endpoint.name] = now + pause
        self._put_back(work, item_work)

    def _put_back(self, work: SubmissionWork, item_work: ItemWork) -> None:
        item_work.begin_waiting(self._timers.now())
        work.waiting[item_work.item.item_id] = item_work
        self._on_requeued()

    def _give_up_when_current(self, work: SubmissionWork, item_work: ItemWork) -> None:
        """Give up an item without attempts left once the routes are as new as its submission."""
        if self._parts.freshness.covers(work.submission_id):
            self._give_up_without_attempts(work, item_work)
            return
        work.running[item_work.item.item_id] = item_work
        work.start_task(
            item_work.item.item_id,
            self._await_current_routes(work, item_work),
            lambda: self._end_failed_task(work, item_work),
        )

    async def _await_current_routes(self, work: SubmissionWork, item_work: ItemWork) -> None:
        """Give up an item by current routes, or put it back if they allow further attempts."""
        while not self._parts.freshness.covers(work.submission_id):
            await sleep(self._timers, self._settings.tick_seconds)
        if not self._is_worked_on(work):
            return
        route = self._parts.route(work.head.route)
        if route is not None and item_work.errors >= route.max_attempts:
            self._give_up_without_attempts(work, item_work)
            return
        work.running.pop(item_work.item.item_id, None)
        self._put_back(work, item_work)

    def _give_up_without_attempts(self, work: SubmissionWork, item_work: ItemWork) -> None:
        self.give_up(work, item_work, "engine errors reached the route's limit of attempts")
