"""Limits on what one answer may take, and on all answers together; free of I/O.

The load is servers in trouble that send bytes without end: heads, parts of bodies, or a byte now
and then, at some connections or at many. Each answer ends at limits of its own, and the bodies that
are held in memory at once share a budget that fits the machine.
"""

from collections.abc import Hashable

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


class BodyBudget:
    """The bytes of bodies that are held in memory, by the connection that receives them."""

    def __init__(self, limit_bytes: int) -> None:
        """Allow `limit_bytes` for all bodies together."""
        self._limit_bytes = limit_bytes
        self._held: dict[Hashable, int] = {}
        self._total = 0

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are held."""
        return self._total

    def add(self, receiver: Hashable, count: int) -> Hashable | None:
        """Count bytes that `receiver` holds; return who must give up its body, None if nobody.

        That is the receiver that holds most, so that an answer of ordinary size is not given up
        because others are endless.
        """
        self._held[receiver] = self._held.get(receiver, 0) + count
        self._total += count
        if self._total <= self._limit_bytes:
            return None
        return max(self._held, key=self._held.get)

    def release(self, receiver: Hashable) -> None:
        """Forget what a receiver held."""
        self._total -= self._held.pop(receiver, 0)
