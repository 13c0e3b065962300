"""Timer for a state machine; the state machine reports the time at which it must run next."""

from collections.abc import Callable

from pumicedeck.clocks import Timer, TimerQueue


class Wakeup:
    """Calls `run` with the current time when the time returned by `next_wakeup_time` has come.

    Times are in monotonic seconds. `next_wakeup_time` returns None if no call is needed.
    """

    def __init__(
        self,
        timers: TimerQueue,
        next_wakeup_time: Callable[[], float | None],
        run: Callable[[float], None],
    ) -> None:
        """Set no timer yet; the first call of `refresh` sets one."""
        self._timers = timers
        self._next_wakeup_time = next_wakeup_time
        self._run = run
        self._timer: Timer | None = None

    def refresh(self) -> None:
        """Reschedule the timer to the time that `next_wakeup_time` returns now.

        If it returns None, the timer is cancelled.
        """
        due = self._next_wakeup_time()
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
