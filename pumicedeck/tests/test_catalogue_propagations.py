"""Tests of catalogue propagation: polls, fetches, relays, restarts and outages."""

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from pumicedeck.catalogue_entries import Catalogue, Pool
from pumicedeck.catalogue_propagations import CataloguePropagation
from pumicedeck.catalogue_rows import CatalogueChange, RowChange, row_name_of
from pumicedeck.catalogue_stores import ChangesRead
from pumicedeck.propagation_actions import (
    AnnounceRevision,
    InstallCatalogue,
    LoadCatalogue,
    ReadChanges,
    ReadHead,
    ReportReady,
    RequestCopy,
    SendCopy,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import EndpointKind

STORE_DOWN = Err(Failure(ResultCode.STORE_UNAVAILABLE))
CHANGES_NOT_KEPT = Err(Failure(ResultCode.NOT_FOUND))


def _pool(revision: int) -> Pool:
    return Pool(f"p{revision:03d}", EndpointKind.SERVICE)


def _catalogue(revision: int) -> Catalogue:
    return Catalogue(revision, (), tuple(_pool(each) for each in range(1, revision + 1)))


def _changes(since: int, head: int) -> ChangesRead:
    changes = []
    for revision in range(since + 1, head + 1):
        pool = _pool(revision)
        row = RowChange(row_name_of(pool), None, pool)
        changes.append(CatalogueChange(revision, f"c{revision}", "ana", "", (row,)))
    return ChangesRead(head, tuple(changes))


class ProcessHarness:
    """Performs the actions of one process's propagation.

    Store calls are answered from the revision `head`; if it is None, they fail.
    """

    def __init__(self, head: int | None, seed: int = 1) -> None:
        self.propagation = CataloguePropagation(Random(seed))
        self.head = head
        self.now = 0.0
        self.log: list = []
        self.oldest_kept_change = 0
        self.apply(self.propagation.start)

    def apply(self, event: Callable, *arguments: object) -> None:
        actions = event(self.now, *arguments)
        self.log += actions
        for action in actions:
            self._answer(action)
        wakeup_at = self.propagation.next_wakeup()
        assert wakeup_at is None or wakeup_at > self.now

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while (wakeup_at := self.propagation.next_wakeup()) is not None and wakeup_at <= end:
            self.now = wakeup_at
            self.apply(self.propagation.on_timer)
        self.now = end

    def actions_of(self, kind: type) -> list:
        return [action for action in self.log if isinstance(action, kind)]

    def _answer(self, action: object) -> None:
        if isinstance(action, ReadHead | ReadChanges | LoadCatalogue):
            self.now += 0.01
        match action:
            case ReadHead(call):
                read = STORE_DOWN if self.head is None else Ok(self.head)
                self.apply(self.propagation.head_read, call, read)
            case ReadChanges(call, since, _):
                read = STORE_DOWN if self.head is None else Ok(_changes(since, self.head))
                read = CHANGES_NOT_KEPT if self.head and since < self.oldest_kept_change else read
                self.apply(self.propagation.changes_read, call, read)
            case LoadCatalogue(call):
                read = STORE_DOWN if self.head is None else Ok(_catalogue(self.head))
                self.apply(self.propagation.catalogue_loaded, call, read)


def test_a_process_starts_from_the_store_and_follows_by_polls() -> None:
    process = ProcessHarness(head=3)
    process.run(5.0)
    assert process.propagation.ready
    assert process.propagation.catalogue == _catalogue(3)
    process.head = 5
    process.run(12.0)
    assert process.propagation.catalogue == _catalogue(5)
    assert len(process.actions_of(LoadCatalogue)) == 1
    assert process.actions_of(AnnounceRevision) == [AnnounceRevision(3), AnnounceRevision(5)]


def test_a_revision_heard_from_a_peer_is_fetched_from_the_store_with_jitter() -> None:
    waits = set()
    for seed in range(5):
        process = ProcessHarness(head=1, seed=seed)
        process.run(5.0)
        process.head = 2
        announced_at = process.now
        process.apply(process.propagation.revision_announced, "a", 2)
        assert process.propagation.revision == 1
        wakeup_at = process.propagation.next_wakeup()
        waits.add(wakeup_at - announced_at)
        process.run(2.1)
        assert process.propagation.revision == 2
        assert process.actions_of(RequestCopy) == []
    assert len(waits) == 5
    assert max(waits) <= 2.0


def test_with_the_store_down_the_peer_that_named_a_revision_is_asked() -> None:
    process = ProcessHarness(head=1)
    process.run(5.0)
    process.head = None
    process.apply(process.propagation.peer_connected, "b")
    process.apply(process.propagation.revision_announced, "a", 2)
    process.run(2.1)
    assert process.actions_of(RequestCopy) == [RequestCopy("a", 2)]
    process.apply(process.propagation.copy_received, "a", Ok(_catalogue(2)))
    assert process.propagation.revision == 2


def test_a_silent_store_is_hedged_by_a_peer_and_a_silent_peer_by_another() -> None:
    process = ProcessHarness(head=1)
    process.run(5.0)
    process._answer = lambda action: None
    process.apply(process.propagation.revision_announced, "a", 2)
    process.apply(process.propagation.revision_announced, "b", 2)
    process.run(5.2)
    assert {ask.peer for ask in process.actions_of(RequestCopy)} == {"a", "b"}


def test_changes_that_are_no_longer_kept_lead_to_a_whole_load() -> None:
    process = ProcessHarness(head=1)
    process.run(5.0)
    process.head, process.oldest_kept_change = 9, 5
    process.run(15.0)
    assert process.propagation.catalogue == _catalogue(9)
    assert len(process.actions_of(LoadCatalogue)) == 2


def test_a_start_without_the_store_takes_the_newest_of_several_peers() -> None:
    process = ProcessHarness(head=None)
    for peer in "abc":
        process.apply(process.propagation.peer_connected, peer)
    process.run(4.1)
    for peer, revision in (("a", 4), ("b", 6), ("c", 5)):
        assert not process.propagation.ready
        process.apply(process.propagation.copy_received, peer, Ok(_catalogue(revision)))
    assert process.propagation.ready
    assert process.propagation.revision == 6
    assert process.actions_of(InstallCatalogue) == [
        InstallCatalogue(_catalogue(4)),
        InstallCatalogue(_catalogue(6)),
    ]
    process.head = 7
    process.run(30.0)
    assert process.propagation.revision == 7


def test_a_start_with_one_peer_waits_and_then_serves() -> None:
    process = ProcessHarness(head=None)
    process.apply(process.propagation.peer_connected, "a")
    process.run(4.1)
    process.apply(process.propagation.copy_received, "a", Ok(_catalogue(4)))
    process.run(5.9)
    assert process.actions_of(ReportReady) == []
    process.run(0.2)
    assert process.actions_of(ReportReady) == [ReportReady()]


def test_a_copy_is_sent_only_if_it_is_new_enough_and_within_a_rate() -> None:
    process = ProcessHarness(head=3)
    process.run(5.0)
    for _ in range(200):
        process.apply(process.propagation.copy_requested, "a", 3)
    process.apply(process.propagation.copy_requested, "a", 4)
    assert process.actions_of(SendCopy) == [SendCopy("a", _catalogue(3))] * 30


@pytest.mark.parametrize("seconds", [60.0, 3600.0])
def test_an_outage_costs_few_calls_and_ends_within_the_target(seconds: float) -> None:
    process = ProcessHarness(head=1)
    process.run(5.0)
    process.head = None
    before = len(process.actions_of(ReadHead))
    process.run(seconds)
    assert len(process.actions_of(ReadHead)) - before <= seconds / 4.0
    process.head = 80
    process.run(16.0)
    assert process.propagation.revision == 80


def test_a_peer_that_names_what_nobody_has_causes_no_loop() -> None:
    process = ProcessHarness(head=1)
    process.run(5.0)
    process.apply(process.propagation.revision_announced, "a", 9)
    for _ in range(50):
        process.apply(process.propagation.copy_received, "a", Ok(_catalogue(1)))
        process.run(1.0)
    assert process.propagation.revision == 1
    assert len(process.actions_of(ReadChanges)) + len(process.actions_of(RequestCopy)) <= 25


EVENTS = st.tuples(st.integers(0, 5), st.sampled_from("abc"), st.integers(0, 8))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(EVENTS, max_size=40), st.integers(0, 9))
def test_no_order_of_events_reverts_or_stalls(events: list, seed: int) -> None:
    process = ProcessHarness(head=1, seed=seed)
    newest = 1
    for kind, peer, number in events:
        newest = max(newest, number)
        match kind:
            case 0:
                process.apply(process.propagation.peer_connected, peer)
            case 1:
                process.apply(process.propagation.peer_disconnected, peer)
            case 2:
                process.apply(process.propagation.revision_announced, peer, number)
            case 3:
                process.apply(process.propagation.copy_received, peer, Ok(_catalogue(number)))
            case 4:
                process.head = None if number == 0 else max(newest, number)
            case 5:
                process.run(number)
    installed = [action.catalogue.revision for action in process.actions_of(InstallCatalogue)]
    assert installed == sorted(set(installed))
    process.head = newest
    process.run(16.0)
    assert process.propagation.revision == newest
    assert process.propagation.ready
