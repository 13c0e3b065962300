"""Contract tests of the table service: the stand-in in process and its HTTP adapter."""

import pytest

import pumicedeck.http_tables  # noqa: F401
from pumicedeck.clocks import VirtualTime
from pumicedeck.faults import Fault, FaultRate
from pumicedeck.platform_interfaces import Condition, StoreKey, Transaction, Write
from pumicedeck.results import Execution, ResultCode
from pumicedeck.standin_tables import StandinTableStore, StoreLimits
from pumicedeck.tests.platform_fixtures import KINDS, PlatformFixture, failure_code

UNAVAILABLE = ResultCode.STORE_UNAVAILABLE
UNKNOWN = ResultCode.STORE_OUTCOME_UNKNOWN


@pytest.fixture(params=KINDS)
def platform(request):
    created = PlatformFixture(request.param, "TableStore")
    yield created
    created.close()


def put(key, value, revision=0, table="t"):
    return Transaction((Condition(table, key, revision),), (Write(table, key, value),))


def read(platform, *keys):
    return platform.call_subject("read", tuple(StoreKey("t", key) for key in keys)).unwrap()


def test_rows_have_growing_revisions_and_any_bytes(platform):
    value = bytes(range(256))
    first = platform.call_subject("commit", put("a", value)).unwrap().revisions[0]
    second = platform.call_subject("commit", put("a", b"", first)).unwrap().revisions[0]
    assert 0 < first < second
    rows = read(platform, "a", "b")
    assert [(row.value, row.revision) for row in rows] == [(b"", second), (b"", 0)]


def test_failed_condition_writes_nothing(platform):
    platform.call_subject("commit", put("a", b"1"))
    transaction = Transaction(
        (Condition("t", "b", 0), Condition("t", "a", 0)),
        (Write("t", "b", b"2"), Write("t", "a", b"2")),
    )
    failure = platform.call_subject("commit", transaction).unwrap_err()
    assert failure.code is ResultCode.STORE_CONFLICT
    assert failure.execution is Execution.NOT_RUN
    assert [row.value for row in read(platform, "a", "b")] == [b"1", b""]


def test_deleted_row_is_absent_and_does_not_get_an_old_revision_again(platform):
    first = platform.call_subject("commit", put("a", b"1")).unwrap().revisions[0]
    platform.call_subject("commit", Transaction((), (Write("t", "a", None),)))
    assert read(platform, "a")[0].revision == 0
    assert platform.call_subject("commit", put("a", b"2")).unwrap().revisions[0] > first


def test_scan_is_ordered_bounded_and_keeps_to_its_prefix(platform):
    writes = tuple(Write("t", key, b"") for key in ("p/2", "q/1", "p/1", "p/3", "o/9"))
    platform.call_subject("commit", Transaction((), writes))
    rows = platform.call_subject("scan", "t", "p/", 2).unwrap()
    assert [row.key for row in rows] == ["p/1", "p/2"]
    assert platform.call_subject("scan", "none", "", 9).unwrap() == ()


# fault, failure code of a commit in process and over HTTP (None: success, "silent": no answer),
# whether the row was written
COMMIT_FAULTS = [
    (None, None, None, True),
    ("slow", None, None, True),
    ("down", UNAVAILABLE, UNAVAILABLE, False),
    ("crashed", UNAVAILABLE, UNAVAILABLE, False),
    ("lose_reply", UNKNOWN, UNKNOWN, True),
    ("silent", "silent", UNKNOWN, True),
    (Fault.DOWN, UNAVAILABLE, UNAVAILABLE, False),
    (Fault.LOSE_REPLY, UNKNOWN, UNKNOWN, True),
    (Fault.LOSE_REQUEST, UNKNOWN, UNKNOWN, False),
    (Fault.SILENT, "silent", UNKNOWN, True),
    (Fault.CRASH, UNKNOWN, UNKNOWN, True),
]


@pytest.mark.parametrize("fault, in_process, over_http, written", COMMIT_FAULTS)
def test_commit_under_faults(platform, fault, in_process, over_http, written):
    read(platform, "warm")
    platform.set_fault(fault)
    outcome = platform.call_subject("commit", put("a", b"1"))
    assert failure_code(outcome) == (over_http if platform.over_http else in_process)
    if failure_code(outcome) is UNAVAILABLE:
        assert outcome.unwrap_err().execution is Execution.NOT_RUN
    platform.clear_faults()
    assert (read(platform, "a")[0].revision > 0) == written
    assert len(platform.standin.data.scan("t", "", 9)) == int(written)


@pytest.mark.parametrize("fault", ["down", "lose_reply", Fault.LOSE_REQUEST, Fault.CRASH])
def test_read_under_faults_is_unavailable(platform, fault):
    read(platform, "warm")
    platform.set_fault(fault)
    assert failure_code(platform.call_subject("read", (StoreKey("t", "a"),))) is UNAVAILABLE
    platform.clear_faults()
    assert read(platform, "a")[0].revision == 0


def test_open_call_goes_silent_while_new_ones_work(platform):
    platform.standin.faults.delay = 1.0
    outcomes = []
    platform.subject.commit(put("a", b"1"), outcomes.append)
    platform.loop.settle()
    platform.standin.faults.silence_open()
    platform.standin.faults.delay = 0.0
    assert read(platform, "b")[0].revision == 0
    assert platform.loop.holds_within(30.0, lambda: outcomes) == platform.over_http
    assert [failure_code(outcome) for outcome in outcomes] == (
        [UNKNOWN] if platform.over_http else []
    )
    assert read(platform, "a")[0].value == b"1"


def test_random_faults_repeat_with_their_seed():
    def run():
        timers = VirtualTime()
        store = StandinTableStore(timers)
        store.faults.set_rates(FaultRate(Fault.LOSE_REPLY, 0.3, "commit"))
        outcomes = []
        for number in range(50):
            store.commit(put(str(number), b""), outcomes.append)
        timers.run_until(1.0)
        return [outcome.is_ok() for outcome in outcomes]

    first = run()
    assert first == run()
    assert 0 < first.count(False) < 50


def test_usage_and_limits_show_the_budget():
    timers = VirtualTime()
    store = StandinTableStore(timers, limits=StoreLimits(transactions_per_second=10.0))
    outcomes = []
    for number in range(40):
        store.commit(put(str(number), b""), outcomes.append)
    timers.run_until(2.05)
    assert len(outcomes) == 21
    timers.run_until(10.0)
    assert (store.usage.transactions, store.usage.peak_transactions) == (40, 10)
