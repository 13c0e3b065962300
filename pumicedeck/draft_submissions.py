"""Submits requests for drafts within a window per catalogue entry and hedges late ones.

The window keeps requests from queueing at the agents; hedging limits the delay that slow or
stuck engines add to a step. Performs no I/O.
"""

from dataclasses import dataclass

from pumicedeck.actions import CallerRequest
from pumicedeck.drafts import CancelDraft, DrawAction, GroupKey, SubmitDraft, seeded_body
from pumicedeck.draw_groups import DrawGroup, InFlightRequest, OpenDraw, WaitingSample
from pumicedeck.stragglers import DraftWindow, HedgePolicy, StragglerSettings, spread_prefix

DEFAULT_TOKENS = 256


@dataclass(slots=True)
class DrawCounts:
    """Counters of draws that the process reports.

    `duplicates` counts answers that were dropped, `hedged` second copies of late requests,
    `taken_over` draws that a later draw ended.
    """

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
        groups: dict[GroupKey, DrawGroup],
        counts: DrawCounts,
    ) -> None:
        """Share `draws`, `groups` and `counts` with the draw coordinator."""
        self._settings = settings
        self._draws = draws
        self._groups = groups
        self._counts = counts
        self._in_flight_requests: dict[str, InFlightRequest] = {}
        self._entry_states: dict[str, _EntryState] = {}
        self._submitted_count = 0

    @property
    def entry_names(self) -> tuple[str, ...]:
        """Return the names of the catalogue entries that draws have used."""
        return tuple(self._entry_states)

    def answered(self, entry_name: str, queue_wait: float) -> None:
        """Adapt the window to the queue wait, in seconds, of an answered draft."""
        self._get_entry_state(entry_name).window.answered(queue_wait)

    def refused(self, entry_name: str) -> None:
        """Shrink the window after a request was refused because of load."""
        self._get_entry_state(entry_name).window.refused()

    def observed(self, entry_name: str, seconds: float) -> None:
        """Record how many seconds a finished draft was in flight."""
        self._get_entry_state(entry_name).hedge_policy.observed(seconds)

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
        self._get_entry_state(in_flight_request.key.entry_name).in_flight -= 1
        group = self._groups.get(in_flight_request.key)
        if group is not None:
            group.request_ended(in_flight_request)
        return in_flight_request

    def _get_entry_state(self, entry_name: str) -> _EntryState:
        entry_state = self._entry_states.get(entry_name)
        if entry_state is None:
            entry_state = _EntryState(DraftWindow(self._settings), HedgePolicy(self._settings))
            self._entry_states[entry_name] = entry_state
        return entry_state

    def _list_owned_groups(self, entry_name: str) -> list[DrawGroup]:
        return [
            group
            for group in self._groups.values()
            if group.owner and group.key.entry_name == entry_name
        ]

    def submit_eligible(self, now: float, entry_name: str, actions: list[DrawAction]) -> None:
        """Submit the waiting samples that the window allows, then hedges of late drafts."""
        waiting_groups = [
            group for group in self._list_owned_groups(entry_name) if group.waiting_samples
        ]
        entry_state = self._get_entry_state(entry_name)
        limit = entry_state.window.size
        if waiting_groups:
            limit = min(limit, waiting_groups[0].entry.limits.concurrency)
        if entry_state.in_flight < limit:
            waiting_groups.sort(key=lambda group: group.order)
        for group in waiting_groups:
            if entry_state.in_flight >= limit:
                break
            self._submit_waiting(now, group, limit, actions)
        self._submit_hedges(now, entry_name, actions)

    def _submit_waiting(
        self, now: float, group: DrawGroup, limit: int, actions: list[DrawAction]
    ) -> None:
        entry_state = self._get_entry_state(group.key.entry_name)
        while entry_state.in_flight < limit:
            sample = group.next_waiting(now)
            if sample is None:
                return
            self._submit(now, group, sample, actions)

    def _submit(
        self,
        now: float,
        group: DrawGroup,
        sample: WaitingSample,
        actions: list[DrawAction],
        hedge: bool = False,
    ) -> None:
        self._submitted_count += 1
        handle = f"draft/{self._submitted_count}"
        in_flight_request = InFlightRequest(handle, group.key, sample.index, now, hedge)
        group.request_started(in_flight_request)
        self._in_flight_requests[handle] = in_flight_request
        self._get_entry_state(group.key.entry_name).in_flight += 1
        actions.append(SubmitDraft(self._build_request(now, group, in_flight_request)))

    def _build_request(
        self, now: float, group: DrawGroup, in_flight_request: InFlightRequest
    ) -> CallerRequest:
        draw = self._draws[group.owner]
        group_request = group.request
        draft_id = group.key.draft_id(in_flight_request.index)
        # A hedge uses the next affinity key, so that another agent can run it.
        affinity_index = in_flight_request.index + int(in_flight_request.hedge)
        return CallerRequest(
            handle=in_flight_request.handle,
            request_id=f"{draw.request.handle}/{in_flight_request.handle}",
            entry=group.entry,
            path=group_request.path,
            body=seeded_body(group_request.body, draft_id) or group_request.body,
            idempotent=True,
            streamed=False,
            budget=max(0.0, draw.deadline - now),
            expected_tokens=group_request.expected_tokens or DEFAULT_TOKENS,
            priority=int(group.redrawn or in_flight_request.hedge),
            prefix=spread_prefix(group_request.prefix, affinity_index, self._settings.spread),
            draft=draft_id,
            has_caller_request_id=False,
        )

    def _submit_hedges(self, now: float, entry_name: str, actions: list[DrawAction]) -> None:
        for hedge_at, in_flight_request in self._find_hedge_candidates(entry_name):
            if hedge_at <= now:
                group = self._groups[in_flight_request.key]
                self._draws[group.owner].hedge_count += 1
                self._counts.hedged += 1
                sample = WaitingSample(in_flight_request.index)
                self._submit(now, group, sample, actions, hedge=True)

    def _find_hedge_candidates(self, entry_name: str) -> list[tuple[float, InFlightRequest]]:
        policy = self._get_entry_state(entry_name).hedge_policy
        if policy.threshold is None:
            return []
        candidates: list[tuple[float, InFlightRequest]] = []
        for draw in self._draws.values():
            remaining_hedges = policy.budget(draw.samples) - draw.hedge_count
            if remaining_hedges <= 0 or draw.request.entry.name != entry_name:
                continue
            for in_flight_request in self._find_tail_requests(draw)[:remaining_hedges]:
                hedge_at = policy.late_at(in_flight_request.started)
                if hedge_at is not None:
                    candidates.append((hedge_at, in_flight_request))
        return candidates

    def _find_tail_requests(self, draw: OpenDraw) -> list[InFlightRequest]:
        """Return the requests without a copy, oldest first; none while a sample still waits."""
        unhedged_requests: list[InFlightRequest] = []
        for key in draw.open_groups:
            group = self._groups[key]
            if group.waiting_samples:
                return []
            if group.reproducible:
                unhedged_requests.extend(
                    requests[0]
                    for requests in group.in_flight_requests.values()
                    if len(requests) == 1
                )
        return sorted(unhedged_requests, key=lambda request: request.started)

    def list_hedge_times(self) -> list[float]:
        """Return the times, in seconds, at which in-flight drafts become late."""
        return [
            hedge_at
            for name in self._entry_states
            for hedge_at, _ in self._find_hedge_candidates(name)
        ]
