"""A process: the circuits loop, its timers and the reaction to signals."""

import signal as signals
import time
from collections.abc import Callable

from circuits import Component, handler

from pumicedeck.clocks import TimerQueue
from pumicedeck.loops import LoopTimers
from pumicedeck.pollers import ManySocketsPoller

STOP_SECONDS = 0.2


class Process(Component):
    """Owns the one loop; `drain` is called at the first SIGTERM or SIGINT.

    A drain is bounded, so further signals change nothing, but for a SIGINT from a terminal.
    """

    channel = "process"

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Make a loop with a poller that has no bound on descriptors; timers run by `clock`."""
        super().__init__()
        # The first poller that is registered is the one that sockets use.
        ManySocketsPoller().register(self)
        self._timers = LoopTimers(TimerQueue(clock)).register(self).timers
        self._drain: Callable[[], None] = self.finish
        self._draining = False

    @property
    def timers(self) -> TimerQueue:
        """Return the loop's timers."""
        return self._timers

    def set_termination_callback(self, drain: Callable[[], None]) -> None:
        """Call `drain` when the process is asked to end."""
        self._drain = drain

    def finish(self) -> None:
        """End the loop after what is being written has had a moment to leave."""
        self._timers.call_later(STOP_SECONDS, self.stop)

    @handler("signal", channel="*")
    def _on_signal(self, event, number, stack):
        """Drain at the first signal; end at once at a SIGINT while draining."""
        event.stop()
        if number not in (signals.SIGTERM, signals.SIGINT):
            return
        if not self._draining:
            self._draining = True
            self._drain()
        elif number == signals.SIGINT:
            self.stop()
