"""Tests how a process reacts to several signals in a row."""

import signal
import subprocess
import sys

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


WATCH_IMPORT = """
import importlib.abc, runpy, signal, sys

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name.partition(".")[0] in ("result", "circuits") or name.endswith("compositions"):
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_DFL)
            sys.stdout.flush()
            raise SystemExit

sys.meta_path.insert(0, Finder())
runpy.run_module("pumicedeck.platform", run_name="__main__")
"""


def test_sighup_does_not_end_a_gateway_that_still_imports_its_modules():
    # The handler was installed after the imports: a signal in the first half second ended it.
    ended = subprocess.run(
        [sys.executable, "-c", WATCH_IMPORT], capture_output=True, text=True, check=False
    )
    assert ended.stdout == "False\n", ended.stderr
