"""The swap schedule of one agent and what a swap does to running drafts; free of I/O.

Each agent computes its own slot from the version and its rank in the region, so that the weight
store's rate is kept without a planner. Retries use the tail behind the last slot.
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

    `store_rate` is the region's part of the weight store's rate; `rate_share` of it is planned.
    `finish_seconds` bounds the wait for running drafts. `version_seconds` is what one version of
    staleness of a draft weighs against idle seconds at equal weights.
    """

    store_rate: float = 20e9
    rate_share: float = 0.9
    tail_share: float = 0.1
    finish_seconds: float = 5.0
    version_seconds: float = 30.0


@dataclass(frozen=True, slots=True)
class SwapPosition:
    """The rank of an agent among the `agents` of its region that swap the same model."""

    rank: int
    agents: int


def swap_position(endpoint: str, endpoints: Iterable[str]) -> SwapPosition:
    """Return the place of an endpoint among those of its region."""
    names = sorted({*endpoints, endpoint})
    return SwapPosition(names.index(endpoint), len(names))


class SwapSlots:
    """Computes when an agent swaps, in seconds after it first heard of a version."""

    def __init__(self, settings: SwapSettings) -> None:
        """Plan under the rate of the settings."""
        self._settings = settings

    def spacing(self, size: int) -> float:
        """Return the seconds between two slots for weights of `size` bytes."""
        return size / (self._settings.store_rate * self._settings.rate_share)

    def first(self, weights: WeightVersion, position: SwapPosition) -> float:
        """Return the delay of the first try; the order turns with the version."""
        turned = (position.rank + _hash(weights.model, str(weights.version))) % position.agents
        return turned * self.spacing(weights.size)

    def retry(
        self, weights: WeightVersion, position: SwapPosition, endpoint: str, tries: int
    ) -> float:
        """Return the delay of a retry: a slot of the tail, one tail further for each try."""
        slots = max(1, math.ceil(position.agents * self._settings.tail_share))
        slot = _hash(weights.model, str(weights.version), endpoint, str(tries)) % slots
        begin = position.agents + (tries - 1) * slots
        return (begin + slot) * self.spacing(weights.size)


def _hash(*parts: str) -> int:
    digest = hashlib.sha256("/".join(parts).encode()).digest()
    return int.from_bytes(digest[:8], "big")


@dataclass(frozen=True, slots=True)
class RunningDraft:
    """A draft at the engine; times in seconds, `oldest_version` of its tokens so far."""

    entry: CatalogueEntry
    elapsed: float
    remaining: float
    oldest_version: int


def choose_policy(
    drafts: Iterable[RunningDraft], newest: int, settings: SwapSettings
) -> SwapPolicy:
    """Weigh finishing, spanning and restarting what runs by the owners' weights.

    Restarting loses the elapsed time. Finishing idles slots until the last one ends. Spanning
    mixes versions, which counts as half a version. A draft that would be over its bound at its
    end is restarted in any case, since it would be discarded.
    """
    running = list(drafts)
    if not running:
        return SwapPolicy.SPAN
    costs = {
        SwapPolicy.SPAN: sum(_span_cost(each, newest, settings) for each in running),
        SwapPolicy.RESTART: sum(each.entry.idle_time_weight * each.elapsed for each in running),
    }
    longest = max(each.remaining for each in running)
    if longest <= settings.finish_seconds:
        costs[SwapPolicy.FINISH] = sum(
            _finish_cost(each, longest, newest, settings) for each in running
        )
    return min(costs, key=lambda policy: (costs[policy], list(SwapPolicy).index(policy)))


def _behind_cost(draft: RunningDraft, newest: int, settings: SwapSettings) -> float:
    behind = max(0, newest - draft.oldest_version)
    if behind > draft.entry.staleness_bound:
        return math.inf
    return draft.entry.staleness_weight * settings.version_seconds * behind


def _span_cost(draft: RunningDraft, newest: int, settings: SwapSettings) -> float:
    mixed = draft.entry.staleness_weight * settings.version_seconds / 2
    return _behind_cost(draft, newest, settings) + mixed


def _finish_cost(draft: RunningDraft, longest: float, newest: int, settings: SwapSettings) -> float:
    idle = draft.entry.idle_time_weight * (longest - draft.remaining)
    return _behind_cost(draft, newest, settings) + idle


@dataclass(frozen=True, slots=True)
class BeginSwap:
    """Order the swap to `weights` now."""

    weights: WeightVersion


@dataclass(slots=True)
class _Plan:
    weights: WeightVersion
    heard: float
    due: float
    tries: int = 0
    ordered: bool = False


class SwapSchedule:
    """Follows the newest version of each model of one engine and says when to swap."""

    def __init__(self, endpoint: str, settings: SwapSettings | None = None) -> None:
        """Start without a version to swap to."""
        self._endpoint = endpoint
        self._settings = settings or SwapSettings()
        self._slots = SwapSlots(self._settings)
        self._plans: dict[str, _Plan] = {}
        self._in_force: dict[str, int] = {}

    def newest(
        self, now: float, weights: WeightVersion, position: SwapPosition, heard: float | None = None
    ) -> None:
        """Plan a swap to a version that is newer than what is planned or in force.

        `heard` is the second from which the slots count.
        """
        plan = self._plans.get(weights.model)
        if plan is not None and plan.weights.version >= weights.version:
            return
        if self._in_force.get(weights.model, -1) >= weights.version:
            return
        begin = now if heard is None else heard
        due = begin + self._slots.first(weights, position)
        self._plans[weights.model] = _Plan(weights, begin, due)

    def reported(self, model: str, version: int) -> None:
        """Take in the version that the engine reports; -1 if it has none."""
        self._in_force[model] = version
        plan = self._plans.get(model)
        if plan is not None and version >= plan.weights.version:
            del self._plans[model]

    def failed(self, now: float, model: str, version: int, position: SwapPosition) -> None:
        """Plan a failed swap again in the tail."""
        plan = self._plans.get(model)
        if plan is None or plan.weights.version != version:
            return
        plan.tries += 1
        delay = self._slots.retry(plan.weights, position, self._endpoint, plan.tries)
        plan.due = max(now, plan.heard + delay)
        plan.ordered = False

    def on_timer(self, now: float) -> list[BeginSwap]:
        """Return the swaps that are due."""
        due = [each for each in self._plans.values() if not each.ordered and each.due <= now]
        for plan in due:
            plan.ordered = True
        return [BeginSwap(each.weights) for each in due]

    def next_wakeup(self) -> float | None:
        """Return the second at which `on_time` is wanted."""
        return min((each.due for each in self._plans.values() if not each.ordered), default=None)

    @property
    def pending(self) -> bool:
        """Tell whether a newer version is to be swapped to."""
        return bool(self._plans)
