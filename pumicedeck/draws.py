"""Coordinates draws on an entry: submits drafts and delivers complete groups; performs no I/O.

A draw lists the groups that the trainer already holds and receives the others, on any entry VM.
A draft therefore reaches its trainer exactly once, also after a lost reply or a failed entry,
without a store write in the data path.
"""

import heapq
from dataclasses import dataclass, field
from http import HTTPStatus

from pumicedeck.actions import CallerAnswer
from pumicedeck.draft_submissions import DraftSubmissions, DrawCounts
from pumicedeck.drafts import (
    DeliverGroup,
    Draft,
    DrawAction,
    DrawRequest,
    EndDraw,
    GroupKey,
    GroupRequest,
    seeded_body,
)
from pumicedeck.draw_groups import GroupProgress, InFlightRequest, OpenDraw
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scorers import ScorerSettings, Scoring, ScoringFinished
from pumicedeck.staleness import NEWEST_TRUST_SECONDS, KnownVersion, NewestVersions, check_draft
from pumicedeck.stragglers import StragglerSettings

FIRST_PERMANENT_CODE = 400
FIRST_CATALOGUE_CODE = 500
RETRIED_STATUSES = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)


@dataclass(frozen=True, slots=True)
class DrawSettings:
    """Limits of the coordinator; times in seconds.

    Groups of a draw that ended are retained for `retention_seconds` and up to
    `max_retained_bytes`, so that a repeated draw can reuse their drafts.
    """

    retry_seconds: float = 0.5
    longest_retry_seconds: float = 8.0
    newest_wait_seconds: float = 10.0
    newest_trust_seconds: float = NEWEST_TRUST_SECONDS
    retention_seconds: float = 15.0
    max_retained_bytes: int = 32 * 1024 * 1024
    stragglers: StragglerSettings = field(default_factory=StragglerSettings)
    scorers: ScorerSettings = field(default_factory=ScorerSettings)


class DrawCoordinator:
    """Submits the drafts of draws, delivers complete groups and ends each draw once."""

    def __init__(self, settings: DrawSettings | None = None) -> None:
        """Create a coordinator without draws and without a known newest version."""
        self._settings = settings or DrawSettings()
        self._newest = NewestVersions(self._settings.newest_trust_seconds)
        self._draws: dict[str, OpenDraw] = {}
        self._groups: dict[GroupKey, GroupProgress] = {}
        self._counts = DrawCounts()
        self._submissions = DraftSubmissions(
            self._settings.stragglers, self._draws, self._groups, self._counts
        )
        self._scoring = Scoring(self._groups, self._settings.scorers)
        self._retries: list[float] = []

    @property
    def counts(self) -> DrawCounts:
        """Return the counters of draws."""
        return self._counts

    @property
    def open_draws(self) -> int:
        """Return how many draws have not ended."""
        return len(self._draws)

    def start(self, now: float, request: DrawRequest) -> list[DrawAction]:
        """Start a draw; it takes over groups of earlier draws, which end with DRAW_TAKEN_OVER."""
        actions: list[DrawAction] = []
        draw = self._open_draw(now, request)
        for position, group in enumerate(request.groups):
            self._claim_group(now, draw, position, group, actions)
        for progress in self._sort_by_position(draw.open_groups):
            self._deliver_if_complete(now, progress, actions)
        self._end_if_complete(draw, actions)
        self._submissions.submit_eligible(now, request.entry.name, actions)
        return actions

    def draft_finished(self, now: float, handle: str, answer: CallerAnswer) -> list[DrawAction]:
        """Handle the answer to a draft or scoring request; only the first for a draft counts."""
        actions: list[DrawAction] = []
        if self._scoring.is_open(handle):
            self._scoring_finished(now, self._scoring.answered(now, handle, answer), actions)
            return actions
        in_flight_request = self._submissions.request_ended(handle)
        if in_flight_request is None:
            self._counts.duplicates += 1
            return actions
        progress = self._groups[in_flight_request.key]
        self._submissions.answered(in_flight_request.key.entry_name, answer.queue_wait)
        if in_flight_request.index in progress.done:
            self._counts.duplicates += 1
        elif answer.status >= HTTPStatus.BAD_REQUEST:
            self._handle_failure(
                now, progress, in_flight_request, _status_failure(answer.status), actions
            )
        elif not answer.versions:
            self._counts.unattributed += 1
            self._handle_failure(
                now, progress, in_flight_request, Failure(ResultCode.VERSION_UNKNOWN), actions
            )
        else:
            self._submissions.observed(
                in_flight_request.key.entry_name, now - in_flight_request.started
            )
            progress.finish(
                in_flight_request.index,
                Draft(in_flight_request.key.draft(in_flight_request.index), answer),
            )
            self._submissions.cancel(
                list(progress.in_flight_requests.get(in_flight_request.index, [])), actions
            )
            actions += self._scoring.start_scoring(now, progress, in_flight_request.index)
            self._deliver_if_complete(now, progress, actions)
        self._submissions.submit_eligible(now, in_flight_request.key.entry_name, actions)
        return actions

    def draft_failed(self, now: float, handle: str, failure: Failure) -> list[DrawAction]:
        """Handle the failure of a draft or scoring request: retry it or end the draw."""
        actions: list[DrawAction] = []
        if self._scoring.is_open(handle):
            self._scoring_finished(now, self._scoring.failed(now, handle, failure), actions)
            return actions
        in_flight_request = self._submissions.request_ended(handle)
        if in_flight_request is None:
            return actions
        if failure.code in (ResultCode.OVERLOADED, ResultCode.QUEUE_TIMEOUT):
            self._submissions.refused(in_flight_request.key.entry_name)
        self._handle_failure(
            now, self._groups[in_flight_request.key], in_flight_request, failure, actions
        )
        self._submissions.submit_eligible(now, in_flight_request.key.entry_name, actions)
        return actions

    def newest_version_confirmed(self, now: float, model: str, version: int) -> list[DrawAction]:
        """Handle a newest version of a model: discard drafts that it makes stale."""
        actions: list[DrawAction] = []
        is_newer = self._newest.confirm(now, model, version)
        affected = [
            each
            for each in self._groups.values()
            if each.entry.model == model and each.owner and (is_newer or each.complete)
        ]
        for progress in affected:
            self._deliver_if_complete(now, progress, actions)
        for name in {each.key.entry_name for each in affected}:
            self._submissions.submit_eligible(now, name, actions)
        return actions

    def caller_disconnected(self, now: float, handle: str) -> list[DrawAction]:
        """Drop a draw whose trainer disconnected; a repeated draw can take over its groups."""
        draw = self._draws.pop(handle, None)
        if draw is not None:
            self._release(now, draw)
        return []

    def on_timer(self, now: float) -> list[DrawAction]:
        """End timed-out draws, drop expired groups, retry samples and scores, hedge late drafts."""
        actions: list[DrawAction] = []
        for draw in list(self._draws.values()):
            self._end_if_timed_out(now, draw, actions)
        self._drop_expired_groups(now, actions)
        while self._retries and self._retries[0] <= now:
            heapq.heappop(self._retries)
        actions += self._scoring.on_timer(now)
        for name in self._submissions.entry_names:
            self._submissions.submit_eligible(now, name, actions)
        return actions

    def next_wakeup(self) -> float | None:
        """Return the time, in seconds, of the next `on_timer` call; None if none is needed."""
        times = [each.deadline for each in self._draws.values()]
        for draw in self._draws.values():
            if draw.blocked_since is not None:
                times.append(draw.blocked_since + self._settings.newest_wait_seconds)
        for progress in self._groups.values():
            if not progress.owner:
                times.append(progress.released_at + self._settings.retention_seconds)
        times.extend(self._retries[:1])
        scoring = self._scoring.next_wakeup()
        if scoring is not None:
            times.append(scoring)
        times.extend(self._submissions.hedge_times())
        return min(times, default=None)

    def _open_draw(self, now: float, request: DrawRequest) -> OpenDraw:
        announced = None
        if request.newest_version >= 0:
            announced = KnownVersion(request.newest_version, now)
        draw = OpenDraw(request, announced, now + request.budget)
        self._draws[request.handle] = draw
        return draw

    def _claim_group(
        self,
        now: float,
        draw: OpenDraw,
        position: int,
        group: GroupRequest,
        actions: list[DrawAction],
    ) -> None:
        request = draw.request
        key = GroupKey(request.entry.name, request.trainer, request.step, group.group)
        progress = self._groups.get(key)
        if progress is not None:
            self._take_over(now, progress, request.handle, actions)
        if group.group in request.held:
            self._drop_group(key, actions)
            return
        if progress is not None and progress.request != group:
            self._drop_group(key, actions)
            progress = None
        if progress is None:
            progress = GroupProgress(key, group, request.entry, position, request.handle)
            progress.reproducible = seeded_body(group.body, key.draft(0)) is not None
            self._groups[key] = progress
        progress.claim(request, position)
        draw.open_groups.add(key)
        draw.samples += group.samples

    def _take_over(
        self, now: float, progress: GroupProgress, handle: str, actions: list[DrawAction]
    ) -> None:
        earlier_draw = self._draws.get(progress.owner)
        if earlier_draw is None or earlier_draw.request.handle == handle:
            return
        self._counts.taken_over += 1
        self._end(now, earlier_draw, Failure(ResultCode.DRAW_TAKEN_OVER, handle), actions)

    def _scoring_finished(
        self, now: float, scoring_result: ScoringFinished | None, actions: list[DrawAction]
    ) -> None:
        if scoring_result is None:
            return
        progress = self._groups[scoring_result.key]
        draw = self._draws.get(progress.owner)
        if scoring_result.failure is not None and draw is not None:
            self._end(now, draw, scoring_result.failure, actions)
            return
        self._deliver_if_complete(now, progress, actions)
        self._submissions.submit_eligible(now, scoring_result.key.entry_name, actions)

    def _deliver_if_complete(
        self, now: float, progress: GroupProgress, actions: list[DrawAction]
    ) -> None:
        draw = self._draws.get(progress.owner)
        if draw is None:
            return
        newest = self._newest.newest(now, progress.entry.model, draw.announced)
        self._discard_stale(progress, newest)
        if not progress.complete:
            return
        if newest is None:
            draw.blocked_since = now if draw.blocked_since is None else draw.blocked_since
            return
        draw.blocked_since = None
        draw.open_groups.discard(progress.key)
        progress.owner = ""
        progress.released_at = now
        progress.delivered = True
        self._counts.delivered += progress.request.samples
        drafts = progress.ordered_drafts()
        actions.append(DeliverGroup(draw.request.handle, progress.key.group, drafts, newest))
        self._end_if_complete(draw, actions)

    def _discard_stale(self, progress: GroupProgress, newest: int | None) -> None:
        if newest is None:
            return
        for index, draft in list(progress.done.items()):
            if check_draft(draft, newest, progress.entry.staleness_bound).is_err():
                self._counts.stale += 1
                progress.discard(index)

    def _end_if_complete(self, draw: OpenDraw, actions: list[DrawAction]) -> None:
        if draw.open_groups or draw.request.handle not in self._draws:
            return
        del self._draws[draw.request.handle]
        actions.append(EndDraw(draw.request.handle))

    def _end_if_timed_out(self, now: float, draw: OpenDraw, actions: list[DrawAction]) -> None:
        blocked = draw.blocked_since
        if now >= draw.deadline:
            self._end(
                now,
                draw,
                Failure(ResultCode.DRAW_INCOMPLETE, "the time budget is used up"),
                actions,
            )
        elif blocked is not None and now >= blocked + self._settings.newest_wait_seconds:
            self._end(now, draw, Failure(ResultCode.NEWEST_UNKNOWN, retry_after=1.0), actions)

    def _end(self, now: float, draw: OpenDraw, failure: Failure, actions: list[DrawAction]) -> None:
        self._draws.pop(draw.request.handle, None)
        self._release(now, draw)
        actions.append(EndDraw(draw.request.handle, failure))

    def _release(self, now: float, draw: OpenDraw) -> None:
        for key in draw.open_groups:
            self._groups[key].owner = ""
            self._groups[key].released_at = now

    def _drop_expired_groups(self, now: float, actions: list[DrawAction]) -> None:
        unowned = [each for each in self._groups.values() if not each.owner]
        unowned.sort(key=lambda each: each.released_at, reverse=True)
        retained_bytes = 0
        for progress in unowned:
            retained_bytes += progress.size
            expired = now >= progress.released_at + self._settings.retention_seconds
            if expired or retained_bytes > self._settings.max_retained_bytes:
                self._drop_group(progress.key, actions)

    def _drop_group(self, key: GroupKey, actions: list[DrawAction]) -> None:
        progress = self._groups.pop(key, None)
        if progress is not None:
            self._submissions.cancel(progress.all_in_flight_requests(), actions)

    def _handle_failure(
        self,
        now: float,
        progress: GroupProgress,
        in_flight_request: InFlightRequest,
        failure: Failure,
        actions: list[DrawAction],
    ) -> None:
        draw = self._draws.get(progress.owner)
        if FIRST_PERMANENT_CODE <= failure.code < FIRST_CATALOGUE_CODE:
            if draw is not None:
                self._end(now, draw, failure, actions)
            return
        tries = progress.tries.get(in_flight_request.index, 0) + 1
        progress.tries[in_flight_request.index] = tries
        self._counts.retried += 1
        retry_at = now + self._retry_delay(tries, failure)
        heapq.heappush(self._retries, retry_at)
        progress.retry(in_flight_request.index, retry_at)

    def _retry_delay(self, tries: int, failure: Failure) -> float:
        delay = self._settings.retry_seconds * 2.0 ** min(tries - 1, 16)
        bounded = min(delay, self._settings.longest_retry_seconds)
        return max(bounded, failure.retry_after or 0.0)

    def _sort_by_position(self, keys: set[GroupKey]) -> list[GroupProgress]:
        selected = [self._groups[key] for key in keys]
        return sorted(selected, key=lambda each: each.position)


def _status_failure(status: int) -> Failure:
    retried = status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in RETRIED_STATUSES
    code = ResultCode.ENDPOINT_FAILED if retried else ResultCode.BAD_REQUEST
    return Failure(code, f"the endpoint answered with status {status}")
