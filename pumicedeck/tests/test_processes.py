"""How a process reacts to signals that come in series."""

import signal

import pytest
from circuits.core.events import signal as signal_event

from pumicedeck.processes import Process


class Watched(Process):
    """Notes drains and ends."""

    channel = "process"

    def __init__(self):
        super().__init__()
        self.seen = []
        self.set_termination_callback(lambda: self.seen.append("drain"))

    def stop(self, code=None):
        self.seen.append("end")


def send(process, *numbers):
    for number in numbers:
        process._on_signal(signal_event(number, None), number, None)
    return process.seen


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
def test_a_drain_goes_on_whatever_the_platform_sends_meanwhile(first):
    assert send(Watched(), first, signal.SIGTERM, signal.SIGTERM) == ["drain"]


def test_a_terminal_ends_a_drain():
    assert send(Watched(), signal.SIGTERM, signal.SIGINT) == ["drain", "end"]


def test_other_signals_change_nothing():
    assert send(Watched(), signal.SIGHUP) == []
