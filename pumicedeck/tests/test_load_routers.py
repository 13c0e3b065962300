"""Tests of load routers: delayed reports, prefix affinity, regions, refusals and outliers."""

from collections import Counter

import pytest

from pumicedeck.catalogue_entries import CatalogueEntry, RequestClass
from pumicedeck.load_routers import ExpectedWaitRouter
from pumicedeck.messages import LoadReport
from pumicedeck.outliers import FIRST_EJECTION_SECONDS, RAMP_SECONDS
from pumicedeck.results import ResultCode
from pumicedeck.routers import ROUTERS, Candidate, RouteQuery
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain, Link

HOME = FailureDomain("tn-a", "south")
REMOTE = FailureDomain("tp-a", "north")
LINKS = (Link("south", "north", 0.03, 25e6, True),)
ENTRY = CatalogueEntry("drafts", "firm", RequestClass.ROLLOUT, ("p",))


def query(tokens=100, **fields):
    return RouteQuery(ENTRY, tokens, **fields)


def build_with_agents(name="expected_wait", local=4, remote=0):
    built = ROUTERS[name](HOME, 1, LINKS)
    for number in range(local + remote):
        domain = HOME if number < local else REMOTE
        endpoint = Endpoint(f"g{number}", "p", EndpointKind.MODEL, 8)
        built.add(0.0, Candidate(f"g{number}/1", endpoint, domain))
    return built


def report(tokens=0, rate=400.0, **fields):
    return LoadReport(tokens // 100, 0, 8, tokens, 0, rate, **fields)


def choose_and_dispatch(router, now, request):
    agent = router.choose(now, request).unwrap()
    router.dispatched(now, agent, request)
    return agent


@pytest.mark.parametrize("name", ["least_outstanding", "two_choices", "expected_wait"])
def test_own_dispatches_spread_before_any_report(name):
    router = build_with_agents(name)
    counts = Counter(choose_and_dispatch(router, 0.0, query()) for _ in range(80))
    assert len(counts) == 4 and max(counts.values()) <= 2 * min(counts.values())
    assert router.choose(0.0, query(excluded=tuple(counts))).unwrap_err().code == 201


def test_long_waits_and_closed_agents_are_avoided():
    router = build_with_agents()
    router.reported(0.0, "g0/1", report(40_000))
    router.reported(0.0, "g1/1", report(0, accepting=False))
    counts = Counter(choose_and_dispatch(router, 0.0, query()) for _ in range(30))
    assert counts["g1/1"] == 0 and counts["g0/1"] <= 3


def test_prefix_keeps_its_agent_until_it_is_overloaded():
    router = build_with_agents()
    agents = {router.choose(0.0, query(prefix="system")).unwrap() for _ in range(30)}
    assert len(agents) == 1
    router.reported(0.0, agents.pop(), report(20_000))
    busy = {router.choose(0.0, query(prefix="system")).unwrap() for _ in range(30)}
    assert busy.isdisjoint(agents)


def test_prefixes_spread_and_agree_between_processes():
    prefixes = [f"prefix-{number}" for number in range(200)]
    first = [build_with_agents().choose(0.0, query(prefix=each)).unwrap() for each in prefixes]
    again = [build_with_agents().choose(0.0, query(prefix=each)).unwrap() for each in prefixes]
    assert first == again and min(Counter(first).values()) >= 25


def test_cache_events_are_hints():
    router = build_with_agents()
    preferred = router.choose(0.0, query(prefix="x")).unwrap()
    other = "g0/1" if preferred != "g0/1" else "g1/1"
    router.cache_reported(0.0, other, "x", True)
    router.reported(0.0, preferred, report(20_000))
    for each in router._loads:
        if each not in (preferred, other):
            router.reported(0.0, each, report(2_000))
    assert other in {router.choose(0.0, query(prefix="x")).unwrap() for _ in range(10)}
    router.cache_reported(0.0, "unknown/1", "x", True)


def test_other_region_only_when_the_local_wait_is_longer_and_paid_bytes_are_counted():
    router = build_with_agents(local=1, remote=1)
    assert choose_and_dispatch(router, 0.0, query()) == "g0/1" and router.paid_bytes == {}
    router.reported(0.0, "g0/1", report(8_000))
    assert choose_and_dispatch(router, 0.0, query(payload_bytes=5_000)) == "g1/1"
    assert router.paid_bytes == {"firm": 5_000}
    assert choose_and_dispatch(router, 0.0, query(payload_bytes=500_000_000)) == "g0/1"


def test_refusals_pause_the_entry_and_end_in_an_early_refusal():
    router = build_with_agents(local=2)
    for _ in range(2):
        agent = choose_and_dispatch(router, 0.0, query())
        router.finished(0.0, agent, query(), ResultCode.OVERLOADED)
    refused = router.choose(0.1, query()).unwrap_err()
    assert refused.code is ResultCode.OVERLOADED and 0 < refused.retry_after < 3
    assert router.choose(0.1 + refused.retry_after, query()).is_ok()


@pytest.mark.parametrize("kind", ["failing", "slow"])
def test_outliers_are_ejected_and_return_slowly(kind):
    router = build_with_agents()
    for number in range(4):
        router.reported(0.0, f"g{number}/1", report(0, 400.0))
    if kind == "slow":
        router.reported(0.0, "g0/1", report(0, 40.0))
    for _ in range(3 if kind == "failing" else 0):
        router.finished(0.0, "g0/1", query(), ResultCode.ENDPOINT_FAILED)
    assert "g0/1" not in {router.choose(1.0, query()).unwrap() for _ in range(100)}
    router.reported(1.0, "g0/1", report(0, 400.0))
    early = FIRST_EJECTION_SECONDS + 0.01
    ramp = Counter(router.choose(early, query()).unwrap() for _ in range(400))
    later = FIRST_EJECTION_SECONDS + RAMP_SECONDS
    full = Counter(router.choose(later, query()).unwrap() for _ in range(400))
    assert 0 < ramp["g0/1"] < full["g0/1"] / 2


def test_at_most_half_of_the_agents_are_ejected():
    router = build_with_agents()
    for agent in list(router._loads):
        for _ in range(3):
            router.finished(0.0, agent, query(), ResultCode.ENDPOINT_FAILED)
    assert len({router.choose(0.1, query()).unwrap() for _ in range(50)}) == 2
    assert isinstance(router, ExpectedWaitRouter)
