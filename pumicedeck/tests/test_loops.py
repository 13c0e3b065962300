"""Tests of the timer queue on the circuits loop."""

from circuits import BaseComponent, Event, handler
from circuits.core.events import generate_events

from pumicedeck.clocks import VirtualTime
from pumicedeck.loops import LoopTimers


class ping(Event):  # noqa: N801
    """Fired by a timer."""


class App(BaseComponent):
    def __init__(self):
        super().__init__()
        self.virtual = VirtualTime()
        self.seen = []
        LoopTimers(self.virtual).register(self)

    @handler("ping", channel="*")
    def _on_ping(self):
        self.seen.append(self.virtual.now())

    def turn(self, wait):
        event = generate_events(self._lock, wait)
        self.fire(event, "*")
        self.flush()
        return event.time_left


class Bound(BaseComponent):
    """Stands where the poller does and notes how long it may wait."""

    def __init__(self):
        super().__init__()
        self.waits = []

    @handler("generate_events", priority=-9)
    def _on_generate_events(self, event):
        self.waits.append(event.time_left)
        event.stop()


def app():
    application = App()
    bound = Bound().register(application)
    application._running = True
    application.flush()
    return application, bound


def test_poller_waits_until_the_next_timer():
    application, bound = app()
    application.virtual.call_later(0.25, lambda: None)
    application.turn(5.0)
    assert bound.waits == [0.25]


def test_poller_does_not_wait_after_a_timer_ran():
    application, bound = app()
    application.virtual.call_later(0.0, lambda: application.fire(ping()))
    application.turn(5.0)
    application.flush()
    assert bound.waits == [0]
    assert application.seen == [0.0]


def test_raising_timer_does_not_stop_the_others():
    application, bound = app()
    seen = []
    application.virtual.call_later(0.0, lambda: [][0])
    application.virtual.call_later(0.0, lambda: seen.append(1))
    application.turn(5.0)
    application.turn(5.0)
    assert bound.waits[0] == 0
    assert seen == [1]
