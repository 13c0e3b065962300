"""An agent's own record of the weight versions in force at its engine over time; free of I/O."""

from dataclasses import dataclass, replace
from enum import StrEnum


class Certainty(StrEnum):
    """What is known of the version in force during a span of the record."""

    KNOWN = "known"
    SWAPPING = "swapping"
    UNSETTLED = "unsettled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """From `began` to the next span one of `versions` was in force, or nobody can say."""

    began: float
    certainty: Certainty
    versions: frozenset[int]


class VersionRecord:
    """The spans of one model at one engine, newest last."""

    def __init__(self, now: float, version: int = -1) -> None:
        """Begin with the version that the engine reports, -1 if it reports none."""
        self._spans = [_known(now, version)]
        self._confirmed = now

    @property
    def version(self) -> int:
        """Return the version in force, -1 while it is swapped or not known."""
        span = self._spans[-1]
        return next(iter(span.versions)) if span.certainty is Certainty.KNOWN else -1

    @property
    def accepts_drafts(self) -> bool:
        """Tell whether a draft that starts now can be attributed."""
        return self._spans[-1].certainty in (Certainty.KNOWN, Certainty.SWAPPING)

    @property
    def settled(self) -> bool:
        """Tell whether no order is under way or without a known end."""
        return self._spans[-1].certainty is Certainty.KNOWN

    def swap_began(self, now: float, version: int) -> None:
        """Record that an order to swap was sent."""
        span = self._spans[-1]
        if span.certainty is Certainty.UNKNOWN:
            return
        self._append(VersionSpan(now, Certainty.SWAPPING, span.versions | {version}))

    def swap_ended(self, now: float, version: int) -> None:
        """Record that the engine confirmed a swap."""
        self._append(_known(now, version))
        self._confirmed = now

    def swap_failed(self, now: float) -> None:
        """Record that a swap failed partway."""
        self._append(VersionSpan(now, Certainty.UNKNOWN, frozenset()))

    def swap_refused(self, now: float) -> None:
        """Record that a swap was refused without effect."""
        swapping = self._spans[-1]
        if swapping.certainty is Certainty.SWAPPING and len(self._spans) > 1:
            self._append(replace(self._spans[-2], began=now))

    def reply_lost(self, now: float) -> None:
        """Record that it is not known whether the order to swap took effect."""
        span = self._spans[-1]
        if span.certainty is Certainty.SWAPPING:
            self._append(VersionSpan(now, Certainty.UNSETTLED, span.versions))

    def reported(self, now: float, version: int) -> None:
        """Take in the version of a state report; it settles what was not known."""
        span = self._spans[-1]
        if span.certainty is Certainty.SWAPPING:
            return
        if version < 0:
            self.swap_failed(now)
        elif span.versions and version not in span.versions:
            self._widen_unseen(now, version)
        elif span.certainty is not Certainty.KNOWN:
            self._append(_known(now, version))
        self._confirmed = now

    def contact_lost(self, now: float) -> None:
        """Record that the engine could not be reached, so that it may have been restarted."""
        span = self._spans[-1]
        if span.certainty is Certainty.KNOWN:
            self._append(VersionSpan(now, Certainty.UNSETTLED, span.versions))

    def possible_versions(self, start: float, end: float) -> frozenset[int] | None:
        """Return the versions that may have been in force; None if nobody can say."""
        versions: frozenset[int] = frozenset()
        for position, span in enumerate(self._spans):
            last = position + 1 == len(self._spans)
            if span.began > end or (not last and self._spans[position + 1].began < start):
                continue
            if span.certainty is Certainty.UNKNOWN:
                return None
            versions |= span.versions
        return versions or None

    def forget_before(self, start: float) -> None:
        """Drop the spans that ended before `start`."""
        while len(self._spans) > 1 and self._spans[1].began < start:
            self._spans.pop(0)

    def _append(self, span: VersionSpan) -> None:
        self._spans.append(span)

    def _widen_unseen(self, now: float, version: int) -> None:
        # The engine was swapped or restarted at some moment since the last confirmation.
        known = self._spans[-1].versions
        between = frozenset(range(min(known), version + 1)) | known | {version}
        self._append(VersionSpan(self._confirmed, Certainty.SWAPPING, between))
        self._append(_known(now, version))


def _known(now: float, version: int) -> VersionSpan:
    if version < 0:
        return VersionSpan(now, Certainty.UNKNOWN, frozenset())
    return VersionSpan(now, Certainty.KNOWN, frozenset({version}))
