"""Limits on what one answer may take; free of I/O.

The load is servers in trouble that send bytes without end: heads, parts of bodies, or a byte now
and then. What all answers hold at once is limited by the budget of `memory_budgets`.
"""

from pumicedeck.http_messages import HttpClientSettings


class AnswerMeter:
    """Counts what one answer consists of."""

    def __init__(self, limits: HttpClientSettings) -> None:
        """Start at zero."""
        self._limits = limits
        self._received_bytes = 0
        self._interim_heads = 0

    def add_bytes(self, count: int) -> str:
        """Count received bytes; return which limit is exceeded, empty if none is."""
        self._received_bytes += count
        if self._received_bytes > self._limits.received_bytes:
            return f"more than {self._limits.received_bytes} bytes received"
        return ""

    def add_interim_head(self) -> str:
        """Count an interim head; return which limit is exceeded, empty if none is."""
        self._interim_heads += 1
        if self._interim_heads > self._limits.interim_heads:
            return f"more than {self._limits.interim_heads} interim responses received"
        return ""
