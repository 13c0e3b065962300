"""Decides at which software version streams of a pool begin and go on; performs no I/O.

Handles a release during which endpoints of two software versions serve side by side, while
endpoints crash and gateways are lost, cut off or restarted. A stream goes on only at the version
that began it, although the gateway at which its caller resumes it may know nothing of the first
one. A pool therefore has a base version that all gateways agree on; a stream that begins at any
other version has a record in the store before its first event is passed on. Streams of a pool with
one version need neither records nor reads.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class StreamVersionSettings:
    """Times in seconds.

    Streams begin at a version `announced_seconds` after this process learned of its announcement. A
    gateway whose knowledge of the announcements is at most `max_staleness_seconds` old, which must
    be less, therefore knows each version at which a stream may have begun.

    A version without an endpoint for `retired_seconds` is no longer announced. That is also how
    long the record of a stream is kept, which must be longer than any stream lasts.
    """

    announced_seconds: float = 3.0
    max_staleness_seconds: float = 2.0
    retired_seconds: float = 300.0


@dataclass(frozen=True, slots=True)
class PoolVersions:
    """The software versions at which streams of a pool may begin, as the pool's row says.

    Streams without a record began at `base`, which is one of `announced`.
    """

    base: str
    announced: frozenset[str]

    @property
    def has_one(self) -> bool:
        """Return whether all streams began at the same version."""
        return len(self.announced) == 1

    def encode(self) -> bytes:
        """Return the value of the pool's row as JSON."""
        return json.dumps({"base": self.base, "announced": sorted(self.announced)}).encode()


def decode_pool_versions(value: bytes) -> PoolVersions | None:
    """Decode the value of a pool's row; return None if it is invalid."""
    try:
        document = json.loads(value)
        announced = frozenset(str(each) for each in document["announced"])
        return PoolVersions(str(document["base"]), announced | {str(document["base"])})
    except (ValueError, KeyError, TypeError):
        return None


def announce_versions(known: PoolVersions | None, registered: Mapping[str, int]) -> PoolVersions:
    """Return the versions of a pool with those announced that are `registered`.

    `registered` has the number of endpoints by version. The most frequent version becomes the base
    of a pool without a row; its streams so far have records, whatever their version.
    """
    if known is None:
        base = max(sorted(registered), key=lambda version: registered[version])
        return PoolVersions(base, frozenset(registered))
    return replace(known, announced=known.announced | set(registered))


def retire_versions(known: PoolVersions, registered: Iterable[str]) -> PoolVersions:
    """Return the versions of a pool without those that have had no endpoint for a long time.

    `registered` are the versions that had one lately. If the base is not among them, another
    version becomes the base: no stream without a record can have begun at the former one.
    """
    remaining = known.announced & set(registered)
    if not remaining:
        return known
    base = known.base if known.base in remaining else min(remaining)
    return PoolVersions(base, remaining)


@dataclass(slots=True)
class PoolKnowledge:
    """What a gateway knows of a pool's versions; `announced_at` is on the process's clock."""

    versions: PoolVersions
    announced_at: dict[str, float] = field(default_factory=dict)

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
