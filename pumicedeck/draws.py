"""Coordinates draws on an entry VM: requests drafts and delivers complete groups; no I/O.

A draw lists the groups that the trainer already holds and receives the others, on any entry VM.
A draft therefore reaches its trainer exactly once, also after a lost reply or a failed entry
VM, without a store write in the data path.
"""

import heapq
from dataclasses import dataclass, field
from http import HTTPStatus

from pumicedeck.actions import CallerAnswer
from pumicedeck.backoffs import doubled_seconds
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
from pumicedeck.draw_groups import DrawGroup, InFlightRequest, OpenDraw
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scorers import ScorerSettings, Scoring, ScoringFinished
from pumicedeck.staleness import (
    NEWEST_VERSION_TRUST_SECONDS,
    KnownVersion,
    NewestVersions,
    check_draft,
)
from pumicedeck.stragglers import StragglerSettings

# Failures with these codes end a draw, all others are retried; the end is exclusive.
PERMANENT_CODES_START = 400
PERMANENT_CODES_END = 500
RETRIED_STATUSES = (HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS)


@dataclass(frozen=True, slots=True)
class DrawSettings:
    """Limits of the coordinator; times in seconds.

    A draw with a complete group waits at most `newest_version_wait_seconds` for the newest weight
    version to become known. Groups of a draw that ended are retained for `retention_seconds` and
    up to `max_retained_bytes`, so that a repeated draw can reuse their drafts.
    """

    retry_seconds: float = 0.5
    longest_retry_seconds: float = 8.0
    newest_version_wait_seconds: float = 10.0
    newest_version_trust_seconds: float = NEWEST_VERSION_TRUST_SECONDS
    retention_seconds: float = 15.0
    max_retained_bytes: int = 32 * 1024 * 1024
    stragglers: StragglerSettings = field(default_factory=StragglerSettings)
    scorers: ScorerSettings = field(default_factory=ScorerSettings)


class DrawCoordinator:
    """Submits requests for the drafts of draws, delivers complete groups, ends each draw once."""

    def __init__(self, settings: DrawSettings | None = None) -> None:
        """Create a coordinator without draws and without a known newest version."""
        self._settings = settings or DrawSettings()
        self._newest_versions = NewestVersions(self._settings.newest_version_trust_seconds)
        self._draws: dict[str, OpenDraw] = {}
        self._groups: dict[GroupKey, DrawGroup] = {}
        self._counts = DrawCounts()
        self._submissions = DraftSubmissions(
            self._settings.stragglers, self._draws, self._groups, self._counts
        )
        self._scoring = Scoring(self._groups, self._settings.scorers)
        self._retry_times: list[float] = []

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
        for position, group_request in enumerate(request.groups):
            self._claim_group(now, draw, position, group_request, actions)
        for group in self._sort_by_position(draw.open_groups):
            self._deliver_if_complete(now, group, actions)
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
        group = self._groups[in_flight_request.key]
        self._submissions.answered(in_flight_request.key.entry_name, answer.queue_wait)
        if in_flight_request.index in group.finished_drafts:
            self._counts.duplicates += 1
        elif answer.status >= HTTPStatus.BAD_REQUEST:
            self._handle_failure(
                now, group, in_flight_request, _build_status_failure(answer.status), actions
            )
        elif not answer.versions:
            self._counts.unattributed += 1
            self._handle_failure(
                now, group, in_flight_request, Failure(ResultCode.VERSION_UNKNOWN), actions
            )
        else:
            self._submissions.observed(
                in_flight_request.key.entry_name, now - in_flight_request.started
            )
            group.finish(
                in_flight_request.index,
                Draft(in_flight_request.key.draft_id(in_flight_request.index), answer),
            )
            self._submissions.cancel(
                list(group.in_flight_requests.get(in_flight_request.index, [])), actions
            )
            actions += self._scoring.start_scoring(now, group, in_flight_request.index)
            self._deliver_if_complete(now, group, actions)
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
        """Handle a newly published version of a model: discard drafts that it makes stale."""
        actions: list[DrawAction] = []
        is_newer = self._newest_versions.record_published(now, model, version)
        affected_groups = [
            group
            for group in self._groups.values()
            if group.entry.model == model and group.owner and (is_newer or group.complete)
        ]
        for group in affected_groups:
            self._deliver_if_complete(now, group, actions)
        for name in {group.key.entry_name for group in affected_groups}:
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
        while self._retry_times and self._retry_times[0] <= now:
            heapq.heappop(self._retry_times)
        actions += self._scoring.on_timer(now)
        for name in self._submissions.entry_names:
            self._submissions.submit_eligible(now, name, actions)
        return actions

    def next_wakeup(self) -> float | None:
        """Return the time, in seconds, of the next `on_timer` call; None if none is needed."""
        times = [draw.deadline for draw in self._draws.values()]
        for draw in self._draws.values():
            if draw.blocked_since is not None:
                times.append(draw.blocked_since + self._settings.newest_version_wait_seconds)
        for group in self._groups.values():
            if not group.owner:
                times.append(group.unowned_since + self._settings.retention_seconds)
        times.extend(self._retry_times[:1])
        scoring_wakeup = self._scoring.next_wakeup()
        if scoring_wakeup is not None:
            times.append(scoring_wakeup)
        times.extend(self._submissions.list_hedge_times())
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
        group_request: GroupRequest,
        actions: list[DrawAction],
    ) -> None:
        request = draw.request
        key = GroupKey(request.entry.name, request.trainer, request.step, group_request.group)
        group = self._groups.get(key)
        if group is not None:
            self._take_over(now, group, request.handle, actions)
        if group_request.group in request.held:
            self._drop_group(key, actions)
            return
        if group is not None and group.request != group_request:
            self._drop_group(key, actions)
            group = None
        if group is None:
            group = DrawGroup(key, group_request, request.entry, position, request.handle)
            group.reproducible = seeded_body(group_request.body, key.draft_id(0)) is not None
            self._groups[key] = group
        group.claim(request, position)
        draw.open_groups.add(key)
        draw.samples += group_request.samples

    def _take_over(
        self, now: float, group: DrawGroup, handle: str, actions: list[DrawAction]
    ) -> None:
        earlier_draw = self._draws.get(group.owner)
        if earlier_draw is None or earlier_draw.request.handle == handle:
            return
        self._counts.taken_over += 1
        self._end(now, earlier_draw, Failure(ResultCode.DRAW_TAKEN_OVER, handle), actions)

    def _scoring_finished(
        self, now: float, scoring_result: ScoringFinished | None, actions: list[DrawAction]
    ) -> None:
        if scoring_result is None:
            return
        group = self._groups[scoring_result.key]
        draw = self._draws.get(group.owner)
        if scoring_result.failure is not None and draw is not None:
            self._end(now, draw, scoring_result.failure, actions)
            return
        self._deliver_if_complete(now, group, actions)
        self._submissions.submit_eligible(now, scoring_result.key.entry_name, actions)

    def _deliver_if_complete(self, now: float, group: DrawGroup, actions: list[DrawAction]) -> None:
        draw = self._draws.get(group.owner)
        if draw is None:
            return
        newest_version = self._newest_versions.newest_version(
            now, group.entry.model, draw.announced
        )
        self._discard_stale(group, newest_version)
        if not group.complete:
            return
        if newest_version is None:
            draw.blocked_since = now if draw.blocked_since is None else draw.blocked_since
            return
        draw.blocked_since = None
        draw.open_groups.discard(group.key)
        group.owner = ""
        group.unowned_since = now
        group.delivered = True
        self._counts.delivered += group.request.samples
        drafts = group.ordered_drafts()
        actions.append(DeliverGroup(draw.request.handle, group.key.group, drafts, newest_version))
        self._end_if_complete(draw, actions)

    def _discard_stale(self, group: DrawGroup, newest_version: int | None) -> None:
        if newest_version is None:
            return
        for index, draft in list(group.finished_drafts.items()):
            if check_draft(draft, newest_version, group.entry.staleness_bound).is_err():
                self._counts.stale += 1
                group.discard(index)

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
        elif blocked is not None and now >= blocked + self._settings.newest_version_wait_seconds:
            self._end(now, draw, Failure(ResultCode.NEWEST_UNKNOWN, retry_after=1.0), actions)

    def _end(self, now: float, draw: OpenDraw, failure: Failure, actions: list[DrawAction]) -> None:
        self._draws.pop(draw.request.handle, None)
        self._release(now, draw)
        actions.append(EndDraw(draw.request.handle, failure))

    def _release(self, now: float, draw: OpenDraw) -> None:
        for key in draw.open_groups:
            self._groups[key].owner = ""
            self._groups[key].unowned_since = now

    def _drop_expired_groups(self, now: float, actions: list[DrawAction]) -> None:
        unowned_groups = [group for group in self._groups.values() if not group.owner]
        unowned_groups.sort(key=lambda group: group.unowned_since, reverse=True)
        retained_bytes = 0
        for group in unowned_groups:
            retained_bytes += group.size
            expired = now >= group.unowned_since + self._settings.retention_seconds
            if expired or retained_bytes > self._settings.max_retained_bytes:
                self._drop_group(group.key, actions)

    def _drop_group(self, key: GroupKey, actions: list[DrawAction]) -> None:
        group = self._groups.pop(key, None)
        if group is not None:
            self._submissions.cancel(group.all_in_flight_requests(), actions)

    def _handle_failure(
        self,
        now: float,
        group: DrawGroup,
        in_flight_request: InFlightRequest,
        failure: Failure,
        actions: list[DrawAction],
    ) -> None:
        draw = self._draws.get(group.owner)
        if PERMANENT_CODES_START <= failure.code < PERMANENT_CODES_END:
            if draw is not None:
                self._end(now, draw, failure, actions)
            return
        failed_requests = group.failed_requests.get(in_flight_request.index, 0) + 1
        group.failed_requests[in_flight_request.index] = failed_requests
        self._counts.retried += 1
        retry_at = now + self._compute_retry_delay(failed_requests, failure)
        heapq.heappush(self._retry_times, retry_at)
        group.retry(in_flight_request.index, retry_at)

    def _compute_retry_delay(self, failed_requests: int, failure: Failure) -> float:
        settings = self._settings
        delay = doubled_seconds(
            settings.retry_seconds, failed_requests - 1, settings.longest_retry_seconds
        )
        return max(delay, failure.retry_after or 0.0)

    def _sort_by_position(self, keys: set[GroupKey]) -> list[DrawGroup]:
        groups = [self._groups[key] for key in keys]
        return sorted(groups, key=lambda group: group.position)


def _build_status_failure(status: int) -> Failure:
    retried = status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in RETRIED_STATUSES
    code = ResultCode.ENDPOINT_FAILED if retried else ResultCode.BAD_REQUEST
    return Failure(code, f"the endpoint answered with status {status}")
