"""Contract of the object store, in process and over HTTP."""

import pytest

import pumicedeck.http_objects  # noqa: F401
from pumicedeck.faults import Fault
from pumicedeck.results import ResultCode
from pumicedeck.tests.platform_benches import KINDS, PlatformFixture, failure_code

UNAVAILABLE = ResultCode.STORE_UNAVAILABLE
UNKNOWN = ResultCode.STORE_OUTCOME_UNKNOWN


@pytest.fixture(params=KINDS)
def bench(request):
    made = PlatformFixture(request.param, "ObjectStore")
    yield made
    made.close()


def test_put_replaces_the_object_whole(bench):
    value = bytes(range(256)) * 1000
    assert bench.call_subject("get", "a").unwrap_err().code is ResultCode.NOT_FOUND
    bench.call_subject("put", "a", b"x" * 300_000).unwrap()
    bench.call_subject("put", "a", value).unwrap()
    assert bench.call_subject("get", "a").unwrap() == value


# fault, code of a put in process, over HTTP, whether the object was written
FAULTS = [
    ("slow", None, None, True),
    ("down", UNAVAILABLE, UNAVAILABLE, False),
    ("lose_reply", UNKNOWN, UNKNOWN, True),
    ("silent", "silent", UNKNOWN, True),
    (Fault.LOSE_REQUEST, UNKNOWN, UNKNOWN, False),
    (Fault.CRASH, UNKNOWN, UNKNOWN, True),
]


@pytest.mark.parametrize("fault, in_process, over_http, written", FAULTS)
def test_put_under_faults(bench, fault, in_process, over_http, written):
    bench.set_fault(fault)
    outcome = bench.call_subject("put", "a", b"1")
    assert failure_code(outcome) == (over_http if bench.over_http else in_process)
    bench.clear_faults()
    assert failure_code(bench.call_subject("get", "a")) is (
        None if written else ResultCode.NOT_FOUND
    )


@pytest.mark.parametrize("fault", ["down", "lose_reply", Fault.CRASH])
def test_get_under_faults_is_unavailable(bench, fault):
    bench.call_subject("put", "a", b"1")
    bench.set_fault(fault)
    assert failure_code(bench.call_subject("get", "a")) is UNAVAILABLE
    bench.clear_faults()
    assert bench.call_subject("get", "a").unwrap() == b"1"
