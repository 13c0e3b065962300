"""Tests of the budgets in front of the store."""

from random import Random

from pumicedeck.store_budgets import (
    BreakerSettings,
    BudgetSettings,
    CircuitBreaker,
    StoreBudget,
    TokenBucket,
)


def test_a_bucket_never_admits_more_than_its_rate_and_burst() -> None:
    bucket = TokenBucket(rate=2.0, burst=5.0)
    admitted = sum(bucket.try_acquire(step / 128.0) for step in range(1281))
    assert admitted == 5 + 20


def test_a_bucket_tells_when_it_admits() -> None:
    bucket = TokenBucket(rate=0.5, burst=3.0)
    assert bucket.try_acquire(10.0, 3.0)
    earliest = bucket.available_at(10.0, 2.0)
    assert not bucket.try_acquire(earliest - 0.1, 2.0)
    assert bucket.try_acquire(earliest, 2.0)


def test_a_breaker_backs_off_with_jitter_up_to_its_bound_and_closes_on_success() -> None:
    breaker = CircuitBreaker(BreakerSettings(1.0, 12.0), Random(1))
    now = 0.0
    waits = []
    for _ in range(10):
        breaker.failed(now)
        assert not breaker.allows(now)
        waits.append(breaker.retry_at - now)
        now = breaker.retry_at
        assert breaker.allows(now)
    assert 0.5 <= waits[0] <= 1.0
    assert all(6.0 <= wait <= 12.0 for wait in waits[4:])
    assert len(set(waits)) == len(waits)
    breaker.succeeded()
    assert (breaker.failures, breaker.allows(0.0)) == (0, True)


def test_a_budget_obeys_both_and_names_the_second() -> None:
    budget = StoreBudget(BudgetSettings(rate=1.0, burst=1.0), Random(1))
    assert budget.admit(0.0)
    assert not budget.admit(0.0)
    assert budget.admits_at(0.0) == 1.0
    budget.failed(1.0)
    assert budget.admits_at(1.0) > 1.0
    assert not budget.admit(1.0)
    assert budget.admit(budget.admits_at(1.0))
