"""Contract tests of the weight store, in process and over HTTP."""

import pytest

import pumicedeck.http_weights  # noqa: F401
from pumicedeck.clocks import VirtualTime
from pumicedeck.faults import Fault
from pumicedeck.platform_interfaces import WeightVersion
from pumicedeck.results import ResultCode
from pumicedeck.standin_weights import StandinWeightStore
from pumicedeck.tests.platform_fixtures import KINDS, PlatformFixture, failure_code

UNAVAILABLE = ResultCode.STORE_UNAVAILABLE
UNKNOWN = ResultCode.STORE_OUTCOME_UNKNOWN
SIZE = 1000


@pytest.fixture(params=KINDS)
def platform(request):
    made = PlatformFixture(request.param, "WeightStore")
    yield made
    made.close()


def weights(version, model="m"):
    return WeightVersion(model, version, SIZE)


def test_versions_only_grow_and_publishing_again_is_harmless(platform):
    assert platform.call_subject("newest", "m").unwrap_err().code is ResultCode.NOT_FOUND
    for version in (1, 3, 3):
        platform.call_subject("publish", weights(version)).unwrap()
    assert platform.call_subject("publish", weights(2)).unwrap_err().code is ResultCode.BAD_REQUEST
    assert platform.call_subject("newest", "m").unwrap() == weights(3)
    assert platform.call_subject("newest", "other").is_err()


# fault, code of a publish in process, its code over HTTP, whether the version was published
FAULTS = [
    ("slow", None, None, True),
    ("down", UNAVAILABLE, UNAVAILABLE, False),
    ("lose_reply", UNKNOWN, UNKNOWN, True),
    ("silent", "silent", UNKNOWN, True),
    (Fault.LOSE_REQUEST, UNKNOWN, UNKNOWN, False),
    (Fault.CRASH, UNKNOWN, UNKNOWN, True),
]


@pytest.mark.parametrize("fault, in_process, over_http, published", FAULTS)
def test_publish_under_faults(platform, fault, in_process, over_http, published):
    platform.set_fault(fault)
    outcome = platform.call_subject("publish", weights(1))
    assert failure_code(outcome) == (over_http if platform.over_http else in_process)
    platform.clear_faults()
    assert failure_code(platform.call_subject("newest", "m")) is (
        None if published else ResultCode.NOT_FOUND
    )


def fetch_all(times, rate=100.0):
    """Start a fetch at each of the times; return the time at which each one ended."""
    timers = VirtualTime()
    store = StandinWeightStore(timers, bytes_per_second=rate)
    store.publish(weights(1), lambda outcome: None)
    timers.run_until(0.0)
    ends = {}
    for number, moment in enumerate(times):
        timers.call_at(
            moment,
            lambda n=number: store.fetch("m", 1, lambda o: ends.update({n: timers.now()})),
        )
    timers.run_until(1000.0)
    return [ends[number] for number in range(len(times))]


@pytest.mark.parametrize(
    "times, ends",
    [
        ([0.0], [10.0]),
        ([0.0, 0.0], [20.0, 20.0]),
        ([0.0, 5.0], [15.0, 20.0]),
        ([0.0, 10.0], [10.0, 20.0]),
    ],
)
def test_fetches_share_the_rate_equally(times, ends):
    assert fetch_all(times) == pytest.approx(ends)


@pytest.mark.parametrize("fault", [Fault.DOWN, Fault.LOSE_REPLY, Fault.CRASH])
def test_broken_fetch_fails(fault):
    timers = VirtualTime()
    store = StandinWeightStore(timers, bytes_per_second=100.0)
    store.publish(weights(1), lambda outcome: None)
    timers.run_until(0.0)
    store.faults.script(fault, operation="fetch")
    outcomes = []
    store.fetch("m", 1, outcomes.append)
    store.fetch("m", 9, outcomes.append)
    timers.run_until(1000.0)
    assert {failure_code(outcome) for outcome in outcomes} == {UNAVAILABLE, ResultCode.NOT_FOUND}
