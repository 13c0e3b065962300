"""HDR histograms of durations and counts, per firm and class."""

from dataclasses import dataclass
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from pumicedeck.catalogue_entries import RequestClass

MICROSECONDS = 1_000_000
MAX_MICROSECONDS = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 2


class Measure(StrEnum):
    """What is recorded; seconds, except staleness in weight versions.

    `TRAINER_IDLE` is the time from a draw to its last group, while its trainer has nothing to do.
    """

    QUEUE_WAIT = "queue_wait"
    FIRST_TOKEN = "first_token"
    WHOLE_ANSWER = "whole_answer"
    STALENESS = "staleness"
    TRAINER_IDLE = "trainer_idle"


@dataclass(frozen=True, slots=True)
class Series:
    """Names one histogram."""

    firm: str
    request_class: RequestClass
    measure: Measure


@dataclass(frozen=True, slots=True)
class Summary:
    """Figures of one histogram; durations in seconds, staleness in versions."""

    series: Series
    count: int
    mean: float
    p50: float
    p90: float
    p99: float
    highest: float


class Histograms:
    """Records values and summarizes them."""

    def __init__(self) -> None:
        """Start with no series."""
        self._by_series: dict[Series, HdrHistogram] = {}

    def record(self, series: Series, value: float) -> None:
        """Add one value, in seconds or versions."""
        histogram = self._by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._by_series[series] = histogram
        scaled = max(1, round(value * MICROSECONDS))
        histogram.record_value(min(MAX_MICROSECONDS, scaled))

    def summaries(self) -> tuple[Summary, ...]:
        """Return a summary of every series, ordered by name."""
        ordered = sorted(self._by_series.items(), key=lambda pair: str(pair[0]))
        return tuple(_summarize(series, histogram) for series, histogram in ordered)

    def encoded(self) -> dict[str, str]:
        """Return each histogram in the HDR interchange form, by series."""
        return {
            f"{series.firm}/{series.request_class}/{series.measure}": histogram.encode().decode()
            for series, histogram in self._by_series.items()
        }


def _summarize(series: Series, histogram: HdrHistogram) -> Summary:
    def at(percentile: float) -> float:
        return histogram.get_value_at_percentile(percentile) / MICROSECONDS

    return Summary(
        series=series,
        count=histogram.get_total_count(),
        mean=histogram.get_mean_value() / MICROSECONDS,
        p50=at(50),
        p90=at(90),
        p99=at(99),
        highest=histogram.get_max_value() / MICROSECONDS,
    )
