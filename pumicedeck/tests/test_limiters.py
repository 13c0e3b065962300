"""Tests of limits across entry VMs: enforced without fresh rows, divided by demand with them."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Limits, RequestClass
from pumicedeck.limit_shares import DEMAND_LIFETIME_SECONDS, fair_parts
from pumicedeck.limiters import EntryLimiter
from pumicedeck.results import ResultCode

LIMITS = Limits(concurrency=40, requests_per_second=40.0, tokens_per_second=4000.0)
ENTRY = CatalogueEntry("booking", "firm", RequestClass.INTERACTIVE, ("p",), LIMITS)
VMS = ("e0", "e1", "e2", "e3")


def build_limiters():
    built = [EntryLimiter(vm) for vm in VMS]
    for each in built:
        each.configure(0.0, Catalogue(1, (ENTRY,)))
        each.set_members(0.0, VMS)
    return built


def exchange(now, limiters):
    rows = [row for each in limiters for row in each.publish(now)]
    for each in limiters:
        each.apply_demands(now, rows)


def offer(limiters, rates, start, end, exchanged=True):
    admitted = [0] * len(limiters)
    for tick in range(int(start * 100), int(end * 100)):
        now = tick / 100
        if exchanged and tick % 200 == 0:
            exchange(now, limiters)
        for index, limiter in enumerate(limiters):
            if tick % 100 * rates[index] // 100 != (tick % 100 + 1) * rates[index] // 100:
                if limiter.admit(now, ENTRY, 50).is_ok():
                    limiter.finished(now, ENTRY, 50, 50)
                    admitted[index] += 1
    return admitted


def test_without_reports_each_vm_keeps_to_the_equal_part():
    admitted = offer(build_limiters(), (100, 100, 100, 100), 0, 10, exchanged=False)
    assert all(100 - 1 <= each <= 110 + 1 for each in admitted)


def test_one_busy_vm_gets_the_unused_limit_and_loses_it_without_reports():
    limiters = build_limiters()
    offer(limiters, (60, 2, 2, 2), 0, 10)
    admitted = offer(limiters, (60, 2, 2, 2), 10, 30)
    assert sum(admitted) <= 40 * 21 and admitted[0] >= 0.7 * 40 * 20
    limiters[0].on_timer(30 + DEMAND_LIFETIME_SECONDS)
    assert limiters[0].part("booking").requests_per_second == 10.0


def test_entries_that_are_not_near_their_limit_are_not_exchanged():
    limiters = build_limiters()
    offer(limiters, (2, 2, 2, 2), 0, 4, exchanged=False)
    assert [each.publish(4.0) for each in limiters] == [()] * 4


def test_concurrency_and_token_limits_refuse_with_a_time():
    limiter = EntryLimiter("e0")
    limiter.configure(0.0, Catalogue(1, (ENTRY,)))
    failures = [limiter.admit(0.0, ENTRY, 1).err() for _ in range(41)]
    assert failures[:40] == [None] * 40 and failures[40].code is ResultCode.RATE_LIMITED
    limiter = EntryLimiter("e0")
    limiter.configure(0.0, Catalogue(1, (ENTRY,)))
    assert limiter.admit(0.0, ENTRY, 9000).is_ok()
    refused = limiter.admit(0.0, ENTRY, 400).unwrap_err()
    assert limiter.admit(refused.retry_after - 0.01, ENTRY, 400).is_err()
    assert limiter.admit(refused.retry_after + 0.01, ENTRY, 400).is_ok()


def test_true_tokens_count_and_new_limits_bind_at_once():
    limiter = EntryLimiter("e0")
    limiter.configure(0.0, Catalogue(1, (ENTRY,)))
    assert limiter.admit(0.0, ENTRY, 10).is_ok()
    limiter.finished(0.0, ENTRY, 10, 6000)
    assert limiter.admit(0.0, ENTRY, 10).is_err()
    changed = replace(ENTRY, limits=Limits(concurrency=1))
    limiter.configure(100.0, Catalogue(2, (changed,)))
    assert limiter.admit(100.0, changed, 10).is_ok() and limiter.admit(100.0, changed, 10).is_err()


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.floats(0.1, 1e6), st.dictionaries(st.text(max_size=3), st.floats(0, 1e6), min_size=1))
def test_parts_sum_to_the_limit_and_meet_small_demands(limit, demands):
    parts = fair_parts(limit, demands)
    assert abs(sum(parts.values()) - limit) <= 1e-6 * limit
    equal = limit / len(demands)
    assert all(parts[vm] >= min(demands[vm], equal) * (1 - 1e-9) for vm in demands)
