"""The entry-side coordinator of draws of steps in groups; free of I/O.

A draw names what the trainer already holds and gets the rest, on any entry VM, so that a draft
reaches its trainer exactly once without a write in the data path.
"""

import heapq
from dataclasses import dataclass, field
from http import HTTPStatus

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.drafts import (
    CancelDraft,
    DeliverGroup,
    Draft,
    DrawAction,
    DrawRequest,
    EndDraw,
    GroupKey,
    GroupRequest,
    SubmitDraft,
    seeded_body,
)
from pumicedeck.draw_groups import Flight, GroupProgress, WaitingSample
from pumicedeck.results import Failure, ResultCode
from pumicedeck.staleness import NEWEST_TRUST_SECONDS, KnownVersion, NewestVersions, check_draft
from pumicedeck.stragglers import (
    DraftWindow,
    HedgePolicy,
    StragglerSettings,
    spread_prefix,
)

DEFAULT_TOKENS = 256
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


@dataclass(slots=True)
class DrawCounts:
    """Counters that the process reports."""

    delivered: int = 0
    stale: int = 0
    unattributed: int = 0
    duplicates: int = 0
    retried: int = 0
    hedged: int = 0
    taken_over: int = 0


@dataclass(slots=True)
class _Draw:
    request: DrawRequest
    named: KnownVersion | None
    deadline: float
    open_groups: set[GroupKey]
    samples: int = 0
    hedges: int = 0
    blocked_since: float | None = None


@dataclass(slots=True)
class _Lane:
    """The window and the late-draft policy of one catalogue entry."""

    window: DraftWindow
    hedges: HedgePolicy
    in_flight: int = 0


class DrawCoordinator:
    """Submits the drafts of draws, delivers whole groups and ends each draw once."""

    def __init__(self, settings: DrawSettings | None = None) -> None:
        """Start without draws and without a known newest version."""
        self._settings = settings or DrawSettings()
        self._newest = NewestVersions(self._settings.newest_trust_seconds)
        self._draws: dict[str, _Draw] = {}
        self._groups: dict[GroupKey, GroupProgress] = {}
        self._flights: dict[str, Flight] = {}
        self._lanes: dict[str, _Lane] = {}
        self._retries: list[float] = []
        self._submitted = 0
        self._counts = DrawCounts()

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
        self._pump(now, request.entry.name, actions)
        return actions

    def draft_finished(self, now: float, handle: str, answer: CallerAnswer) -> list[DrawAction]:
        """Take in the answer to a submitted draft; only the first of one id counts."""
        actions: list[DrawAction] = []
        flight = self._land(handle)
        if flight is None:
            self._counts.duplicates += 1
            return actions
        progress = self._groups[flight.key]
        lane = self._lane(flight.key.entry_name)
        lane.window.answered(answer.queue_wait)
        if flight.index in progress.done:
            self._counts.duplicates += 1
        elif answer.status >= HTTPStatus.BAD_REQUEST:
            self._failed(now, progress, flight, _status_failure(answer.status), actions)
        elif not answer.versions:
            self._counts.unattributed += 1
            self._failed(now, progress, flight, Failure(ResultCode.VERSION_UNKNOWN), actions)
        else:
            lane.hedges.observed(now - flight.started)
            progress.finish(flight.index, Draft(flight.key.draft(flight.index), answer))
            self._cancel(list(progress.flights.get(flight.index, [])), actions)
            self._hand_over(now, progress, actions)
        self._pump(now, flight.key.entry_name, actions)
        return actions

    def draft_failed(self, now: float, handle: str, failure: Failure) -> list[DrawAction]:
        """Take in the failure of a submitted draft: try it again or end the draw."""
        actions: list[DrawAction] = []
        flight = self._land(handle)
        if flight is None:
            return actions
        if failure.code in (ResultCode.OVERLOADED, ResultCode.QUEUE_TIMEOUT):
            self._lane(flight.key.entry_name).window.refused()
        self._failed(now, self._groups[flight.key], flight, failure, actions)
        self._pump(now, flight.key.entry_name, actions)
        return actions

    def newest_known(self, now: float, model: str, version: int) -> list[DrawAction]:
        """Take in the newest version of a model; discard what it makes stale."""
        actions: list[DrawAction] = []
        news = self._newest.confirm(now, model, version)
        touched = [
            each
            for each in self._groups.values()
            if each.entry.model == model and each.owner and (news or each.whole)
        ]
        for progress in touched:
            self._hand_over(now, progress, actions)
        for name in {each.key.entry_name for each in touched}:
            self._pump(now, name, actions)
        return actions

    def caller_gone(self, now: float, handle: str) -> list[DrawAction]:
        """Drop a draw whose trainer went away; a repeated draw can take its groups over."""
        draw = self._draws.pop(handle, None)
        if draw is not None:
            self._release(now, draw)
        return []

    def on_time(self, now: float) -> list[DrawAction]:
        """Do what is due: ends of draws, retries, copies of late drafts and forgetting."""
        actions: list[DrawAction] = []
        for draw in list(self._draws.values()):
            self._end_if_late(now, draw, actions)
        self._forget(now, actions)
        while self._retries and self._retries[0] <= now:
            heapq.heappop(self._retries)
        for name in list(self._lanes):
            self._pump(now, name, actions)
        return actions

    def next_wakeup(self) -> float | None:
        """Return the second at which `on_time` is wanted."""
        times = [each.deadline for each in self._draws.values()]
        for draw in self._draws.values():
            if draw.blocked_since is not None:
                times.append(draw.blocked_since + self._settings.newest_wait_seconds)
        for progress in self._groups.values():
            if not progress.owner:
                times.append(progress.released + self._settings.kept_seconds)
        times.extend(self._retries[:1])
        times.extend(self._hedge_times())
        return min(times, default=None)

    def _open_draw(self, now: float, request: DrawRequest) -> _Draw:
        named = None
        if request.newest_version >= 0:
            named = KnownVersion(request.newest_version, now)
        draw = _Draw(request, named, now + request.budget, set())
        self._draws[request.handle] = draw
        return draw

    def _claim_group(
        self,
        now: float,
        draw: _Draw,
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
        progress.claim(request.handle, request.entry, position)
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

    def _hand_over(self, now: float, progress: GroupProgress, actions: list[DrawAction]) -> None:
        draw = self._draws.get(progress.owner)
        if draw is None:
            return
        newest = self._newest.newest(now, progress.entry.model, draw.named)
        self._discard_stale(progress, newest)
        if not progress.whole:
            return
        if newest is None:
            draw.blocked_since = now if draw.blocked_since is None else draw.blocked_since
            return
        draw.blocked_since = None
        draw.open_groups.discard(progress.key)
        progress.owner = ""
        progress.released = now
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

    def _end_if_whole(self, draw: _Draw, actions: list[DrawAction]) -> None:
        if draw.open_groups or draw.request.handle not in self._draws:
            return
        del self._draws[draw.request.handle]
        actions.append(EndDraw(draw.request.handle))

    def _end_if_late(self, now: float, draw: _Draw, actions: list[DrawAction]) -> None:
        blocked = draw.blocked_since
        if now >= draw.deadline:
            self._end(now, draw, Failure(ResultCode.DRAW_INCOMPLETE, "time budget"), actions)
        elif blocked is not None and now >= blocked + self._settings.newest_wait_seconds:
            self._end(now, draw, Failure(ResultCode.NEWEST_UNKNOWN, retry_after=1.0), actions)

    def _end(self, now: float, draw: _Draw, failure: Failure, actions: list[DrawAction]) -> None:
        self._draws.pop(draw.request.handle, None)
        self._release(now, draw)
        actions.append(EndDraw(draw.request.handle, failure))

    def _release(self, now: float, draw: _Draw) -> None:
        for key in draw.open_groups:
            self._groups[key].owner = ""
            self._groups[key].released = now

    def _forget(self, now: float, actions: list[DrawAction]) -> None:
        left = [each for each in self._groups.values() if not each.owner]
        left.sort(key=lambda each: each.released, reverse=True)
        kept = 0
        for progress in left:
            kept += progress.size
            expired = now >= progress.released + self._settings.kept_seconds
            if expired or kept > self._settings.kept_bytes:
                self._drop_group(progress.key, actions)

    def _drop_group(self, key: GroupKey, actions: list[DrawAction]) -> None:
        progress = self._groups.pop(key, None)
        if progress is not None:
            self._cancel(progress.all_flights(), actions)

    def _cancel(self, flights: list[Flight], actions: list[DrawAction]) -> None:
        for flight in flights:
            self._land(flight.handle)
            actions.append(CancelDraft(flight.handle))

    def _land(self, handle: str) -> Flight | None:
        flight = self._flights.pop(handle, None)
        if flight is None:
            return None
        self._lane(flight.key.entry_name).in_flight -= 1
        progress = self._groups.get(flight.key)
        if progress is not None:
            progress.land(flight)
        return flight

    def _failed(
        self,
        now: float,
        progress: GroupProgress,
        flight: Flight,
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

    def _lane(self, entry_name: str) -> _Lane:
        lane = self._lanes.get(entry_name)
        if lane is None:
            stragglers = self._settings.stragglers
            lane = _Lane(DraftWindow(stragglers), HedgePolicy(stragglers))
            self._lanes[entry_name] = lane
        return lane

    def _in_order(self, keys: set[GroupKey]) -> list[GroupProgress]:
        found = [self._groups[key] for key in keys]
        return sorted(found, key=lambda each: each.position)

    def _owned(self, entry_name: str) -> list[GroupProgress]:
        return [
            each
            for each in self._groups.values()
            if each.owner and each.key.entry_name == entry_name
        ]

    def _pump(self, now: float, entry_name: str, actions: list[DrawAction]) -> None:
        waiting = [each for each in self._owned(entry_name) if each.waiting]
        if not waiting:
            self._hedge(now, entry_name, actions)
            return
        lane = self._lane(entry_name)
        limit = min(lane.window.size, waiting[0].entry.limits.concurrency)
        if lane.in_flight >= limit:
            return
        for progress in sorted(waiting, key=lambda each: each.order):
            while lane.in_flight < limit:
                sample = progress.next_waiting(now)
                if sample is None:
                    break
                self._submit(now, progress, sample, actions)

    def _submit(
        self,
        now: float,
        progress: GroupProgress,
        sample: WaitingSample,
        actions: list[DrawAction],
        hedge: bool = False,
    ) -> None:
        self._submitted += 1
        handle = f"draft/{self._submitted}"
        flight = Flight(handle, progress.key, sample.index, now, hedge)
        progress.take_off(flight)
        self._flights[handle] = flight
        self._lane(progress.key.entry_name).in_flight += 1
        actions.append(SubmitDraft(self._request(now, progress, flight)))

    def _request(self, now: float, progress: GroupProgress, flight: Flight) -> CallerRequest:
        draw = self._draws[progress.owner]
        group = progress.request
        draft_id = progress.key.draft(flight.index)
        shard = flight.index + int(flight.hedge)
        return CallerRequest(
            handle=flight.handle,
            request_id=f"{draw.request.handle}/{flight.handle}",
            entry=progress.entry,
            path=group.path,
            body=seeded_body(group.body, draft_id) or group.body,
            idempotent=True,
            streamed=False,
            budget=max(0.0, draw.deadline - now),
            expected_tokens=group.expected_tokens or DEFAULT_TOKENS,
            priority=int(progress.redrawn or flight.hedge),
            prefix=spread_prefix(group.prefix, shard, self._settings.stragglers.spread),
            draft=draft_id,
            repeatable=False,
        )

    def _hedge(self, now: float, entry_name: str, actions: list[DrawAction]) -> None:
        for due, flight in self._hedge_candidates(entry_name):
            if due <= now:
                progress = self._groups[flight.key]
                self._draws[progress.owner].hedges += 1
                self._counts.hedged += 1
                sample = WaitingSample(flight.index)
                self._submit(now, progress, sample, actions, hedge=True)

    def _hedge_candidates(self, entry_name: str) -> list[tuple[float, Flight]]:
        policy = self._lane(entry_name).hedges
        found: list[tuple[float, Flight]] = []
        left = {
            handle: policy.budget(draw.samples) - draw.hedges
            for handle, draw in self._draws.items()
        }
        if policy.threshold is None or not any(each > 0 for each in left.values()):
            return found
        for flight in self._single_flights(entry_name):
            owner = self._groups[flight.key].owner
            due = policy.due_at(flight.started)
            if due is not None and left[owner] > 0:
                left[owner] -= 1
                found.append((due, flight))
        return found

    def _single_flights(self, entry_name: str) -> list[Flight]:
        singles: list[Flight] = []
        for progress in self._owned(entry_name):
            if progress.reproducible:
                singles.extend(each[0] for each in progress.flights.values() if len(each) == 1)
        return sorted(singles, key=lambda each: each.started)

    def _hedge_times(self) -> list[float]:
        times: list[float] = []
        for name in self._lanes:
            if not any(each.waiting for each in self._owned(name)):
                times.extend(due for due, _ in self._hedge_candidates(name))
        return times


def _status_failure(status: int) -> Failure:
    retried = status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in RETRIED_STATUSES
    code = ResultCode.ENDPOINT_FAILED if retried else ResultCode.BAD_REQUEST
    return Failure(code, f"the endpoint answered with status {status}")
