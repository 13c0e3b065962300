"""Policies against slow drafts at the end of a step; performs no I/O.

They set the order of groups, the window of in-flight drafts, the spread over agents and hedging.
"""

import math
from bisect import insort
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StragglerSettings:
    """Limits of the policies; times in seconds.

    `target_wait` is the queue wait at the agents above which the window shrinks. `spread` is how
    many affinity keys the samples of a group use. At most `hedge_share` of the samples of a draw
    get a second copy, once a draft took `hedge_factor` times the median of at least
    `hedge_observations` finished drafts.
    """

    window: int = 64
    window_minimum: int = 4
    target_wait: float = 4.0
    spread: int = 4
    hedge_share: float = 0.02
    hedge_factor: float = 3.0
    hedge_observations: int = 16


class DraftWindow:
    """Limits the in-flight drafts so that they wait at the entry VM, not at the agents."""

    def __init__(self, settings: StragglerSettings) -> None:
        """Create a window of the initial size `settings.window`."""
        self._settings = settings
        self._size = float(settings.window)
        self._probing = True
        self._answers_to_skip = 0

    @property
    def size(self) -> int:
        """Return how many drafts may be in flight."""
        return int(self._size)

    def answered(self, queue_wait: float) -> None:
        """Adapt the window to the queue wait of an answered draft, in seconds.

        It grows after a short wait. After a long one it shrinks, but at most once per window of
        answers.
        """
        self._answers_to_skip = max(0, self._answers_to_skip - 1)
        if queue_wait > self._settings.target_wait:
            self._shrink(0.95)
        elif self._probing:
            self._size += 1.0
        else:
            self._size += 2.0 / self._size

    def refused(self) -> None:
        """Shrink the window after a request was refused because of load."""
        self._shrink(0.7)

    def _shrink(self, factor: float) -> None:
        if self._answers_to_skip:
            return
        self._probing = False
        self._size = max(float(self._settings.window_minimum), self._size * factor)
        self._answers_to_skip = self.size


class ServiceTimes:
    """The service times of the most recently finished drafts, in seconds."""

    def __init__(self, capacity: int = 512) -> None:
        """Create an empty record that retains the latest `capacity` times."""
        self._order: deque[float] = deque()
        self._sorted: list[float] = []
        self._capacity = capacity

    def __len__(self) -> int:
        """Return how many service times are retained."""
        return len(self._order)

    def add(self, seconds: float) -> None:
        """Record the service time of one draft."""
        self._order.append(seconds)
        insort(self._sorted, seconds)
        if len(self._order) > self._capacity:
            self._sorted.remove(self._order.popleft())

    def quantile(self, share: float) -> float:
        """Return the time that `share` of the drafts do not exceed; at least one is required."""
        rank = math.ceil(share * len(self._sorted)) - 1
        return self._sorted[max(0, rank)]


@dataclass(frozen=True, slots=True)
class GroupPriority:
    """The values that determine the order of groups.

    `tokens` is the expected length per sample; `position` is the index of the group in its draw.
    """

    step: int
    redrawn: bool
    tokens: float
    started: bool
    position: int


def critical_path_key(priority: GroupPriority) -> tuple[int, bool, float, bool, int]:
    """Return a sort key: earlier steps, then groups with redrawn samples, then the longest groups.

    Redrawn samples go first because they delay a group that is already late. Among equal groups a
    started one goes first, so that groups complete early.
    """
    return (
        priority.step,
        not priority.redrawn,
        -priority.tokens,
        not priority.started,
        priority.position,
    )


def spread_prefix(prefix: str, index: int, spread: int) -> str:
    """Return the affinity key of a sample; the keys spread a group over `spread` agents."""
    if not prefix:
        return ""
    return f"{prefix}#{index % spread}"


class HedgePolicy:
    """Decides when drafts at the end of a step get a second copy, and how many.

    A copy has the same seed as its draft, so taking the first copy to finish favours fast engines
    but not short drafts.
    """

    def __init__(self, settings: StragglerSettings) -> None:
        """Create a policy without observed service times."""
        self._settings = settings
        self._times = ServiceTimes()

    @property
    def threshold(self) -> float | None:
        """Return the age in seconds at which a draft is late; None before enough observations."""
        if len(self._times) < self._settings.hedge_observations:
            return None
        return self._settings.hedge_factor * self._times.quantile(0.5)

    def observed(self, seconds: float) -> None:
        """Record how many seconds a finished draft was in flight."""
        self._times.add(seconds)

    def budget(self, samples: int) -> int:
        """Return how many copies a draw of `samples` samples may start."""
        return math.ceil(self._settings.hedge_share * samples)

    def late_at(self, started: float) -> float | None:
        """Return when a draft started at `started` becomes late; None if not yet determined."""
        threshold = self.threshold
        return None if threshold is None else started + threshold
