"""Estimates how long slow phases of engines last, and what leaving an engine gains; free of I/O.

The load is engines that are a few times as slow for a fraction of a second again and again, some
that are a little slower for good, and now and then one that turns slow for seconds. Only the last
ones are worth leaving, since the engine that continues an item processes its prompt again. How long
slow phases last is counted for each pool. A phase older than those counted is expected to last, so
a pool without counted phases is treated as one without noise.
"""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from statistics import median

AGE_BIN_SECONDS = 0.2
AGE_BINS = 20
# An interval this many times the engine's lasting one is slow; equals `MoveSettings.min_slowdown`.
SLOW_FACTOR = 1.2
# Weight, in phases, of the assumption that a phase lasts; it decides where few were counted.
LASTING_PHASES = 3.0
# Beyond this number the older half of the counted phases is forgotten, so that noise may change.
MAX_COUNTED_PHASES = 2000.0
BUCKET_SECONDS = 1.0
# A phase of 8 s, the longest one that was reported, never fills more than half of the buckets.
LASTING_BUCKETS = 17
MIN_LASTING_BUCKETS = 3
MAX_AGE_SECONDS = 6.0
RECENT_SECONDS = 0.5
FORECAST_EVENTS = 25.0
_SMOOTHING_FACTOR = 0.3
# A share that only fades would change the engine's view in each pass.
_MIN_SLOW_SHARE = 0.02
_POOL_SMOOTHING_FACTOR = 0.05


@dataclass(frozen=True, slots=True)
class RunForecast:
    """What a run is expected to take at its engine, in seconds.

    `event_seconds` is its present event interval and `lasting_seconds` the one after its slow
    phase. `phase_ends` are tuples (probability, seconds) of how long the phase still lasts; for the
    rest of the probability it does not end. `slow_seconds` is its age, 0 without a phase.
    `restart_seconds` is what another engine takes until its first event.
    """

    event_seconds: float
    lasting_seconds: float
    restart_seconds: float = 0.0
    slow_seconds: float = 0.0
    phase_ends: tuple[tuple[float, float], ...] = ()

    def seconds_for(self, events: float) -> float:
        """Return the expected seconds until the run has generated a number of events."""
        slow = events * self.event_seconds
        if not self.slow_seconds:
            return slow
        expected, lasts = 0.0, 1.0
        for probability, left in self.phase_ends:
            lasts -= probability
            if left >= slow:
                expected += probability * slow
                continue
            after = events - left / self.event_seconds
            expected += probability * (left + after * self.lasting_seconds)
        return expected + max(0.0, lasts) * slow


@dataclass(slots=True)
class SlowPhases:
    """Counts, by age in bins of `AGE_BIN_SECONDS`, the slow phases seen and those that ended.

    A phase whose run ends or moves counts up to its age only, so that leaving engines early does
    not make phases look short.
    """

    _seen: list[float] = field(default_factory=lambda: [0.0] * AGE_BINS)
    _ended: list[float] = field(default_factory=lambda: [0.0] * AGE_BINS)

    def record_age(self, age_bin: int) -> None:
        """Count a phase that has reached an age."""
        if age_bin < AGE_BINS:
            self._seen[age_bin] += 1.0
        if self._seen[0] > MAX_COUNTED_PHASES:
            self._seen = [each / 2 for each in self._seen]
            self._ended = [each / 2 for each in self._ended]

    def record_end(self, age_bin: int) -> None:
        """Count the end of a phase at an age that was recorded before."""
        if age_bin < AGE_BINS:
            self._ended[age_bin] += 1.0

    def ends_after(self, age_seconds: float) -> tuple[tuple[float, float], ...]:
        """Return tuples (probability, seconds) of how long a phase of an age still lasts."""
        first = int(age_seconds / AGE_BIN_SECONDS)
        ends, lasts = [], 1.0
        for age_bin in range(first, AGE_BINS):
            ended = self._ended[age_bin] / (self._seen[age_bin] + LASTING_PHASES)
            if ended:
                ends.append((lasts * ended, (age_bin - first + 0.5) * AGE_BIN_SECONDS))
                lasts *= 1.0 - ended
        return tuple(ends)


@dataclass(slots=True)
class RunPhase:
    """What is known of one run's speed: where it was measured last, and its slow phase if any."""

    started: float | None = None
    measured_at: float | None = None
    measured_events: int = 0
    slow_since: float | None = None
    slow_since_events: int = 0
    slow_event_seconds: float = 0.0
    counted_bins: int = 0

    def reset(self) -> None:
        """Discard the measurements; called while the engine loads weights and sends no events."""
        self.started = self.measured_at = self.slow_since = None


@dataclass(slots=True)
class _EngineSpeed:
    """The event intervals of an engine by second, and the share of its runs that are slow."""

    pool: str
    lasting: float | None = None
    slow_share: float = 0.0
    observed_at: float = 0.0
    slow_event_seconds: float = 0.0
    slow_seconds: float = 0.0
    _bucket_start: float | None = None
    _seconds: float = 0.0
    _events: int = 0
    _buckets: deque[float] = field(default_factory=lambda: deque(maxlen=LASTING_BUCKETS))

    def add(self, seconds: float, events: int, now: float) -> bool:
        """Add what one run generated; return whether the lasting interval was computed anew."""
        if self._bucket_start is None:
            self._bucket_start = now
        self._seconds += seconds
        self._events += events
        if now - self._bucket_start < BUCKET_SECONDS:
            return False
        self._buckets.append(self._seconds / self._events)
        self._bucket_start, self._seconds, self._events = now, 0.0, 0
        if len(self._buckets) < MIN_LASTING_BUCKETS:
            return False
        self.lasting = median(self._buckets)
        return True


@dataclass(slots=True)
class _PoolNoise:
    """The slow phases of a pool, its median lasting interval, and seconds until a first event."""

    phases: SlowPhases = field(default_factory=SlowPhases)
    restart_seconds: float | None = None
    _lasting: list[float] = field(default_factory=list)

    @property
    def lasting(self) -> float | None:
        """Return the median of the engines' lasting intervals, None if none is known."""
        return self._lasting[len(self._lasting) // 2] if self._lasting else None

    def replace_lasting(self, old: float | None, new: float) -> None:
        """Replace the lasting interval of one engine."""
        if old is not None:
            self._lasting.remove(old)
        insort(self._lasting, new)

    def record_restart(self, seconds: float) -> None:
        """Record the seconds between the start of a run and its first event."""
        if self.restart_seconds is None:
            self.restart_seconds = seconds
        self.restart_seconds += _POOL_SMOOTHING_FACTOR * (seconds - self.restart_seconds)


class EngineNoise:
    """Tells lasting slowness of engines from noise; times are on the process's clock."""

    def __init__(self) -> None:
        """Create an estimate without any measurement."""
        self._engines: dict[str, _EngineSpeed] = {}
        self._pools: dict[str, _PoolNoise] = {}

    def observe(
        self, phase: RunPhase, engine: str, pool: str, events: int, last_event: float, now: float
    ) -> None:
        """Measure a run that has received `events` events, the last one at `last_event`.

        An interval counts from event to event, so a run of few events per second is not taken for a
        slow one because of the moments at which it is looked at.
        """
        noise = self._pools.setdefault(pool, _PoolNoise())
        if phase.started is None and phase.measured_at is None:
            phase.started = now
        if phase.measured_at is None:
            if events:
                noise.record_restart(last_event - phase.started)
                phase.measured_at, phase.measured_events = last_event, events
            return
        elapsed, count = now - phase.measured_at, events - phase.measured_events
        if elapsed < AGE_BIN_SECONDS:
            return
        speed = self._engines.setdefault(engine, _EngineSpeed(pool))
        seconds = elapsed / (count + 1)
        if count:
            seconds = max(seconds, (last_event - phase.measured_at) / count)
        is_slow = speed.lasting is not None and seconds > SLOW_FACTOR * speed.lasting
        if not count and not is_slow:
            return
        self._follow_phase(noise, phase, is_slow, events, last_event, now)
        speed.slow_share += _SMOOTHING_FACTOR * (is_slow - speed.slow_share)
        if speed.slow_share < _MIN_SLOW_SHARE:
            speed.slow_share = 0.0
        speed.observed_at = now
        if is_slow:
            speed.slow_seconds = now - phase.slow_since
            speed.slow_event_seconds = phase.slow_event_seconds
        if count:
            lasting = speed.lasting
            if speed.add(last_event - phase.measured_at, count, now):
                noise.replace_lasting(lasting, speed.lasting)
            phase.measured_at, phase.measured_events = last_event, events

    def _follow_phase(
        self,
        noise: _PoolNoise,
        phase: RunPhase,
        is_slow: bool,
        events: int,
        last_event: float,
        now: float,
    ) -> None:
        """Begin, continue or end the slow phase of a run, and count it for its pool."""
        if not is_slow:
            if phase.slow_since is not None:
                noise.phases.record_end(phase.counted_bins - 1)
                phase.slow_since = None
            return
        if phase.slow_since is None:
            phase.slow_since, phase.slow_since_events = phase.measured_at, phase.measured_events
            phase.counted_bins = 0
        age, count = now - phase.slow_since, events - phase.slow_since_events
        phase.slow_event_seconds = age / (count + 1)
        if count:
            mean = (last_event - phase.slow_since) / count
            phase.slow_event_seconds = max(phase.slow_event_seconds, mean)
        while phase.counted_bins <= min(AGE_BINS, int(age / AGE_BIN_SECONDS)):
            noise.phases.record_age(phase.counted_bins)
            phase.counted_bins += 1

    def forecast(self, phase: RunPhase, engine: str, now: float) -> RunForecast | None:
        """Return what a run is expected to take, None until its engine's speed is known."""
        speed = self._engines.get(engine)
        if speed is None or speed.lasting is None:
            return None
        noise = self._pools[speed.pool]
        restart = noise.restart_seconds or 0.0
        if phase.slow_since is None:
            return RunForecast(speed.lasting, speed.lasting, restart)
        age = now - phase.slow_since
        ends = noise.phases.ends_after(age)
        return RunForecast(phase.slow_event_seconds, speed.lasting, restart, age, ends)

    def lasting_seconds(self, engine: str, pool: str) -> float | None:
        """Return the lasting seconds per event at an engine, None if unknown.

        An engine that was not measured counts as a typical one of its pool.
        """
        speed = self._engines.get(engine)
        if speed is not None and speed.lasting is not None:
            return speed.lasting
        noise = self._pools.get(pool)
        return noise.lasting if noise is not None else None

    def seconds(self, engine: str, pool: str, now: float) -> float | None:
        """Return the expected seconds per event of a run that starts now, None if unknown."""
        speed = self._engines.get(engine)
        if speed is None or speed.lasting is None:
            return self.lasting_seconds(engine, pool)
        unobserved = now - speed.observed_at
        if not speed.slow_share or unobserved > MAX_AGE_SECONDS:
            return speed.lasting
        age = speed.slow_seconds + max(0.0, unobserved - RECENT_SECONDS)
        ends = self._pools[speed.pool].phases.ends_after(age)
        slow = RunForecast(speed.slow_event_seconds, speed.lasting, 0.0, max(age, 1e-9), ends)
        expected = slow.seconds_for(FORECAST_EVENTS) / FORECAST_EVENTS
        return speed.lasting + speed.slow_share * (expected - speed.lasting)
