"""Decides at which software version streams of a pool begin and go on; performs no I/O.

Handles a release during which endpoints of two software versions serve side by side, while
endpoints crash and gateways are lost, cut off or restarted. A stream goes on only at the version
that began it, although the gateway at which its caller resumes it may know nothing of the first
one. A pool therefore has a base version that all gateways agree on; a stream that begins at any
other version has a record in the store before its first event is passed on. Streams of a pool with
one version need neither records nor reads.
"""

import json
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from pumicedeck.json_documents import decode_document, read_number


@dataclass(frozen=True, slots=True)
class StreamVersionSettings:
    """Times in seconds.

    Streams begin at a version `announced_seconds` after this process learned of its announcement. A
    gateway whose knowledge of the announcements is at most `max_staleness_seconds` old, which must
    be less, therefore knows each version at which a stream may have begun.

    A version that has had no endpoint for `left_seconds`, while others had, has left. Records are
    kept for `retired_seconds`, which must be longer than any stream lasts. For that time after a
    base has left, streams may begin without a record; a new base holds after `new_base_seconds`,
    so that none of them can still be resumed. Streams begin at the base without a record while
    the knowledge of it is at most `max_base_age_seconds` old, which must be less than the time from
    when a base has left until the next one holds.
    """

    announced_seconds: float = 3.0
    max_staleness_seconds: float = 2.0
    left_seconds: float = 10.0
    retired_seconds: float = 300.0
    new_base_seconds: float = 600.0
    max_base_age_seconds: float = 60.0


@dataclass(frozen=True, slots=True)
class PoolVersions:
    """The software versions at which streams of a pool may begin, as the pool's row says.

    Streams without a record began at `base`, which is one of `announced`; while it is empty, nobody
    can tell where they began. Records may name `former` versions, at which none begins. The base or
    the former versions changed last at `since` on the store's clock, 0 without such a change.
    """

    base: str
    announced: frozenset[str]
    former: frozenset[str] = frozenset()
    since: float = 0.0

    @property
    def has_one(self) -> bool:
        """Return whether all streams began at the same version."""
        return bool(self.base) and self.announced | self.former == {self.base}

    def encode(self) -> bytes:
        """Return the value of the pool's row as JSON."""
        document = {"base": self.base, "announced": sorted(self.announced)}
        if self.since:
            document |= {"former": sorted(self.former), "since": round(self.since, 3)}
        return json.dumps(document).encode()


def decode_pool_versions(value: bytes) -> PoolVersions | None:
    """Decode the value of a pool's row; return None if it is invalid."""
    return decode_document(value, _build_pool_versions).unwrap_or(None)


def _build_pool_versions(document) -> PoolVersions:
    base = str(document["base"])
    announced = frozenset(str(each) for each in document["announced"])
    former = frozenset(str(each) for each in document.get("former", ()))
    since = read_number(document, "since") if "since" in document else 0.0
    return PoolVersions(base, announced | ({base} - {""}), former, since)


def announce_versions(known: PoolVersions | None, registered: Mapping[str, int]) -> PoolVersions:
    """Return the versions of a pool with those announced that are `registered`.

    `registered` has the number of endpoints by version. The most frequent version becomes the base
    of a pool without a row, in which no stream has begun.
    """
    if known is None:
        return PoolVersions(_most_frequent(registered), frozenset(registered))
    announced = known.announced | set(registered)
    return replace(known, announced=announced, former=known.former - announced)


def leave_versions(known: PoolVersions, left: Collection[str], now: float) -> PoolVersions:
    """Return the versions of a pool after the endpoints of those in `left` have left.

    The base does not pass to another version at once, since a gateway that is cut off from the
    store may still begin streams at it; until then each stream has a record. `now` is on the
    store's clock.
    """
    leaving = known.announced & frozenset(left)
    if not leaving or leaving == known.announced:
        return known
    base = "" if known.base in leaving else known.base
    return PoolVersions(base, known.announced - leaving, known.former | leaving, now)


def settle_versions(
    known: PoolVersions, registered: Mapping[str, int], now: float, settings: StreamVersionSettings
) -> PoolVersions:
    """Return the versions of a pool once no stream that began before `since` can be resumed.

    Former versions are forgotten, and the most frequent version becomes the base if there is none.
    `now` is on the store's clock.
    """
    candidates = {each: number for each, number in registered.items() if each in known.announced}
    if not known.since or now - known.since < settings.new_base_seconds or not candidates:
        return known
    return PoolVersions(known.base or _most_frequent(candidates), known.announced)


def may_omit_record(known: PoolVersions, now: float, settings: StreamVersionSettings) -> bool:
    """Return whether a stream may begin without a record that cannot be written.

    Each gateway knows that there is no base, and so refuses to resume it; and it has ended before
    there is one. `now` is on the store's clock.
    """
    age_seconds = now - known.since
    return not known.base and settings.announced_seconds <= age_seconds < settings.retired_seconds


def _most_frequent(registered: Mapping[str, int]) -> str:
    return max(sorted(registered), key=lambda version: registered[version])


@dataclass(slots=True)
class PoolKnowledge:
    """What a gateway knows of a pool's versions; times are on the process's clock.

    The versions that have no endpoint while others have are in `absent_since`.
    """

    versions: PoolVersions
    announced_at: dict[str, float] = field(default_factory=dict)
    absent_since: dict[str, float] = field(default_factory=dict)

    def update(self, versions: PoolVersions, now: float) -> None:
        """Take over the row of the pool."""
        self.versions = versions
        self.announced_at = {
            version: self.announced_at.get(version, now) for version in versions.announced
        }

    def may_begin(self, version: str, now: float, settings: StreamVersionSettings) -> bool:
        """Return whether each gateway that may resume a stream knows of a version by now."""
        announced_at = self.announced_at.get(version)
        return announced_at is not None and now - announced_at >= settings.announced_seconds

    def observe(
        self, registered: Mapping[str, int], now: float, settings: StreamVersionSettings
    ) -> set[str]:
        """Record which versions have endpoints now; return those that have left."""
        missing = self.versions.announced - set(registered) if registered else frozenset()
        self.absent_since = {each: self.absent_since.get(each, now) for each in missing}
        return {each for each, at in self.absent_since.items() if now - at >= settings.left_seconds}
