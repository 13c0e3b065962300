"""Records of attempts that an agent must not start, bounded in age and number."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

from pumicedeck.messages import Answer, AttemptId, Message, Refused, Revoked, RevokeOutcome
from pumicedeck.results import ResultCode


class Verdict(IntEnum):
    """Why an attempt is never started, or never started again, at this agent."""

    REVOKED_UNSEEN = 1
    REVOKED_QUEUED = 2
    REFUSED = 3
    EXECUTED = 4


@dataclass(frozen=True, slots=True)
class Tombstone:
    """Why one attempt never runs; `code`, `detail` and `retry_after` are those of its refusal."""

    verdict: Verdict
    code: int = 0
    detail: str = ""
    retry_after: float = 0.0


class Tombstones:
    """Tombstones by attempt, with a floor for each entry incarnation.

    The floor is a sequence: an unknown attempt below it is never accepted as new. When a tombstone
    is dropped, the floor of its entry incarnation is raised above it, so its attempt still never
    runs. Floors are kept as long as the agent runs; `admit_entry` bounds their number.
    """

    def __init__(self, lifetime: float, max_tombstones: int, max_entries: int) -> None:
        """Keep up to `max_tombstones` for `lifetime` seconds and floors of `max_entries`."""
        self._lifetime = lifetime
        self._max_tombstones = max_tombstones
        self._max_entries = max_entries
        self._by_attempt: OrderedDict[AttemptId, tuple[float, Tombstone]] = OrderedDict()
        self._floors: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many tombstones are kept."""
        return len(self._by_attempt)

    def admit_entry(self, entry: str) -> bool:
        """Start to keep a floor for an entry incarnation; return False if there are too many."""
        if entry in self._floors:
            return True
        if len(self._floors) >= self._max_entries:
            return False
        self._floors[entry] = 0
        return True

    def find(self, attempt: AttemptId) -> Tombstone | None:
        """Return the tombstone of an attempt; None if there is none."""
        found = self._by_attempt.get(attempt)
        return found[1] if found else None

    def is_below_floor(self, attempt: AttemptId) -> bool:
        """Return whether the sequence of an attempt is below the floor of its entry."""
        return attempt.sequence < self._floors.get(attempt.entry, 0)

    def raise_floor(self, entry: str, floor: int) -> None:
        """Raise the floor of an admitted entry incarnation; a lower `floor` changes nothing."""
        if floor > self._floors.get(entry, floor):
            self._floors[entry] = floor

    def add(self, now: float, attempt: AttemptId, tombstone: Tombstone) -> None:
        """Add or replace the tombstone of an attempt and drop those beyond the bounds."""
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
        """Ensure that an attempt without a record never runs and return its revoke outcome."""
        tombstone = self.find(attempt)
        if tombstone:
            return _REVOKE_OUTCOMES[tombstone.verdict]
        if self.is_below_floor(attempt) or not self.admit_entry(attempt.entry):
            return RevokeOutcome.UNKNOWN
        self.add(now, attempt, Tombstone(Verdict.REVOKED_UNSEEN))
        return RevokeOutcome.NEVER_SEEN

    def final_reply(self, now: float, attempt: AttemptId) -> Message:
        """Return the reply to an entry that asks for an attempt without a record."""
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
