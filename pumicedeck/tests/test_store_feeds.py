"""Tests of store feeds: a first row, an idle feed, dropped history, a store outage."""

import pytest

from pumicedeck.clocks import VirtualTime
from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import StoreFeed
from pumicedeck.tasks import Promise


class FeedSimulation:
    def __init__(self, initial_partitions=()):
        self.timers = VirtualTime()
        self.data = PartitionedData()
        self.store = StandinPartitionedStore(self.timers, self.data)
        for name in initial_partitions:
            self.put(name)
        self.received = {}
        self.feed = StoreFeed(self.timers, self.store, StoreClock(self.timers), "t", self.on_rows)
        self.feed.start()

    def on_rows(self, rows, is_whole_table):
        if is_whole_table:
            self.received.clear()
        for row in rows:
            self.received[row.row.partition_key] = row.value

    def put(self, name, value=b"1"):
        self.data.commit(Change((), (Put(RowKey("t", name, "k"), value),)))

    def run(self, seconds):
        self.timers.run_until(self.timers.now() + seconds)


def test_the_first_row_of_an_empty_store_is_received():
    simulation = FeedSimulation()
    simulation.run(1.0)
    assert simulation.feed.is_loaded and simulation.received == {}
    simulation.put("a")
    simulation.run(0.2)
    assert simulation.received == {"a": b"1"}


def test_an_idle_feed_makes_few_calls():
    simulation = FeedSimulation()
    simulation.run(10.0)
    assert simulation.store.calls.feeds + simulation.store.calls.reads <= 25


def test_rows_of_many_partitions_are_read_and_followed():
    simulation = FeedSimulation(initial_partitions=[f"p{number}" for number in range(30)])
    simulation.run(1.0)
    simulation.put("p3", b"2")
    simulation.run(0.2)
    assert len(simulation.received) == 30 and simulation.received["p3"] == b"2"


@pytest.mark.parametrize("changes", [1, 3])
def test_dropped_history_is_replaced_by_a_full_read(changes):
    simulation = FeedSimulation(initial_partitions=["a"])
    simulation.run(1.0)
    simulation.store.faults.feed_stalled = True
    for number in range(changes):
        simulation.put(f"n{number}")
    simulation.run(0.6)
    simulation.data.drop_history()
    simulation.store.faults.feed_stalled = False
    simulation.run(1.0)
    assert set(simulation.received) == {"a", *(f"n{number}" for number in range(changes))}
    assert simulation.store.calls.reads < 30


def test_a_feed_resumes_soon_after_a_store_outage():
    simulation = FeedSimulation(initial_partitions=["a"])
    simulation.run(0.5)
    simulation.store.faults.down = True
    simulation.run(5.0)
    simulation.put("b")
    simulation.store.faults.down = False
    simulation.run(0.5)
    assert set(simulation.received) == {"a", "b"}
    assert simulation.timers.now() - simulation.feed.last_contact_at < 1.0


def test_an_answer_that_arrives_late_confirms_no_later_time_than_its_call_can_have_waited():
    # A frozen process reads an answer late; what it says may have changed since.
    simulation = FeedSimulation(initial_partitions=["a"])
    simulation.run(2.0)
    assert simulation.timers.now() - simulation.feed.confirmed_at < 0.6
    simulation.store.faults.delay = 6.0
    simulation.run(8.0)
    assert simulation.feed.last_contact_at > 1.4
    assert simulation.timers.now() - simulation.feed.confirmed_at > 6.0


def test_a_full_read_confirms_the_time_at_which_it_began():
    simulation = FeedSimulation(initial_partitions=["a"])
    simulation.store.faults.delay = 0.3
    simulation.run(0.7)
    assert simulation.feed.is_loaded and simulation.feed.confirmed_at == 0.0


def test_a_part_of_the_changes_does_not_count_as_all_of_them():
    """After an outage the changes came in several answers; the first one counted as the newest."""
    simulation = FeedSimulation(initial_partitions=["a"])
    simulation.run(1.0)
    simulation.store.faults.down = True
    simulation.run(3.0)
    for number in range(20):
        simulation.put(f"n{number}")
    simulation.store.faults.max_feed_rows = 3
    simulation.store.faults.down = False
    steps = 0
    while len(simulation.received) < 21:
        assert simulation.feed.complete_as_of < 2.0
        steps += simulation.feed.last_contact_at > 3.9
        simulation.run(0.001)
    assert steps > 10
    simulation.run(0.1)
    assert simulation.feed.complete_as_of > 3.9


class FailingOnOneRow(FeedSimulation):
    def on_rows(self, rows, is_whole_table):
        super().on_rows(rows, is_whole_table)
        if any(row.value == b"bad" for row in rows):
            raise OverflowError


def test_a_row_that_the_reader_fails_on_neither_ends_the_feed_nor_hides_other_rows():
    # One row that could not be decoded ended the feed at all gateways, at the next start too.
    simulation = FailingOnOneRow(initial_partitions=["a", "b"])
    simulation.put("bad", b"bad")
    simulation.run(1.0)
    assert simulation.feed.is_loaded and set(simulation.received) == {"a", "b"}
    simulation.put("bad", b"bad")
    simulation.put("c")
    simulation.run(1.0)
    assert simulation.received["c"] == b"1" and simulation.feed.skipped == 2


class HeldStore(StandinPartitionedStore):
    """Holds the answers of feed calls that wait for a change until `release`."""

    held = ()

    def read_changes(self, table, after, wait):
        promise = super().read_changes(table, after, wait)
        if not wait:
            return promise
        held = Promise()
        promise.then(lambda outcome: self._hold(held, outcome))
        return held

    def _hold(self, held, outcome):
        self.held = (*self.held, lambda: held.resolve(outcome))

    def release(self):
        held, self.held = self.held, ()
        for answer in held:
            answer()


class HeldSimulation(FeedSimulation):
    """A feed that has read its table and gets no further answer to its waiting calls."""

    def __init__(self):
        super().__init__(initial_partitions=["a"])
        self.feed.close()
        self.store = HeldStore(self.timers, self.data)
        self.feed = StoreFeed(self.timers, self.store, StoreClock(self.timers), "t", self.on_rows)
        self.feed.start()
        self.run(1.0)


def test_changes_are_read_beside_a_waiting_call_that_gets_no_answer():
    simulation = HeldSimulation()
    simulation.put("b")
    simulation.run(1.0)
    assert set(simulation.received) == {"a"}
    for _ in range(3):
        simulation.feed.read_soon()
    simulation.run(0.1)
    assert set(simulation.received) == {"a", "b"}
    assert simulation.feed.complete_as_of == simulation.timers.now() - 0.1
    assert simulation.store.calls.feeds == 2


def test_an_answer_that_arrives_after_a_later_read_does_not_bring_older_rows_back():
    simulation = HeldSimulation()
    simulation.put("b", b"1")
    simulation.run(0.5)
    simulation.put("b", b"2")
    simulation.feed.read_soon()
    simulation.run(0.1)
    read_at = simulation.feed.complete_as_of
    simulation.store.release()
    assert simulation.received["b"] == b"2"
    assert simulation.feed.complete_as_of == simulation.feed.last_contact_at == read_at
