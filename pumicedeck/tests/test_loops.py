"""Tests of the timer queue on the circuits loop."""

from circuits import BaseComponent, Event, handler
from circuits.core.events import generate_events

from pumicedeck.clocks import VirtualTime
from pumicedeck.loops import LoopTimers


class ping(Event):  # noqa: N801
    """Fired by a timer."""


class TimerApplication(BaseComponent):
    """A circuits application with timers on virtual time, which records when `ping` is handled."""

    def __init__(self):
        super().__init__()
        self.virtual = VirtualTime()
        self.recorded = []
        LoopTimers(self.virtual).register(self)

    @handler("ping", channel="*")
    def _on_ping(self):
        self.recorded.append(self.virtual.now())

    def run_turn(self, wait):
        event = generate_events(self._lock, wait)
        self.fire(event, "*")
        self.flush()
        return event.time_left


class PollerStandIn(BaseComponent):
    """Takes the poller's place and records how long it may wait."""

    def __init__(self):
        super().__init__()
        self.waits = []

    @handler("generate_events", priority=-9)
    def _on_generate_events(self, event):
        self.waits.append(event.time_left)
        event.stop()


def make_application():
    application = TimerApplication()
    poller = PollerStandIn().register(application)
    application._running = True
    application.flush()
    return application, poller


def test_poller_waits_until_the_next_timer():
    application, poller = make_application()
    application.virtual.call_later(0.25, lambda: None)
    application.run_turn(5.0)
    assert poller.waits == [0.25]


def test_poller_does_not_wait_after_a_timer_ran():
    application, poller = make_application()
    application.virtual.call_later(0.0, lambda: application.fire(ping()))
    application.run_turn(5.0)
    application.flush()
    assert poller.waits == [0]
    assert application.recorded == [0.0]


def test_raising_timer_does_not_stop_the_others():
    application, poller = make_application()
    recorded = []
    application.virtual.call_later(0.0, lambda: [][0])
    application.virtual.call_later(0.0, lambda: recorded.append(1))
    application.run_turn(5.0)
    application.run_turn(5.0)
    assert poller.waits[0] == 0
    assert recorded == [1]
