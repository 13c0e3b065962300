"""A budget for retries, so that an overload can't feed itself; free of I/O."""

RETRY_RATIO = 0.08
RETRY_BURST = 4.0


class RetryBudget:
    """Allows retries as a fraction of the first attempts."""

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        """Start with a full burst."""
        self._ratio = ratio
        self._burst = burst
        self._level = burst

    def first_attempt(self) -> None:
        """Count a first attempt, which earns a part of a retry."""
        self._level = min(self._burst, self._level + self._ratio)

    def may_retry(self) -> bool:
        """Take one retry if the budget holds it."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
