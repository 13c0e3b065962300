"""A deadline that is moved often, implemented with few timers."""

from collections.abc import Callable

from pumicedeck.clocks import Timer, TimerQueue


class MovingDeadline:
    """Calls `on_expired` when the deadline passes; moving it later creates no new timer."""

    def __init__(self, timers: TimerQueue, on_expired: Callable[[], None]) -> None:
        """Create the object with no deadline set."""
        self._timers = timers
        self._on_expired = on_expired
        self._deadline: float | None = None
        self._timer: Timer | None = None

    def set(self, seconds: float) -> None:
        """Set or move the deadline to `seconds` from now."""
        self._deadline = self._timers.now() + seconds
        if self._timer is not None and self._timer.due <= self._deadline:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_at(self._deadline, self._on_timer)

    def clear(self) -> None:
        """Remove the deadline; its timer may stay for the next one."""
        self._deadline = None

    def close(self) -> None:
        """Remove the deadline and cancel its timer."""
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
        self._on_expired()
