"""Tests how a process reacts to several signals in a row."""

import signal

import pytest
from circuits.core.events import signal as signal_event

from pumicedeck.processes import Process


class RecordingProcess(Process):
    """Records when a drain starts and when the loop is stopped."""

    channel = "process"

    def __init__(self):
        super().__init__()
        self.calls = []
        self.set_termination_callback(lambda: self.calls.append("drain"))

    def stop(self, code=None):
        self.calls.append("end")


def send_signals(process, *numbers):
    for number in numbers:
        process._on_signal(signal_event(number, None), number, None)
    return process.calls


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
def test_a_drain_ignores_further_sigterms(first):
    assert send_signals(RecordingProcess(), first, signal.SIGTERM, signal.SIGTERM) == ["drain"]


def test_a_sigint_during_a_drain_ends_the_process():
    assert send_signals(RecordingProcess(), signal.SIGTERM, signal.SIGINT) == ["drain", "end"]


def test_other_signals_change_nothing():
    assert send_signals(RecordingProcess(), signal.SIGHUP) == []
