"""A token bucket that limits retries to a share of the requests."""


class RetryBudget:
    """Each request adds a fraction of a token; each retry takes one token."""

    def __init__(self, ratio: float, burst: float) -> None:
        """Allow `ratio` retries per request in the long run and bursts of up to `burst` retries."""
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take the token of one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
