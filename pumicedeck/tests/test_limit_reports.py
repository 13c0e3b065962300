"""Rows that tell all gateways which endpoints name a request limit.

Guards against a gateway that starts, or a scheduler that takes over, and sends a burst to an
endpoint in need since it has not heard its limit, and against rows that outlive their endpoints.
"""

from random import Random

import pytest

from pumicedeck.clocks import VirtualTime
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.limit_reports import SWEEP_SECONDS, LimitReports
from pumicedeck.partitioned_stores import Change, Put, RowKey, StoredRow
from pumicedeck.request_limiters import PERMITS_TABLE, permit_row
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.tests.test_direct_endpoints import HOME, endpoint
from pumicedeck.work_mirrors import LIMITS_PARTITION, WORK_TABLE


class ReportSimulation:
    """Gateways that hear limits of one endpoint and follow the rows of the others."""

    def __init__(self, gateways=2):
        self.timers = VirtualTime()
        self.data = PartitionedData()
        self.stores = [StandinPartitionedStore(self.timers, self.data) for _ in range(gateways)]
        self.directories = [EndpointDirectory(HOME, Random(1)) for _ in range(gateways)]
        self.reports = [
            LimitReports(self.timers, store, directory, lambda: True)
            for store, directory in zip(self.stores, self.directories, strict=True)
        ]
        self.read_revision = 0
        for directory in self.directories:
            directory.update(endpoint("a", incarnation=1))

    def hear(self, limit, gateway=0):
        now = self.timers.now()
        named = endpoint("a", incarnation=1)
        if self.directories[gateway].record_request_limit(named, limit, now, now):
            self.reports[gateway].record_change(named)

    def run(self, seconds):
        end_at = self.timers.now() + seconds
        while self.timers.now() < end_at:
            self.timers.run_until(self.timers.now() + 0.02)
            self.follow()

    def follow(self):
        changes = self.data.read_changes(WORK_TABLE, self.read_revision).unwrap()
        if changes:
            self.read_revision = changes[-1].revision
            for reports in self.reports:
                reports.apply(changes, False)

    def rows(self):
        return self.data.read(WORK_TABLE, LIMITS_PARTITION, "", 10)

    def limits(self):
        return [directory.request_limit("a") for directory in self.directories]


def test_a_limit_and_its_end_are_known_to_all_gateways():
    simulation = ReportSimulation()
    simulation.hear(2.0)
    simulation.run(0.5)
    assert simulation.limits() == [2.0, 2.0] and len(simulation.rows()) == 1
    simulation.hear(None, gateway=1)
    simulation.run(0.5)
    assert simulation.limits() == [None, None] and simulation.rows() == ()


def test_gateways_that_hear_a_limit_one_after_the_other_write_one_row():
    simulation = ReportSimulation(gateways=5)
    for gateway in range(5):
        simulation.hear(2.0 + gateway / 10, gateway)
        simulation.run(0.05)
    simulation.run(1.0)
    assert simulation.data.revision == 1
    for number in range(20):
        simulation.hear(1.0 + number / 10, number % 5)
        simulation.run(0.2)
    assert simulation.data.revision == 1


def test_a_limit_is_reported_once_the_store_is_back_and_only_if_it_still_holds():
    simulation = ReportSimulation()
    simulation.stores[0].faults.down = True
    simulation.hear(2.0)
    simulation.run(3.0)
    assert simulation.limits() == [2.0, None]
    simulation.stores[0].faults.down = False
    simulation.run(1.0)
    assert simulation.limits() == [2.0, 2.0]
    simulation.stores[0].faults.down = True
    simulation.hear(None)
    simulation.run(1.0)
    simulation.hear(2.0)
    simulation.stores[0].faults.down = False
    simulation.run(1.0)
    assert simulation.limits() == [2.0, 2.0] and len(simulation.rows()) == 1


@pytest.mark.parametrize("leaves", [True, False])
def test_the_row_of_an_endpoint_that_left_or_restarted_is_removed(leaves):
    simulation = ReportSimulation()
    for reports in simulation.reports:
        reports.start()
    simulation.hear(2.0)
    simulation.data.commit(Change((), (Put(permit_row("a"), b"{}"),)))
    simulation.run(1.0)
    simulation.run(2 * SWEEP_SECONDS)
    assert len(simulation.rows()) == 1
    for directory in simulation.directories:
        directory.remove("a")
        if not leaves:
            directory.update(endpoint("a", incarnation=2))
    simulation.run(2 * SWEEP_SECONDS + 1.0)
    assert simulation.rows() == ()
    assert simulation.data.partitions(PERMITS_TABLE, "") == ()


def test_after_a_read_of_the_whole_table_only_its_rows_count():
    simulation = ReportSimulation()
    simulation.hear(2.0)
    simulation.run(0.5)
    simulation.reports[1].apply((), True)
    assert simulation.limits() == [2.0, None]
    key = RowKey(WORK_TABLE, LIMITS_PARTITION, "a")
    simulation.reports[1].apply((StoredRow(key, b"{}", 9),), True)
    assert simulation.limits() == [2.0, None]
