"""How fast runs and engines make events at present; free of I/O.

Answers engines that turn slow while they work, all of their runs or a part: what counts is the last
moment, not the time since a run began, so that a long item leaves within a second.
"""

from dataclasses import dataclass, field

from pumicedeck.item_queues import DEFAULT_EVENT_SECONDS

WINDOW_SECONDS = 0.4
LEAST_EVENTS = 0.5
_WEIGHT = 0.3
_FORGET_SECONDS = 6.0


@dataclass(slots=True)
class RunEventInterval:
    """Seconds an event of one run: `window` in its last window, `sure` in each of the last two."""

    window_event_seconds: float | None = None
    confirmed_event_seconds: float | None = None
    _since: float | None = None
    _events: int = 0

    def sample(self, events: int, now: float) -> bool:
        """Take in the number of events so far; return whether a window has ended.

        The first window begins with the first event, since the prompt is read before it.
        """
        if self._since is None:
            if events:
                self._since, self._events = now, events
            return False
        passed = now - self._since
        if passed < WINDOW_SECONDS:
            return False
        seconds = passed / max(LEAST_EVENTS, events - self._events)
        if self.window_event_seconds is not None:
            self.confirmed_event_seconds = min(self.window_event_seconds, seconds)
        self.window_event_seconds = seconds
        self._since, self._events = now, events
        return True

    def reset(self) -> None:
        """Begin anew with the next event; the engine loads weights."""
        self.window_event_seconds = self.confirmed_event_seconds = self._since = None


@dataclass(slots=True)
class EngineEventIntervals:
    """Seconds an event by engine; what is older than a few seconds is forgotten."""

    _paces: dict[str, tuple[float, float]] = field(default_factory=dict)

    def seconds(self, engine: str, now: float) -> float:
        """Return the seconds that an event takes."""
        known = self._paces.get(engine)
        if known is None or now - known[1] > _FORGET_SECONDS:
            return DEFAULT_EVENT_SECONDS
        return known[0]

    def record(self, engine: str, seconds: float, now: float) -> None:
        """Take in the pace of one run's last window."""
        known = self._paces.get(engine)
        if known is not None and now - known[1] <= _FORGET_SECONDS:
            seconds = known[0] + _WEIGHT * (seconds - known[0])
        self._paces[engine] = (seconds, now)
