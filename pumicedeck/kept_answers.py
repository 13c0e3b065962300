"""Decides how long an agent keeps answers that are not acknowledged, bounded in bytes and time."""

from collections import OrderedDict

from pumicedeck.messages import AttemptId


class KeptAnswers:
    """Sizes and expiry times of finished answers, oldest first; the agent holds the bytes."""

    def __init__(self, max_bytes: int, max_seconds: float) -> None:
        """Allow `max_bytes` in total, except for the newest answer, and `max_seconds` each."""
        self._max_bytes = max_bytes
        self._max_seconds = max_seconds
        self._by_attempt: OrderedDict[AttemptId, tuple[float, int]] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many answers are kept."""
        return len(self._by_attempt)

    def add(self, now: float, attempt: AttemptId, size: int) -> list[AttemptId]:
        """Add an answer of `size` bytes; return those to drop for it, oldest first."""
        self._by_attempt[attempt] = (now + self._max_seconds, size)
        self._bytes += size
        dropped = []
        while self._bytes > self._max_bytes and len(self._by_attempt) > 1:
            oldest = next(iter(self._by_attempt))
            self.remove(oldest)
            dropped.append(oldest)
        return dropped

    def remove(self, attempt: AttemptId) -> None:
        """Remove an answer, if it is kept."""
        size_and_expiry = self._by_attempt.pop(attempt, None)
        if size_and_expiry:
            self._bytes -= size_and_expiry[1]

    def expire(self, now: float) -> list[AttemptId]:
        """Remove and return the answers that have expired."""
        expired = []
        for attempt, (expires_at, _) in self._by_attempt.items():
            if expires_at > now:
                break
            expired.append(attempt)
        for attempt in expired:
            self.remove(attempt)
        return expired

    def next_deadline(self) -> float | None:
        """Return when the oldest answer expires; None if no answer is kept."""
        for expires_at, _ in self._by_attempt.values():
            return expires_at
        return None
