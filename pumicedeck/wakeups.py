"""Keeps one timer for a state machine that says when it next wants to run."""

from collections.abc import Callable

from pumicedeck.clocks import Timer, TimerQueue


class Wakeup:
    """Calls `run` when the second returned by `next_wakeup` has come."""

    def __init__(
        self,
        timers: TimerQueue,
        next_wakeup: Callable[[], float | None],
        run: Callable[[float], None],
    ) -> None:
        """Set no timer until the first `refresh`."""
        self._timers = timers
        self._next_wakeup = next_wakeup
        self._run = run
        self._timer: Timer | None = None

    def refresh(self) -> None:
        """Move the timer to where the state machine wants it now."""
        due = self._next_wakeup()
        if self._timer is not None:
            if due == self._timer.due:
                return
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer = self._timers.call_at(due, self._fire)

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        self._timer = None
        self._run(self._timers.now())
        self.refresh()
