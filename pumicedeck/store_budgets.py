"""Limits the calls of a process to the platform's store: token bucket and circuit breaker.

The circuit breaker backs off after failures, which keeps a failing store from being overloaded.
"""

from dataclasses import dataclass
from random import Random

from pumicedeck.backoffs import doubled_seconds


class TokenBucket:
    """Admits `rate` calls per second on average and `burst` at once.

    All times are in seconds on the clock of `now`.
    """

    def __init__(self, rate: float, burst: float) -> None:
        """Create a full bucket."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0

    def try_acquire(self, now: float, cost: float = 1.0) -> bool:
        """Take `cost` tokens if they are available; return whether they were."""
        self._refill(now)
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def available_at(self, now: float, cost: float = 1.0) -> float:
        """Return the time at which `cost` tokens will be available."""
        self._refill(now)
        return now + max(0.0, cost - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._refilled_at = max(self._refilled_at, now)


@dataclass(frozen=True, slots=True)
class BreakerSettings:
    """Bounds of the backoff in seconds.

    The bound doubles from `min_backoff` to `max_backoff` with each failure in a row. The backoff is
    drawn at random from its upper half.
    """

    min_backoff: float = 2.0
    max_backoff: float = 12.0


class CircuitBreaker:
    """Opens after a failure for a random, growing time; the next call then closes or reopens it."""

    def __init__(self, settings: BreakerSettings, rng: Random) -> None:
        """Create a closed breaker."""
        self._settings = settings
        self._rng = rng
        self._failures = 0
        self._retry_at = float("-inf")

    @property
    def failures(self) -> int:
        """Return the number of calls that failed in a row."""
        return self._failures

    @property
    def retry_at(self) -> float:
        """Return the time from which a call is allowed."""
        return self._retry_at

    def allows(self, now: float) -> bool:
        """Return whether a call may be made."""
        return now >= self._retry_at

    def failed(self, now: float) -> None:
        """Count a failure and open the breaker."""
        max_backoff_seconds = doubled_seconds(
            self._settings.min_backoff, self._failures, self._settings.max_backoff
        )
        self._failures += 1
        self._retry_at = now + self._rng.uniform(max_backoff_seconds / 2.0, max_backoff_seconds)

    def succeeded(self) -> None:
        """Close the breaker."""
        self._failures = 0
        self._retry_at = float("-inf")


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Calls per second that one process may make, calls at once, and the breaker's backoff."""

    rate: float = 0.5
    burst: float = 8.0
    breaker: BreakerSettings = BreakerSettings()


class StoreBudget:
    """A token bucket and a circuit breaker in front of the store."""

    def __init__(self, settings: BudgetSettings, rng: Random) -> None:
        """Create a budget with a full bucket and a closed breaker."""
        self._bucket = TokenBucket(settings.rate, settings.burst)
        self._breaker = CircuitBreaker(settings.breaker, rng)

    @property
    def failures(self) -> int:
        """Return the number of calls that failed in a row."""
        return self._breaker.failures

    def admit(self, now: float, cost: float = 1.0) -> bool:
        """Take the cost of a call if it may be made now; return whether it may."""
        return self._breaker.allows(now) and self._bucket.try_acquire(now, cost)

    def admits_at(self, now: float, cost: float = 1.0) -> float:
        """Return the time from which a call may be made."""
        return max(self._breaker.retry_at, self._bucket.available_at(now, cost))

    def failed(self, now: float) -> None:
        """Record a call that failed or timed out."""
        self._breaker.failed(now)

    def succeeded(self) -> None:
        """Record a call that was answered."""
        self._breaker.succeeded()
