"""Schedules an agent's weight swaps and decides what a swap does to running drafts; no I/O.

Each agent computes its own time slot from the version and its rank in the region, so that the
downloads stay within the weight store's rate without a central planner. Retries use the time
after the last slot.
"""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass

from pumicedeck.catalogue_entries import CatalogueEntry, SwapPolicy
from pumicedeck.platform_interfaces import WeightVersion


@dataclass(frozen=True, slots=True)
class SwapSettings:
    """Rates in bytes per second, times in seconds.

    `store_rate` is the region's part of the weight store's rate; slots use `rate_share` of it.
    `tail_share` is the number of retry slots as a share of the agents. `finish_seconds` limits
    the wait for running drafts. `version_seconds` converts staleness to idle time: at equal
    weights one version behind costs as much as that many idle seconds.
    """

    store_rate: float = 20e9
    rate_share: float = 0.9
    tail_share: float = 0.1
    finish_seconds: float = 5.0
    version_seconds: float = 30.0


@dataclass(frozen=True, slots=True)
class SwapPosition:
    """The rank, from 0, of an agent among the `agents` of its region that swap the same model."""

    rank: int
    agents: int


def swap_position(endpoint: str, endpoints: Iterable[str]) -> SwapPosition:
    """Return the position of an endpoint in the sorted names of its region's endpoints."""
    names = sorted({*endpoints, endpoint})
    return SwapPosition(names.index(endpoint), len(names))


class SwapSlots:
    """Computes when an agent swaps, in seconds after it first received a version."""

    def __init__(self, settings: SwapSettings) -> None:
        """Compute slots for the store rate of the settings."""
        self._settings = settings

    def spacing(self, size: int) -> float:
        """Return the seconds between consecutive slots for weights of `size` bytes."""
        return size / (self._settings.store_rate * self._settings.rate_share)

    def first(self, weights: WeightVersion, position: SwapPosition) -> float:
        """Return the delay of the first try in seconds.

        The order of the agents rotates by an offset that depends on the version.
        """
        rotated_rank = (
            position.rank + _hash(weights.model, str(weights.version))
        ) % position.agents
        return rotated_rank * self.spacing(weights.size)

    def retry(
        self, weights: WeightVersion, position: SwapPosition, endpoint: str, failed_tries: int
    ) -> float:
        """Return the delay of a retry in seconds.

        The first retry uses a range of slots after those of the first tries, each later retry the
        next range.
        """
        slots = max(1, math.ceil(position.agents * self._settings.tail_share))
        slot = _hash(weights.model, str(weights.version), endpoint, str(failed_tries)) % slots
        first_slot = position.agents + (failed_tries - 1) * slots
        return (first_slot + slot) * self.spacing(weights.size)


def _hash(*parts: str) -> int:
    digest = hashlib.sha256("/".join(parts).encode()).digest()
    return int.from_bytes(digest[:8], "big")


@dataclass(frozen=True, slots=True)
class RunningDraft:
    """A draft at the engine; times in seconds, `oldest_version` is that of its tokens so far."""

    entry: CatalogueEntry
    elapsed: float
    remaining: float
    oldest_version: int


def choose_policy(
    drafts: Iterable[RunningDraft], newest_version: int, settings: SwapSettings
) -> SwapPolicy:
    """Return the cheapest policy by the idle-time and staleness weights of the catalogue entries.

    RESTART loses the elapsed time. FINISH leaves slots idle until the last draft ends; it is
    considered only if that takes at most `finish_seconds`. SPAN lets drafts continue with the new
    model weights; mixing versions counts as half a version of staleness. FINISH and SPAN are
    excluded if a draft would exceed its staleness bound, since that draft would be discarded at
    its end.
    """
    running_drafts = list(drafts)
    if not running_drafts:
        return SwapPolicy.SPAN
    costs = {
        SwapPolicy.SPAN: sum(
            _compute_span_cost(draft, newest_version, settings) for draft in running_drafts
        ),
        SwapPolicy.RESTART: sum(
            draft.entry.idle_time_weight * draft.elapsed for draft in running_drafts
        ),
    }
    longest = max(draft.remaining for draft in running_drafts)
    if longest <= settings.finish_seconds:
        costs[SwapPolicy.FINISH] = sum(
            _compute_finish_cost(draft, longest, newest_version, settings)
            for draft in running_drafts
        )
    return min(costs, key=lambda policy: (costs[policy], list(SwapPolicy).index(policy)))


def _compute_behind_cost(draft: RunningDraft, newest_version: int, settings: SwapSettings) -> float:
    behind = max(0, newest_version - draft.oldest_version)
    if behind > draft.entry.staleness_bound:
        return math.inf
    return draft.entry.staleness_weight * settings.version_seconds * behind


def _compute_span_cost(draft: RunningDraft, newest_version: int, settings: SwapSettings) -> float:
    mixed = draft.entry.staleness_weight * settings.version_seconds / 2
    return _compute_behind_cost(draft, newest_version, settings) + mixed


def _compute_finish_cost(
    draft: RunningDraft, longest: float, newest_version: int, settings: SwapSettings
) -> float:
    idle = draft.entry.idle_time_weight * (longest - draft.remaining)
    return _compute_behind_cost(draft, newest_version, settings) + idle


@dataclass(frozen=True, slots=True)
class BeginSwap:
    """The swap to `weights` must be ordered now."""

    weights: WeightVersion


@dataclass(slots=True)
class _Plan:
    weights: WeightVersion
    slots_start_at: float
    scheduled_at: float
    failed_tries: int = 0
    ordered: bool = False


class SwapSchedule:
    """Tracks the newest version of each model of one engine and schedules the swaps."""

    def __init__(self, endpoint: str, settings: SwapSettings | None = None) -> None:
        """Create a schedule without planned swaps."""
        self._endpoint = endpoint
        self._settings = settings or SwapSettings()
        self._slots = SwapSlots(self._settings)
        self._plans: dict[str, _Plan] = {}
        self._active_versions: dict[str, int] = {}

    def plan_swap(
        self,
        now: float,
        weights: WeightVersion,
        position: SwapPosition,
        slots_start_at: float | None = None,
    ) -> None:
        """Plan a swap to a version that is newer than the planned one and the active one.

        `slots_start_at` is the time of slot 0 in seconds; None means now.
        """
        plan = self._plans.get(weights.model)
        if plan is not None and plan.weights.version >= weights.version:
            return
        if self._active_versions.get(weights.model, -1) >= weights.version:
            return
        start_at = now if slots_start_at is None else slots_start_at
        scheduled_at = start_at + self._slots.first(weights, position)
        self._plans[weights.model] = _Plan(weights, start_at, scheduled_at)

    def reported(self, model: str, version: int) -> None:
        """Record the version that the engine reports, -1 if it has none, and end a reached plan."""
        self._active_versions[model] = version
        plan = self._plans.get(model)
        if plan is not None and version >= plan.weights.version:
            del self._plans[model]

    def failed(self, now: float, model: str, version: int, position: SwapPosition) -> None:
        """Schedule a retry of a failed swap after the last regular slot."""
        plan = self._plans.get(model)
        if plan is None or plan.weights.version != version:
            return
        plan.failed_tries += 1
        delay = self._slots.retry(plan.weights, position, self._endpoint, plan.failed_tries)
        plan.scheduled_at = max(now, plan.slots_start_at + delay)
        plan.ordered = False

    def on_timer(self, now: float) -> list[BeginSwap]:
        """Return the swaps whose time has come and mark them as ordered."""
        due = [
            plan for plan in self._plans.values() if not plan.ordered and plan.scheduled_at <= now
        ]
        for plan in due:
            plan.ordered = True
        return [BeginSwap(plan.weights) for plan in due]

    def next_wakeup(self) -> float | None:
        """Return the time, in seconds, of the next `on_timer` call; None if none is needed."""
        return min(
            (plan.scheduled_at for plan in self._plans.values() if not plan.ordered), default=None
        )

    @property
    def pending(self) -> bool:
        """Return whether a swap to a newer version is planned or ordered."""
        return bool(self._plans)
