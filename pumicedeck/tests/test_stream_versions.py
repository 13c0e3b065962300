"""Software versions at which streams of a pool begin, over releases that come and go.

Guards against a pool whose gateways disagree on the version of a stream without a record, and
against rows that outlive the streams that they are for.
"""

from random import Random

from pumicedeck.clocks import VirtualTime
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.results import ResultCode
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import StoreFeed
from pumicedeck.stream_origins import StreamOrigin
from pumicedeck.stream_records import (
    STREAM_PARTITIONS,
    STREAMS_TABLE,
    SWEEP_SECONDS,
    StreamRecords,
)
from pumicedeck.stream_versions import (
    PoolKnowledge,
    PoolVersions,
    StreamVersionSettings,
    announce_versions,
    decode_pool_versions,
    leave_versions,
    may_omit_record,
    settle_versions,
)
from pumicedeck.tasks import spawn
from pumicedeck.tests.test_direct_endpoints import HOME
from pumicedeck.topology import Address
from pumicedeck.work_mirrors import SOFTWARE_PARTITION, WORK_TABLE

SETTINGS = StreamVersionSettings()
POOL = "p"


class RecordFixture:
    """Gateways that share the store; each has its own directory of endpoints."""

    def __init__(self, gateways=2):
        self.timers = VirtualTime()
        self.data = PartitionedData()
        self.stores = []
        self.gateways = [self.build(number) for number in range(gateways)]

    def build(self, number):
        store = StandinPartitionedStore(self.timers, self.data)
        self.stores.append(store)
        clock = StoreClock(self.timers)
        directory = EndpointDirectory(HOME, Random(1))
        records = StreamRecords(
            self.timers,
            store,
            clock,
            directory,
            Random(number),
            SETTINGS,
            pools=lambda: (POOL,),
            complete_as_of=lambda: feed.last_contact_at,
            sweeps=lambda: number == 0,
        )
        feed = StoreFeed(
            self.timers, store, clock, WORK_TABLE, lambda rows, whole: records.apply(rows)
        )
        feed.start()
        records.start()
        return directory, records

    def register(self, *versions):
        """Let the endpoints of all gateways run these software versions from now on."""
        for directory, _ in self.gateways:
            for each in directory.endpoints:
                directory.remove(each.name)
            for number, version in enumerate(versions):
                name = f"{version}-{number}"
                address = Address("10.0.0.1", 1 + number)
                directory.update(
                    DirectEndpoint(name, POOL, address, HOME, 4, software_version=version)
                )

    def run(self, seconds):
        self.timers.run_until(self.timers.now() + seconds)

    def pool_versions(self):
        (row,) = self.data.read(WORK_TABLE, SOFTWARE_PARTITION, "", 10)
        return decode_pool_versions(row.value)

    def begin(self, stream_id, version, gateway=0):
        outcomes = []
        origin = StreamOrigin(self.gateways[gateway][1], self.timers, stream_id, POOL)

        async def record():
            outcomes.append(await origin.record(version))

        spawn(record(), "record")
        self.run(0.2)
        return outcomes[0] if outcomes else None

    def find(self, stream_id, gateway=1):
        outcomes = []

        async def find():
            outcomes.append(await self.gateways[gateway][1].find(stream_id, POOL))

        spawn(find(), "find")
        self.run(0.2)
        return outcomes[0]

    def stream_rows(self):
        return [
            row
            for number in range(STREAM_PARTITIONS)
            for row in self.data.read(STREAMS_TABLE, f"{number:x}", "", 10_000)
        ]


def test_the_most_frequent_version_is_the_base_of_a_new_pool():
    versions = announce_versions(None, {"v2": 1, "v1": 3})
    assert versions == PoolVersions("v1", frozenset(("v1", "v2")))
    later = announce_versions(versions, {"v3": 9})
    assert later.base == "v1" and later.announced == {"v1", "v2", "v3"}
    assert decode_pool_versions(later.encode()) == later
    assert decode_pool_versions(b"[]") is None and decode_pool_versions(b"{") is None


def test_no_version_is_the_base_until_no_stream_of_the_former_one_can_be_resumed():
    versions = PoolVersions("v1", frozenset(("v1", "v2")))
    assert leave_versions(versions, (), 100.0) == versions
    # Versions leave only while another one stays.
    assert leave_versions(versions, ("v1", "v2"), 100.0) == versions
    left = leave_versions(versions, ("v1",), 100.0)
    assert left == PoolVersions("", frozenset(("v2",)), frozenset(("v1",)), 100.0)
    assert decode_pool_versions(left.encode()) == left and not left.has_one
    at = 100.0 + SETTINGS.new_base_seconds
    assert settle_versions(left, {"v2": 1}, at - 0.1, SETTINGS) == left
    assert settle_versions(left, {}, at, SETTINGS) == left
    assert settle_versions(left, {"v2": 1}, at, SETTINGS) == PoolVersions("v2", frozenset(("v2",)))
    # Streams without a record have ended by then, also those of a gateway that was cut off.
    without_record = max(SETTINGS.retired_seconds, SETTINGS.max_base_age_seconds)
    assert without_record + SETTINGS.retired_seconds <= SETTINGS.new_base_seconds
    assert not may_omit_record(left, 100.0 + SETTINGS.max_staleness_seconds, SETTINGS)
    assert may_omit_record(left, 100.0 + SETTINGS.announced_seconds, SETTINGS)
    assert not may_omit_record(left, 100.0 + SETTINGS.retired_seconds, SETTINGS)
    assert not may_omit_record(versions, 103.0, SETTINGS)


def test_records_of_a_version_that_left_are_looked_for_until_its_streams_have_ended():
    versions = PoolVersions("v1", frozenset(("v1", "v2")))
    left = leave_versions(versions, ("v2",), 100.0)
    assert left == PoolVersions("v1", frozenset(("v1",)), frozenset(("v2",)), 100.0)
    assert not left.has_one
    returned = announce_versions(left, {"v1": 1, "v2": 1})
    assert returned.announced == {"v1", "v2"} and not returned.former
    at = 100.0 + SETTINGS.new_base_seconds
    assert settle_versions(left, {"v1": 1}, at, SETTINGS) == PoolVersions("v1", frozenset(("v1",)))


def test_a_version_has_left_once_it_has_had_no_endpoint_for_a_while_and_others_had():
    known = PoolKnowledge(PoolVersions("v1", frozenset(("v1", "v2"))))
    at = SETTINGS.left_seconds
    assert known.observe({"v2": 1}, 0.0, SETTINGS) == set()
    assert known.observe({"v1": 1, "v2": 1}, 1.0, SETTINGS) == set()
    assert known.observe({"v2": 1}, 2.0, SETTINGS) == set()
    assert known.observe({"v2": 1}, 2.0 + at, SETTINGS) == {"v1"}
    assert known.observe({}, 2.0 + at, SETTINGS) == set()
    assert known.observe({"v2": 1}, 2.0 + 2 * at, SETTINGS) == set()


def test_a_version_is_used_once_its_announcement_is_known_everywhere():
    known = PoolKnowledge(PoolVersions("v1", frozenset(("v1",))))
    assert not known.may_begin("v2", 99.0, SETTINGS)
    known.update(PoolVersions("v1", frozenset(("v1", "v2"))), 10.0)
    known.update(PoolVersions("v1", frozenset(("v1", "v2", "v3"))), 12.0)
    at = 10.0 + SETTINGS.announced_seconds
    assert not known.may_begin("v2", at - 0.1, SETTINGS) and known.may_begin("v2", at, SETTINGS)
    assert not known.may_begin("v3", at, SETTINGS)
    assert SETTINGS.announced_seconds > SETTINGS.max_staleness_seconds


def test_gateways_agree_on_the_versions_of_a_pool_and_of_its_streams():
    fixture = RecordFixture(gateways=4)
    fixture.register("v1", "v1")
    fixture.run(2.0)
    fixture.register("v1", "v2", "v2", "v2")
    fixture.run(2.0)
    assert fixture.pool_versions() == PoolVersions("v1", frozenset(("v1", "v2")))
    assert fixture.begin("a", "v1").is_ok() and fixture.begin("b", "v2").is_ok()
    assert len(fixture.stream_rows()) == 1
    assert fixture.find("a").ok_value == "v1" and fixture.find("b").ok_value == "v2"


def test_a_stream_whose_first_endpoint_failed_is_recorded_under_the_next_one():
    fixture = RecordFixture()
    fixture.register("v1", "v2")
    fixture.run(2.0)
    origin = StreamOrigin(fixture.gateways[0][1], fixture.timers, "a", POOL)

    async def record():
        for version in ("v2", "v1", "v2", "v1"):
            assert (await origin.record(version)).is_ok()

    spawn(record(), "record")
    fixture.run(0.5)
    assert origin.recorded_version == "v1"
    assert fixture.find("a").ok_value == "v1"


def test_rows_of_streams_and_versions_are_removed_once_they_no_longer_count():
    fixture = RecordFixture()
    fixture.register("v1", "v2")
    fixture.run(2.0)
    fixture.begin("a", "v2")
    fixture.register("v2")
    fixture.run(200.0)
    fixture.begin("b", "v2")
    assert len(fixture.stream_rows()) == 2 and fixture.pool_versions().base == ""
    fixture.run(SETTINGS.retired_seconds + SWEEP_SECONDS)
    # No record is left, so that only a base could tell; there is none yet.
    assert fixture.stream_rows() == [] and fixture.pool_versions().base == ""
    assert fixture.find("b").err_value.code is ResultCode.STREAM_VERSION_GONE
    fixture.run(SETTINGS.new_base_seconds - SETTINGS.retired_seconds - SWEEP_SECONDS)
    assert fixture.pool_versions() == PoolVersions("v2", frozenset(("v2",)))
    commits = fixture.data.revision
    fixture.begin("c", "v2")
    assert fixture.data.revision == commits
    fixture.run(2 * SETTINGS.retired_seconds)
    assert fixture.find("c").ok_value == "v2"


def test_a_gateway_that_is_cut_off_while_the_base_changes_begins_no_stream_without_a_record():
    fixture = RecordFixture(gateways=3)
    fixture.register("v1", "v2")
    fixture.run(5.0)
    assert fixture.pool_versions().base == "v1"
    fixture.stores[0].faults.silent = True
    fixture.register("v2")
    cut_off = fixture.gateways[0][1]
    fixture.run(5.0)
    # Streams that begin there now have ended when another base holds.
    assert cut_off.is_base(POOL, "v1")
    fixture.run(SETTINGS.max_base_age_seconds)
    assert fixture.pool_versions().base == ""
    assert not cut_off.is_base(POOL, "v1")
    outcome = fixture.begin("a", "v1", gateway=0)
    assert outcome is None or outcome.is_err()
    fixture.run(SETTINGS.new_base_seconds)
    assert fixture.pool_versions().base == "v2" and not cut_off.is_base(POOL, "v1")


def test_a_gateway_whose_feed_is_behind_reads_the_row_before_it_names_a_base():
    fixture = RecordFixture(gateways=2)
    fixture.register("v1", "v2")
    fixture.run(5.0)
    fixture.stores[1].faults.feed_stalled = True
    fixture.register("v2")
    fixture.run(SETTINGS.left_seconds + 5.0)
    assert fixture.pool_versions().base == ""
    fixture.gateways[1][1]._last_contact_at = lambda: 0.0
    assert fixture.find("a").err_value.code is ResultCode.STREAM_VERSION_GONE
