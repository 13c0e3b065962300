"""True time and its windows from the store's clock and one agreed offset; free of I/O.

The load is VMs whose time of day is stepped by seconds, forward and back, each at other times. The
store's clock is steady, so all gateways compute windows from it. What is added to it is the median
of what the VMs hold to be true, agreed on once and kept.
"""

import json
from collections.abc import Collection
from dataclasses import dataclass
from math import floor
from statistics import median

from pumicedeck.json_documents import MAX_INTEGER, decode_document, read_integer, read_number

MIN_OFFSETS = 3
# Within this distance the agreed offset is as good as any other.
MAX_DIFFERENCE_SECONDS = 0.5
# A step of the time of day lasts for seconds and may hit most VMs; a wrong offset lasts.
PERSISTENCE_SECONDS = 15.0
# How long the first agreement waits for MIN_OFFSETS and a majority of the members, so that one
# stepped VM that starts first, or two out of the first three, do not decide.
MAJORITY_WAIT_SECONDS = 2.0
# Until a new offset is in force, each gateway reads the row at least once.
CHANGE_DELAY_SECONDS = 12.0


@dataclass(frozen=True, slots=True)
class AgreedTime:
    """True time is the store's time plus `offset` from the store second `since` on.

    Before `since` it is the store's time plus `former`. `first_window` is the first that is
    reported. All in seconds.
    """

    offset: float
    since: float
    former: float
    first_window: int

    def true_seconds(self, store_seconds: float) -> float:
        """Return the seconds since the start of 1970 in true time at a time of the store."""
        return store_seconds + (self.offset if store_seconds >= self.since else self.former)

    def encode(self) -> bytes:
        """Return the value of the row that all gateways read."""
        document = {
            "offset": self.offset,
            "since": self.since,
            "former": self.former,
            "first_window": self.first_window,
        }
        return json.dumps(document).encode()


def decode_agreed_time(value: bytes) -> AgreedTime | None:
    """Decode the row's value; return None if it is invalid."""
    return decode_document(
        value,
        lambda document: AgreedTime(
            read_number(document, "offset"),
            read_number(document, "since"),
            read_number(document, "former"),
            read_integer(document, "first_window", lowest=-MAX_INTEGER),
        ),
    ).unwrap_or(None)


@dataclass(frozen=True, slots=True)
class OffsetReport:
    """One gateway's time of day less the store's time, in seconds.

    `started` is the store second at which the gateway started.
    """

    offset: float
    started: float

    def encode(self) -> bytes:
        """Return the value of the gateway's row."""
        return json.dumps({"offset": self.offset, "started": self.started}).encode()


def decode_offset_report(value: bytes) -> OffsetReport | None:
    """Decode a gateway's row; return None if it is invalid."""
    return decode_document(
        value,
        lambda document: OffsetReport(
            read_number(document, "offset"), read_number(document, "started")
        ),
    ).unwrap_or(None)


def window_of(true_seconds: float, window_seconds: float) -> int:
    """Return the number of the window that a moment of true time is in."""
    return floor(true_seconds / window_seconds)


class TimeAgreement:
    """Decides, at the holder of the duty, which offset all gateways use."""

    def __init__(self, window_seconds: float) -> None:
        """Decide for windows of this length."""
        self._window_seconds = window_seconds
        self._first_seen: float | None = None
        self._differs_since: float | None = None

    def decide(
        self,
        now: float,
        reports: Collection[OffsetReport],
        members: int,
        agreed: AgreedTime | None,
    ) -> AgreedTime | None:
        """Return a new agreement to write, None to keep the present one or to wait.

        `now` is the store's time in seconds, `members` how many gateways are known.
        """
        if not reports:
            return None
        middle = median(report.offset for report in reports)
        has_majority = 2 * len(reports) > members
        if agreed is None:
            if self._first_seen is None:
                self._first_seen = now
            waited = now - self._first_seen >= MAJORITY_WAIT_SECONDS
            enough = MIN_OFFSETS if not waited else min(MIN_OFFSETS, members)
            if len(reports) < enough or not (has_majority or waited):
                return None
            started = min(report.started for report in reports)
            first = window_of(started + middle, self._window_seconds)
            return AgreedTime(middle, 0.0, middle, first)
        is_pending = now < agreed.since
        if not has_majority or is_pending or abs(middle - agreed.offset) <= MAX_DIFFERENCE_SECONDS:
            self._differs_since = None
            return None
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < PERSISTENCE_SECONDS:
            return None
        self._differs_since = None
        since = now + CHANGE_DELAY_SECONDS
        return AgreedTime(middle, since, agreed.offset, agreed.first_window)
