"""Contract tests of the VM list, in process and over HTTP."""

from dataclasses import replace

import pytest

import pumicedeck.http_vm_lists  # noqa: F401
from pumicedeck.faults import Fault
from pumicedeck.results import ResultCode
from pumicedeck.tests.platform_fixtures import KINDS, PlatformFixture, failure_code
from pumicedeck.topology import Address, Endpoint, EndpointKind, FailureDomain, Vm, VmRole, VmState

LAG_SECONDS = 4.0
ENTRY = Vm("e1", VmRole.ENTRY, FailureDomain("tn-a", "tw-south"), Address("127.0.0.1", 7000))
AGENT = Vm(
    "a1",
    VmRole.AGENT,
    FailureDomain("tp-a", "tw-north"),
    Address("127.0.0.1", 7001),
    endpoint=Endpoint("s1", "tuner-gen", EndpointKind.MODEL, 4),
)


@pytest.fixture(params=KINDS)
def platform(request):
    built = PlatformFixture(request.param, "VmList", vms=(ENTRY,), lag=LAG_SECONDS)
    yield built
    built.close()


def test_changes_show_after_the_lag(platform):
    leaving = replace(ENTRY, state=VmState.LEAVING)
    platform.standin.put(AGENT)
    platform.loop.advance(LAG_SECONDS / 2)
    platform.standin.put(leaving)
    platform.standin.remove(AGENT.name)
    assert platform.call_subject("list").unwrap() == (ENTRY,)
    platform.loop.advance(LAG_SECONDS / 2)
    assert platform.call_subject("list").unwrap() == (ENTRY, AGENT)
    platform.loop.advance(LAG_SECONDS / 2)
    assert platform.call_subject("list").unwrap() == (leaving,)


@pytest.mark.parametrize(
    "fault, code",
    [
        ("slow", None),
        ("down", ResultCode.STORE_UNAVAILABLE),
        ("lose_reply", ResultCode.STORE_UNAVAILABLE),
        (Fault.CRASH, ResultCode.STORE_UNAVAILABLE),
    ],
)
def test_list_under_faults(platform, fault, code):
    platform.set_fault(fault)
    assert failure_code(platform.call_subject("list")) is code
    platform.clear_faults()
    assert platform.call_subject("list").unwrap() == (ENTRY,)
