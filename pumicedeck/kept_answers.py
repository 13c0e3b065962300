"""Which finished answers an agent keeps until they are acknowledged, bounded in bytes and time."""

from collections import OrderedDict

from pumicedeck.messages import AttemptId


class KeptAnswers:
    """Orders finished answers by age and names those that must be dropped."""

    def __init__(self, max_bytes: int, max_seconds: float) -> None:
        """Keep at most `max_bytes` in all and no answer longer than `max_seconds`."""
        self._max_bytes = max_bytes
        self._max_seconds = max_seconds
        self._by_attempt: OrderedDict[AttemptId, tuple[float, int]] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many answers are kept."""
        return len(self._by_attempt)

    def add(self, now: float, attempt: AttemptId, size: int) -> list[AttemptId]:
        """Keep an answer and return those that must go for it, oldest first."""
        self._by_attempt[attempt] = (now + self._max_seconds, size)
        self._bytes += size
        dropped = []
        while self._bytes > self._max_bytes and len(self._by_attempt) > 1:
            oldest = next(iter(self._by_attempt))
            self.remove(oldest)
            dropped.append(oldest)
        return dropped

    def remove(self, attempt: AttemptId) -> None:
        """Forget an answer, if it is kept."""
        size_and_expiry = self._by_attempt.pop(attempt, None)
        if size_and_expiry:
            self._bytes -= size_and_expiry[1]

    def expire(self, now: float) -> list[AttemptId]:
        """Forget and return the answers that were kept long enough."""
        expired = []
        for attempt, (expires_at, _) in self._by_attempt.items():
            if expires_at > now:
                break
            expired.append(attempt)
        for attempt in expired:
            self.remove(attempt)
        return expired

    def next_deadline(self) -> float | None:
        """Return when the oldest answer expires."""
        for expires_at, _ in self._by_attempt.values():
            return expires_at
        return None
