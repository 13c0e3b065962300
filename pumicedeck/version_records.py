"""Records which weight versions were active at an agent's engine over time; no I/O."""

from dataclasses import dataclass, replace
from enum import StrEnum


class Certainty(StrEnum):
    """What is known of the active version during a span of the record.

    SWAPPING: an order to swap is in progress. UNSETTLED: an order or a restart may have taken
    effect. UNKNOWN: nothing is known of the version.
    """

    KNOWN = "known"
    SWAPPING = "swapping"
    UNSETTLED = "unsettled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """From `began`, in seconds, to the next span, one of `versions` was active.

    `versions` is empty if the version is unknown.
    """

    began: float
    certainty: Certainty
    versions: frozenset[int]


class VersionRecord:
    """The version spans of one model at one engine, newest last."""

    def __init__(self, now: float, version: int = -1) -> None:
        """Create a record from the version that the engine reports, -1 if it reports none."""
        self._spans = [_build_reported_span(now, version)]
        self._last_confirmed_at = now

    @property
    def version(self) -> int:
        """Return the active version, -1 during a swap or while it is unknown."""
        span = self._spans[-1]
        return next(iter(span.versions)) if span.certainty is Certainty.KNOWN else -1

    @property
    def accepts_drafts(self) -> bool:
        """Return whether a draft that starts now can be attributed to versions."""
        return self._spans[-1].certainty in (Certainty.KNOWN, Certainty.SWAPPING)

    @property
    def is_version_known(self) -> bool:
        """Return whether the version is known: no swap is in progress or of unknown outcome."""
        return self._spans[-1].certainty is Certainty.KNOWN

    def swap_began(self, now: float, version: int) -> None:
        """Record that an order to swap was sent."""
        span = self._spans[-1]
        if span.certainty is Certainty.UNKNOWN:
            return
        self._append(VersionSpan(now, Certainty.SWAPPING, span.versions | {version}))

    def swap_ended(self, now: float, version: int) -> None:
        """Record that the engine confirmed a swap."""
        self._append(_build_reported_span(now, version))
        self._last_confirmed_at = now

    def swap_failed(self, now: float) -> None:
        """Record that a swap failed partway, so that the version is unknown."""
        self._append(VersionSpan(now, Certainty.UNKNOWN, frozenset()))

    def swap_refused(self, now: float) -> None:
        """Record that a swap was refused without effect; the previous span applies again."""
        swapping = self._spans[-1]
        if swapping.certainty is Certainty.SWAPPING and len(self._spans) > 1:
            self._append(replace(self._spans[-2], began=now))

    def reply_lost(self, now: float) -> None:
        """Record that the reply to an order to swap was lost: it may have taken effect."""
        span = self._spans[-1]
        if span.certainty is Certainty.SWAPPING:
            self._append(VersionSpan(now, Certainty.UNSETTLED, span.versions))

    def reported(self, now: float, version: int) -> None:
        """Record the version of a state report, -1 if it has none.

        The report ends a span of unknown or unsettled version. It is ignored during a swap.
        """
        span = self._spans[-1]
        if span.certainty is Certainty.SWAPPING:
            return
        if version < 0:
            self.swap_failed(now)
        elif span.versions and version not in span.versions:
            self._record_unobserved_change(now, version)
        elif span.certainty is not Certainty.KNOWN:
            self._append(_build_reported_span(now, version))
        self._last_confirmed_at = now

    def contact_lost(self, now: float) -> None:
        """Record that the engine was unreachable, so that it may have been restarted."""
        span = self._spans[-1]
        if span.certainty is Certainty.KNOWN:
            self._append(VersionSpan(now, Certainty.UNSETTLED, span.versions))

    def possible_versions(self, start: float, end: float) -> frozenset[int] | None:
        """Return the versions that may have been active in a period; None if unknown."""
        versions: frozenset[int] = frozenset()
        for position, span in enumerate(self._spans):
            is_last = position + 1 == len(self._spans)
            if span.began > end or (not is_last and self._spans[position + 1].began < start):
                continue
            if span.certainty is Certainty.UNKNOWN:
                return None
            versions |= span.versions
        return versions or None

    def drop_spans_before(self, start: float) -> None:
        """Drop the spans that ended before `start`."""
        while len(self._spans) > 1 and self._spans[1].began < start:
            self._spans.pop(0)

    def _append(self, span: VersionSpan) -> None:
        self._spans.append(span)

    def _record_unobserved_change(self, now: float, version: int) -> None:
        # The engine was swapped or restarted at some time since the last confirmed report.
        known = self._spans[-1].versions
        candidates = frozenset(range(min(known), version + 1)) | known | {version}
        self._append(VersionSpan(self._last_confirmed_at, Certainty.SWAPPING, candidates))
        self._append(_build_reported_span(now, version))


def _build_reported_span(now: float, version: int) -> VersionSpan:
    if version < 0:
        return VersionSpan(now, Certainty.UNKNOWN, frozenset())
    return VersionSpan(now, Certainty.KNOWN, frozenset({version}))
