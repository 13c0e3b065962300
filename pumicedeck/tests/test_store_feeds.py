"""Feeds of the store's tables: the first row, dropped history, a feed that hears nothing."""

import pytest

from pumicedeck.clocks import VirtualTime
from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import StoreFeed


class FeedWorld:
    def __init__(self, before=()):
        self.timers = VirtualTime()
        self.data = PartitionedData()
        self.store = StandinPartitionedStore(self.timers, self.data)
        for name in before:
            self.put(name)
        self.seen = {}
        self.feed = StoreFeed(self.timers, self.store, StoreClock(self.timers), "t", self.take)
        self.feed.start()

    def take(self, rows, full):
        if full:
            self.seen.clear()
        for row in rows:
            self.seen[row.row.partition_key] = row.value

    def put(self, name, value=b"1"):
        self.data.commit(Change((), (Put(RowKey("t", name, "k"), value),)))

    def run(self, seconds):
        self.timers.run_until(self.timers.now() + seconds)


def test_the_first_row_of_an_empty_store_is_seen():
    world = FeedWorld()
    world.run(1.0)
    assert world.feed.is_loaded and world.seen == {}
    world.put("a")
    world.run(0.2)
    assert world.seen == {"a": b"1"}


def test_an_idle_feed_asks_seldom():
    world = FeedWorld()
    world.run(10.0)
    assert world.store.calls.feeds + world.store.calls.reads <= 25


def test_rows_of_many_parts_are_read_and_followed():
    world = FeedWorld(before=[f"p{number}" for number in range(30)])
    world.run(1.0)
    world.put("p3", b"2")
    world.run(0.2)
    assert len(world.seen) == 30 and world.seen["p3"] == b"2"


@pytest.mark.parametrize("changes", [1, 3])
def test_dropped_history_is_made_up_by_a_full_read(changes):
    world = FeedWorld(before=["a"])
    world.run(1.0)
    world.store.faults.feed_stalled = True
    for number in range(changes):
        world.put(f"n{number}")
    world.run(0.6)
    world.data.drop_history()
    world.store.faults.feed_stalled = False
    world.run(1.0)
    assert set(world.seen) == {"a", *(f"n{number}" for number in range(changes))}
    assert world.store.calls.reads < 30


def test_a_store_that_comes_back_is_heard_again_soon():
    world = FeedWorld(before=["a"])
    world.run(0.5)
    world.store.faults.down = True
    world.run(5.0)
    world.put("b")
    world.store.faults.down = False
    world.run(0.5)
    assert set(world.seen) == {"a", "b"}
    assert world.timers.now() - world.feed.last_contact_at < 1.0
