"""Permits for an endpoint that names a request limit, shared by gateways through the store.

Guards against limits that are exceeded by several gateways at once, by gateways that cannot reach
the store, and against free permits that seem to come too late because time passes while they are
looked at.
"""

from collections import Counter
from random import Random

import pytest
from result import Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.endpoint_selections import EndpointSelector
from pumicedeck.request_limiters import PERMITS_TABLE, RequestLimiter
from pumicedeck.request_permits import (
    BURST_REQUESTS,
    choose_local_permit,
    choose_permit,
    decode_next_permit,
    encode_next_permit,
)
from pumicedeck.results import ResultCode
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_clocks import StoreClock
from pumicedeck.tasks import spawn
from pumicedeck.tests.test_direct_endpoints import HOME, endpoint
from pumicedeck.tests.test_limited_endpoints import allowed_requests, most_in_window

# Like the time of day in seconds: the float's last digit is a quarter of a microsecond.
STORE_OFFSET_SECONDS = 1.79e9


@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 2.1, 20.0])
def test_permits_that_are_all_used_keep_to_the_limit(limit):
    now, next_at, times = 100.0, 0.0, []
    while now < 130.0:
        permit = choose_permit(next_at, now, limit)
        next_at = permit.next_at
        times.append(permit.at)
        now = permit.at
    seconds = times[-1] - times[0]
    assert len(times) <= max(limit, 0.25) * seconds + BURST_REQUESTS + 1
    assert most_in_window(times) <= allowed_requests(limit)


@pytest.mark.parametrize("gateways", [1, 7, 88])
@pytest.mark.parametrize("limit", [0.3, 1.0, 2.1, 20.0])
def test_local_permits_of_all_gateways_together_keep_to_the_limit(gateways, limit):
    members = frozenset(f"front-{number}" for number in range(gateways))
    times = []
    for vm in members:
        after = Random(vm).uniform(1000.0, 1001.0)
        while after < 1040.0:
            permit = choose_local_permit(after, limit, "e", vm, members)
            assert permit.at >= after
            times.append(permit.at)
            after = max(permit.next_at, permit.at + Random(f"{vm}{after}").uniform(0.0, 0.3))
    assert most_in_window(times) <= limit * 4.0 + 2


def test_the_first_own_turn_of_a_gateway_differs_by_endpoint():
    members = frozenset(f"front-{number}" for number in range(7))
    firsts = Counter(
        min(members, key=lambda vm: choose_local_permit(1000.0, 1.0, name, vm, members).at)
        for name in map(str, range(200))
    )
    assert len(firsts) == 7


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"next_at": "x"}', b'{"next_at": NaN}'])
def test_a_row_that_cannot_be_read_counts_as_a_free_turn(value):
    assert decode_next_permit(value) == 0.0
    assert decode_next_permit(encode_next_permit(12.25)) == 12.25


class PassingTime(VirtualTime):
    """Virtual time in which a microsecond passes with each look at the clock."""

    def now(self):
        self._looks = getattr(self, "_looks", 0) + 1
        return super().now() + self._looks * 1e-6


class PermitSimulation:
    """Gateways that acquire permits at endpoints of one pool in virtual time."""

    def __init__(self, limits, gateways=1, timers=None):
        self.timers = timers or VirtualTime()
        self.data = PartitionedData()
        self.stores, self.directories, self.limiters, self.selectors = [], [], [], []
        members = [f"front-{number}" for number in range(gateways)]
        for vm in members:
            store = StandinPartitionedStore(self.timers, self.data)
            clock = StoreClock(self.timers)
            clock.record_store_time(STORE_OFFSET_SECONDS + 0.1)
            directory = EndpointDirectory(HOME, Random(vm))
            for name, limit in limits.items():
                directory.update(endpoint(name))
                directory.record_request_limit(endpoint(name), limit, 0.0, 0.0)
            taker = RequestLimiter(self.timers, store, clock, directory, vm, lambda: members)
            self.stores.append(store)
            self.directories.append(directory)
            self.limiters.append(taker)
            self.selectors.append(EndpointSelector(self.timers, directory, taker))
        self.sent = {name: [] for name in limits}
        self.denied = []

    def call(self, longest_wait, gateway=0):
        """Send a request to a selected endpoint, or record why there is none."""

        async def send():
            selected = await self.selectors[gateway].select("s", (), longest_wait)
            if isinstance(selected, Ok):
                self.sent[selected.ok_value.name].append(self.timers.now())
            else:
                self.denied.append((self.timers.now(), selected.err_value))

        spawn(send(), "call")

    def run(self, seconds):
        self.timers.run_until(self.timers.now() + seconds)


def test_a_call_waits_for_its_turn_and_is_denied_one_that_comes_too_late():
    simulation = PermitSimulation({"a": 2.0})
    for _ in range(6):
        simulation.call(1.2)
    simulation.run(0.1)
    # Two at once, then one each half second, of which 1.2 s allow two.
    assert len(simulation.sent["a"]) == 2 and len(simulation.denied) == 2
    _, failure = simulation.denied[0]
    assert failure.code is ResultCode.OVERLOADED and failure.proven_not_run
    assert 1.3 <= failure.retry_after <= 1.5
    simulation.run(2.0)
    assert len(simulation.sent["a"]) == 4
    simulation.call(0.0)
    simulation.run(0.1)
    assert len(simulation.sent["a"]) == 5


def test_a_free_turn_is_acquired_although_time_passes_while_it_is_looked_at():
    simulation = PermitSimulation({"a": 2.0}, timers=PassingTime())
    for _ in range(100):
        simulation.call(0.0)
        simulation.run(0.1)
    assert 18 <= len(simulation.sent["a"]) <= 22


def test_a_call_that_waits_goes_before_work_that_only_takes_free_permits():
    simulation = PermitSimulation({"a": 1.0})
    simulation.run(5.0)
    for number in range(200):
        simulation.call(0.0)
        if number == 50:
            simulation.call(3.0)
            simulation.call(3.0)
        simulation.run(0.05)
    assert not any(failure.code is not ResultCode.OVERLOADED for _, failure in simulation.denied)
    assert len(simulation.denied) + len(simulation.sent["a"]) == 202
    assert 10 <= len(simulation.sent["a"]) <= 13


def test_a_wait_for_a_turn_is_spent_only_if_no_endpoint_without_a_limit_is_left():
    simulation = PermitSimulation({"a": 1.0, "b": None})
    for _ in range(30):
        simulation.call(5.0)
    simulation.run(0.02)
    assert len(simulation.sent["b"]) + len(simulation.sent["a"]) == 30
    assert len(simulation.sent["a"]) <= BURST_REQUESTS


def test_a_limit_that_is_no_longer_named_ends_the_permits():
    simulation = PermitSimulation({"a": 1.0})
    for _ in range(5):
        simulation.call(0.0)
    simulation.run(1.0)
    assert len(simulation.sent["a"]) < 5
    now = simulation.timers.now()
    simulation.directories[0].record_request_limit(endpoint("a"), None, now, now)
    for _ in range(20):
        simulation.call(0.0)
    assert len(simulation.sent["a"]) >= 20
    simulation.run(0.1)
    assert simulation.data.partitions(PERMITS_TABLE, "") == ()


@pytest.mark.parametrize("fault", ["down", "silent"])
@pytest.mark.parametrize("cut_off", [4, 8])
def test_gateways_without_the_store_stay_within_the_limit_and_still_send(fault, cut_off):
    simulation = PermitSimulation({"a": 2.0, "b": 3.0}, gateways=8)
    simulation.run(5.0)
    for store in simulation.stores[:cut_off]:
        setattr(store.faults, fault, True)
    random = Random(3)
    for _ in range(600):
        simulation.call(random.choice((0.0, 0.7)), gateway=random.randrange(8))
        simulation.run(0.05)
    for name, limit in {"a": 2.0, "b": 3.0}.items():
        assert most_in_window(simulation.sent[name]) <= allowed_requests(limit)
        assert len(simulation.sent[name]) >= 0.2 * limit * 30.0


def test_a_turn_is_not_kept_by_a_call_whose_caller_has_left():
    simulation = PermitSimulation({"a": 1.0})

    async def send():
        await simulation.limiters[0].acquire(endpoint("a"), 5.0)

    tasks = [spawn(send(), "call") for _ in range(3)]
    for task in tasks:
        task.cancel()
    simulation.run(3.0)
    simulation.call(0.5)
    simulation.run(0.5)
    assert len(simulation.sent["a"]) == 1


def test_an_answer_that_was_overacquired_does_not_end_a_limit():
    simulation = PermitSimulation({"a": None})
    (directory,) = simulation.directories
    assert directory.record_request_limit(endpoint("a"), 2.0, sent_at=1.0, now=1.2)
    assert not directory.record_request_limit(endpoint("a"), None, sent_at=1.1, now=1.3)
    assert directory.request_limit("a") == 2.0
    assert directory.record_request_limit(endpoint("a"), None, sent_at=1.2, now=1.4)
    assert directory.request_limit("a") is None
