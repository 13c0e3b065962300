"""Monotonic time and timers: one queue, driven by the real loop or by virtual time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass

COMPACT_SLACK_TIMERS = 64


@dataclass(eq=False, slots=True)
class Timer:
    """A pending callback; `due` is in seconds of monotonic time."""

    due: float
    order: int
    callback: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.cancelled = True


class TimerQueue:
    """A heap of timers with an injected clock."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Use `clock` as the source of monotonic seconds."""
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0
        self._compact_at = COMPACT_SLACK_TIMERS

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock()

    def call_at(self, due: float, callback: Callable[[], None]) -> Timer:
        """Run `callback` at monotonic second `due`."""
        self._count += 1
        timer = Timer(due, self._count, callback)
        heapq.heappush(self._heap, (due, self._count, timer))
        if len(self._heap) >= self._compact_at:
            self._drop_cancelled()
        return timer

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Run `callback` after `delay` seconds."""
        return self.call_at(self.now() + delay, callback)

    def next_due(self) -> float | None:
        """Return when the earliest live timer is due."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        return self._heap[0][0]

    def run_due(self) -> int:
        """Run every timer that is due and return how many ran."""
        ran = 0
        while (due := self.next_due()) is not None and due <= self.now():
            timer = heapq.heappop(self._heap)[2]
            timer.callback()
            ran += 1
        return ran

    def _drop_cancelled(self) -> None:
        self._heap = [item for item in self._heap if not item[2].cancelled]
        heapq.heapify(self._heap)
        self._compact_at = 2 * len(self._heap) + COMPACT_SLACK_TIMERS


class VirtualTime(TimerQueue):
    """A timer queue whose clock moves only when told to."""

    def __init__(self, start: float = 0.0) -> None:
        """Begin at monotonic second `start`."""
        self._now = start
        super().__init__(lambda: self._now)

    def run_until(self, end: float) -> None:
        """Run all timers due up to `end` in order and stop the clock there."""
        while (due := self.next_due()) is not None and due <= end:
            self._now = max(self._now, due)
            self.run_due()
        self._now = max(self._now, end)
