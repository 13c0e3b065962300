"""HDR histograms of durations and of staleness, by firm, request class and measure."""

from dataclasses import dataclass
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from pumicedeck.catalogue_entries import RequestClass

# A histogram holds integers, so values are stored in millionths of a second or of a version.
MILLIONTHS_PER_UNIT = 1_000_000
MAX_MILLIONTHS = 3_600 * MILLIONTHS_PER_UNIT
SIGNIFICANT_DIGITS = 2


class Measure(StrEnum):
    """What a histogram records: seconds, but weight versions for `STALENESS`.

    `TRAINER_IDLE` is the time from the start of a draw to its last group, in which the trainer is
    idle.
    """

    QUEUE_WAIT = "queue_wait"
    FIRST_TOKEN = "first_token"
    WHOLE_ANSWER = "whole_answer"
    STALENESS = "staleness"
    TRAINER_IDLE = "trainer_idle"


@dataclass(frozen=True, slots=True)
class Series:
    """The key of one histogram."""

    firm: str
    request_class: RequestClass
    measure: Measure


@dataclass(frozen=True, slots=True)
class Summary:
    """Statistics of one histogram; durations in seconds, staleness in weight versions."""

    series: Series
    count: int
    mean: float
    p50: float
    p90: float
    p99: float
    highest: float


class Histograms:
    """Records values in one histogram per series and summarizes them."""

    def __init__(self) -> None:
        """Create an empty set of histograms."""
        self._by_series: dict[Series, HdrHistogram] = {}

    def record(self, series: Series, value: float) -> None:
        """Add a value in seconds or weight versions; values above 3600 count as 3600."""
        histogram = self._by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_MILLIONTHS, SIGNIFICANT_DIGITS)
            self._by_series[series] = histogram
        millionths = max(1, round(value * MILLIONTHS_PER_UNIT))
        histogram.record_value(min(MAX_MILLIONTHS, millionths))

    def summaries(self) -> tuple[Summary, ...]:
        """Return the summary of every series, ordered by the series' text."""
        ordered = sorted(self._by_series.items(), key=lambda pair: str(pair[0]))
        return tuple(_summarize(series, histogram) for series, histogram in ordered)

    def encoded_histograms(self) -> dict[str, str]:
        """Return each histogram in the encoding of HdrHistogram, by `firm/class/measure`."""
        return {
            f"{series.firm}/{series.request_class}/{series.measure}": histogram.encode().decode()
            for series, histogram in self._by_series.items()
        }


def _summarize(series: Series, histogram: HdrHistogram) -> Summary:
    def value_at(percentile: float) -> float:
        return histogram.get_value_at_percentile(percentile) / MILLIONTHS_PER_UNIT

    return Summary(
        series=series,
        count=histogram.get_total_count(),
        mean=histogram.get_mean_value() / MILLIONTHS_PER_UNIT,
        p50=value_at(50),
        p90=value_at(90),
        p99=value_at(99),
        highest=histogram.get_max_value() / MILLIONTHS_PER_UNIT,
    )
