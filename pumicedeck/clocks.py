"""Timer queue on a monotonic clock, run by the event loop or, in simulations, in virtual time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass

# Cancelled timers are removed once the heap holds more than twice the timers that were left by the
# last removal plus this number.
COMPACT_SLACK_TIMERS = 64


def _do_nothing() -> None:
    pass


@dataclass(eq=False, slots=True)
class Timer:
    """A scheduled callback; `due` is its scheduled time in monotonic seconds.

    `order` numbers the timers of a queue: of two with the same `due`, the one created first runs
    first.
    """

    due: float
    order: int
    callback: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        """Prevent the callback from running, and release what it refers to."""
        self.cancelled = True
        self.callback = _do_nothing


class TimerQueue:
    """Timers in the order of their scheduled times, with an injected clock."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty queue; `clock` returns the current monotonic time in seconds."""
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._created_count = 0
        self._compact_length = COMPACT_SLACK_TIMERS

    def now(self) -> float:
        """Return the current monotonic time in seconds."""
        return self._clock()

    def call_at(self, due: float, callback: Callable[[], None]) -> Timer:
        """Schedule `callback` for the monotonic time `due` in seconds."""
        self._created_count += 1
        timer = Timer(due, self._created_count, callback)
        heapq.heappush(self._heap, (due, self._created_count, timer))
        if len(self._heap) >= self._compact_length:
            self._drop_cancelled()
        return timer

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Schedule `callback` to run after `delay` seconds."""
        return self.call_at(self.now() + delay, callback)

    def next_due(self) -> float | None:
        """Return the scheduled time of the earliest timer that is not cancelled, or None."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        return self._heap[0][0]

    def run_due(self) -> int:
        """Run every timer whose scheduled time has come and return how many ran.

        Timers that come due in the meantime wait for the next call. A callback that schedules
        itself again at once would otherwise keep the loop from reading its sockets.
        """
        ran_count = 0
        now = self.now()
        while (due := self.next_due()) is not None and due <= now:
            timer = heapq.heappop(self._heap)[2]
            timer.callback()
            ran_count += 1
        return ran_count

    def _drop_cancelled(self) -> None:
        self._heap = [entry for entry in self._heap if not entry[2].cancelled]
        heapq.heapify(self._heap)
        self._compact_length = 2 * len(self._heap) + COMPACT_SLACK_TIMERS


class VirtualTime(TimerQueue):
    """A timer queue whose clock advances only in `run_until`."""

    def __init__(self, start: float = 0.0) -> None:
        """Set the clock to `start` seconds."""
        self._now = start
        super().__init__(lambda: self._now)

    def run_until(self, end: float) -> None:
        """Run all timers scheduled up to `end` in order and advance the clock to `end`."""
        while (due := self.next_due()) is not None and due <= end:
            self._now = max(self._now, due)
            self.run_due()
        self._now = max(self._now, end)
