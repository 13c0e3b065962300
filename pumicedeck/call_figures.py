"""Counts and durations of callers' requests by route, kind and outcome.

Durations are recorded in HDR histograms; the output is the text exposition format that monitoring
systems scrape.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from pumicedeck.accounts.account_figures import AccountFigures
from pumicedeck.memory_budgets import MemoryBudget

MICROSECONDS_PER_SECOND = 1_000_000
MAX_CALL_MICROSECONDS = 120 * MICROSECONDS_PER_SECOND
HISTOGRAM_SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99)
METRIC_PREFIX = "pumicedeck"


@dataclass(frozen=True, slots=True, order=True)
class CallSeries:
    """Labels for the requests of one route; `kind` is the route kind (see `RouteKind`)."""

    route: str
    kind: str


class CallMetrics:
    """Counts finished requests and records their durations."""

    def __init__(self) -> None:
        """Create empty counters and histograms."""
        self._outcome_counts: Counter[tuple[CallSeries, str]] = Counter()
        self._histograms: dict[CallSeries, HdrHistogram] = {}
        self._total_seconds: dict[CallSeries, float] = {}
        self._accounts = AccountFigures()

    def record_end(
        self, series: CallSeries, outcome: str, seconds: float, account: str = ""
    ) -> None:
        """Record a request of an account that ended with `outcome` after `seconds`."""
        self._accounts.record_end(account)
        self._outcome_counts[(series, outcome)] += 1
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_CALL_MICROSECONDS, HISTOGRAM_SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
        histogram.record_value(
            min(MAX_CALL_MICROSECONDS, max(1, round(seconds * MICROSECONDS_PER_SECOND)))
        )
        self._total_seconds[series] = self._total_seconds.get(series, 0.0) + seconds

    def lines(self) -> list[str]:
        """Return the counts and durations as lines of the exposition format."""
        lines = [
            _sample_line("calls_total", {**_labels(series), "outcome": outcome}, count)
            for (series, outcome), count in sorted(self._outcome_counts.items())
        ]
        for series, histogram in sorted(self._histograms.items()):
            labels = _labels(series)
            for quantile in QUANTILES:
                seconds = (
                    histogram.get_value_at_percentile(100 * quantile) / MICROSECONDS_PER_SECOND
                )
                lines.append(
                    _sample_line("call_seconds", {**labels, "quantile": quantile}, seconds)
                )
            lines.append(
                _sample_line("call_seconds_sum", labels, round(self._total_seconds[series], 6))
            )
            lines.append(_sample_line("call_seconds_count", labels, histogram.get_total_count()))
        lines += gauge_lines("account_calls", "account", self._accounts.named)
        if self._accounts.others:
            lines.append(gauge_line("other_accounts_calls", self._accounts.others))
        return lines


def gauge_lines(name: str, label: str, values: Mapping[str, float]) -> list[str]:
    """Return the lines of one gauge, one for each value of `label`."""
    return [_sample_line(name, {label: key}, value) for key, value in sorted(values.items())]


def gauge_line(name: str, value: float) -> str:
    """Return the line of a gauge without labels."""
    return _sample_line(name, {}, value)


def budget_lines(budget: MemoryBudget) -> list[str]:
    """Return the lines that show who holds memory for clients, and who got none or gave it up."""
    return [
        gauge_line("client_memory_limit_bytes", budget.limit_bytes),
        *gauge_lines("client_memory_bytes", "kind", budget.held_by_kind),
        *gauge_lines("client_memory_given_up_total", "kind", budget.given_up),
        *gauge_lines("client_memory_refused_total", "kind", budget.refused),
    ]


def _labels(series: CallSeries) -> dict[str, str]:
    return {"route": series.route, "kind": series.kind}


def _sample_line(name: str, labels: Mapping[str, object], value: float) -> str:
    label_text = ",".join(f'{key}="{_escape(str(each))}"' for key, each in labels.items())
    return f"{METRIC_PREFIX}_{name}{'{' + label_text + '}' if label_text else ''} {value}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
