"""A complete gateway that reports use, over sockets, and one that is not asked to."""

import json
import time

import pytest

from pumicedeck.gateway_settings import CloudSettings
from pumicedeck.http_listeners import HttpListener
from pumicedeck.tests.account_fixtures import AccountFixture
from pumicedeck.tests.test_gateways import LOCAL
from pumicedeck.topology import Address

EPOCH_SECONDS = 1_800_000_002.0
FIRST_WINDOW = 360_000_000
KEYS = {"acme": ("k1", "k2"), "twice": ("k3",), "refused": ("k4",)}


class CloudFixture(AccountFixture):
    """A gateway before an API that takes reports."""

    duties = ["metering"]
    monkeypatch = None

    def make_settings(self, vm, metrics_port=0):
        timers = self.loop.timers
        if self.monkeypatch is not None:
            self.monkeypatch.setattr(time, "time", lambda: EPOCH_SECONDS + timers.now())
        self.reports = []
        self.status = 200
        self.api = HttpListener(Address(LOCAL, 0), self.loop.timers, self._take).register(self.loop)
        self.api.start()
        settings = super().make_settings(vm, metrics_port)
        cloud = CloudSettings(address=self.api.address, duties=self.duties)
        return settings.model_copy(update={"cloud": cloud})

    def _take(self, call):
        self.reports.append((call, json.loads(call.body)))
        call.answer(self.status, (), b"")

    def usage_rows(self):
        return self.data.partitions("usage", "")

    def close(self):
        self.api.close()
        super().close()


@pytest.fixture
def cloud(monkeypatch):
    """Return a gateway with accounts, whose time of day goes with the virtual time."""
    monkeypatch.setattr(CloudFixture, "monkeypatch", monkeypatch)
    made = CloudFixture()
    made.set_accounts(**KEYS)
    yield made
    made.close()


def ask(fixture, target, key, number, until=b"\r\n\r\n"):
    headers = (("X-Pumicedeck-Request-Id", f"q{number}"), ("X-Pumicedeck-Deadline-Ms", "1400"))
    return fixture.ask_with(key, "POST", target, headers=headers, until=until)


def test_requests_are_reported_by_account_in_the_words_of_the_api(cloud):
    """Also those that run twice, once; not those without an account or refused as not run."""
    cloud.loop.advance(2.0)
    first, second = cloud.endpoints
    for number in range(3):
        ask(cloud, "/safe/x", "k1", number)
    ask(cloud, "/stream/x", "k2", 3)
    ask(cloud, "/open/x", None, 4)
    first.on_call = lambda call: call.abort()
    second.on_call = lambda call: call.abort()
    ask(cloud, "/safe/x", "k3", 5, until=b"HTTP/1.1 503")
    refuse = (("X-Pumicedeck-Not-Run", "1"),)
    first.on_call = second.on_call = lambda call: call.answer(503, refuse, b"")
    ask(cloud, "/safe/x", "k4", 6, until=b"HTTP/1.1 503")
    cloud.loop.advance(12.0)
    totals = {}
    for call, document in cloud.reports:
        assert (call.method, call.target) == ("POST", "/usage")
        assert call.header("x-pumicedeck-duty-holder") == "front-1"
        assert int(call.header("x-pumicedeck-fence-token")) == 1
        assert set(document) == {"window", "counts"}
        for account, number in document["counts"].items():
            totals[account] = totals.get(account, 0) + number
    assert totals == {"acme": 4, "twice": 1}
    windows = [document["window"] for _, document in cloud.reports]
    assert windows == list(range(FIRST_WINDOW, windows[-1] + 1))
    metrics = cloud.gateway._metrics.text(True, 0)
    assert f"usage_reports_sent_total {len(windows)}" in metrics


def test_a_gateway_that_stops_saves_its_counts_first(cloud):
    cloud.loop.advance(2.0)
    ask(cloud, "/safe/x", "k1", 1)
    cloud.running.drain()
    cloud.loop.until(lambda: cloud.finished)
    rows = [
        json.loads(row.value)["counts"]
        for partition in cloud.usage_rows()
        if partition.isdigit()
        for row in cloud.data.read("usage", partition, "counts/", 100)
        if row.row.key.startswith("counts/")
    ]
    assert {"acme": 1} in rows


@pytest.mark.parametrize("asked_for", [None, []])
def test_a_gateway_that_is_not_asked_for_reports_sends_and_stores_nothing(asked_for):
    """Guards against the cost of the mechanism in deployments without it."""

    class Silent(CloudFixture):
        duties = asked_for

        def make_settings(self, vm, metrics_port=0):
            settings = super().make_settings(vm, metrics_port)
            return settings.model_copy(update={"cloud": None}) if asked_for is None else settings

    fixture = Silent()
    usual = AccountFixture()
    for each in (fixture, usual):
        ask(each, "/safe/x", "key-a1", 1)
        each.loop.advance(15.0)
    assert fixture.reports == [] and fixture.usage_rows() == ()
    assert fixture.standin.calls.commits == usual.standin.calls.commits
    assert fixture.standin.calls.reads == usual.standin.calls.reads
    assert "usage" not in fixture.gateway._metrics.text(True, 0)
    fixture.close()
    usual.close()
