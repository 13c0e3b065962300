"""Figures of one run of an experiment: outcomes, latencies and goodput over time."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from pumicedeck.experiment_files import Experiment, LoadSpec
from pumicedeck.experiment_loads import Arrival
from pumicedeck.results import ResultCode

WINDOW_SECONDS = 5.0
JUDGED_WINDOWS = 3
RECOVERED_FRACTION = 0.9
MICROSECONDS = 1_000_000
_HIGHEST = 3_600 * MICROSECONDS


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """What one load got; latencies in seconds, tokens a second of whole answers."""

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
    """Return a percentile in seconds over several loads together."""
    pool = _new_histogram()
    for each in figures:
        pool.add(each.latencies)
    return pool.get_value_at_percentile(percentile) / MICROSECONDS


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _HIGHEST, 3)


@dataclass(frozen=True, slots=True)
class RunFigures:
    """What one policy reached with one seed; `goodput` is a series of tokens a second."""

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
        """Return the figures of one load."""
        return next(each for each in self.loads if each.entry == entry)

    def goodput_fraction(self, start: float, end: float) -> float:
        """Return tokens of whole answers over the tokens that the endpoints left could make."""
        first, last = int(start / WINDOW_SECONDS), int(end / WINDOW_SECONDS)
        return sum(self.goodput[first:last]) / sum(self.capacity[first:last])


@dataclass(slots=True)
class _Tally:
    load: LoadSpec
    offered: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    offered_tokens: int = 0
    latencies: HdrHistogram = field(default_factory=_new_histogram)


class Recorder:
    """Counts what happens in one run; the warm-up is left out of all but the time series."""

    def __init__(self, experiment: Experiment) -> None:
        """Record for an experiment."""
        self._experiment = experiment
        self._tallies = {each.entry: _Tally(each) for each in experiment.loads}
        self._done: defaultdict[int, float] = defaultdict(float)
        self._offered_work: defaultdict[int, float] = defaultdict(float)
        self._whole_work: defaultdict[int, float] = defaultdict(float)
        self.requests = 0

    def offered(self, arrival: Arrival) -> None:
        """Count an arrival."""
        self.requests += 1
        self._offered_work[_window(arrival.time)] += arrival.work
        if arrival.time >= self._experiment.warmup:
            tally = self._tallies[arrival.load.entry]
            tally.offered += 1
            tally.offered_tokens += arrival.tokens

    def request_ended(self, now: float, arrival: Arrival, code: ResultCode) -> None:
        """Count the end of a request."""
        if code is ResultCode.OK:
            self._done[_window(now)] += arrival.work
            self._whole_work[_window(arrival.time)] += arrival.work
        if arrival.time < self._experiment.warmup:
            return
        tally = self._tallies[arrival.load.entry]
        tally.outcomes[_outcome(code)] += 1
        if code is ResultCode.OK:
            tally.tokens += arrival.tokens
            tally.latencies.record_value(max(1, round((now - arrival.time) * MICROSECONDS)))

    def load_figures(self) -> tuple[LoadFigures, ...]:
        """Return the figures of all loads."""
        seconds = self._experiment.seconds - self._experiment.warmup
        return tuple(_load_figures(each, seconds) for each in self._tallies.values())

    def goodput(self) -> tuple[float, ...]:
        """Return tokens a second of whole answers, by window of their end."""
        count = int(self._experiment.seconds / WINDOW_SECONDS)
        return tuple(self._done[each] / WINDOW_SECONDS for each in range(count))

    def recovery_seconds(self, capacity: tuple[float, ...]) -> float | None:
        """Return how long after the fault goodput was again what load and capacity allow.

        It is judged over 15 s at a time: by the tokens that ended if the load exceeds the
        capacity that is left, else by the arrivals that were served whole.
        """
        start = self._experiment.recovery_from
        if start is None:
            return None
        windows = range(_window(start), _window(self._experiment.seconds))
        room = sum(capacity[each] for each in windows) * WINDOW_SECONDS
        overloaded = sum(self._offered_work[each] for each in windows) > room
        judge = self._is_busy if overloaded else self._is_served
        bad = [each for each in windows if not judge(each, capacity)]
        return 0.0 if not bad else (max(bad) + 1) * WINDOW_SECONDS - start

    def _is_served(self, window: int, capacity: tuple[float, ...]) -> bool:
        windows = _judged(window, capacity)
        offered = sum(self._offered_work[each] for each in windows)
        whole = sum(self._whole_work[each] for each in windows)
        return whole >= RECOVERED_FRACTION * offered

    def _is_busy(self, window: int, capacity: tuple[float, ...]) -> bool:
        windows = _judged(window, capacity)
        room = sum(capacity[each] for each in windows) * WINDOW_SECONDS
        request_ended = sum(self._done[each] for each in windows)
        return request_ended >= RECOVERED_FRACTION * room


def _judged(window: int, capacity: tuple[float, ...]) -> range:
    return range(window, min(window + JUDGED_WINDOWS, len(capacity)))


def _window(now: float) -> int:
    return int(now / WINDOW_SECONDS)


def _outcome(code: ResultCode) -> str:
    if code is ResultCode.OK:
        return "whole"
    return "refused" if code.info.execution == "not_run" else "failed"


def _load_figures(tally: _Tally, seconds: float) -> LoadFigures:
    def at(percentile: float) -> float:
        return tally.latencies.get_value_at_percentile(percentile) / MICROSECONDS

    return LoadFigures(
        entry=tally.load.entry,
        firm=tally.load.firm,
        request_class=str(tally.load.request_class),
        offered=tally.offered,
        whole=tally.outcomes["whole"],
        refused=tally.outcomes["refused"],
        failed=tally.outcomes["failed"],
        p50=at(50),
        p90=at(90),
        p99=at(99),
        tokens_per_second=tally.tokens / seconds,
        offered_tokens_per_second=tally.offered_tokens / seconds,
        latencies=tally.latencies,
    )
