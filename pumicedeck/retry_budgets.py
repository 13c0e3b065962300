"""A token bucket that bounds retries to a share of the requests."""


class RetryBudget:
    """Each request earns a fraction of a retry; each retry spends one."""

    def __init__(self, ratio: float, burst: float) -> None:
        """Allow `ratio` retries a request in the long run and `burst` beyond that at once."""
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take one retry; False if the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
