"""Measures the current seconds per event of runs and engines; free of I/O.

Engines can turn slow while they work, for all of their runs or for some. A run is therefore
measured in short windows of time, and only the last two windows count, not the average since it
started. So a long item can be moved off an engine within a second after the engine turned slow.
Short windows take noise for slowness; `engine_noise` tells the two apart.
"""

from collections import Counter
from dataclasses import dataclass, field

from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.scheduling.engine_noise import EngineNoise, RunForecast, RunPhase
from pumicedeck.scheduling.item_queues import DEFAULT_EVENT_SECONDS

WINDOW_SECONDS = 0.4
# A window without events counts as one with half an event, since the interval divides by events.
EMPTY_WINDOW_EVENTS = 0.5
_SMOOTHING_FACTOR = 0.3
_MAX_AGE_SECONDS = 6.0
_MIN_WINDOWS = 10


@dataclass(frozen=True, slots=True)
class IntervalSettings:
    """How event intervals are measured.

    With `uses_windows` only the last windows of a run count, otherwise all since its first event.
    With `remembers_engines` an engine without recent runs counts as being as fast as before. With
    `separates_noise` the noise of each pool is estimated, and an engine has its lasting speed
    unless it is slow for longer than that noise explains.
    """

    uses_windows: bool = True
    remembers_engines: bool = True
    separates_noise: bool = True


DEFAULT_INTERVAL_SETTINGS = IntervalSettings()


@dataclass(slots=True)
class RunEventInterval:
    """The event interval of one run, measured in windows of at least `WINDOW_SECONDS`.

    `window_event_seconds` is the seconds per event in the last complete window, None before the
    first one has ended. `confirmed_event_seconds` is the lower value of the last two windows, None
    before the second one has ended. `phase` is what the estimate of noise has measured of the run.
    """

    settings: IntervalSettings = DEFAULT_INTERVAL_SETTINGS
    phase: RunPhase = field(default_factory=RunPhase)
    window_event_seconds: float | None = None
    confirmed_event_seconds: float | None = None
    _window_start: float | None = None
    _window_start_events: int = 0
    _measured_from: tuple[float, int] | None = None

    def sample(self, events: int, now: float) -> bool:
        """Record the run's number of events at `now`; return whether a window has ended.

        The first window starts at the first event, since the engine processes the prompt before it.
        """
        if self._window_start is None:
            if events:
                self._window_start, self._window_start_events = now, events
                self._measured_from = (now, events)
            return False
        elapsed = now - self._window_start
        if elapsed < WINDOW_SECONDS:
            return False
        start, start_events = self._window_start, self._window_start_events
        if not self.settings.uses_windows:
            start, start_events = self._measured_from
        seconds = (now - start) / max(EMPTY_WINDOW_EVENTS, events - start_events)
        if self.window_event_seconds is not None:
            self.confirmed_event_seconds = min(self.window_event_seconds, seconds)
        self.window_event_seconds = seconds
        self._window_start, self._window_start_events = now, events
        return True

    def reset(self) -> None:
        """Discard the measurements; called while the engine loads weights and sends no events."""
        self.window_event_seconds = self.confirmed_event_seconds = self._window_start = None
        self.phase.reset()


@dataclass(slots=True)
class EngineEventIntervals:
    """The smoothed event interval of each engine.

    Engines of one pool differ in speed for good, and some turn slow for seconds. An engine without
    a measurement in the last `_MAX_AGE_SECONDS` therefore counts as having the shortest smoothed
    interval that it had before; one with fewer than `_MIN_WINDOWS` measurements has the default.
    """

    settings: IntervalSettings = DEFAULT_INTERVAL_SETTINGS
    _intervals: dict[str, tuple[float, float]] = field(default_factory=dict)
    _shortest: dict[str, float] = field(default_factory=dict)
    _windows: Counter[str] = field(default_factory=Counter)
    _noise: EngineNoise = field(default_factory=EngineNoise)

    def observe(
        self,
        interval: RunEventInterval,
        engine: DirectEndpoint,
        events: int,
        last_event: float,
        now: float,
    ) -> bool:
        """Measure a run at an engine; `last_event` is when the last of `events` events came.

        Return whether that changes the engine's event interval.
        """
        name, pool = engine.name, engine.pool
        self._noise.observe(interval.phase, name, pool, events, last_event, now)
        if not interval.sample(events, now):
            return False
        self.record(name, interval.window_event_seconds, now)
        return True

    def forecast(self, interval: RunEventInterval, engine: str, now: float) -> RunForecast | None:
        """Return what a run is expected to take, None if the engine's lasting speed is unknown."""
        if not self.settings.separates_noise:
            return None
        return self._noise.forecast(interval.phase, engine, now)

    def lasting_seconds(self, engine: DirectEndpoint) -> float:
        """Return the seconds per event at an engine without its slow phases."""
        lasting = self._noise.lasting_seconds(engine.name, engine.pool)
        return DEFAULT_EVENT_SECONDS if lasting is None else lasting

    def seconds(self, engine: str, now: float, pool: str = "") -> float:
        """Return the seconds per event at an engine of `pool`."""
        if self.settings.separates_noise:
            expected = self._noise.seconds(engine, pool, now)
            if expected is not None:
                return expected
        previous = self._intervals.get(engine)
        if previous is None or now - previous[1] > _MAX_AGE_SECONDS:
            is_known = self.settings.remembers_engines and self._windows[engine] >= _MIN_WINDOWS
            return self._shortest[engine] if is_known else DEFAULT_EVENT_SECONDS
        return previous[0]

    def record(self, engine: str, seconds: float, now: float) -> None:
        """Add the seconds per event of one run's last window to its engine's smoothed value."""
        previous = self._intervals.get(engine)
        if previous is not None and now - previous[1] <= _MAX_AGE_SECONDS:
            seconds = previous[0] + _SMOOTHING_FACTOR * (seconds - previous[0])
        self._intervals[engine] = (seconds, now)
        self._windows[engine] += 1
        self._shortest[engine] = min(seconds, self._shortest.get(engine, seconds))
