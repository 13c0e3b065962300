"""What becomes of an item when its run has ended: scored and listed, waiting again, or given up."""

from collections.abc import Callable

from loguru import logger

from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.item_runs import RunEnd
from pumicedeck.route_tables import Route
from pumicedeck.scheduler_parts import SchedulerParts, SchedulerSettings
from pumicedeck.submission_works import ItemWork, SubmissionWork
from pumicedeck.submissions import ItemResult

_log = logger.bind(module="item_endings")


class ItemEndings:
    """Decides for items of works that are open."""

    def __init__(
        self,
        parts: SchedulerParts,
        settings: SchedulerSettings,
        is_open: Callable[[SubmissionWork], bool],
        changed: Callable[[], None],
    ) -> None:
        """Tell `changed` when an item waits again."""
        self._parts = parts
        self._timers = parts.timers
        self._settings = settings
        self._is_open = is_open
        self._changed = changed

    def give_up_at(self, work: SubmissionWork, route: Route) -> float:
        """Return the second of our own clock at which a submission's items are given up."""
        seconds = route.give_up_seconds or self._settings.default_give_up_seconds
        return self._parts.clock.local(work.head.accepted) + seconds

    def give_up_all(self, work: SubmissionWork, reason: str) -> None:
        """List everything that waits as given up."""
        for each in tuple(work.waiting.values()):
            self.list_down(work, each, reason)

    def list_down(self, work: SubmissionWork, each: ItemWork, reason: str) -> None:
        """List an item as given up."""
        work.waiting.pop(each.item.item_id, None)
        work.running.pop(each.item.item_id, None)
        _log.info(
            "item given up",
            submission=work.submission_id,
            item=each.item.item_id,
            reason=reason,
            attempts=each.attempts,
            errors=each.errors,
        )
        work.add_result(ItemResult(each.item.item_id, completed=False))

    def begin_scoring(self, work: SubmissionWork, each: ItemWork) -> None:
        """Ask for the score of a whole text; the item is listed with it."""
        if self._is_open(work):
            work.score(each.item.item_id, self._score(work, each))

    async def _score(self, work: SubmissionWork, each: ItemWork) -> None:
        score: str | None = ""
        if each.item.reward is not None:
            route = self._parts.route(work.head.route)
            until = self.give_up_at(work, route) if route is not None else 0.0
            most = route.max_attempts if route is not None else 1
            score = await self._parts.rewards.score(
                each.item.reward, self._parts.routes, most, until
            )
        if not self._is_open(work):
            return
        if score is None:
            self.list_down(work, each, "no score")
            return
        work.running.pop(each.item.item_id, None)
        _log.info(
            "item completed",
            submission=work.submission_id,
            item=each.item.item_id,
            attempts=each.attempts,
            events=each.progress.last_event,
            versions=each.progress.versions,
            age=round(self._parts.clock.now() - work.head.accepted, 3),
        )
        progress = each.progress
        work.add_result(
            ItemResult(
                each.item.item_id, True, progress.text, tuple(progress.versions), score or ""
            )
        )

    def requeue(
        self,
        work: SubmissionWork,
        each: ItemWork,
        endpoint: DirectEndpoint,
        end: RunEnd,
        detail: str,
    ) -> None:
        """Let an item whose run was not whole wait again, or list it if that is of no use."""
        now = self._timers.now()
        _log.info(
            "run ended early",
            submission=work.submission_id,
            item=each.item.item_id,
            engine=endpoint.name,
            end=end.value,
            detail=detail,
            after_event=each.progress.last_event,
        )
        if not self._is_open(work):
            return
        work.running.pop(each.item.item_id, None)
        route = self._parts.route(work.head.route)
        if end is RunEnd.ENGINE_ERROR:
            each.errors += 1
            if route is not None and each.errors >= route.max_attempts:
                self.list_down(work, each, "the engines failed it each time")
                return
        if end is RunEnd.IMPOSSIBLE:
            self.list_down(work, each, "it can never be done")
            return
        pause = self._settings.avoid_seconds
        if end is RunEnd.NOT_TAKEN:
            pause = self._settings.refusal_pause_seconds
            each.not_before = now + self._settings.refusal_pause_seconds
        each.avoid[endpoint.name] = now + pause
        work.waiting[each.item.item_id] = each
        self._changed()
