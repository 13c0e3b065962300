"""A priority queue of deadlines by key, for state machines that own no timers."""

import heapq
from typing import Generic, TypeVar

K = TypeVar("K")

# The heap is rebuilt once it exceeds twice the number of deadlines plus this allowance.
STALE_ITEMS_ALLOWANCE = 64


class Deadlines(Generic[K]):
    """At most one deadline per key; a later `set` replaces the previous one."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._deadlines: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        # Orders equal deadlines in the heap, so that keys are never compared.
        self._tie_breaker = 0

    def __len__(self) -> int:
        """Return how many keys have a deadline."""
        return len(self._deadlines)

    def set(self, key: K, deadline: float) -> None:
        """Set the deadline of `key`, a time of the monotonic clock in seconds."""
        if self._deadlines.get(key) == deadline:
            return
        self._deadlines[key] = deadline
        self._tie_breaker += 1
        heapq.heappush(self._heap, (deadline, self._tie_breaker, key))
        if len(self._heap) > 2 * len(self._deadlines) + STALE_ITEMS_ALLOWANCE:
            self._drop_stale()

    def remove(self, key: K) -> None:
        """Remove the deadline of `key`, if there is one."""
        self._deadlines.pop(key, None)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline; None if there is none."""
        while self._heap:
            deadline, _, key = self._heap[0]
            if self._deadlines.get(key) == deadline:
                return deadline
            heapq.heappop(self._heap)
        return None

    def pop_expired(self, now: float) -> list[K]:
        """Remove and return the keys whose deadline has passed, earliest first."""
        keys = []
        while (deadline := self.next_deadline()) is not None and deadline <= now:
            key = heapq.heappop(self._heap)[2]
            del self._deadlines[key]
            keys.append(key)
        return keys

    def _drop_stale(self) -> None:
        """Rebuild the heap without replaced and removed deadlines."""
        self._heap = [item for item in self._heap if self._deadlines.get(item[2]) == item[0]]
        heapq.heapify(self._heap)
