"""Records the outcomes, latencies and goodput over time of one run of an experiment."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from pumicedeck.experiment_files import Experiment, LoadSpec
from pumicedeck.experiment_loads import Arrival
from pumicedeck.results import ResultCode

WINDOW_SECONDS = 5.0
RECOVERY_WINDOWS = 3
RECOVERED_FRACTION = 0.9
MICROSECONDS_PER_SECOND = 1_000_000
_MAX_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS_PER_SECOND


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """Results of one load; latencies in seconds, `tokens_per_second` of complete answers only."""

    entry: str
    firm: str
    request_class: str
    offered: int
    whole: int
    refused: int
    failed: int
    p50: float
    p90: float
    p99: float
    tokens_per_second: float
    offered_tokens_per_second: float
    latencies: HdrHistogram = field(compare=False, repr=False)


def pooled_percentile(figures: Iterable[LoadFigures], percentile: float) -> float:
    """Return a latency percentile in seconds over the requests of several loads."""
    combined = _new_histogram()
    for each in figures:
        combined.add(each.latencies)
    return combined.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, 3)


@dataclass(frozen=True, slots=True)
class RunFigures:
    """Results of one policy with one seed.

    `goodput` and `capacity` are in tokens per second, one value for each window of 5 s.
    """

    policy: str
    seed: int
    loads: tuple[LoadFigures, ...]
    attempts_per_request: float
    prefix_hit_rate: float
    paid_bytes: int
    utilization: float
    recovery_seconds: float | None
    goodput: tuple[float, ...]
    capacity: tuple[float, ...]

    def load(self, entry: str) -> LoadFigures:
        """Return the figures of the load on a catalogue entry."""
        return next(each for each in self.loads if each.entry == entry)

    def goodput_fraction(self, start: float, end: float) -> float:
        """Return goodput divided by the capacity of the live endpoints, between two seconds."""
        first, last = int(start / WINDOW_SECONDS), int(end / WINDOW_SECONDS)
        return sum(self.goodput[first:last]) / sum(self.capacity[first:last])


@dataclass(slots=True)
class _Tally:
    """Counts of one load, of requests that arrive after the warm-up."""

    load: LoadSpec
    offered: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    offered_tokens: int = 0
    latencies: HdrHistogram = field(default_factory=_new_histogram)


class Recorder:
    """Counts arrivals and outcomes of one run.

    Requests that arrive during the warm-up count only in `requests` and in the time series.
    """

    def __init__(self, experiment: Experiment) -> None:
        """Create an empty recorder for the loads of an experiment."""
        self._experiment = experiment
        self._tallies = {each.entry: _Tally(each) for each in experiment.loads}
        self._completed_tokens_by_end: defaultdict[int, float] = defaultdict(float)
        self._offered_tokens_by_arrival: defaultdict[int, float] = defaultdict(float)
        self._completed_tokens_by_arrival: defaultdict[int, float] = defaultdict(float)
        self.requests = 0

    def request_arrived(self, arrival: Arrival) -> None:
        """Record the arrival of a request."""
        self.requests += 1
        self._offered_tokens_by_arrival[_window(arrival.time)] += arrival.work
        if arrival.time >= self._experiment.warmup:
            tally = self._tallies[arrival.load.entry]
            tally.offered += 1
            tally.offered_tokens += arrival.tokens

    def request_ended(self, now: float, arrival: Arrival, code: ResultCode) -> None:
        """Record the end of a request at `now` with its result code."""
        if code is ResultCode.OK:
            self._completed_tokens_by_end[_window(now)] += arrival.work
            self._completed_tokens_by_arrival[_window(arrival.time)] += arrival.work
        if arrival.time < self._experiment.warmup:
            return
        tally = self._tallies[arrival.load.entry]
        tally.outcomes[_outcome(code)] += 1
        if code is ResultCode.OK:
            tally.tokens += arrival.tokens
            tally.latencies.record_value(
                max(1, round((now - arrival.time) * MICROSECONDS_PER_SECOND))
            )

    def load_figures(self) -> tuple[LoadFigures, ...]:
        """Return the figures of all loads."""
        seconds = self._experiment.seconds - self._experiment.warmup
        return tuple(_load_figures(each, seconds) for each in self._tallies.values())

    def goodput(self) -> tuple[float, ...]:
        """Return the tokens per second of complete answers, by the window in which they ended."""
        count = int(self._experiment.seconds / WINDOW_SECONDS)
        return tuple(self._completed_tokens_by_end[each] / WINDOW_SECONDS for each in range(count))

    def recovery_seconds(self, capacity: tuple[float, ...]) -> float | None:
        """Return the seconds from the fault until goodput matches load and capacity again.

        Goodput is evaluated over 15 s from each window on. If the load exceeds the remaining
        capacity, the tokens of completed answers must reach 90% of that capacity; otherwise the
        completely answered arrivals must make up 90% of the offered ones. None without a fault.
        """
        start = self._experiment.recovery_from
        if start is None:
            return None
        windows = range(_window(start), _window(self._experiment.seconds))
        capacity_tokens = sum(capacity[each] for each in windows) * WINDOW_SECONDS
        overloaded = (
            sum(self._offered_tokens_by_arrival[each] for each in windows) > capacity_tokens
        )
        is_recovered = self._uses_capacity if overloaded else self._serves_arrivals
        degraded = [each for each in windows if not is_recovered(each, capacity)]
        return 0.0 if not degraded else (max(degraded) + 1) * WINDOW_SECONDS - start

    def _serves_arrivals(self, window: int, capacity: tuple[float, ...]) -> bool:
        windows = _evaluated_windows(window, capacity)
        offered = sum(self._offered_tokens_by_arrival[each] for each in windows)
        completed = sum(self._completed_tokens_by_arrival[each] for each in windows)
        return completed >= RECOVERED_FRACTION * offered

    def _uses_capacity(self, window: int, capacity: tuple[float, ...]) -> bool:
        windows = _evaluated_windows(window, capacity)
        capacity_tokens = sum(capacity[each] for each in windows) * WINDOW_SECONDS
        completed = sum(self._completed_tokens_by_end[each] for each in windows)
        return completed >= RECOVERED_FRACTION * capacity_tokens


def _evaluated_windows(window: int, capacity: tuple[float, ...]) -> range:
    return range(window, min(window + RECOVERY_WINDOWS, len(capacity)))


def _window(now: float) -> int:
    return int(now / WINDOW_SECONDS)


def _outcome(code: ResultCode) -> str:
    if code is ResultCode.OK:
        return "whole"
    return "refused" if code.info.execution == "not_run" else "failed"


def _load_figures(tally: _Tally, seconds: float) -> LoadFigures:
    def latency_seconds(percentile: float) -> float:
        return tally.latencies.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND

    return LoadFigures(
        entry=tally.load.entry,
        firm=tally.load.firm,
        request_class=str(tally.load.request_class),
        offered=tally.offered,
        whole=tally.outcomes["whole"],
        refused=tally.outcomes["refused"],
        failed=tally.outcomes["failed"],
        p50=latency_seconds(50),
        p90=latency_seconds(90),
        p99=latency_seconds(99),
        tokens_per_second=tally.tokens / seconds,
        offered_tokens_per_second=tally.offered_tokens / seconds,
        latencies=tally.latencies,
    )
