"""Timer of a state machine that reports the time at which it has to run next."""

from collections.abc import Callable

from pumicedeck.clocks import Timer, TimerQueue


class Wakeup:
    """Calls `run` with the current time at the time returned by `next_wakeup`.

    Times are monotonic seconds; None means that no wakeup is needed.
    """

    def __init__(
        self,
        timers: TimerQueue,
        next_wakeup: Callable[[], float | None],
        run: Callable[[float], None],
    ) -> None:
        """Create a wakeup without a timer; `refresh` sets the first one."""
        self._timers = timers
        self._next_wakeup = next_wakeup
        self._run = run
        self._timer: Timer | None = None

    def refresh(self) -> None:
        """Set the timer to the time that `next_wakeup` returns now; cancel it for None."""
        due = self._next_wakeup()
        if self._timer is not None:
            if due == self._timer.due:
                return
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer = self._timers.call_at(due, self._on_timer)

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        self._run(self._timers.now())
        self.refresh()
