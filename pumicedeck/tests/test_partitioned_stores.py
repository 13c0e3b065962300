"""Contract of the partitioned store: in process, and through the platform's client over HTTP."""

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


class DirectBench:
    """The stand-in in virtual time."""

    def __init__(self):
        self.timers = VirtualTime()
        self.standin = StandinPartitionedStore(self.timers, PartitionedData())
        self.store = self.standin

    def ask(self, promise):
        self.timers.run_until(self.timers.now() + 60.0)
        return result_of(promise)

    def close(self):
        pass


class HttpBench:
    """The platform's client against the stand-in behind a socket."""

    def __init__(self):
        self.loop = LoopHarness()
        self.timers = self.loop.timers
        self.standin = StandinPartitionedStore(
            self.timers, PartitionedData(), call_timeout_seconds=0.05
        )
        self.server = PlatformStoreServer(self.loop, self.timers, self.standin)
        self.client = HttpClient(self.timers).register(self.loop)
        self.store = HttpPartitionedStore(self.client, self.server.address, CALL_SECONDS)

    def ask(self, promise):
        self.loop.until(lambda: promise.is_done)
        assert not self.loop.errors
        return result_of(promise)

    def close(self):
        self.client.close()
        self.server.close()


def result_of(promise):
    found = []
    promise.then(found.append)
    assert found, "the call was not answered"
    return found[0]


@pytest.fixture(params=[DirectBench, HttpBench])
def bench(request):
    made = request.param()
    yield made
    made.close()


def key(name, partition_key="p", table="t"):
    return RowKey(table, partition_key, name)


def put(name, value, revision=None, partition_key="p"):
    expected = () if revision is None else (Expectation(key(name, partition_key), revision),)
    return Change(expected, (Put(key(name, partition_key), value),))


def read(bench, partition_key="p", **arguments):
    return bench.ask(bench.store.read("t", partition_key, **arguments)).unwrap()


def test_a_row_keeps_any_bytes_and_its_revision(bench):
    value = bytes(range(256))
    revision = bench.ask(bench.store.commit(put("a", value, 0))).unwrap()
    page = read(bench)
    assert [(row.row, row.value, row.revision) for row in page.rows] == [
        (key("a"), value, revision)
    ]
    assert page.revision == revision and not page.truncated


def test_a_failed_expectation_changes_nothing(bench):
    bench.ask(bench.store.commit(put("a", b"1", 0)))
    change = Change((Expectation(key("a"), 0),), (Put(key("a"), b"2"), Put(key("b"), b"2")))
    failure = bench.ask(bench.store.commit(change)).unwrap_err()
    assert failure.code is ResultCode.STORE_CONFLICT
    assert [row.value for row in read(bench).rows] == [b"1"]


def test_rows_come_in_order_by_page(bench):
    for name in ("c", "a", "b"):
        bench.ask(bench.store.commit(put(name, name.encode())))
    page = read(bench, limit=2)
    assert [row.row.key for row in page.rows] == ["a", "b"] and page.truncated
    assert [row.row.key for row in read(bench, first="b\0").rows] == ["c"]


def test_parts_are_listed_and_removed_rows_are_gone(bench):
    bench.ask(bench.store.commit(put("a", b"1", partition_key="x")))
    bench.ask(bench.store.commit(put("a", b"1", partition_key="y")))
    bench.ask(bench.store.commit(put("a", None, partition_key="x")))
    assert bench.ask(bench.store.partitions("t")).unwrap().partitions == ("y",)
    assert read(bench, partition_key="x").rows == ()


def test_changes_follow_a_revision_and_name_removed_rows(bench):
    first = bench.ask(bench.store.commit(put("a", b"1"))).unwrap()
    bench.ask(bench.store.commit(put("b", b"2")))
    bench.ask(bench.store.commit(put("a", None)))
    page = bench.ask(bench.store.read_changes("t", first, 0.1)).unwrap()
    assert [(row.row.key, row.value) for row in page.rows] == [("b", b"2"), ("a", None)]


def test_an_empty_feed_answers_after_its_wait(bench):
    revision = bench.ask(bench.store.commit(put("a", b"1"))).unwrap()
    page = bench.ask(bench.store.read_changes("t", revision, 0.05)).unwrap()
    assert page.rows == () and page.revision == revision


def test_a_feed_wakes_with_the_first_change(bench):
    revision = bench.ask(bench.store.commit(put("a", b"1"))).unwrap()
    feed = bench.store.read_changes("t", revision, 10.0)
    bench.ask(bench.store.commit(put("b", b"2")))
    assert [row.row.key for row in bench.ask(feed).unwrap().rows] == ["b"]


def test_dropped_history_is_told(bench):
    revision = bench.ask(bench.store.commit(put("a", b"1"))).unwrap()
    bench.ask(bench.store.commit(put("a", b"2")))
    bench.standin.data.drop_history()
    failure = bench.ask(bench.store.read_changes("t", revision, 0.1)).unwrap_err()
    assert failure.code is ResultCode.HISTORY_GONE


def test_a_store_that_is_down_has_done_nothing(bench):
    bench.standin.faults.down = True
    for promise in (bench.store.commit(put("a", b"1")), bench.store.read("t", "p")):
        assert bench.ask(promise).unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    bench.standin.faults.down = False
    assert read(bench).rows == ()


def test_a_lost_reply_leaves_the_outcome_unknown(bench):
    bench.standin.faults.lost_replies = 1
    failure = bench.ask(bench.store.commit(put("a", b"1", 0))).unwrap_err()
    assert failure.code is ResultCode.STORE_OUTCOME_UNKNOWN
    assert [row.value for row in read(bench).rows] == [b"1"]


def test_a_late_commit_still_needs_its_expectation(bench):
    bench.standin.faults.late_commits = 1
    bench.standin.faults.late_commit_seconds = 0.2
    late = bench.store.commit(put("a", b"late", 0))
    assert isinstance(bench.ask(late), Err)
    bench.ask(bench.store.read_changes("t", 0, 1.0))
    assert [row.value for row in read(bench).rows] == [b"late"]
    bench.standin.faults.late_commits = 1
    late = bench.store.commit(put("a", b"later", 0))
    assert isinstance(bench.ask(late), Err)
    assert [row.value for row in read(bench).rows] == [b"late"]


def test_calls_beyond_the_rate_are_refused(bench):
    bench.standin.faults.writes_per_second = 1
    first, second = (bench.store.commit(put(name, b"1")) for name in "ab")
    outcomes = [bench.ask(first), bench.ask(second)]
    assert [isinstance(each, Err) for each in outcomes] == [False, True]
    assert outcomes[1].unwrap_err().code is ResultCode.STORE_UNAVAILABLE


def test_connections_that_went_silent_cost_one_time_out_together():
    bench = HttpBench()
    opened = [bench.store.read("t", "p") for _ in range(6)]
    for promise in opened:
        bench.ask(promise)
    bench.server.silence_connections()
    started = bench.timers.now()
    assert isinstance(bench.ask(bench.store.read("t", "p")), Err)
    assert read(bench).rows == ()
    assert bench.timers.now() - started <= CALL_SECONDS + 0.1
    bench.close()


def test_calls_sent_into_a_silence_end_with_its_end():
    bench = HttpBench()
    store = HttpPartitionedStore(bench.client, bench.server.address, 0.8, 2.5)
    bench.ask(store.read("t", "p"))
    bench.server.silence_connections(include_new=True)
    for _ in range(8):
        assert isinstance(bench.ask(store.read("t", "p")), Err)
    began = bench.timers.now()
    early, feed = store.read("t", "p"), store.read_changes("t", 0, 1.0)
    bench.ask(sleep(bench.timers, 1.0))
    late = store.read("t", "p")
    bench.ask(sleep(bench.timers, 0.05))
    bench.server.answer_new_connections()
    assert not early.is_done and not late.is_done
    bench.client.close_idle_connections(bench.server.address)
    assert bench.ask(store.read("t", "p")).unwrap().rows == ()
    assert isinstance(bench.ask(early), Err) and bench.timers.now() - began < 1.3
    assert not feed.is_done and not late.is_done
    bench.close()
