"""Runs a timer queue on the circuits loop."""

import time

from circuits import BaseComponent, handler

from pumicedeck.clocks import TimerQueue


class LoopTimers(BaseComponent):
    """Runs due timers between polls and limits the poller's wait to the time of the next timer."""

    channel = "timers"

    def __init__(self, timers: TimerQueue | None = None) -> None:
        """Run `timers`, by default a new queue on the monotonic clock."""
        super().__init__()
        self._timers = timers or TimerQueue(time.monotonic)

    @property
    def timers(self) -> TimerQueue:
        """Return the timer queue."""
        return self._timers

    @handler("generate_events", priority=1)
    def _on_generate_events(self, event) -> None:
        wait = 0.0
        try:
            if self._timers.run_due() == 0:
                wait = self._seconds_to_next()
        finally:
            # Events that a timer fired wait in the event queue, so the poller must not block then.
            event.reduce_time_left(wait)

    def _seconds_to_next(self) -> float:
        next_timer_at = self._timers.next_due()
        if next_timer_at is None:
            return -1.0
        return max(0.0, next_timer_at - self._timers.now())
