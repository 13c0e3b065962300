"""Budgets that protect the platform's store: token bucket, backoff and circuit breaker."""

from dataclasses import dataclass
from random import Random


class TokenBucket:
    """Admits `rate` per second on average and `burst` at once."""

    def __init__(self, rate: float, burst: float) -> None:
        """Begin full."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0

    def try_acquire(self, now: float, cost: float = 1.0) -> bool:
        """Take `cost` tokens if they are there."""
        self._fill(now)
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def available_at(self, now: float, cost: float = 1.0) -> float:
        """Return the second at which `cost` tokens will be there."""
        self._fill(now)
        return now + max(0.0, cost - self._tokens) / self._rate

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._filled_at = max(self._filled_at, now)


@dataclass(frozen=True, slots=True)
class BreakerSettings:
    """The backoff doubles from `min_backoff` to `max_backoff`, in seconds, with full jitter."""

    min_backoff: float = 2.0
    max_backoff: float = 12.0


class CircuitBreaker:
    """Opens after a failure for a jittered, growing time; then one probe decides."""

    def __init__(self, settings: BreakerSettings, rng: Random) -> None:
        """Begin closed."""
        self._settings = settings
        self._rng = rng
        self._failures = 0
        self._retry_at = float("-inf")

    @property
    def failures(self) -> int:
        """Return how many calls failed in a row."""
        return self._failures

    @property
    def retry_at(self) -> float:
        """Return the second from which a call is allowed."""
        return self._retry_at

    def allows(self, now: float) -> bool:
        """Say whether a call may be made."""
        return now >= self._retry_at

    def failed(self, now: float) -> None:
        """Count a failure and open."""
        longest = self._settings.min_backoff * 2.0 ** min(self._failures, 16)
        longest = min(self._settings.max_backoff, longest)
        self._failures += 1
        self._retry_at = now + self._rng.uniform(longest / 2.0, longest)

    def succeeded(self) -> None:
        """Close."""
        self._failures = 0
        self._retry_at = float("-inf")


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Calls per second that one process may make, and how many at once."""

    rate: float = 0.5
    burst: float = 8.0
    breaker: BreakerSettings = BreakerSettings()


class StoreBudget:
    """A token bucket and a circuit breaker in front of the store."""

    def __init__(self, settings: BudgetSettings, rng: Random) -> None:
        """Begin full and closed."""
        self._bucket = TokenBucket(settings.rate, settings.burst)
        self._breaker = CircuitBreaker(settings.breaker, rng)

    @property
    def failures(self) -> int:
        """Return how many calls failed in a row."""
        return self._breaker.failures

    def admit(self, now: float, cost: float = 1.0) -> bool:
        """Take the cost of a call if it may be made now."""
        return self._breaker.allows(now) and self._bucket.try_acquire(now, cost)

    def admits_at(self, now: float, cost: float = 1.0) -> float:
        """Return the second at which a call may be made."""
        return max(self._breaker.retry_at, self._bucket.available_at(now, cost))

    def failed(self, now: float) -> None:
        """Count a call that failed or took too long."""
        self._breaker.failed(now)

    def succeeded(self) -> None:
        """Count a call that was answered."""
        self._breaker.succeeded()
