"""Contract tests of a plain service, in process and over HTTP."""

import pytest

import pumicedeck.http_services  # noqa: F401
from pumicedeck.faults import Fault
from pumicedeck.platform_interfaces import ServiceCall
from pumicedeck.results import Execution, ResultCode
from pumicedeck.standin_services import expected_reply
from pumicedeck.tests.platform_fixtures import KINDS, PlatformFixture, failure_code

FAILED = ResultCode.ENDPOINT_FAILED
REFUSED = ResultCode.ENDPOINT_UNREACHABLE


@pytest.fixture(params=KINDS)
def platform(request):
    built = PlatformFixture(request.param, "PlainService", service_seconds=0.5, slots=2)
    yield built
    built.close()


def call(number=1):
    return ServiceCall(f"h{number}", f"r{number}", "/bookings", b"rig %d" % number)


def test_each_call_gets_its_own_reply_and_runs_once(platform):
    outcomes = {}
    for number in range(6):
        platform.subject.call(call(number), lambda o, n=number: outcomes.update({n: o}))
    assert platform.loop.holds_within(10.0, lambda: len(outcomes) == 6)
    for number in range(6):
        assert outcomes[number].unwrap().body == expected_reply(call(number))
        assert platform.standin.executions(f"r{number}") == 1
    assert {item.call for item in platform.standin.ledger} == {call(n) for n in range(6)}


@pytest.mark.parametrize("path", ["/a?b=c&d=%20", "/a%20b", "/%E4%B8%AD", "/a~b(c)!*'", "/"])
def test_path_and_query_arrive_as_they_are(platform, path):
    service_call = ServiceCall("h", "r", path, b"")
    assert platform.call_subject("call", service_call).unwrap().body == expected_reply(service_call)
    assert platform.standin.ledger[0].call == service_call


def test_health_shows_leaving(platform):
    assert platform.call_subject("healthy").unwrap() is True
    platform.standin.leaving = True
    assert platform.call_subject("healthy").unwrap() is False


# fault, failure code in process, failure code over HTTP, executions
FAULTS = [
    ("slow", None, None, 1),
    ("down", REFUSED, REFUSED, 0),
    ("crashed", REFUSED, REFUSED, 0),
    ("lose_reply", FAILED, FAILED, 1),
    ("silent", "silent", FAILED, 1),
    (Fault.LOSE_REQUEST, FAILED, FAILED, 0),
    (Fault.CRASH, FAILED, FAILED, 1),
]


@pytest.mark.parametrize("warm", [False, True])
@pytest.mark.parametrize("fault, in_process, over_http, executions", FAULTS)
def test_call_under_faults(platform, warm, fault, in_process, over_http, executions):
    if warm:
        platform.call_subject("call", call(0))
    platform.set_fault(fault)
    outcome = platform.call_subject("call", call())
    assert failure_code(outcome) == (over_http if platform.over_http else in_process)
    if outcome is not None and outcome.is_err():
        proven = outcome.unwrap_err().execution is Execution.NOT_RUN
        assert proven == (failure_code(outcome) is REFUSED)
    assert platform.standin.executions("r1") == executions
    platform.clear_faults()
    assert platform.call_subject("call", call(2)).is_ok()


def test_crash_fails_the_calls_in_flight(platform):
    outcomes = []
    platform.subject.call(call(), outcomes.append)
    platform.loop.settle()
    platform.standin.crash()
    assert platform.loop.holds_within(10.0, lambda: outcomes)
    assert failure_code(outcomes[0]) is FAILED
    assert platform.standin.executions("r1") == 0
