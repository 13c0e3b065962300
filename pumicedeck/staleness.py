"""Staleness of drafts, checked at the last moment before the hand-over; free of I/O."""

from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.drafts import Draft
from pumicedeck.results import Failure, ResultCode

NEWEST_TRUST_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """A newest version and the second at which it was last confirmed."""

    version: int
    confirmed: float


class NewestVersions:
    """The newest published version of each model as far as this process knows."""

    def __init__(self, trust_seconds: float = NEWEST_TRUST_SECONDS) -> None:
        """Trust a confirmation for `trust_seconds`."""
        self._trust_seconds = trust_seconds
        self._known: dict[str, KnownVersion] = {}

    def confirm(self, now: float, model: str, version: int) -> bool:
        """Take in a version read from the store or heard of; tell whether it is news."""
        known = self._known.get(model)
        if known is None or version > known.version:
            self._known[model] = KnownVersion(version, now)
            return True
        if version == known.version:
            self._known[model] = KnownVersion(version, max(now, known.confirmed))
        return False

    def newest(self, now: float, model: str, announced: KnownVersion | None = None) -> int | None:
        """Return the newest version, also as named by a trainer; None if it is not known now."""
        sources = [each for each in (self._known.get(model), announced) if each is not None]
        fresh = [each for each in sources if now - each.confirmed <= self._trust_seconds]
        if not fresh:
            return None
        return max(each.version for each in sources)


def check_draft(draft: Draft, newest: int | None, bound: int) -> Result[int, Failure]:
    """Return how many versions a draft is behind; refuse the hand-over of an older one."""
    if newest is None:
        return Err(Failure(ResultCode.NEWEST_UNKNOWN))
    if not draft.answer.versions:
        return Err(Failure(ResultCode.VERSION_UNKNOWN))
    behind = max(0, newest - draft.oldest_version)
    if behind > bound:
        return Err(Failure(ResultCode.DRAFT_STALE, f"{behind} versions behind"))
    return Ok(behind)
