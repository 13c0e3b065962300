"""Requests for drafts: what is in flight, the window of each entry, copies; free of I/O."""

from dataclasses import dataclass

from pumicedeck.actions import CallerRequest
from pumicedeck.drafts import CancelDraft, DrawAction, GroupKey, SubmitDraft, seeded_body
from pumicedeck.draw_groups import GroupProgress, InFlightRequest, OpenDraw, WaitingSample
from pumicedeck.stragglers import DraftWindow, HedgePolicy, StragglerSettings, spread_prefix

DEFAULT_TOKENS = 256


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
class _Lane:
    """The window and the late-draft policy of one catalogue entry."""

    window: DraftWindow
    hedges: HedgePolicy
    in_flight: int = 0


class DraftSubmissions:
    """Submits the waiting samples of owned groups and knows which requests are in flight."""

    def __init__(
        self,
        settings: StragglerSettings,
        draws: dict[str, OpenDraw],
        groups: dict[GroupKey, GroupProgress],
        counts: DrawCounts,
    ) -> None:
        """Work on the coordinator's draws and groups."""
        self._settings = settings
        self._draws = draws
        self._groups = groups
        self._counts = counts
        self._flights: dict[str, InFlightRequest] = {}
        self._lanes: dict[str, _Lane] = {}
        self._submitted = 0

    @property
    def entry_names(self) -> tuple[str, ...]:
        """Return the catalogue entries that were drawn from."""
        return tuple(self._lanes)

    def answered(self, entry_name: str, queue_wait: float) -> None:
        """Adapt the window to the wait of an answered draft."""
        self._lane(entry_name).window.answered(queue_wait)

    def refused(self, entry_name: str) -> None:
        """Adapt the window to a refusal because of load."""
        self._lane(entry_name).window.refused()

    def observed(self, entry_name: str, seconds: float) -> None:
        """Take in how long a finished draft was in flight."""
        self._lane(entry_name).hedges.observed(seconds)

    def cancel(self, in_flight_requests: list[InFlightRequest], actions: list[DrawAction]) -> None:
        """Cancel requests whose results are not wanted any more."""
        for flight in in_flight_requests:
            self.request_ended(flight.handle)
            actions.append(CancelDraft(flight.handle))

    def request_ended(self, handle: str) -> InFlightRequest | None:
        """Count a request as ended; None if it is not in flight."""
        flight = self._flights.pop(handle, None)
        if flight is None:
            return None
        self._lane(flight.key.entry_name).in_flight -= 1
        progress = self._groups.get(flight.key)
        if progress is not None:
            progress.request_ended(flight)
        return flight

    def _lane(self, entry_name: str) -> _Lane:
        lane = self._lanes.get(entry_name)
        if lane is None:
            lane = _Lane(DraftWindow(self._settings), HedgePolicy(self._settings))
            self._lanes[entry_name] = lane
        return lane

    def _owned(self, entry_name: str) -> list[GroupProgress]:
        return [
            each
            for each in self._groups.values()
            if each.owner and each.key.entry_name == entry_name
        ]

    def submit_eligible(self, now: float, entry_name: str, actions: list[DrawAction]) -> None:
        """Submit what the window allows, then copies of what is late."""
        waiting = [each for each in self._owned(entry_name) if each.waiting]
        lane = self._lane(entry_name)
        limit = lane.window.size
        if waiting:
            limit = min(limit, waiting[0].entry.limits.concurrency)
        if lane.in_flight < limit:
            waiting.sort(key=lambda each: each.order)
        for progress in waiting:
            if lane.in_flight >= limit:
                break
            self._submit_waiting(now, progress, limit, actions)
        self._hedge(now, entry_name, actions)

    def _submit_waiting(
        self, now: float, progress: GroupProgress, limit: int, actions: list[DrawAction]
    ) -> None:
        lane = self._lane(progress.key.entry_name)
        while lane.in_flight < limit:
            sample = progress.next_waiting(now)
            if sample is None:
                return
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
        flight = InFlightRequest(handle, progress.key, sample.index, now, hedge)
        progress.request_started(flight)
        self._flights[handle] = flight
        self._lane(progress.key.entry_name).in_flight += 1
        actions.append(SubmitDraft(self._request(now, progress, flight)))

    def _request(
        self, now: float, progress: GroupProgress, flight: InFlightRequest
    ) -> CallerRequest:
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
            prefix=spread_prefix(group.prefix, shard, self._settings.spread),
            draft=draft_id,
            has_caller_request_id=False,
        )

    def _hedge(self, now: float, entry_name: str, actions: list[DrawAction]) -> None:
        for due, flight in self._hedge_candidates(entry_name):
            if due <= now:
                progress = self._groups[flight.key]
                self._draws[progress.owner].hedges += 1
                self._counts.hedged += 1
                sample = WaitingSample(flight.index)
                self._submit(now, progress, sample, actions, hedge=True)

    def _hedge_candidates(self, entry_name: str) -> list[tuple[float, InFlightRequest]]:
        policy = self._lane(entry_name).hedges
        if policy.threshold is None:
            return []
        found: list[tuple[float, InFlightRequest]] = []
        for draw in self._draws.values():
            left = policy.budget(draw.samples) - draw.hedges
            if left <= 0 or draw.request.entry.name != entry_name:
                continue
            for flight in self._tail(draw)[:left]:
                due = policy.late_at(flight.started)
                if due is not None:
                    found.append((due, flight))
        return found

    def _tail(self, draw: OpenDraw) -> list[InFlightRequest]:
        singles: list[InFlightRequest] = []
        for key in draw.open_groups:
            progress = self._groups[key]
            if progress.waiting:
                return []
            if progress.reproducible:
                singles.extend(
                    each[0] for each in progress.in_flight_requests.values() if len(each) == 1
                )
        return sorted(singles, key=lambda each: each.started)

    def hedge_times(self) -> list[float]:
        """Return the seconds at which drafts in flight become late."""
        return [due for name in self._lanes for due, _ in self._hedge_candidates(name)]
