"""Submissions that reach the scheduler before a change of the routes does.

Guards against accepted items that are given up for good, because the scheduler's routes are older
than those under which another process accepted the submission.
"""

from dataclasses import replace

import pytest
from result import Ok

from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.route_tables import RouteTable
from pumicedeck.scheduling.route_freshness import RouteFreshness
from pumicedeck.standin_partitioned_stores import StandinPartitionedStore
from pumicedeck.store_feeds import FeedSettings, StoreFeed
from pumicedeck.tests.scheduler_simulations import ROUTES, SchedulerSimulation
from pumicedeck.tests.test_schedulers import STEP, check_complete

OPERATOR_ROW = RowKey("op", "", "config")
DRAFTS, SCORES = ROUTES.routes
ADDED = replace(DRAFTS, name="receipts", path_prefix="/r/")


class OperatorStore(StandinPartitionedStore):
    """A store whose feed calls go silent on demand while it answers new calls at once."""

    waiting_calls_are_silent = False

    def read_changes(self, table, after, wait):
        silent = self.faults.silent
        self.faults.silent = silent or (self.waiting_calls_are_silent and wait > 0)
        try:
            return super().read_changes(table, after, wait)
        finally:
            self.faults.silent = silent


class RoutesSimulation(SchedulerSimulation):
    """A scheduler that follows the routes by a feed of its own; s0 is accepted elsewhere."""

    def __init__(self, *routes, **options):
        super().__init__(processes=2, **options)
        self.tables = {}
        self.configure(4, *(routes or (DRAFTS, SCORES)))
        self.scheduler, self.front = self.processes
        self.follow(self.scheduler)
        self.run(1.2)

    def follow(self, process):
        process.operator_store = OperatorStore(self.timers, self.data)
        installed = []

        def install(rows, is_whole_table):
            installed.extend(self.tables[int(row.value)] for row in rows)
            process.mirror.changed.notify()

        process.operator_feed = StoreFeed(
            self.timers,
            process.operator_store,
            process.clock,
            OPERATOR_ROW.table,
            install,
            FeedSettings(wait_seconds=1.0),
            ("",),
        )
        process.routes = lambda: installed[-1] if installed else None
        process.routes_complete_as_of = lambda: process.operator_feed.complete_as_of
        process.read_routes = process.operator_feed.read_soon
        process.operator_feed.start()

    def configure(self, version, *routes):
        """Write a configuration, which all processes but the scheduler have at once."""
        self.routes = self.tables[version] = RouteTable(version, routes, {})
        self.data.commit(Change((), (Put(OPERATOR_ROW, str(version).encode()),)))

    def let_feed_go_silent(self):
        self.scheduler.operator_store.waiting_calls_are_silent = True
        # The call that is under way still gets its answer.
        self.run(1.1)


def test_a_submission_on_a_route_that_the_scheduler_does_not_know_yet_is_not_given_up():
    # All of its items were listed as given up at once when the feed of the routes was late.
    simulation = RoutesSimulation()
    simulation.let_feed_go_silent()
    simulation.configure(9, DRAFTS, SCORES, ADDED)
    submitted_at = simulation.timers.now()
    assert isinstance(simulation.submit(simulation.front, STEP, route="receipts"), Ok)
    simulation.run(60 * 0.04 + 1.0)
    check_complete(simulation, simulation.front, STEP)
    assert simulation.starts("3-0")[0][0] < submitted_at + 0.3


def test_a_submission_waits_for_as_long_as_the_routes_cannot_be_read():
    simulation = RoutesSimulation()
    simulation.scheduler.operator_store.faults.silent = True
    simulation.run(1.1)
    simulation.configure(9, DRAFTS, SCORES, ADDED)
    simulation.submit(simulation.front, STEP, route="receipts")
    simulation.run(15.0)
    assert simulation.results(simulation.front) == []
    assert simulation.scheduler.operator_store.calls.feeds < 50
    simulation.scheduler.operator_store.faults.silent = False
    simulation.run(60 * 0.04 + 3.0)
    check_complete(simulation, simulation.front, STEP)


@pytest.mark.parametrize("is_silent", [False, True])
def test_items_whose_route_was_removed_are_given_up_soon_also_if_it_was_never_known(is_silent):
    # Waiting for a route that never comes would hold the step until its give-up time.
    simulation = RoutesSimulation()
    if is_silent:
        simulation.let_feed_go_silent()
    simulation.submit(simulation.front, STEP, route="receipts")
    simulation.run(0.4)
    results = simulation.results(simulation.front)
    assert len(results) == 16 and not any(each.completed for each in results)


def test_items_whose_route_is_removed_while_they_wait_are_given_up_soon():
    simulation = RoutesSimulation(engines=1, slots=1)
    simulation.submit(simulation.front, STEP)
    simulation.run(2.0)
    simulation.configure(9, SCORES)
    simulation.run(0.3)
    given_up = [each for each in simulation.results(simulation.front) if not each.completed]
    assert len(given_up) >= 13


def test_a_successor_reads_the_routes_before_it_gives_items_up():
    # Its own routes were read before it became the scheduler, and it has seen no submission yet.
    simulation = RoutesSimulation()
    simulation.follow(simulation.front)
    simulation.run(1.2)
    simulation.front.operator_store.waiting_calls_are_silent = True
    simulation.run(1.1)
    simulation.configure(9, DRAFTS, SCORES, ADDED)
    simulation.submit(simulation.scheduler, STEP, route="receipts")
    simulation.run(0.3)
    simulation.scheduler.kill()
    simulation.run(8.0)
    assert simulation.active() == [simulation.front]
    check_complete(simulation, simulation.front, STEP)


def test_an_item_is_not_given_up_by_a_limit_of_attempts_that_was_raised_before_it_was_accepted():
    # The older routes allow one attempt; the item was given up after a single answer of 500.
    simulation = RoutesSimulation(replace(DRAFTS, max_attempts=1), SCORES)
    simulation.let_feed_go_silent()
    simulation.configure(9, DRAFTS, SCORES)
    simulation.run_statuses = [500, 500]
    simulation.submit(simulation.front, [[20]])
    simulation.run(4.0)
    check_complete(simulation, simulation.front, [[20]])
    assert len(simulation.starts("0-0")) == 3


def test_an_item_that_used_up_its_attempts_starts_no_more_and_is_given_up_by_current_routes():
    simulation = RoutesSimulation(replace(DRAFTS, max_attempts=2), SCORES)
    simulation.scheduler.operator_store.faults.silent = True
    simulation.run(1.1)
    simulation.run_statuses = [500] * 9
    simulation.submit(simulation.front, [[20]])
    simulation.run(10.0)
    assert simulation.results(simulation.front) == [] and len(simulation.starts("0-0")) == 2
    simulation.scheduler.operator_store.faults.silent = False
    simulation.run(2.5)
    (result,) = simulation.results(simulation.front)
    assert not result.completed and len(simulation.starts("0-0")) == 2


def test_items_are_not_given_up_by_a_give_up_time_that_was_raised_before_they_were_accepted():
    simulation = RoutesSimulation(replace(DRAFTS, give_up_seconds=0.5), SCORES)
    simulation.scheduler.operator_store.faults.silent = True
    simulation.run(1.1)
    simulation.configure(9, DRAFTS, SCORES)
    simulation.submit(simulation.front, STEP)
    simulation.run(3.0)
    assert all(each.completed for each in simulation.results(simulation.front))
    simulation.scheduler.operator_store.faults.silent = False
    simulation.run(6.0)
    check_complete(simulation, simulation.front, STEP)


def test_an_output_is_not_given_up_by_a_limit_of_reward_calls_that_was_raised_before():
    simulation = RoutesSimulation(replace(DRAFTS, max_attempts=1), replace(SCORES, max_attempts=1))
    simulation.let_feed_go_silent()
    simulation.configure(9, DRAFTS, SCORES)
    simulation.score_statuses = [500, 500]
    simulation.submit(simulation.front, [[2]])
    simulation.run(3.0)
    check_complete(simulation, simulation.front, [[2]])
    assert len(simulation.score_calls) == 3


def test_an_output_without_a_score_is_given_up_by_current_routes_after_no_further_call():
    simulation = RoutesSimulation(replace(DRAFTS, max_attempts=1), replace(SCORES, max_attempts=1))
    simulation.scheduler.operator_store.faults.silent = True
    simulation.run(1.1)
    simulation.score_statuses = [500] * 9
    simulation.submit(simulation.front, [[2]])
    simulation.run(10.0)
    assert simulation.results(simulation.front) == [] and len(simulation.score_calls) == 1
    simulation.scheduler.operator_store.faults.silent = False
    simulation.run(2.5)
    (result,) = simulation.results(simulation.front)
    assert not result.completed and len(simulation.score_calls) == 1


def test_items_wait_for_weights_whose_announcement_is_late():
    # The announcement is a row of the operators' table too, and its feed may be behind as well.
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[1], STEP, min_version=2)
    simulation.run(5.0)
    assert simulation.results(simulation.processes[1]) == []
    simulation.announced["m0"] = 2
    simulation.run(8.0)
    for result in check_complete(simulation, simulation.processes[1], STEP):
        assert result.versions == (2,)


def test_items_wait_for_engines_whose_registrations_are_late():
    simulation = SchedulerSimulation(processes=1)
    (process,) = simulation.processes
    for name in simulation.engines:
        process.directory.remove(name)
    simulation.submit(process, STEP)
    simulation.run(5.0)
    assert simulation.results(process) == []
    for engine in simulation.engines.values():
        process.directory.update(engine.endpoint)
    simulation.run(60 * 0.04 + 1.0)
    check_complete(simulation, process, STEP)


class Times:
    """The times that a decision compares, and the reads of newer routes that it asks for."""

    def __init__(self):
        self.now, self.complete_as_of, self.reads = 10.0, 9.0, 0
        self.freshness = RouteFreshness(
            lambda: self.now, lambda: ROUTES, lambda: self.complete_as_of, self.read
        )

    def read(self):
        self.reads += 1


def test_routes_cover_a_submission_once_a_read_was_sent_after_it_became_known():
    times = Times()
    times.freshness.record_submission("s")
    times.now = 10.5
    assert not times.freshness.covers("s") and times.reads == 1
    times.complete_as_of = 10.0
    assert times.freshness.covers("s") and times.reads == 1
    times.freshness.forget("s")
    assert not times.freshness.covers("s") and times.reads == 2


def test_routes_never_cover_a_submission_that_is_not_known():
    times = Times()
    assert not times.freshness.covers("s") and times.reads == 1
    times.complete_as_of = times.now = 11.0
    assert times.freshness.covers("s")
    assert times.freshness.log_fields == {"routes_version": ROUTES.version, "routes_age": 0.0}
