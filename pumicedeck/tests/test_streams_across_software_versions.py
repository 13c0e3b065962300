"""Endpoints of two software versions in one pool, and callers' streams that go on elsewhere.

Guards against a stream with events of two software versions, in one answer or over the attempts of
its caller: an endpoint or a gateway is lost in the middle of the stream, and the endpoint at which
it goes on was chosen by load and distance only.
"""

import pytest

from pumicedeck.tests.stream_fixtures import StreamFixture

MIXED = ("v1", "v2", "v1", "v2")


@pytest.fixture
def make_streams(monkeypatch):
    """Return a function that makes fixtures whose gateways draw the same random numbers."""
    monkeypatch.setattr("pumicedeck.gateway_compositions.time.time_ns", lambda: 7)
    made = []

    def make(gateways=2, software=MIXED):
        made.append(StreamFixture(gateways, software))
        return made[-1]

    yield make
    for each in made:
        each.close()


def test_a_stream_whose_endpoint_is_lost_does_not_go_on_at_another_software_version(make_streams):
    fixture = make_streams(gateways=1)
    callers = fixture.begin(count=12)
    fixture.run(0.25)
    lost = [fixture.endpoints_of("v1")[0], fixture.endpoints_of("v2")[0]]
    for each in lost:
        each.breaks_after = 5
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_a_stream_without_an_endpoint_of_its_software_version_is_broken_at_once(make_streams):
    fixture = make_streams(gateways=1, software=("v1", "v2"))
    callers = fixture.begin(count=6)
    fixture.run(0.35)
    lost = fixture.endpoints_of("v1")[0]
    broken = [caller for caller in callers if caller.software == {"v1"}]
    lost.breaks_after = 0
    lost.crash()
    lost.unregister()
    fixture.run(0.4)
    assert all(caller.is_closed for caller in broken) or not broken
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 6 - len(broken)


def test_a_stream_taken_up_at_another_gateway_does_not_go_on_at_another_software_version(
    make_streams,
):
    fixture = make_streams(gateways=2)
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    for caller in callers:
        caller.disconnect()
        caller.send(1)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_a_stream_whose_gateway_is_lost_does_not_go_on_at_another_software_version(make_streams):
    fixture = make_streams(gateways=2)
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    fixture.stop_gateway(0)
    fixture.run(0.1)
    for caller in callers:
        caller.send(1)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_a_gateway_that_has_just_started_does_not_let_a_stream_go_on_at_another_version(
    make_streams,
):
    fixture = make_streams(gateways=1)
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    fixture.stop_gateway(0)
    started = fixture.add_gateway("front-9")
    for caller in callers:
        caller.send(started)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_a_stream_begun_before_a_release_does_not_go_on_at_the_newer_software_version(
    make_streams,
):
    fixture = make_streams(gateways=2, software=("v1", "v1"))
    callers = fixture.begin(count=6)
    fixture.run(0.35)
    fixture.add_endpoint("s-8", "v2")
    fixture.add_endpoint("s-9", "v2")
    fixture.run(0.2)
    for caller in callers:
        caller.disconnect()
        caller.send(1)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 6


def test_a_stream_does_not_go_on_at_an_endpoint_that_returned_with_another_software_version(
    make_streams,
):
    fixture = make_streams(gateways=1, software=("v1",))
    callers = fixture.begin(count=4)
    fixture.run(0.35)
    old = fixture.endpoints[0]
    old.breaks_after = 0
    old.crash()
    fixture.add_endpoint(old.name, "v2", incarnation=2)
    fixture.run(0.1)
    for caller in callers:
        caller.poll()
        if caller.is_closed:
            caller.send(0)
    fixture.run(2.0)
    fixture.check()
