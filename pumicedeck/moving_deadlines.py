"""A deadline that moves often, kept with few timers."""

from collections.abc import Callable

from pumicedeck.clocks import Timer, TimerQueue


class MovingDeadline:
    """Calls `expired` once the deadline has passed; moving it later costs no timer."""

    def __init__(self, timers: TimerQueue, expired: Callable[[], None]) -> None:
        """Begin without a deadline."""
        self._timers = timers
        self._expired = expired
        self._deadline: float | None = None
        self._timer: Timer | None = None

    def set(self, seconds: float) -> None:
        """Move the deadline to `seconds` from now."""
        self._deadline = self._timers.now() + seconds
        if self._timer is not None and self._timer.due <= self._deadline:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_at(self._deadline, self._on_timer)

    def clear(self) -> None:
        """Have no deadline; a timer may stay for the next one."""
        self._deadline = None

    def close(self) -> None:
        """Have no deadline and no timer."""
        self._deadline = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._deadline is None:
            return
        if self._timers.now() < self._deadline:
            self._timer = self._timers.call_at(self._deadline, self._on_timer)
            return
        self._deadline = None
        self._expired()
