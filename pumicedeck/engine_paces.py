"""How fast each engine makes events, from what its runs have shown; free of I/O."""

from dataclasses import dataclass, field

from pumicedeck.item_queues import USUAL_EVENT_SECONDS

_WEIGHT = 0.3
_FORGET_SECONDS = 3.0


@dataclass(slots=True)
class EnginePaces:
    """Seconds an event by engine; what is older than a few seconds is believed less and less."""

    _paces: dict[str, tuple[float, float]] = field(default_factory=dict)

    def seconds(self, engine: str, now: float) -> float:
        """Return the seconds that an event takes."""
        known = self._paces.get(engine)
        if known is None:
            return USUAL_EVENT_SECONDS
        pace, seen = known
        if now - seen > _FORGET_SECONDS:
            return USUAL_EVENT_SECONDS
        return pace

    def saw(self, engine: str, events: int, seconds: float, now: float) -> None:
        """Take in the events of a run, whether it goes on or has ended."""
        pace = seconds / max(1, events)
        known = self._paces.get(engine)
        if known is not None and now - known[1] <= _FORGET_SECONDS:
            pace = known[0] + _WEIGHT * (pace - known[0])
        self._paces[engine] = (pace, now)
