"""Tests of rows that other writers leave: they name nothing, and the rows beside them hold.

One entry that could not be decoded ended the feed of endpoints at all gateways, for as long as it
was there: draining endpoints got requests, and gateways that were started again were never ready.
"""

import json
from random import Random

import pytest

from pumicedeck.clocks import VirtualTime
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.endpoint_lists import EndpointList
from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.platform.registrations import (
    EndpointDecoder,
    decode_announced_version,
    decode_routes,
)
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import StoreFeed
from pumicedeck.tests.test_endpoint_pools import REGISTRATION
from pumicedeck.topology import FailureDomain

NESTED = "[" * 20_000
LONG_NUMBER = "9" * 401


def with_field(name, text):
    """Return a registration as text in which a field has a value given as JSON text."""
    return json.dumps({**REGISTRATION, name: "VALUE"}).replace('"VALUE"', text)


ODD_ENTRIES = {
    "nested": NESTED,
    "nested in an unknown field": with_field("note", NESTED),
    "nested in the models": with_field("models", NESTED),
    "infinite weight version": with_field("models", '[{"name": "m", "version": 1e999}]'),
    "long weight version": with_field("models", f'[{{"name": "m", "version": {LONG_NUMBER}}}]'),
    "version that is no number": with_field("models", '[{"name": "m", "version": NaN}]'),
    "models of another type": with_field("models", "7"),
    "long slots": with_field("slots", LONG_NUMBER),
    "very long slots": with_field("slots", "9" * 5000),
    "negative slots": with_field("slots", "-1"),
    "long born": with_field("born", LONG_NUMBER),
    "port out of range": with_field("address", '"10.0.0.1:70000"'),
    "negative port": with_field("address", '"10.0.0.1:-1"'),
    "port zero": with_field("address", '"10.0.0.1:0"'),
    "port in other digits": with_field("address", '"10.0.0.1:\\u00b2"'),
    "host name": with_field("address", '"other.example:80"'),
    "host with a zero byte": with_field("address", '"10.0.0.1\\u0000:80"'),
    "unknown state": with_field("state", '"resting"'),
    "list as state": with_field("state", "[]"),
    "null": "null",
    "empty": "",
}


class ListSimulation:
    def __init__(self):
        self.timers = VirtualTime()
        self.data = PartitionedData()
        self.directory = EndpointDirectory(FailureDomain("a", "r"), Random(1))
        self.list = EndpointList(self.timers, self.directory, EndpointDecoder({"a": "r"}).decode)
        self.start()

    def start(self):
        store = StandinPartitionedStore(self.timers, self.data)
        clock = StoreClock(self.timers)
        self.feed = StoreFeed(self.timers, store, clock, "t", self.list.apply, None, ("",))
        self.feed.start()

    def put(self, name, text):
        self.data.commit(Change((), (Put(RowKey("t", "", name), text.encode()),)))
        self.timers.run_until(self.timers.now() + 1.0)

    def names(self):
        return sorted(each.name for each in self.directory.endpoints)


@pytest.mark.parametrize("text", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_names_no_endpoint_and_the_feed_goes_on(text):
    simulation = ListSimulation()
    simulation.put("e-1", json.dumps(REGISTRATION))
    simulation.put("other", text)
    assert simulation.names() == ["e-1"] and simulation.list.ignored == 1
    simulation.put("e-1", json.dumps({**REGISTRATION, "state": "draining"}))
    simulation.put("e-2", json.dumps(REGISTRATION))
    assert simulation.directory.state("e-1").endpoint.draining
    assert simulation.names() == ["e-1", "e-2"]


@pytest.mark.parametrize("text", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_does_not_keep_a_new_process_from_reading_the_list(text):
    simulation = ListSimulation()
    simulation.feed.close()
    simulation.put("e-1", json.dumps(REGISTRATION))
    simulation.put("other", text)
    simulation.start()
    simulation.timers.run_until(simulation.timers.now() + 1.0)
    assert simulation.feed.is_loaded and simulation.names() == ["e-1"]
    assert simulation.feed.skipped == 0 and simulation.list.ignored == 1


def test_an_ignored_entry_is_logged_once_and_forgotten_when_it_is_removed(monkeypatch):
    # Another writer may write its row every second, which must not fill the log.
    lines = []
    monkeypatch.setattr(
        "pumicedeck.endpoint_lists._log.warning",
        lambda event, **fields: lines.append((event, fields["endpoint"])),
    )
    simulation = ListSimulation()
    for text in (NESTED, NESTED + "[", NESTED):
        simulation.put("other", text)
    assert lines == [("endpoint registration ignored", "other")]
    simulation.data.commit(Change((), (Put(RowKey("t", "", "other"), None),)))
    simulation.timers.run_until(simulation.timers.now() + 1.0)
    assert simulation.list.ignored == 0


@pytest.mark.parametrize(
    "text",
    [NESTED, f'{{"model": "m", "version": {NESTED}', '{"model": "m", "version": 1e999}', "null"],
)
def test_an_odd_announced_version_is_ignored(text):
    assert decode_announced_version(text.encode()) is None


@pytest.mark.parametrize(
    "text",
    [
        NESTED,
        '{"version": 1e999}',
        f'{{"version": 1, "limits": {{"max-header-bytes": 1e999}}, "x": {LONG_NUMBER}}}',
        "null",
    ],
)
def test_an_odd_configuration_is_refused(text):
    assert decode_routes(text.encode()).is_err()
