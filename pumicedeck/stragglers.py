"""Order, spread, window and hedging of a step's drafts; free of I/O."""

import math
from bisect import insort
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StragglerSettings:
    """Bounds of the policies; times in seconds, `hedge_share` of a step's samples.

    `target_wait` is the queue wait at the agents that the window aims at.
    """

    window: int = 64
    window_minimum: int = 4
    target_wait: float = 4.0
    spread: int = 4
    hedge_share: float = 0.02
    hedge_factor: float = 3.0
    hedge_observations: int = 16


class DraftWindow:
    """Bounds the drafts in flight so that they wait at the entry, not in the agents' queues."""

    def __init__(self, settings: StragglerSettings) -> None:
        """Start at the window of the settings."""
        self._settings = settings
        self._size = float(settings.window)
        self._probing = True
        self._answers_to_skip = 0

    @property
    def size(self) -> int:
        """Return how many drafts may be in flight."""
        return int(self._size)

    def answered(self, queue_wait: float) -> None:
        """Grow after a short wait and shrink after a long one, at most once a window."""
        self._answers_to_skip = max(0, self._answers_to_skip - 1)
        if queue_wait > self._settings.target_wait:
            self._shrink(0.95)
        elif self._probing:
            self._size += 1.0
        else:
            self._size += 2.0 / self._size

    def refused(self) -> None:
        """Shrink after a refusal because of load."""
        self._shrink(0.7)

    def _shrink(self, factor: float) -> None:
        if self._answers_to_skip:
            return
        self._probing = False
        self._size = max(float(self._settings.window_minimum), self._size * factor)
        self._answers_to_skip = self.size


class ServiceTimes:
    """A sliding window of the service times of finished drafts."""

    def __init__(self, capacity: int = 512) -> None:
        """Keep the latest `capacity` times."""
        self._order: deque[float] = deque()
        self._sorted: list[float] = []
        self._capacity = capacity

    def __len__(self) -> int:
        """Return how many times are kept."""
        return len(self._order)

    def add(self, seconds: float) -> None:
        """Take in the time of one draft."""
        self._order.append(seconds)
        insort(self._sorted, seconds)
        if len(self._order) > self._capacity:
            self._sorted.remove(self._order.popleft())

    def quantile(self, share: float) -> float:
        """Return the time that `share` of the drafts do not exceed."""
        rank = math.ceil(share * len(self._sorted)) - 1
        return self._sorted[max(0, rank)]


@dataclass(frozen=True, slots=True)
class GroupPriority:
    """What the order of groups depends on; `tokens` are per sample, `position` in the draw."""

    step: int
    redrawn: bool
    tokens: float
    started: bool
    position: int


def critical_path_key(outlook: GroupPriority) -> tuple[int, bool, float, bool, int]:
    """Sort key: the earlier step, then what holds a late group up, then the longest group first.

    A started group goes before an equal one that is not, so that groups become whole early.
    """
    return (
        outlook.step,
        not outlook.redrawn,
        -outlook.tokens,
        not outlook.started,
        outlook.position,
    )


def spread_prefix(prefix: str, index: int, spread: int) -> str:
    """Return the affinity key of a sample, which spreads a group over `spread` agents."""
    if not prefix:
        return ""
    return f"{prefix}#{index % spread}"


class HedgePolicy:
    """Starts copies of late drafts in the tail of a step, within a budget.

    A copy has the seed of its draft, so the choice of the first to finish favours fast engines
    and no length.
    """

    def __init__(self, settings: StragglerSettings) -> None:
        """Use the bounds of the settings."""
        self._settings = settings
        self._times = ServiceTimes()

    @property
    def threshold(self) -> float | None:
        """Return the age in seconds from which a draft is late; None before enough are known."""
        if len(self._times) < self._settings.hedge_observations:
            return None
        return self._settings.hedge_factor * self._times.quantile(0.5)

    def observed(self, seconds: float) -> None:
        """Take in how long a finished draft was in flight."""
        self._times.add(seconds)

    def budget(self, samples: int) -> int:
        """Return how many copies a draw of `samples` may start."""
        return math.ceil(self._settings.hedge_share * samples)

    def late_at(self, started: float) -> float | None:
        """Return when a draft started at `started` becomes late."""
        threshold = self.threshold
        return None if threshold is None else started + threshold
