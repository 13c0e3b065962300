"""Contract tests of the partitioned store: the stand-in in process and the client over HTTP."""

import pytest
from result import Err

from pumicedeck.clocks import VirtualTime
from pumicedeck.http_clients import HttpClient
from pumicedeck.partitioned_stores import Change, Expectation, Put, RowKey
from pumicedeck.platform.standin_stores import PlatformStoreServer
from pumicedeck.platform.stores import HttpPartitionedStore
from pumicedeck.results import ResultCode
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.tasks import sleep
from pumicedeck.tests.loop_harnesses import LoopHarness

CALL_SECONDS = 5.0


class InProcessHarness:
    """The stand-in, called in process in virtual time."""

    def __init__(self):
        self.timers = VirtualTime()
        self.standin = StandinPartitionedStore(self.timers, PartitionedData())
        self.store = self.standin

    def wait_for(self, promise):
        self.timers.run_until(self.timers.now() + 60.0)
        return result_of(promise)

    def close(self):
        pass


class HttpHarness:
    """The HTTP client of the platform's store, connected to a server of the stand-in."""

    def __init__(self):
        self.loop = LoopHarness()
        self.timers = self.loop.timers
        self.standin = StandinPartitionedStore(
            self.timers, PartitionedData(), call_timeout_seconds=0.05
        )
        self.server = PlatformStoreServer(self.loop, self.timers, self.standin)
        self.client = HttpClient(self.timers).register(self.loop)
        self.store = HttpPartitionedStore(self.client, self.server.address, CALL_SECONDS)

    def wait_for(self, promise):
        self.loop.until(lambda: promise.is_done)
        assert not self.loop.errors
        return result_of(promise)

    def close(self):
        self.client.close()
        self.server.close()


def result_of(promise):
    results = []
    promise.then(results.append)
    assert results, "the call did not complete"
    return results[0]


@pytest.fixture(params=[InProcessHarness, HttpHarness])
def harness(request):
    created = request.param()
    yield created
    created.close()


def key(name, partition_key="p", table="t"):
    return RowKey(table, partition_key, name)


def put(name, value, revision=None, partition_key="p"):
    expected = () if revision is None else (Expectation(key(name, partition_key), revision),)
    return Change(expected, (Put(key(name, partition_key), value),))


def read(harness, partition_key="p", **arguments):
    return harness.wait_for(harness.store.read("t", partition_key, **arguments)).unwrap()


def test_a_row_keeps_any_bytes_and_its_revision(harness):
    value = bytes(range(256))
    revision = harness.wait_for(harness.store.commit(put("a", value, 0))).unwrap()
    page = read(harness)
    assert [(row.row, row.value, row.revision) for row in page.rows] == [
        (key("a"), value, revision)
    ]
    assert page.revision == revision and not page.truncated


def test_a_failed_expectation_changes_nothing(harness):
    harness.wait_for(harness.store.commit(put("a", b"1", 0)))
    change = Change((Expectation(key("a"), 0),), (Put(key("a"), b"2"), Put(key("b"), b"2")))
    failure = harness.wait_for(harness.store.commit(change)).unwrap_err()
    assert failure.code is ResultCode.STORE_CONFLICT
    assert [row.value for row in read(harness).rows] == [b"1"]


def test_rows_come_in_order_by_page(harness):
    for name in ("c", "a", "b"):
        harness.wait_for(harness.store.commit(put(name, name.encode())))
    page = read(harness, limit=2)
    assert [row.row.key for row in page.rows] == ["a", "b"] and page.truncated
    assert [row.row.key for row in read(harness, first="b\0").rows] == ["c"]


def test_partitions_are_listed_and_removed_rows_are_absent(harness):
    harness.wait_for(harness.store.commit(put("a", b"1", partition_key="x")))
    harness.wait_for(harness.store.commit(put("a", b"1", partition_key="y")))
    harness.wait_for(harness.store.commit(put("a", None, partition_key="x")))
    assert harness.wait_for(harness.store.partitions("t")).unwrap().partitions == ("y",)
    assert read(harness, partition_key="x").rows == ()


def test_changes_follow_a_revision_and_name_removed_rows(harness):
    first = harness.wait_for(harness.store.commit(put("a", b"1"))).unwrap()
    harness.wait_for(harness.store.commit(put("b", b"2")))
    harness.wait_for(harness.store.commit(put("a", None)))
    page = harness.wait_for(harness.store.read_changes("t", first, 0.1)).unwrap()
    assert [(row.row.key, row.value) for row in page.rows] == [("b", b"2"), ("a", None)]


def test_an_empty_feed_answers_after_its_wait(harness):
    revision = harness.wait_for(harness.store.commit(put("a", b"1"))).unwrap()
    page = harness.wait_for(harness.store.read_changes("t", revision, 0.05)).unwrap()
    assert page.rows == () and page.revision == revision


def test_a_feed_wakes_with_the_first_change(harness):
    revision = harness.wait_for(harness.store.commit(put("a", b"1"))).unwrap()
    feed = harness.store.read_changes("t", revision, 10.0)
    harness.wait_for(harness.store.commit(put("b", b"2")))
    assert [row.row.key for row in harness.wait_for(feed).unwrap().rows] == ["b"]


def test_dropped_history_is_reported(harness):
    revision = harness.wait_for(harness.store.commit(put("a", b"1"))).unwrap()
    harness.wait_for(harness.store.commit(put("a", b"2")))
    harness.standin.data.drop_history()
    failure = harness.wait_for(harness.store.read_changes("t", revision, 0.1)).unwrap_err()
    assert failure.code is ResultCode.HISTORY_GONE


def test_a_store_that_is_down_has_done_nothing(harness):
    harness.standin.faults.down = True
    for promise in (harness.store.commit(put("a", b"1")), harness.store.read("t", "p")):
        assert harness.wait_for(promise).unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    harness.standin.faults.down = False
    assert read(harness).rows == ()


def test_a_lost_reply_leaves_the_outcome_unknown(harness):
    harness.standin.faults.lost_replies = 1
    failure = harness.wait_for(harness.store.commit(put("a", b"1", 0))).unwrap_err()
    assert failure.code is ResultCode.STORE_OUTCOME_UNKNOWN
    assert [row.value for row in read(harness).rows] == [b"1"]


def test_a_late_commit_still_needs_its_expectation(harness):
    harness.standin.faults.late_commits = 1
    harness.standin.faults.late_commit_seconds = 0.2
    late = harness.store.commit(put("a", b"late", 0))
    assert isinstance(harness.wait_for(late), Err)
    harness.wait_for(harness.store.read_changes("t", 0, 1.0))
    assert [row.value for row in read(harness).rows] == [b"late"]
    harness.standin.faults.late_commits = 1
    late = harness.store.commit(put("a", b"later", 0))
    assert isinstance(harness.wait_for(late), Err)
    assert [row.value for row in read(harness).rows] == [b"late"]


def test_calls_beyond_the_rate_are_refused(harness):
    harness.standin.faults.writes_per_second = 1
    first, second = (harness.store.commit(put(name, b"1")) for name in "ab")
    outcomes = [harness.wait_for(first), harness.wait_for(second)]
    assert [isinstance(each, Err) for each in outcomes] == [False, True]
    assert outcomes[1].unwrap_err().code is ResultCode.STORE_UNAVAILABLE


def test_all_silent_connections_together_cost_one_time_out():
    """The client closes all idle connections to a server after a time-out on one of them."""
    harness = HttpHarness()
    opened = [harness.store.read("t", "p") for _ in range(6)]
    for promise in opened:
        harness.wait_for(promise)
    harness.server.silence_connections()
    started = harness.timers.now()
    assert isinstance(harness.wait_for(harness.store.read("t", "p")), Err)
    assert read(harness).rows == ()
    assert harness.timers.now() - started <= CALL_SECONDS + 0.1
    harness.close()


def test_calls_to_a_silent_server_end_once_it_answers_again():
    """After repeated time-outs the time-out has grown; the first success ends overdue calls.

    Overdue are calls that are older than the time-out without growth; younger calls and feed calls
    go on.
    """
    harness = HttpHarness()
    store = HttpPartitionedStore(harness.client, harness.server.address, 0.8, 2.5)
    harness.wait_for(store.read("t", "p"))
    harness.server.silence_connections(include_new=True)
    for _ in range(8):
        assert isinstance(harness.wait_for(store.read("t", "p")), Err)
    began = harness.timers.now()
    early, feed = store.read("t", "p"), store.read_changes("t", 0, 1.0)
    harness.wait_for(sleep(harness.timers, 1.0))
    late = store.read("t", "p")
    harness.wait_for(sleep(harness.timers, 0.05))
    harness.server.answer_new_connections()
    assert not early.is_done and not late.is_done
    harness.client.close_idle_connections(harness.server.address)
    assert harness.wait_for(store.read("t", "p")).unwrap().rows == ()
    assert isinstance(harness.wait_for(early), Err) and harness.timers.now() - began < 1.3
    assert not feed.is_done and not late.is_done
    harness.close()
