"""How fast runs and engines make events at present; free of I/O.

Answers engines that turn slow while they work, all of their runs or a part: what counts is the last
moment, not the time since a run began, so that a long item leaves within a second.
"""

from dataclasses import dataclass, field

from pumicedeck.item_queues import USUAL_EVENT_SECONDS

WINDOW_SECONDS = 0.4
LEAST_EVENTS = 0.5
_WEIGHT = 0.3
_FORGET_SECONDS = 6.0


@dataclass(slots=True)
class RunPace:
    """Seconds an event of one run: `window` in its last window, `sure` in each of the last two."""

    window: float | None = None
    sure: float | None = None
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
        if self.window is not None:
            self.sure = min(self.window, seconds)
        self.window = seconds
        self._since, self._events = now, events
        return True

    def pause(self) -> None:
        """Begin anew with the next event; the engine loads weights."""
        self.window = self.sure = self._since = None


@dataclass(slots=True)
class EnginePaces:
    """Seconds an event by engine; what is older than a few seconds is forgotten."""

    _paces: dict[str, tuple[float, float]] = field(default_factory=dict)

    def seconds(self, engine: str, now: float) -> float:
        """Return the seconds that an event takes."""
        known = self._paces.get(engine)
        if known is None or now - known[1] > _FORGET_SECONDS:
            return USUAL_EVENT_SECONDS
        return known[0]

    def saw(self, engine: str, seconds: float, now: float) -> None:
        """Take in the pace of one run's last window."""
        known = self._paces.get(engine)
        if known is not None and now - known[1] <= _FORGET_SECONDS:
            seconds = known[0] + _WEIGHT * (seconds - known[0])
        self._paces[engine] = (seconds, now)
