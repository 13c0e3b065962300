"""The main component of a process: the circuits loop, its timers and its signal handler."""

import signal as signals
import time
from collections.abc import Callable

from circuits import Component, handler

from pumicedeck.clocks import TimerQueue
from pumicedeck.loops import LoopTimers
from pumicedeck.pollers import ManySocketsPoller

STOP_DELAY_SECONDS = 0.2


class Process(Component):
    """Owns the event loop of the process and starts a drain at the first SIGTERM or SIGINT.

    Later signals are ignored, because a drain ends within a bounded time; only a SIGINT during a
    drain, as a terminal sends it, ends the process at once.
    """

    channel = "process"

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create a loop whose poller has no limit on descriptors; `clock` is in seconds."""
        super().__init__()
        # Sockets use the poller that is registered first.
        ManySocketsPoller().register(self)
        self._timers = LoopTimers(TimerQueue(clock)).register(self).timers
        self._on_termination: Callable[[], None] = self.finish
        self._draining = False

    @property
    def timers(self) -> TimerQueue:
        """Return the timers that the loop runs."""
        return self._timers

    def set_termination_callback(self, drain: Callable[[], None]) -> None:
        """Call `drain` at the first SIGTERM or SIGINT, instead of `finish`."""
        self._on_termination = drain

    def finish(self) -> None:
        """End the loop after STOP_DELAY_SECONDS, so that pending writes can be sent."""
        self._timers.call_later(STOP_DELAY_SECONDS, self.stop)

    @handler("signal", channel="*")
    def _on_signal(self, event, number, stack):
        """Drain at the first SIGTERM or SIGINT; end at once at a SIGINT while draining."""
        event.stop()
        if number not in (signals.SIGTERM, signals.SIGINT):
            return
        if not self._draining:
            self._draining = True
            self._on_termination()
        elif number == signals.SIGINT:
            self.stop()
