"""What an agent remembers of attempts that it will never run, bounded in time and number."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

from pumicedeck.messages import Answer, AttemptId, Message, Refused, Revoked, RevokeOutcome
from pumicedeck.results import ResultCode


class Verdict(IntEnum):
    """Why an attempt will never run (again) at this agent."""

    REVOKED_UNSEEN = 1
    REVOKED_QUEUED = 2
    REFUSED = 3
    EXECUTED = 4


@dataclass(frozen=True, slots=True)
class Tombstone:
    """The final word on one attempt; `code`, `detail` and `retry_after` repeat a refusal."""

    verdict: Verdict
    code: int = 0
    detail: str = ""
    retry_after: float = 0.0


class Tombstones:
    """Tombstones by attempt and, per entry incarnation, the lowest sequence still remembered.

    Forgetting a tombstone raises the floor of its entry incarnation above it. An attempt below the
    floor that is not known is never taken as new, so the promise outlives the tombstone. Floors
    are kept as long as the agent runs; their number is bounded by `admits`.
    """

    def __init__(self, lifetime: float, max_tombstones: int, max_entries: int) -> None:
        """Keep a tombstone for `lifetime` seconds unless there are more than `max_tombstones`."""
        self._lifetime = lifetime
        self._max_tombstones = max_tombstones
        self._max_entries = max_entries
        self._by_attempt: OrderedDict[AttemptId, tuple[float, Tombstone]] = OrderedDict()
        self._floors: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many tombstones are held."""
        return len(self._by_attempt)

    def admit_entry(self, entry: str) -> bool:
        """Return whether the floor of this entry incarnation can be kept."""
        if entry in self._floors:
            return True
        if len(self._floors) >= self._max_entries:
            return False
        self._floors[entry] = 0
        return True

    def find(self, attempt: AttemptId) -> Tombstone | None:
        """Return the tombstone of an attempt."""
        found = self._by_attempt.get(attempt)
        return found[1] if found else None

    def is_below_floor(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is older than what is remembered."""
        return attempt.sequence < self._floors.get(attempt.entry, 0)

    def raise_floor(self, entry: str, floor: int) -> None:
        """Never take an attempt of `entry` below `floor` as new."""
        if floor > self._floors.get(entry, floor):
            self._floors[entry] = floor

    def add(self, now: float, attempt: AttemptId, tombstone: Tombstone) -> None:
        """Remember the final word on an attempt."""
        self._by_attempt.pop(attempt, None)
        self._by_attempt[attempt] = (now + self._lifetime, tombstone)
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        while self._by_attempt:
            attempt, (expires_at, _) = next(iter(self._by_attempt.items()))
            if expires_at > now and len(self._by_attempt) <= self._max_tombstones:
                return
            del self._by_attempt[attempt]
            self.raise_floor(attempt.entry, attempt.sequence + 1)

    def revoke_absent(self, now: float, attempt: AttemptId) -> RevokeOutcome:
        """Make sure that an attempt which is not held never runs and say what is known of it."""
        tombstone = self.find(attempt)
        if tombstone:
            return _REVOKE_OUTCOMES[tombstone.verdict]
        if self.is_below_floor(attempt) or not self.admit_entry(attempt.entry):
            return RevokeOutcome.UNKNOWN
        self.add(now, attempt, Tombstone(Verdict.REVOKED_UNSEEN))
        return RevokeOutcome.NEVER_SEEN

    def final_reply(self, now: float, attempt: AttemptId) -> Message:
        """Return what an entry is told that asks for an attempt which is not held."""
        tombstone = self.find(attempt)
        if tombstone and tombstone.verdict is Verdict.REFUSED:
            return Refused(attempt, tombstone.code, tombstone.detail, tombstone.retry_after)
        if tombstone and tombstone.verdict is Verdict.EXECUTED:
            return Answer(attempt, int(ResultCode.ANSWER_EXPIRED), 0, "", b"", 0, "")
        return Revoked(attempt, self.revoke_absent(now, attempt))


_REVOKE_OUTCOMES = {
    Verdict.REVOKED_UNSEEN: RevokeOutcome.NEVER_SEEN,
    Verdict.REVOKED_QUEUED: RevokeOutcome.DEQUEUED,
    Verdict.REFUSED: RevokeOutcome.ALREADY_REFUSED,
    Verdict.EXECUTED: RevokeOutcome.FINISHED,
}
