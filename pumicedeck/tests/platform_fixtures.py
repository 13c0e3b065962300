"""Fixture of the contract tests: a stand-in called in process or through its HTTP adapter."""

from pumicedeck.faults import Fault
from pumicedeck.http_clients import HttpClient
from pumicedeck.platform_interfaces import find_adapter
from pumicedeck.standin_servers import StandinServer
from pumicedeck.tests.loop_harnesses import LoopHarness

KINDS = ("standin", "http")
SILENCE_SECONDS = 8.0
OUTCOME_TIMEOUT_SECONDS = 30.0


class PlatformFixture:
    """`subject` is the adapter under test, `standin` the stand-in that serves its calls."""

    def __init__(self, kind, interface, http_interface=None, **options):
        self.kind = kind
        self.loop = LoopHarness()
        self.timers = self.loop.timers
        self.client = HttpClient(self.timers).register(self.loop)
        self.standin = find_adapter(interface, "standin")(self.timers, **options)
        self.subject = self.standin
        self.server = None
        if kind == "http":
            self.server = StandinServer("subject", self.standin, self.timers).register(self.loop)
            adapter = find_adapter(interface, "http")
            self.subject = adapter(self.client, self.server.address, SILENCE_SECONDS)
        self.loop.settle()

    @property
    def over_http(self):
        return self.kind == "http"

    def call_subject(self, method, *arguments):
        """Call the subject and return its outcome, or None if it never answers."""
        outcomes = []
        getattr(self.subject, method)(*arguments, outcomes.append)
        self.loop.holds_within(OUTCOME_TIMEOUT_SECONDS, lambda: outcomes)
        assert len(outcomes) <= 1
        return outcomes[0] if outcomes else None

    def set_fault(self, fault):
        """Inject a `Fault` into the next call, or set the switch or condition of this name."""
        if isinstance(fault, Fault):
            self.standin.faults.script(fault)
        elif fault == "crashed":
            self.standin.crash()
        elif fault == "slow":
            self.standin.faults.delay = SILENCE_SECONDS / 2
        elif fault is not None:
            setattr(self.standin.faults, fault, True)
        self.loop.settle()

    def clear_faults(self):
        """Restart the stand-in and reset its switches."""
        self.standin.restart()
        self.standin.faults.delay = 0.0
        self.standin.faults.silent = False
        self.standin.faults.lose_reply = False
        self.loop.settle()

    def close(self):
        self.client.close()
        self.loop.stop_and_check()


def failure_code(outcome):
    """Return the failure's code, None for a success or "silent" for no answer."""
    if outcome is None:
        return "silent"
    return outcome.unwrap_err().code if outcome.is_err() else None
