"""Contract tests of the object store: the stand-in in process and its HTTP adapter."""

import pytest

import pumicedeck.http_objects  # noqa: F401
from pumicedeck.faults import Fault
from pumicedeck.results import ResultCode
from pumicedeck.tests.platform_fixtures import KINDS, PlatformFixture, failure_code

UNAVAILABLE = ResultCode.STORE_UNAVAILABLE
UNKNOWN = ResultCode.STORE_OUTCOME_UNKNOWN


@pytest.fixture(params=KINDS)
def platform(request):
    created = PlatformFixture(request.param, "ObjectStore")
    yield created
    created.close()


def test_put_replaces_the_object_whole(platform):
    value = bytes(range(256)) * 1000
    assert platform.call_subject("get", "a").unwrap_err().code is ResultCode.NOT_FOUND
    platform.call_subject("put", "a", b"x" * 300_000).unwrap()
    platform.call_subject("put", "a", value).unwrap()
    assert platform.call_subject("get", "a").unwrap() == value


# fault, failure code of a put in process and over HTTP (None: success, "silent": no answer),
# whether the object was written
FAULTS = [
    ("slow", None, None, True),
    ("down", UNAVAILABLE, UNAVAILABLE, False),
    ("lose_reply", UNKNOWN, UNKNOWN, True),
    ("silent", "silent", UNKNOWN, True),
    (Fault.LOSE_REQUEST, UNKNOWN, UNKNOWN, False),
    (Fault.CRASH, UNKNOWN, UNKNOWN, True),
]


@pytest.mark.parametrize("fault, in_process, over_http, written", FAULTS)
def test_put_under_faults(platform, fault, in_process, over_http, written):
    platform.set_fault(fault)
    outcome = platform.call_subject("put", "a", b"1")
    assert failure_code(outcome) == (over_http if platform.over_http else in_process)
    platform.clear_faults()
    assert failure_code(platform.call_subject("get", "a")) is (
        None if written else ResultCode.NOT_FOUND
    )


@pytest.mark.parametrize("fault", ["down", "lose_reply", Fault.CRASH])
def test_get_under_faults_is_unavailable(platform, fault):
    platform.call_subject("put", "a", b"1")
    platform.set_fault(fault)
    assert failure_code(platform.call_subject("get", "a")) is UNAVAILABLE
    platform.clear_faults()
    assert platform.call_subject("get", "a").unwrap() == b"1"
