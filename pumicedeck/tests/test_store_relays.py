"""A process that alone has lost the store goes on through a peer that reaches it.

Guards against a scheduler whose lease expires and whose runs all start again elsewhere because its
own machine was cut off from the store, or turned away by it, for some seconds.
"""

import pytest
from result import Ok

from pumicedeck.gateway_compositions import RELAY_CLIENT_SETTINGS
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_listeners import HttpListener
from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.platform.standin_stores import PlatformStoreServer
from pumicedeck.platform.stores import HttpPartitionedStore
from pumicedeck.results import ResultCode
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_paths import DIRECT, StorePath
from pumicedeck.store_relays import RelayedStoreClient, StoreRelay
from pumicedeck.tests.loop_harnesses import LoopHarness
from pumicedeck.topology import Address

LOCAL = "127.0.0.1"
ANY_PORT = Address(LOCAL, 0)


class TwoProcesses:
    """A store, and two processes of which the first one's way to the store can be cut."""

    def __init__(self):
        self.loop = LoopHarness()
        timers = self.loop.timers
        self.standin = StandinPartitionedStore(timers, PartitionedData(), call_timeout_seconds=0.05)
        self.server = PlatformStoreServer(self.loop, timers, self.standin)
        self.calls = []
        self.is_cut = False
        self.refusal = 0
        # Stands for the first process's way to the store: passes calls on, or holds them forever.
        self.way = HttpListener(ANY_PORT, timers, self._pass_or_hold).register(self.loop)
        self.way.start()
        self.way_client = HttpClient(timers).register(self.loop)
        self.way_relay = StoreRelay(self.way_client, self.server.address, StorePath())
        self.peer_path = StorePath()
        self.peer_client = HttpClient(timers).register(self.loop)
        self.peer_relay = StoreRelay(self.peer_client, self.server.address, self.peer_path)
        self.relay = HttpListener(ANY_PORT, timers, self._count_relayed).register(self.loop)
        self.relay.start()
        self.path = StorePath()
        self.client = HttpClient(timers).register(self.loop)
        self.relay_client = HttpClient(timers, RELAY_CLIENT_SETTINGS).register(self.loop)
        self.peers = [self.relay.address]
        relayed = RelayedStoreClient(self.client, self.relay_client, self.path, lambda: self.peers)
        self.store = HttpPartitionedStore(relayed, self.way.address, 0.8, 2.5)
        self.relayed_calls = 0

    def commit(self, value):
        """Commit a row and return the outcome and the seconds that it took."""
        change = Change((), (Put(RowKey("t", "p", "k"), value),))
        return self.wait_for(self.store.commit(change))

    def read(self):
        outcome, seconds = self.wait_for(self.store.read("t", "p"))
        return outcome.unwrap().rows[0].value, seconds

    def wait_for(self, promise):
        started = self.loop.timers.now()
        found = []
        promise.then(found.append)
        self.loop.until(lambda: found)
        return found[0], self.loop.timers.now() - started

    def close(self):
        for part in (self.client, self.relay_client, self.way_client, self.peer_client):
            part.close()
        self.way.close()
        self.relay.close()
        self.server.close()
        assert not self.loop.errors

    def _pass_or_hold(self, call):
        if self.refusal:
            call.answer(self.refusal, (), b"")
        elif not self.is_cut:
            self.way_relay.handle(call)

    def _count_relayed(self, call):
        self.relayed_calls += 1
        self.peer_relay.handle(call)


@pytest.fixture
def two():
    created = TwoProcesses()
    yield created
    created.close()


def test_calls_go_directly_while_the_store_answers(two):
    assert isinstance(two.commit(b"1")[0], Ok)
    assert two.read()[0] == b"1" and two.relayed_calls == 0


def test_a_process_that_lost_the_store_goes_on_through_a_peer(two):
    two.commit(b"1")
    two.is_cut = True
    lost, seconds = two.commit(b"2")
    assert lost.unwrap_err().code is ResultCode.STORE_OUTCOME_UNKNOWN
    assert seconds == pytest.approx(0.25, abs=0.02)
    outcome, seconds = two.commit(b"3")
    assert isinstance(outcome, Ok) and seconds < 0.1
    assert two.read()[0] == b"3" and two.relayed_calls >= 2


def test_a_feed_that_waits_on_the_lost_path_is_ended_with_it(two):
    two.commit(b"1")
    two.is_cut = True
    found = []
    two.store.read_changes("t", 1, 1.0).then(found.append)
    two.loop.advance(0.3)
    two.commit(b"2")
    assert found[0].unwrap_err().code is ResultCode.STORE_UNAVAILABLE


def test_commits_through_a_peer_do_not_queue_behind_feeds_that_wait(two):
    """With two connections to the peer, commits took the second that a feed waits."""
    two.commit(b"1")
    two.is_cut = True
    two.commit(b"2")
    for table in ("a", "b", "c"):
        two.store.read_changes(table, 1, 1.0)
    outcome, seconds = two.commit(b"3")
    assert isinstance(outcome, Ok) and seconds < 0.1


def test_the_direct_path_is_used_again_after_the_cut(two):
    two.commit(b"1")
    two.is_cut = True
    two.commit(b"2")
    two.is_cut = False
    two.loop.advance(1.1)
    two.read()
    relayed = two.relayed_calls
    assert two.path.is_direct
    assert isinstance(two.commit(b"4")[0], Ok) and two.relayed_calls == relayed


def test_without_peers_every_call_waits_for_its_own_time_out(two):
    two.commit(b"1")
    two.peers = []
    two.is_cut = True
    found = []
    two.store.read_changes("t", 1, 1.0).then(found.append)
    two.loop.advance(0.5)
    outcome, seconds = two.commit(b"2")
    assert outcome.unwrap_err().code is ResultCode.STORE_OUTCOME_UNKNOWN
    assert seconds == pytest.approx(0.8, abs=0.02) and found == [] and two.path.is_direct


def test_a_peer_without_the_store_refuses_at_once_and_is_left_out(two):
    two.commit(b"1")
    two.is_cut = True
    two.peer_path.direct_failed(0.0)
    two.commit(b"2")
    outcome, seconds = two.commit(b"3")
    assert outcome.unwrap_err().code is ResultCode.STORE_UNAVAILABLE and seconds < 0.1
    outcome, seconds = two.commit(b"4")
    assert outcome.unwrap_err().code is ResultCode.STORE_OUTCOME_UNKNOWN


@pytest.mark.parametrize("status", [429, 503])
def test_a_store_that_turns_the_process_away_is_called_through_a_peer(two, status):
    two.commit(b"1")
    two.refusal = status
    assert two.commit(b"2")[0].unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    assert isinstance(two.commit(b"3")[0], Ok) and two.relayed_calls == 1
    two.loop.advance(1.1)
    two.read()
    assert not two.path.is_direct


def test_a_probe_of_the_lost_path_does_not_delay_the_call_that_it_copies(two):
    """A feed that was used as the probe saw new submissions a second late."""
    two.commit(b"1")
    two.is_cut = True
    two.commit(b"2")
    two.loop.advance(1.1)
    value, seconds = two.read()
    assert value == b"1" and seconds < 0.1 and not two.path.is_direct


def test_the_lost_path_is_probed_once_in_a_while():
    path = StorePath()
    assert not path.take_probe(10.0)
    path.direct_failed(10.0)
    assert [path.take_probe(at) for at in (10.5, 11.0, 11.5, 12.0)] == [False, True, False, True]


def test_a_peer_that_failed_is_replaced_by_the_next_one_for_a_while():
    path = StorePath()
    path.direct_failed(0.0)
    assert path.choose(0.1, ["a", "b"]) == "a"
    path.peer_failed(0.2, "a")
    assert path.choose(0.3, ["a", "b"]) == "b"
    path.peer_failed(0.4, "b")
    assert path.choose(0.5, ["a", "b"]) == DIRECT
    assert path.choose(1.3, ["a", "b"]) == "a"


def test_a_store_that_is_slow_for_all_is_given_more_time():
    path = StorePath()
    for _ in range(30):
        path.direct_answered(0.3)
    assert path.answer_limit_seconds > 0.8
