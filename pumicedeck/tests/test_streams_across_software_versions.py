"""Endpoints of two software versions in one pool, and callers' streams that go on elsewhere.

Guards against a stream with events of two software versions, in one answer or over the attempts of
its caller: an endpoint or a gateway is lost in the middle of the stream, and the endpoint at which
it goes on was chosen by load and distance only.
"""

import pytest

from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.standin_partitioned_stores import StandinPartitionedStore
from pumicedeck.stream_records import STREAMS_TABLE
from pumicedeck.stream_versions import StreamVersionSettings, decode_pool_versions
from pumicedeck.tests.stream_fixtures import StreamFixture
from pumicedeck.work_mirrors import SOFTWARE_PARTITION, WORK_TABLE

MIXED = ("v1", "v2", "v1", "v2")


def check_both_versions(callers):
    """Check that some of the streams began at each version, so that the test compares two."""
    assert {software for caller in callers for software in caller.software} == {"v1", "v2"}


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
    check_both_versions(callers)
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
    check_both_versions(callers)
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
    check_both_versions(callers)
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
    check_both_versions(callers)
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


def test_streams_of_a_pool_with_one_version_need_neither_records_nor_reads(
    make_streams, monkeypatch
):
    fixture = make_streams(gateways=2, software=("v1", "v1", "v1"))
    assert len(fixture.data.read(WORK_TABLE, SOFTWARE_PARTITION, "", 10)) == 1
    read_tables = []
    read = StandinPartitionedStore.read

    def record_read(store, table, *arguments):
        read_tables.append(table)
        return read(store, table, *arguments)

    monkeypatch.setattr(StandinPartitionedStore, "read", record_read)
    commits = fixture.store_of(1).calls.commits
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    for caller in callers:
        caller.disconnect()
        caller.send(1)
    fixture.run(2.0)
    assert fixture.completed(callers) == 12
    assert fixture.stream_rows() == 0
    assert STREAMS_TABLE not in read_tables
    # The only writes are the renewals of the scheduler's lease, by the first gateway.
    assert fixture.store_of(1).calls.commits == commits


def test_a_resumed_stream_whose_version_is_gone_is_refused_at_once(make_streams):
    fixture = make_streams(gateways=2, software=("v1", "v2", "v2"))
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    gone = fixture.endpoints_of("v1")[0]
    gone.crash()
    gone.unregister()
    fixture.run(0.3)
    resumed = [caller for caller in callers if caller.software == {"v1"}]
    assert resumed
    for caller in resumed:
        assert caller.is_closed
        caller.send(1)
    fixture.run(0.2)
    for caller in resumed:
        assert caller.status == 503 and b'"code": 214' in caller.answer
        assert b"Retry-After: 0.000" in caller.answer
    fixture.check()


def test_a_resumed_stream_waits_for_a_slot_at_its_version(make_streams):
    fixture = make_streams(gateways=2)
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    check_both_versions(callers)
    for each in fixture.endpoints_of("v1"):
        each.full = True
    for caller in callers:
        caller.disconnect()
        caller.send(1)
    fixture.run(0.5)
    for each in fixture.endpoints_of("v1"):
        each.full = False
    fixture.run(2.5)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_a_gateway_cut_off_from_the_store_refuses_streams_of_versions_it_cannot_know(make_streams):
    fixture = make_streams(gateways=2, software=("v1", "v1"))
    fixture.store_of(1).faults.silent = True
    fixture.run(1.0)
    fixture.add_endpoint("s-8", "v2")
    fixture.add_endpoint("s-9", "v2")
    for each in fixture.endpoints_of("v1"):
        each.unregister()
    fixture.run(4.5)
    callers = fixture.begin(count=6)
    fixture.run(0.35)
    assert all(caller.software == {"v2"} for caller in callers)
    for caller in callers:
        caller.disconnect()
        caller.send(1)
    fixture.run(1.5)
    fixture.check()
    assert all(caller.status == 503 and b'"code": 215' in caller.answer for caller in callers)


def begin_while_out_of_contact(fixture):
    """Begin streams of v1 and of a version that joins while the second gateway is out of contact.

    Their callers leave after a few events.
    """
    fixture.run(1.0)
    fixture.add_endpoint("s-8", "v2")
    fixture.add_endpoint("s-9", "v2")
    fixture.run(4.5)
    callers = fixture.begin(count=8)
    fixture.run(0.35)
    check_both_versions(callers)
    for caller in callers:
        caller.disconnect()
    return callers


@pytest.mark.parametrize("rows_at_a_time", [1, 4])
def test_a_gateway_that_has_read_a_part_of_what_it_missed_does_not_let_streams_go_on(
    make_streams, rows_at_a_time
):
    """A gateway was out of contact while a version joined. The first answers after that brought a
    part of the changes only, and it counted as up to date while it knew of one version."""
    fixture = make_streams(gateways=2, software=("v1", "v1"))
    faults = fixture.store_of(1).faults
    faults.silent = True
    for number in range(40):
        fixture.put("servers", f"other-{number}", {})
        fixture.data.commit(Change((), (Put(RowKey(WORK_TABLE, "members", f"m{number}"), b"h:1"),)))
    callers = begin_while_out_of_contact(fixture)
    faults.max_feed_rows = rows_at_a_time
    faults.silent = False
    healed_at = fixture.loop.timers.now()
    feed = fixture.running_gateways[1].gateway._parts.work_feed
    # A stream that came earlier would have the versions of the pool read by themselves.
    fixture.loop.until(lambda: feed.last_contact_at > healed_at)
    for caller in callers:
        caller.send(1)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) >= 1


def test_a_gateway_with_an_old_list_of_endpoints_does_not_call_a_version_gone(make_streams):
    """A gateway was out of contact while a version joined. It answered streams of that version with
    214, after which callers discard their text, as none of the endpoints that it knew had it."""
    fixture = make_streams(gateways=2, software=("v1", "v1"))
    fixture.store_of(1).faults.silent = True
    callers = begin_while_out_of_contact(fixture)
    fixture.store_of(1).faults.silent = False
    fixture.store_of(1).faults.feed_stalled = True
    for caller in callers:
        caller.send(1)
    fixture.run(0.3)
    newer = [caller for caller in callers if caller.software == {"v2"}]
    assert all(caller.status == 503 and caller.code != 214 for caller in newer)
    fixture.store_of(1).faults.feed_stalled = False
    fixture.run(2.0)
    for caller in newer:
        caller.disconnect()
        caller.send(1)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 8


def test_streams_of_a_pool_with_one_version_go_on_in_the_first_seconds_without_the_store(
    make_streams,
):
    fixture = make_streams(gateways=2, software=("v1", "v1"))
    callers = fixture.begin(count=6)
    fixture.run(0.2)
    for gateway in (0, 1):
        fixture.store_of(gateway).faults.silent = True
    fixture.run(0.4)
    for caller in callers:
        caller.disconnect()
        caller.send(1)
    fixture.run(2.0)
    assert fixture.completed(callers) == 6


def test_streams_begin_at_the_base_version_while_the_store_is_away(make_streams):
    fixture = make_streams(gateways=1)
    rows = fixture.data.read(WORK_TABLE, SOFTWARE_PARTITION, "", 10)
    base = decode_pool_versions(rows[0].value).base
    fixture.standin.faults.down = True
    callers = fixture.begin(count=8)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 8
    assert all(caller.software == {base} for caller in callers)


def test_a_stream_begins_without_a_record_only_if_no_base_endpoint_is_left(make_streams):
    fixture = make_streams(gateways=1, software=("v1", "v2"))
    rows = fixture.data.read(WORK_TABLE, SOFTWARE_PARTITION, "", 10)
    base = decode_pool_versions(rows[0].value).base
    gone = fixture.endpoints_of(base)[0]
    gone.crash()
    gone.unregister()
    fixture.run(0.5)
    fixture.standin.faults.down = True
    early = fixture.begin(count=3)
    fixture.run(0.5)
    # The base may return, and gateways would take these streams for its own.
    assert all(caller.status == 503 and not caller.events for caller in early)
    fixture.standin.faults.down = False
    fixture.run(StreamVersionSettings().left_seconds + 4.5)
    assert fixture.base() == ""
    fixture.standin.faults.down = True
    callers = fixture.begin(count=3)
    fixture.run(2.0)
    assert fixture.completed(callers) == 3
    # Once it has left, gateways refuse them instead, whatever returns.
    fixture.standin.faults.down = False
    fixture.add_endpoint(gone.name, base, gone.incarnation + 1)
    late = fixture.begin(count=3)
    fixture.run(0.3)
    for caller in callers:
        caller.events = caller.events[:5]
        caller.send(fixture.add_gateway(f"front-{caller.name}"))
    fixture.run(2.0)
    assert all(caller.status == 503 and b'"code": 214' in caller.answer for caller in callers)
    fixture.check()
    assert fixture.completed(late) == 3


@pytest.mark.parametrize("fault", ["lost_replies", "late_commits"])
def test_records_whose_writes_get_no_answer_keep_streams_apart(make_streams, fault):
    fixture = make_streams(gateways=2)
    setattr(fixture.standin.faults, fault, 40)
    callers = fixture.begin(count=12)
    fixture.run(0.3)
    setattr(fixture.standin.faults, fault, 0)
    fixture.run(0.2)
    for caller in callers:
        if caller.events and not caller.is_complete:
            caller.disconnect()
            caller.send(1)
    fixture.run(3.0)
    fixture.check()
    begun = [caller for caller in callers if caller.events]
    assert fixture.completed(begun) == len(begun) and len(begun) >= 6


def test_streams_begin_at_a_new_version_once_every_gateway_knows_of_it(make_streams):
    fixture = make_streams(gateways=1, software=("v1",))
    fixture.add_endpoint("s-9", "v2")
    fixture.run(0.3)
    early = fixture.begin(count=6)
    fixture.run(4.5)
    late = fixture.begin(count=12)
    fixture.run(2.0)
    fixture.check()
    assert {software for caller in early for software in caller.software} == {"v1"}
    assert "v2" in {software for caller in late for software in caller.software}


def test_streams_begin_at_a_new_version_at_once_if_it_is_the_only_one(make_streams):
    fixture = make_streams(gateways=1, software=("v1",))
    gone = fixture.endpoints[0]
    fixture.add_endpoint("s-9", "v2")
    gone.crash()
    gone.unregister()
    fixture.run(0.3)
    callers = fixture.begin(count=6)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 6


def test_resumed_streams_go_on_as_often_as_new_ones_begin_during_a_release(make_streams):
    fixture = make_streams(gateways=3)
    fixture.endpoints_of("v1")[0].full = True
    callers = fixture.begin(gateway=0, count=20) + fixture.begin(gateway=1, count=20)
    fixture.run(0.15)
    fixture.stop_gateway(0)
    for caller in callers:
        caller.poll()
        if caller.is_closed:
            caller.send(2)
    new = fixture.begin(gateway=1, count=20)
    fixture.run(3.0)
    fixture.check()
    begun = sum(bool(caller.events) for caller in new) / len(new)
    assert fixture.completed(callers) / len(callers) >= 0.9 * begun


@pytest.mark.parametrize("software", [("v1",), ("v1", "v1", "v2"), ("v1", "v2")])
def test_a_stream_does_not_go_on_at_an_endpoint_that_has_restarted_but_not_registered(
    make_streams, software
):
    fixture = make_streams(gateways=2, software=software)
    callers = fixture.begin(count=8)
    fixture.run(0.35)
    fixture.endpoints[0].restart("v2" if software[0] == "v1" else "v1")
    fixture.run(0.5)
    for caller in callers:
        if caller.is_closed and not caller.is_complete:
            caller.send(0)
    fixture.run(1.5)
    fixture.check()
