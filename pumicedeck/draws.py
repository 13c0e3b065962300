"""The entry-side coordinator of draws of steps in groups; free of I/O.

A draw names what the trainer already holds and gets the rest, on any entry VM, so that a draft
reaches its trainer exactly once without a write in the data path.
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
    """Bounds of the coordinator; times in seconds.

    What a draw left behind is kept for `kept_seconds` and `kept_bytes`, so that a repeated draw
    takes it over.
    """

    retry_seconds: float = 0.5
    longest_retry_seconds: float = 8.0
    newest_wait_seconds: float = 10.0
    newest_trust_seconds: float = NEWEST_TRUST_SECONDS
    kept_seconds: float = 15.0
    kept_bytes: int = 32 * 1024 * 1024
    stragglers: StragglerSettings = field(default_factory=StragglerSettings)
    scorers: ScorerSettings = field(default_factory=ScorerSettings)


class DrawCoordinator:
    """Submits the drafts of draws, delivers whole groups and ends each draw once."""

    def __init__(self, settings: DrawSettings | None = None) -> None:
        """Start without draws and without a known newest version."""
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
        """Return the counters."""
        return self._counts

    @property
    def open_draws(self) -> int:
        """Return how many draws have not ended."""
        return len(self._draws)

    def start(self, now: float, request: DrawRequest) -> list[DrawAction]:
        """Begin a draw; it takes groups over from an earlier draw of the same ones."""
        actions: list[DrawAction] = []
        draw = self._open_draw(now, request)
        for position, group in enumerate(request.groups):
            self._claim_group(now, draw, position, group, actions)
        for progress in self._in_order(draw.open_groups):
            self._hand_over(now, progress, actions)
        self._end_if_whole(draw, actions)
        self._submissions.submit_eligible(now, request.entry.name, actions)
        return actions

    def draft_finished(self, now: float, handle: str, answer: CallerAnswer) -> list[DrawAction]:
        """Take in the answer to a submitted draft or score; only the first of one id counts."""
        actions: list[DrawAction] = []
        if self._scoring.is_open(handle):
            self._scored(now, self._scoring.answered(now, handle, answer), actions)
            return actions
        flight = self._submissions.request_ended(handle)
        if flight is None:
            self._counts.duplicates += 1
            return actions
        progress = self._groups[flight.key]
        self._submissions.answered(flight.key.entry_name, answer.queue_wait)
        if flight.index in progress.done:
            self._counts.duplicates += 1
        elif answer.status >= HTTPStatus.BAD_REQUEST:
            self._failed(now, progress, flight, _status_failure(answer.status), actions)
        elif not answer.versions:
            self._counts.unattributed += 1
            self._failed(now, progress, flight, Failure(ResultCode.VERSION_UNKNOWN), actions)
        else:
            self._submissions.observed(flight.key.entry_name, now - flight.started)
            progress.finish(flight.index, Draft(flight.key.draft(flight.index), answer))
            self._submissions.cancel(
                list(progress.in_flight_requests.get(flight.index, [])), actions
            )
            actions += self._scoring.start_scoring(now, progress, flight.index)
            self._hand_over(now, progress, actions)
        self._submissions.submit_eligible(now, flight.key.entry_name, actions)
        return actions

    def draft_failed(self, now: float, handle: str, failure: Failure) -> list[DrawAction]:
        """Take in the failure of a submitted draft or score: try it again or end the draw."""
        actions: list[DrawAction] = []
        if self._scoring.is_open(handle):
            self._scored(now, self._scoring.failed(now, handle, failure), actions)
            return actions
        flight = self._submissions.request_ended(handle)
        if flight is None:
            return actions
        if failure.code in (ResultCode.OVERLOADED, ResultCode.QUEUE_TIMEOUT):
            self._submissions.refused(flight.key.entry_name)
        self._failed(now, self._groups[flight.key], flight, failure, actions)
        self._submissions.submit_eligible(now, flight.key.entry_name, actions)
        return actions

    def newest_version_confirmed(self, now: float, model: str, version: int) -> list[DrawAction]:
        """Take in the newest version of a model; discard what it makes stale."""
        actions: list[DrawAction] = []
        news = self._newest.confirm(now, model, version)
        touched = [
            each
            for each in self._groups.values()
            if each.entry.model == model and each.owner and (news or each.complete)
        ]
        for progress in touched:
            self._hand_over(now, progress, actions)
        for name in {each.key.entry_name for each in touched}:
            self._submissions.submit_eligible(now, name, actions)
        return actions

    def caller_disconnected(self, now: float, handle: str) -> list[DrawAction]:
        """Drop a draw whose trainer went away; a repeated draw can take its groups over."""
        draw = self._draws.pop(handle, None)
        if draw is not None:
            self._release(now, draw)
        return []

    def on_timer(self, now: float) -> list[DrawAction]:
        """Do what is due: ends of draws, retries, copies of late drafts and forgetting."""
        actions: list[DrawAction] = []
        for draw in list(self._draws.values()):
            self._end_if_late(now, draw, actions)
        self._forget(now, actions)
        while self._retries and self._retries[0] <= now:
            heapq.heappop(self._retries)
        actions += self._scoring.on_timer(now)
        for name in self._submissions.entry_names:
            self._submissions.submit_eligible(now, name, actions)
        return actions

    def next_wakeup(self) -> float | None:
        """Return the second at which `on_time` is wanted."""
        times = [each.deadline for each in self._draws.values()]
        for draw in self._draws.values():
            if draw.blocked_since is not None:
                times.append(draw.blocked_since + self._settings.newest_wait_seconds)
        for progress in self._groups.values():
            if not progress.owner:
                times.append(progress.released_at + self._settings.kept_seconds)
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
        earlier = self._draws.get(progress.owner)
        if earlier is None or earlier.request.handle == handle:
            return
        self._counts.taken_over += 1
        self._end(now, earlier, Failure(ResultCode.DRAW_TAKEN_OVER, handle), actions)

    def _scored(
        self, now: float, settled: ScoringFinished | None, actions: list[DrawAction]
    ) -> None:
        if settled is None:
            return
        progress = self._groups[settled.key]
        draw = self._draws.get(progress.owner)
        if settled.failure is not None and draw is not None:
            self._end(now, draw, settled.failure, actions)
            return
        self._hand_over(now, progress, actions)
        self._submissions.submit_eligible(now, settled.key.entry_name, actions)

    def _hand_over(self, now: float, progress: GroupProgress, actions: list[DrawAction]) -> None:
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
        self._end_if_whole(draw, actions)

    def _discard_stale(self, progress: GroupProgress, newest: int | None) -> None:
        if newest is None:
            return
        for index, draft in list(progress.done.items()):
            if check_draft(draft, newest, progress.entry.staleness_bound).is_err():
                self._counts.stale += 1
                progress.discard(index)

    def _end_if_whole(self, draw: OpenDraw, actions: list[DrawAction]) -> None:
        if draw.open_groups or draw.request.handle not in self._draws:
            return
        del self._draws[draw.request.handle]
        actions.append(EndDraw(draw.request.handle))

    def _end_if_late(self, now: float, draw: OpenDraw, actions: list[DrawAction]) -> None:
        blocked = draw.blocked_since
        if now >= draw.deadline:
            self._end(now, draw, Failure(ResultCode.DRAW_INCOMPLETE, "time budget"), actions)
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

    def _forget(self, now: float, actions: list[DrawAction]) -> None:
        left = [each for each in self._groups.values() if not each.owner]
        left.sort(key=lambda each: each.released_at, reverse=True)
        kept = 0
        for progress in left:
            kept += progress.size
            expired = now >= progress.released_at + self._settings.kept_seconds
            if expired or kept > self._settings.kept_bytes:
                self._drop_group(progress.key, actions)

    def _drop_group(self, key: GroupKey, actions: list[DrawAction]) -> None:
        progress = self._groups.pop(key, None)
        if progress is not None:
            self._submissions.cancel(progress.all_in_flight_requests(), actions)

    def _failed(
        self,
        now: float,
        progress: GroupProgress,
        flight: InFlightRequest,
        failure: Failure,
        actions: list[DrawAction],
    ) -> None:
        draw = self._draws.get(progress.owner)
        if FIRST_PERMANENT_CODE <= failure.code < FIRST_CATALOGUE_CODE:
            if draw is not None:
                self._end(now, draw, failure, actions)
            return
        tries = progress.tries.get(flight.index, 0) + 1
        progress.tries[flight.index] = tries
        self._counts.retried += 1
        due = now + self._retry_delay(tries, failure)
        heapq.heappush(self._retries, due)
        progress.retry(flight.index, due)

    def _retry_delay(self, tries: int, failure: Failure) -> float:
        delay = self._settings.retry_seconds * 2.0 ** min(tries - 1, 16)
        bounded = min(delay, self._settings.longest_retry_seconds)
        return max(bounded, failure.retry_after or 0.0)

    def _in_order(self, keys: set[GroupKey]) -> list[GroupProgress]:
        found = [self._groups[key] for key in keys]
        return sorted(found, key=lambda each: each.position)


def _status_failure(status: int) -> Failure:
    retried = status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in RETRIED_STATUSES
    code = ResultCode.ENDPOINT_FAILED if retried else ResultCode.BAD_REQUEST
    return Failure(code, f"the endpoint answered with status {status}")
