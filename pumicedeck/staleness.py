"""Checks the staleness of drafts immediately before their delivery; performs no I/O.

Staleness is how many weight versions a draft is behind the newest one of its model.
"""

from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.drafts import Draft
from pumicedeck.results import Failure, ResultCode

NEWEST_VERSION_TRUST_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """A newest weight version and the time, in seconds, at which it was last confirmed."""

    version: int
    confirmed_at: float


class NewestVersions:
    """The newest published weight version of each model, as far as this process knows."""

    def __init__(self, trust_seconds: float = NEWEST_VERSION_TRUST_SECONDS) -> None:
        """Treat a version as unknown `trust_seconds` after its last confirmation."""
        self._trust_seconds = trust_seconds
        self._known: dict[str, KnownVersion] = {}

    def record_published(self, now: float, model: str, version: int) -> bool:
        """Record a published version of a model; return whether it is newer than the one before."""
        known = self._known.get(model)
        if known is None or version > known.version:
            self._known[model] = KnownVersion(version, now)
            return True
        if version == known.version:
            self._known[model] = KnownVersion(version, max(now, known.confirmed_at))
        return False

    def newest_version(
        self, now: float, model: str, announced: KnownVersion | None = None
    ) -> int | None:
        """Return the newest version; None if no version was confirmed within the trust time.

        `announced` is the version that the trainer announced with its draw.
        """
        known_versions = [
            known_version
            for known_version in (self._known.get(model), announced)
            if known_version is not None
        ]
        trusted_versions = [
            known_version
            for known_version in known_versions
            if now - known_version.confirmed_at <= self._trust_seconds
        ]
        if not trusted_versions:
            return None
        return max(known_version.version for known_version in known_versions)


def check_draft(draft: Draft, newest_version: int | None, bound: int) -> Result[int, Failure]:
    """Return how many versions a draft is behind the newest one.

    Returns an error if that exceeds `bound` or if either version is unknown.
    """
    if newest_version is None:
        return Err(Failure(ResultCode.NEWEST_UNKNOWN))
    if not draft.answer.versions:
        return Err(Failure(ResultCode.VERSION_UNKNOWN))
    behind = max(0, newest_version - draft.oldest_version)
    if behind > bound:
        return Err(Failure(ResultCode.DRAFT_STALE, f"{behind} versions behind the newest"))
    return Ok(behind)
