"""Counts and durations of callers' requests by route, kind and outcome, and their text form.

The text form is the exposition format that monitoring systems read; HDR histograms keep the
durations.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 120 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99)
PREFIX = "pumicedeck"


@dataclass(frozen=True, slots=True, order=True)
class CallSeries:
    """Names the requests of one route; `kind` says what may be repeated."""

    route: str
    kind: str


class CallFigures:
    """Takes in the end of each request."""

    def __init__(self) -> None:
        """Begin without requests."""
        self._ends: Counter[tuple[CallSeries, str]] = Counter()
        self._durations: dict[CallSeries, HdrHistogram] = {}
        self._seconds: dict[CallSeries, float] = {}

    def record_end(self, series: CallSeries, outcome: str, seconds: float) -> None:
        """Count a request that ended with `outcome` after `seconds`."""
        self._ends[(series, outcome)] += 1
        histogram = self._durations.get(series)
        if histogram is None:
            histogram = HdrHistogram(1, LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._durations[series] = histogram
        histogram.record_value(min(LONGEST_MICROSECONDS, max(1, round(seconds * MICROSECONDS))))
        self._seconds[series] = self._seconds.get(series, 0.0) + seconds

    def lines(self) -> list[str]:
        """Return the counts and durations as text."""
        lines = [
            _line("calls_total", {**_labels(series), "outcome": outcome}, count)
            for (series, outcome), count in sorted(self._ends.items())
        ]
        for series, histogram in sorted(self._durations.items()):
            labels = _labels(series)
            for quantile in QUANTILES:
                seconds = histogram.get_value_at_percentile(100 * quantile) / MICROSECONDS
                lines.append(_line("call_seconds", {**labels, "quantile": quantile}, seconds))
            lines.append(_line("call_seconds_sum", labels, round(self._seconds[series], 6)))
            lines.append(_line("call_seconds_count", labels, histogram.get_total_count()))
        return lines


def gauge_lines(name: str, label: str, values: Mapping[str, float]) -> list[str]:
    """Return one gauge by the values of a label."""
    return [_line(name, {label: key}, value) for key, value in sorted(values.items())]


def gauge_line(name: str, value: float) -> str:
    """Return one gauge without labels."""
    return _line(name, {}, value)


def _labels(series: CallSeries) -> dict[str, str]:
    return {"route": series.route, "kind": series.kind}


def _line(name: str, labels: Mapping[str, object], value: float) -> str:
    inside = ",".join(f'{key}="{_escape(str(each))}"' for key, each in labels.items())
    return f"{PREFIX}_{name}{'{' + inside + '}' if inside else ''} {value}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
