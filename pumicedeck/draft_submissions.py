"""Submits requests for drafts within a window per catalogue entry and hedges late ones.

The window keeps requests from queueing at the agents; hedging limits the delay that slow or
stuck engines add to a step. Performs no I/O.
"""

from dataclasses import dataclass

from pumicedeck.actions import CallerRequest
from pumicedeck.drafts import CancelDraft, DrawAction, GroupKey, SubmitDraft, seeded_body
from pumicedeck.draw_groups import GroupProgress, InFlightRequest, OpenDraw, WaitingSample
from pumicedeck.stragglers import DraftWindow, HedgePolicy, StragglerSettings, spread_prefix

DEFAULT_TOKENS = 256


@dataclass(slots=True)
class DrawCounts:
    """Counters of draws that the process reports."""

    delivered: int = 0
    stale: int = 0
    unattributed: int = 0
    duplicates: int = 0
    retried: int = 0
    hedged: int = 0
    taken_over: int = 0


@dataclass(slots=True)
class _EntryState:
    """The in-flight window and the hedge policy of one catalogue entry."""

    window: DraftWindow
    hedge_policy: HedgePolicy
    in_flight: int = 0


class DraftSubmissions:
    """Submits the waiting samples of groups that a draw owns and tracks the in-flight requests."""

    def __init__(
        self,
        settings: StragglerSettings,
        draws: dict[str, OpenDraw],
        groups: dict[GroupKey, GroupProgress],
        counts: DrawCounts,
    ) -> None:
        """Share `draws`, `groups` and `counts` with the draw coordinator."""
        self._settings = settings
        self._draws = draws
        self._groups = groups
        self._counts = counts
        self._in_flight_requests: dict[str, InFlightRequest] = {}
        self._entry_states: dict[str, _EntryState] = {}
        self._submitted = 0

    @property
    def entry_names(self) -> tuple[str, ...]:
        """Return the names of the catalogue entries that draws have used."""
        return tuple(self._entry_states)

    def answered(self, entry_name: str, queue_wait: float) -> None:
        """Adapt the window to the queue wait, in seconds, of an answered draft."""
        self._entry_state(entry_name).window.answered(queue_wait)

    def refused(self, entry_name: str) -> None:
        """Shrink the window after a request was refused because of load."""
        self._entry_state(entry_name).window.refused()

    def observed(self, entry_name: str, seconds: float) -> None:
        """Record how many seconds a finished draft was in flight."""
        self._entry_state(entry_name).hedge_policy.observed(seconds)

    def cancel(self, in_flight_requests: list[InFlightRequest], actions: list[DrawAction]) -> None:
        """Cancel requests whose results are no longer needed."""
        for in_flight_request in in_flight_requests:
            self.request_ended(in_flight_request.handle)
            actions.append(CancelDraft(in_flight_request.handle))

    def request_ended(self, handle: str) -> InFlightRequest | None:
        """Remove and return an in-flight request; return None if it is not in flight."""
        in_flight_request = self._in_flight_requests.pop(handle, None)
        if in_flight_request is None:
            return None
        self._entry_state(in_flight_request.key.entry_name).in_flight -= 1
        progress = self._groups.get(in_flight_request.key)
        if progress is not None:
            progress.request_ended(in_flight_request)
        return in_flight_request

    def _entry_state(self, entry_name: str) -> _EntryState:
        entry_state = self._entry_states.get(entry_name)
        if entry_state is None:
            entry_state = _EntryState(DraftWindow(self._settings), HedgePolicy(self._settings))
            self._entry_states[entry_name] = entry_state
        return entry_state

    def _owned_groups(self, entry_name: str) -> list[GroupProgress]:
        return [
            each
            for each in self._groups.values()
            if each.owner and each.key.entry_name == entry_name
        ]

    def submit_eligible(self, now: float, entry_name: str, actions: list[DrawAction]) -> None:
        """Submit the waiting samples that the window allows, then hedges of late drafts."""
        waiting = [each for each in self._owned_groups(entry_name) if each.waiting]
        entry_state = self._entry_state(entry_name)
        limit = entry_state.window.size
        if waiting:
            limit = min(limit, waiting[0].entry.limits.concurrency)
        if entry_state.in_flight < limit:
            waiting.sort(key=lambda each: each.order)
        for progress in waiting:
            if entry_state.in_flight >= limit:
                break
            self._submit_waiting(now, progress, limit, actions)
        self._submit_hedges(now, entry_name, actions)

    def _submit_waiting(
        self, now: float, progress: GroupProgress, limit: int, actions: list[DrawAction]
    ) -> None:
        entry_state = self._entry_state(progress.key.entry_name)
        while entry_state.in_flight < limit:
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
        in_flight_request = InFlightRequest(handle, progress.key, sample.index, now, hedge)
        progress.request_started(in_flight_request)
        self._in_flight_requests[handle] = in_flight_request
        self._entry_state(progress.key.entry_name).in_flight += 1
        actions.append(SubmitDraft(self._request(now, progress, in_flight_request)))

    def _request(
        self, now: float, progress: GroupProgress, in_flight_request: InFlightRequest
    ) -> CallerRequest:
        draw = self._draws[progress.owner]
        group = progress.request
        draft_id = progress.key.draft(in_flight_request.index)
        spread_index = in_flight_request.index + int(in_flight_request.hedge)
        return CallerRequest(
            handle=in_flight_request.handle,
            request_id=f"{draw.request.handle}/{in_flight_request.handle}",
            entry=progress.entry,
            path=group.path,
            body=seeded_body(group.body, draft_id) or group.body,
            idempotent=True,
            streamed=False,
            budget=max(0.0, draw.deadline - now),
            expected_tokens=group.expected_tokens or DEFAULT_TOKENS,
            priority=int(progress.redrawn or in_flight_request.hedge),
            prefix=spread_prefix(group.prefix, spread_index, self._settings.spread),
            draft=draft_id,
            has_caller_request_id=False,
        )

    def _submit_hedges(self, now: float, entry_name: str, actions: list[DrawAction]) -> None:
        for hedge_at, in_flight_request in self._hedge_candidates(entry_name):
            if hedge_at <= now:
                progress = self._groups[in_flight_request.key]
                self._draws[progress.owner].hedge_count += 1
                self._counts.hedged += 1
                sample = WaitingSample(in_flight_request.index)
                self._submit(now, progress, sample, actions, hedge=True)

    def _hedge_candidates(self, entry_name: str) -> list[tuple[float, InFlightRequest]]:
        policy = self._entry_state(entry_name).hedge_policy
        if policy.threshold is None:
            return []
        candidates: list[tuple[float, InFlightRequest]] = []
        for draw in self._draws.values():
            remaining = policy.budget(draw.samples) - draw.hedge_count
            if remaining <= 0 or draw.request.entry.name != entry_name:
                continue
            for in_flight_request in self._tail_requests(draw)[:remaining]:
                hedge_at = policy.late_at(in_flight_request.started)
                if hedge_at is not None:
                    candidates.append((hedge_at, in_flight_request))
        return candidates

    def _tail_requests(self, draw: OpenDraw) -> list[InFlightRequest]:
        """Return the requests without a copy, oldest first; none while a sample still waits."""
        without_copy: list[InFlightRequest] = []
        for key in draw.open_groups:
            progress = self._groups[key]
            if progress.waiting:
                return []
            if progress.reproducible:
                without_copy.extend(
                    each[0] for each in progress.in_flight_requests.values() if len(each) == 1
                )
        return sorted(without_copy, key=lambda each: each.started)

    def hedge_times(self) -> list[float]:
        """Return the times, in seconds, at which in-flight drafts become late."""
        return [
            hedge_at for name in self._entry_states for hedge_at, _ in self._hedge_candidates(name)
        ]
