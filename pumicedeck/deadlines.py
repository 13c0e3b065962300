"""A queue of due times by key, for the decisions that own no timers."""

import heapq
from typing import Generic, TypeVar

K = TypeVar("K")

SPARE_ITEMS = 64


class Deadlines(Generic[K]):
    """At most one due time a key; a later `set` replaces the former one."""

    def __init__(self) -> None:
        """Start empty."""
        self._due: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._count = 0

    def __len__(self) -> int:
        """Return how many keys have a due time."""
        return len(self._due)

    def set(self, key: K, due: float) -> None:
        """Make `key` due at monotonic second `due`."""
        if self._due.get(key) == due:
            return
        self._due[key] = due
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, key))
        if len(self._heap) > 2 * len(self._due) + SPARE_ITEMS:
            self._drop_stale()

    def remove(self, key: K) -> None:
        """Drop the due time of `key`."""
        self._due.pop(key, None)

    def next_due(self) -> float | None:
        """Return the earliest due time."""
        while self._heap:
            due, _, key = self._heap[0]
            if self._due.get(key) == due:
                return due
            heapq.heappop(self._heap)
        return None

    def pop_due(self, now: float) -> list[K]:
        """Take out the keys that are due, earliest first."""
        keys = []
        while (due := self.next_due()) is not None and due <= now:
            key = heapq.heappop(self._heap)[2]
            del self._due[key]
            keys.append(key)
        return keys

    def _drop_stale(self) -> None:
        self._heap = [item for item in self._heap if self._due.get(item[2]) == item[0]]
        heapq.heapify(self._heap)
