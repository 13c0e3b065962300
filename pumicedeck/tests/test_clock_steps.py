"""A jump of the time of day changes nothing that a gateway decides.

Guards against leases, time-outs, deadlines or ages that are taken from the time of day: on some
machines it jumps by many minutes, forward or back, and back again, while the steady clock goes on.
"""

import json
import re
import time
from pathlib import Path

import pytest

from pumicedeck.tests.test_gateways import ID, SUBMISSION, GatewayFixture

PACKAGE = Path(__file__).parents[1]
WALL_CLOCK = re.compile(r"\btime\.time(_ns)?\b|\bdatetime\.(now|utcnow|today)\b|\bCLOCK_REALTIME\b")
# What each module that reads the time of day needs it for. Nothing else may.
ALLOWED = {
    "clients.py": "the ids of requests",
    "composition.py": "the age of request ids, where the far future is refused",
    "gateway_compositions.py": "the seed of a random generator; the true time for reports of use",
    "operator_api.py": "the time of an edit, as shown to operators",
}
STEP_SECONDS = 2400.0


def test_only_these_modules_read_the_time_of_day():
    """Log lines have theirs from the logging library."""
    found = {
        path.name
        for path in PACKAGE.rglob("*.py")
        if "tests" not in path.parts and WALL_CLOCK.search(path.read_text(encoding="utf-8"))
    }
    assert found == set(ALLOWED)


class SteppedClock:
    """The time of day of a machine whose clock jumps."""

    def __init__(self):
        self.offset = 0.0
        self.real_time = time.time

    def time(self):
        return self.real_time() + self.offset

    def time_ns(self):
        return int(self.time() * 1e9)


@pytest.mark.parametrize("steps", [(STEP_SECONDS, 0.0), (-STEP_SECONDS, 0.0), (STEP_SECONDS,) * 2])
def test_a_gateway_serves_and_keeps_its_lease_through_jumps(monkeypatch, steps):
    clock = SteppedClock()
    monkeypatch.setattr(time, "time", clock.time)
    monkeypatch.setattr(time, "time_ns", clock.time_ns)
    fixture = GatewayFixture()
    lease = fixture.gateway._parts.lease_holder
    fixture.loop.advance(2.0)
    fencing = lease.fencing
    assert lease.holds(fixture.loop.timers.now())
    body = json.dumps(SUBMISSION).encode()
    headers = (("X-Pumicedeck-Request-Id", "s1"),)
    assert fixture.ask("POST", "/drafts/s1", body, headers).startswith(b"HTTP/1.1 202")
    for offset in steps:
        clock.offset = offset
        for _ in range(4):
            fixture.loop.advance(0.7)
            assert lease.holds(fixture.loop.timers.now()) and lease.fencing == fencing
            assert fixture.gateway.is_ready
            assert fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 200")
            answer = fixture.ask("GET", "/lots/s1?after=0", until=b'"results": []}')
            assert b'"total": 1' in answer
    fixture.close()
