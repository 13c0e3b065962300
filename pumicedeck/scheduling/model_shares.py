"""What is known of a model's steps, and what its engines can do of them; free of I/O."""

from collections import deque
from dataclasses import dataclass, field
from math import inf

from pumicedeck.scheduling.weight_plans import EngineStatus


@dataclass(frozen=True, slots=True)
class StepNeed:
    """The work of one open step.

    `accepted` is on the process's clock, `due_seconds` is how long the step may take. `events` is
    the expected number of events of all its items, `events_left` of those without a complete
    output, and `mean_events` that of one item.
    """

    submission_id: str
    model: str
    accepted: float
    due_seconds: float
    events: float
    events_left: float
    mean_events: float


@dataclass(slots=True)
class ModelWork:
    """The steps of one model: their smoothed size, and when the last ones came.

    `events_left` is the work left of all open steps, `backlog` of those before the newest one.
    """

    events: float = 0.0
    mean_events: float = 0.0
    due_seconds: float = 1.0
    newest: str = ""
    accepted: float = 0.0
    seen: deque[str] = field(default_factory=lambda: deque(maxlen=8))
    step_seconds: float | None = None
    events_left: float = 0.0
    backlog: float = 0.0

    def add(self, step: StepNeed) -> None:
        """Add a step unless it is known or older than the newest one.

        When a step was accepted varies a little with the estimate of the store's clock.
        """
        if step.submission_id in self.seen or (self.newest and step.accepted <= self.accepted):
            return
        self.seen.append(step.submission_id)
        if self.newest:
            # Two steps may come at once after the store was away.
            self.step_seconds = max(step.accepted - self.accepted, step.due_seconds)
            self.events += 0.5 * (step.events - self.events)
            self.mean_events += 0.5 * (step.mean_events - self.mean_events)
        else:
            self.events, self.mean_events = step.events, step.mean_events
        self.newest, self.accepted = step.submission_id, step.accepted
        self.due_seconds = step.due_seconds


@dataclass(slots=True)
class Share:
    """The engines of one model while they are dealt, and the time that its step takes on them."""

    work: float
    backlog: float
    mean_events: float
    due_seconds: float
    engines: dict[str, EngineStatus] = field(default_factory=dict)
    _events_per_second: float = 0.0
    _speeds: float = 0.0

    def add(self, engine: EngineStatus) -> None:
        """Add an engine."""
        self.engines[engine.name] = engine
        self._events_per_second += engine.slots / engine.event_seconds
        self._speeds += 1.0 / engine.event_seconds

    def remove(self, engine: EngineStatus) -> None:
        """Remove an engine."""
        del self.engines[engine.name]
        self._events_per_second -= engine.slots / engine.event_seconds
        self._speeds -= 1.0 / engine.event_seconds

    def pace(self, with_backlog: bool = True) -> float:
        """Return which share of the time that a step has it takes."""
        work = self.work + self.backlog if with_backlog else self.work
        if not self.engines:
            return inf
        if not work:
            return 0.0
        # The items that start last end after all others have started and after their own length.
        own_seconds = self.mean_events * len(self.engines) / self._speeds
        return (work / self._events_per_second + own_seconds) / self.due_seconds
