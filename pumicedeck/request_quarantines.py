"""Decides which requests reach no endpoint for now, since several ended under them; free of I/O.

The load is a request that crashes each endpoint that begins to run it and that comes again under
new ids at any gateway. Other requests run beside it and lose their endpoint too, connections break
without a crash, and many endpoints may end at once for another reason: a request is quarantined
only for endpoints that ended one after the other, and none of it counts once the request is served
or the endpoint answers again.
"""

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from math import inf

from pumicedeck.json_documents import decode_document, read_integer, read_number, read_text

# Endpoints that end within this time under overlapping runs may have ended for one reason; gateways
# in another region hear of it 30 ms later.
ONE_EVENT_SECONDS = 0.05
# By how much the estimates of the store's clock differ between gateways.
CLOCK_TOLERANCE_SECONDS = 0.05
# An answer to a request that was sent that long after a crash comes from a process that lives.
REFUTED_AFTER_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Crash:
    """A run of a request at which its endpoint closed the connection without an answer.

    `fingerprint` is that of the request; times are in seconds of the store's clock.
    """

    fingerprint: str
    endpoint: str
    incarnation: int
    began_at: float
    ended_at: float

    @property
    def key(self) -> str:
        """Return the key of the row that tells other gateways of the crash."""
        return f"{self.fingerprint}.{self.endpoint}.{self.incarnation}"


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """A request is quarantined after `max_crashes`, each of which counts for `lifetime_seconds`."""

    max_crashes: float = 3
    lifetime_seconds: float = 3600.0


class RequestQuarantine:
    """The crashes that this process knows of, its own and those that other gateways reported."""

    def __init__(self, settings: QuarantineSettings | None = None) -> None:
        """Create a quarantine that knows of no crash."""
        self._settings = settings or QuarantineSettings()
        self._crashes: dict[str, Crash] = {}
        self._keys_by_fingerprint: dict[str, set[str]] = defaultdict(set)
        self._keys_by_endpoint: dict[str, set[str]] = defaultdict(set)

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """Return all known crashes."""
        return tuple(self._crashes.values())

    def knows(self, crash: Crash) -> bool:
        """Return whether a crash is known and was not withdrawn."""
        return crash.key in self._crashes

    def add(self, crash: Crash) -> None:
        """Add a crash; a second one of the same request at the same endpoint changes nothing."""
        if crash.key in self._crashes:
            return
        self._crashes[crash.key] = crash
        self._keys_by_fingerprint[crash.fingerprint].add(crash.key)
        self._keys_by_endpoint[crash.endpoint].add(crash.key)

    def remove(self, key: str) -> None:
        """Remove a crash by its key."""
        crash = self._crashes.pop(key, None)
        if crash is not None:
            _discard(self._keys_by_fingerprint, crash.fingerprint, key)
            _discard(self._keys_by_endpoint, crash.endpoint, key)

    def under(self, fingerprint: str) -> list[Crash]:
        """Return the crashes under a request, the earliest first."""
        keys = self._keys_by_fingerprint.get(fingerprint, ())
        return sorted((self._crashes[key] for key in keys), key=lambda crash: crash.ended_at)

    def refuted_by(self, endpoint: str, incarnation: int, sent_at: float) -> list[Crash]:
        """Return the crashes that did not happen if an endpoint answers a request of `sent_at`."""
        keys = self._keys_by_endpoint.get(endpoint, ())
        return [
            crash
            for crash in (self._crashes[key] for key in keys)
            if crash.incarnation == incarnation and sent_at > crash.ended_at + REFUTED_AFTER_SECONDS
        ]

    def expired(self, now: float) -> list[Crash]:
        """Return the crashes that no longer count."""
        oldest = now - self._settings.lifetime_seconds
        return [crash for crash in self._crashes.values() if crash.ended_at < oldest]

    def seconds_left(self, fingerprint: str, now: float) -> float:
        """Return for how many seconds a request is quarantined, 0 if it is not."""
        if fingerprint not in self._keys_by_fingerprint:
            return 0.0
        oldest = now - self._settings.lifetime_seconds
        counted = _separate_events(
            crash for crash in self.under(fingerprint) if crash.ended_at >= oldest
        )
        if len(counted) < self._settings.max_crashes:
            return 0.0
        decisive = counted[-int(self._settings.max_crashes)]
        return decisive.ended_at + self._settings.lifetime_seconds - now


def encode_crash(crash: Crash) -> bytes:
    """Encode the value of a crash's row."""
    return json.dumps(asdict(crash)).encode()


def decode_crash(value: bytes) -> Crash | None:
    """Decode the value of a crash's row; return None if it is invalid."""
    return decode_document(value, _build_crash).unwrap_or(None)


def _build_crash(document) -> Crash:
    return Crash(
        read_text(document, "fingerprint"),
        read_text(document, "endpoint"),
        read_integer(document, "incarnation"),
        read_number(document, "began_at"),
        read_number(document, "ended_at"),
    )


def _separate_events(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes, in the order of their ends, that cannot have one common reason."""
    counted: list[Crash] = []
    last_end = -inf
    for crash in crashes:
        follows = crash.began_at >= last_end - CLOCK_TOLERANCE_SECONDS
        if follows or crash.ended_at - last_end > ONE_EVENT_SECONDS:
            counted.append(crash)
        last_end = crash.ended_at
    return counted


def _discard(index: dict[str, set[str]], name: str, key: str) -> None:
    index[name].discard(key)
    if not index[name]:
        del index[name]
