"""One timer queue on the circuits loop."""

import time

from circuits import BaseComponent, handler

from pumicedeck.clocks import TimerQueue


class LoopTimers(BaseComponent):
    """Runs due timers between polls and lets the poller wait no longer than the next one."""

    channel = "timers"

    def __init__(self, timers: TimerQueue | None = None) -> None:
        """Own a queue on the monotonic clock unless one is given."""
        super().__init__()
        self._timers = timers or TimerQueue(time.monotonic)

    @property
    def timers(self) -> TimerQueue:
        """Return the queue."""
        return self._timers

    @handler("generate_events", priority=1)
    def _on_generate_events(self, event) -> None:
        wait = 0.0
        try:
            if self._timers.run_due() == 0:
                wait = self._seconds_to_next()
        finally:
            # Events fired by a timer wait in the queue, so the poller may not block then.
            event.reduce_time_left(wait)

    def _seconds_to_next(self) -> float:
        next_timer_at = self._timers.next_due()
        if next_timer_at is None:
            return -1.0
        return max(0.0, next_timer_at - self._timers.now())
