"""Choice of endpoints, expiry of registrations around a store outage, event streams.

Also covers the event intervals of engines and the reuse of partial outputs.
"""

from random import Random

import pytest
from loguru import logger
from result import Err, Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.direct_endpoints import (
    LIMIT_RECHECK_SECONDS,
    DirectEndpoint,
    EndpointDirectory,
    SharedLimit,
)
from pumicedeck.endpoint_lists import MAX_LOGGED_NAMES, EndpointList
from pumicedeck.event_streams import EventSplitter
from pumicedeck.partitioned_stores import RowKey, StoredRow
from pumicedeck.scheduling.event_intervals import EngineEventIntervals
from pumicedeck.scheduling.item_queues import DEFAULT_EVENT_SECONDS
from pumicedeck.scheduling.reusable_outputs import ReusableOutputs
from pumicedeck.submissions import ItemResult, Progress
from pumicedeck.topology import Address, FailureDomain

HOME = FailureDomain("tn-a", "south")
NEAR = FailureDomain("ks-a", "south")
FAR = FailureDomain("tp-a", "north")


def endpoint(name, domain=HOME, **fields):
    return DirectEndpoint(name, "s", Address("10.0.0.1", 80), domain, 6, **fields)


def directory(*endpoints):
    candidates = EndpointDirectory(HOME, Random(1))
    for each in endpoints:
        candidates.update(each)
    return candidates


def chosen(candidates, now=0.0, tried=()):
    return {candidates.choose("s", tried, now).endpoint.name for _ in range(30)}


def test_near_endpoints_come_first_while_they_are_free():
    candidates = directory(endpoint("home"), endpoint("near", NEAR), endpoint("far", FAR))
    assert chosen(candidates) == {"home"}
    for _ in range(4):
        candidates.call_started("home")
    assert chosen(candidates) == {"near"}


def test_a_failed_endpoint_is_the_last_choice_for_longer_each_time():
    candidates = directory(endpoint("a"), endpoint("b", FAR))
    candidates.record_failure("a", 0.0)
    assert chosen(candidates, 1.0) == {"b"} and chosen(candidates, 2.1) == {"a"}
    candidates.record_failure("a", 2.1)
    assert chosen(candidates, 5.0) == {"b"}
    candidates.record_success("a", 0.02)
    assert chosen(candidates, 5.0) == {"a"}


def test_a_slow_or_full_endpoint_gets_less():
    candidates = directory(endpoint("slow"), endpoint("fast"))
    candidates.record_success("slow", 0.3)
    candidates.record_success("fast", 0.03)
    assert chosen(candidates) == {"fast"}
    candidates.record_load("fast", running=6, waiting=8, now=0.0)
    assert chosen(candidates) == {"slow"}
    assert chosen(candidates, 2.0) == {"fast"}


def test_tried_and_draining_endpoints_are_left_out():
    candidates = directory(endpoint("a"), endpoint("b"), endpoint("c", draining=True))
    assert chosen(candidates, tried=("a",)) == {"b"}
    assert candidates.choose("s", ("a", "b"), 0.0) is None
    assert candidates.choose("other", (), 0.0) is None


def test_a_new_incarnation_of_an_endpoint_starts_with_a_fresh_state():
    candidates = directory(endpoint("a", incarnation=1))
    candidates.record_failure("a", 0.0)
    candidates.call_started("a")
    candidates.update(endpoint("a", incarnation=2))
    assert candidates.state("a").avoid_until == 0.0 and candidates.state("a").in_flight == 0
    candidates.call_ended(endpoint("a", incarnation=1))
    assert candidates.state("a").in_flight == 0


class EndpointListFixture:
    def __init__(self):
        self.timers = VirtualTime()
        self.directory = EndpointDirectory(HOME, Random(1))
        self.list = EndpointList(
            self.timers,
            self.directory,
            lambda name, value: Ok(endpoint(name)) if value else Err("empty"),
        )

    def rows(self, *names, value=b"x", is_snapshot=False):
        rows = tuple(StoredRow(RowKey("t", "", name), value, 1) for name in names)
        self.list.apply(rows, is_snapshot)

    def advance_with_contact(self, seconds):
        for _ in range(round(seconds * 10)):
            self.timers.run_until(self.timers.now() + 0.1)
            self.list.record_store_contact()

    def names(self):
        return sorted(each.name for each in self.directory.endpoints)


def test_an_endpoint_whose_row_goes_while_the_store_answers_is_removed_at_once():
    fixture = EndpointListFixture()
    fixture.rows("a", "b")
    fixture.advance_with_contact(1.0)
    fixture.rows("a", value=None)
    assert fixture.names() == ["b"]


def test_endpoints_whose_rows_expired_in_a_store_outage_are_retained_for_two_seconds():
    fixture = EndpointListFixture()
    fixture.rows("a", "b", "c")
    fixture.advance_with_contact(1.0)
    fixture.timers.run_until(fixture.timers.now() + 5.0)
    fixture.list.record_store_contact()
    fixture.rows("b", is_snapshot=True)
    assert fixture.names() == ["a", "b", "c"]
    fixture.advance_with_contact(1.0)
    fixture.rows("a")
    fixture.advance_with_contact(1.2)
    assert fixture.names() == ["a", "b"]


def test_one_log_line_tells_of_all_endpoints_that_changed_together():
    """At 88 gateways and 66 endpoints a third of a day's lines were one for each pair of them."""
    lines = []
    handle = logger.add(lambda message: lines.append(message.record), level="INFO")
    fixture = EndpointListFixture()
    fixture.rows(*(f"e{number:02d}" for number in range(66)), is_snapshot=True)
    fixture.rows("e00")
    fixture.advance_with_contact(1.0)
    fixture.rows("e01", "e02", value=None)
    logger.remove(handle)
    extras = [line["extra"] for line in lines if line["message"].startswith("endpoint")]
    assert [extra.get("added") for extra in extras] == [66, None]
    assert len(extras[0]["added_names"]) == MAX_LOGGED_NAMES
    assert extras[1]["removed_names"] == ["e01", "e02"]


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_events_are_split_whatever_the_chunk_size(size):
    data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"
    splitter, events = EventSplitter(), []
    for at in range(0, len(data), size):
        events += splitter.feed(data[at : at + size])
    assert [event.split(b"\n")[0] for event in events] == [b"id: 1", b"id: 2"]
    assert splitter.has_partial_event


def test_an_old_event_interval_is_discarded():
    intervals = EngineEventIntervals()
    intervals.record("e", 0.2, now=0.0)
    assert intervals.seconds("e", 1.0) == pytest.approx(0.2)
    assert intervals.seconds("e", 10.0) == DEFAULT_EVENT_SECONDS


def test_an_engine_that_is_slow_for_good_is_still_known_to_be_after_a_pause():
    """After 6 s without work an engine 1.3 times slower got the next step's longest items."""
    intervals = EngineEventIntervals()
    for window in range(12):
        intervals.record("e", 0.05, now=window * 0.4)
    intervals.record("e", 0.16, now=5.0)
    assert intervals.seconds("e", 5.0) > 0.08
    assert intervals.seconds("e", 20.0) == pytest.approx(0.05)


def test_outputs_are_reused_under_allowed_versions_only():
    outputs = ReusableOutputs(max_outputs=2)
    outputs.add_output("a", Progress(3, False, ["x"] * 3, [4, 5]))
    assert outputs.find("a", 4, False).last_event == 3
    assert outputs.find("a", 5, False) is None
    assert outputs.find("a", 4, True) is None
    outputs.add_output("a", Progress(2, False, ["x"] * 2, [4]))
    assert outputs.find("a", 4, False).last_event == 3
    outputs.add_output("a", Progress(1, False, ["x"], [6]))
    assert outputs.find("a", 5, False).last_event == 1
    outputs.add_result(ItemResult("b", True, "x\ny", (6,), "mac"))
    assert outputs.find("b", 6, False).whole
    outputs.add_output("c", Progress(1, False, ["x"], [6]))
    assert len(outputs) == 2 and not outputs.contains("a")
    assert outputs.find("c", 6, False) is not outputs.find("c", 6, False)


def test_a_limited_endpoint_is_asked_again_after_a_while_even_if_others_are_free():
    candidates = directory(endpoint("a"), endpoint("b", NEAR))
    candidates.record_request_limit(endpoint("a"), 1.0, 0.0, 0.0)
    assert chosen(candidates, 1.0) == {"b"}
    assert chosen(candidates, LIMIT_RECHECK_SECONDS + 0.1) == {"a"}
    candidates.record_request_limit(endpoint("a"), 1.0, 11.0, 11.0)
    assert chosen(candidates, 12.0) == {"b"}


def test_a_limit_that_another_gateway_reported_counts_until_this_one_hears_its_own():
    candidates = directory()
    candidates.share_limit("a", SharedLimit(3, 2.0), 1.0)
    candidates.update(endpoint("a", incarnation=3))
    assert candidates.request_limit("a") == 2.0
    candidates.record_request_limit(endpoint("a", incarnation=3), 1.5, 2.0, 2.1)
    candidates.share_limit("a", SharedLimit(3, 2.5), 3.0)
    assert candidates.request_limit("a") == 1.5
    candidates.share_limit("a", None, 4.0)
    assert candidates.request_limit("a") is None
    candidates.share_limit("a", SharedLimit(3, 2.0), 5.0)
    candidates.update(endpoint("a", incarnation=4))
    assert candidates.request_limit("a") is None


def test_connections_that_are_lost_at_one_moment_count_as_one_failure():
    """A reset of all connections made each engine unusable for 8 s, although all of them lived."""
    candidates = directory(endpoint("a"), endpoint("b", FAR))
    for _ in range(12):
        candidates.record_lost_connection("a", 0.0, 5.0)
    assert chosen(candidates, 5.2) == {"b"} and chosen(candidates, 5.4) == {"a"}
    # Calls that were open then may be lost a little later.
    candidates.record_lost_connection("a", 4.9, 5.5)
    assert chosen(candidates, 5.6) == {"a"}


def test_an_endpoint_that_loses_the_next_connection_too_is_avoided_for_longer_each_time():
    candidates = directory(endpoint("a"), endpoint("b", FAR))
    candidates.record_lost_connection("a", 0.0, 1.0)
    candidates.record_lost_connection("a", 1.4, 1.5)
    assert chosen(candidates, 5.4) == {"b"} and chosen(candidates, 5.6) == {"a"}
    candidates.record_failure("a", 5.6)
    assert chosen(candidates, 13.5) == {"b"}
    candidates.record_success("a", 0.1)
    assert candidates.state("a").avoid_until == 0.0
