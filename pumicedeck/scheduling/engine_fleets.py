"""Follows the engines that run items, and looks again only at those that have changed.

The load is thousands of engines, of which a few change between two passes of the scheduler. An
engine is viewed again when its registration, runs, event interval or state has changed. What no
event tells of, such as the end of a pause, is found by looking at a part of the engines in turn;
up to `ENGINES_PER_PART` engines are all looked at in each pass.
"""

from itertools import islice

from pumicedeck.route_tables import Route
from pumicedeck.scheduling.engine_permits import EnginePermits
from pumicedeck.scheduling.engine_views import view_engine
from pumicedeck.scheduling.event_intervals import EngineEventIntervals
from pumicedeck.scheduling.item_placements import EngineIndex
from pumicedeck.scheduling.item_queues import EngineView, QueuedItem
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.scheduling.scheduler_parts import SchedulerParts
from pumicedeck.scheduling.weight_schedules import WeightSchedule
from pumicedeck.submissions import SubmissionHead

# A part with 8 runs at each engine takes a few milliseconds; a pass should take less than 20 ms.
ENGINES_PER_PART = 64
# At one tick in 0.1 s each of 3,000 engines is looked at twice a second.
ENGINES_PER_TICK = 640
# A view takes about 10 µs.
_MAX_CHANGES_PER_PASS = 512
# An item tries the next best engine if the best one turns out to have changed.
_MAX_CHOICES = 8

RunKey = tuple[str, str]


class EngineFleet:
    """The engines with their runs and views, indexed for the placement of items."""

    def __init__(
        self,
        parts: SchedulerParts,
        weights: WeightSchedule,
        permits: EnginePermits,
        event_intervals: EngineEventIntervals,
    ) -> None:
        """Follow no engine until `reset`."""
        self._parts = parts
        self._weights = weights
        self._permits = permits
        self._event_intervals = event_intervals
        self._runs: dict[str, dict[RunKey, ItemRun]] = {}
        self._forget_all()
        self._is_active = False
        parts.directory.watch(self.mark_changed)

    @property
    def index(self) -> EngineIndex:
        """Return the index of the engines that may run items."""
        return self._index

    @property
    def is_small(self) -> bool:
        """Return whether each pass looks at all engines."""
        return len(self._names) <= ENGINES_PER_PART

    @property
    def is_complete(self) -> bool:
        """Return whether all engines were viewed since `reset`."""
        return self._is_complete

    @property
    def has_next_part(self) -> bool:
        """Return whether engines are still to be looked at, for this tick or after a change."""
        return self._left_of_tick > 0 or self._has_more_changes

    def reset(self) -> None:
        """Follow all engines of the directory; called when this process begins to schedule."""
        self._forget_all()
        self._is_active = True
        for endpoint in self._parts.directory.endpoints:
            self.mark_changed(endpoint.name)

    def stop(self) -> None:
        """Follow no engine any longer."""
        self._forget_all()
        self._is_active = False

    def mark_changed(self, name: str) -> None:
        """Have an engine looked at in the next pass."""
        if self._is_active:
            self._changed[name] = None

    def add_run(self, key: RunKey, run: ItemRun) -> None:
        """Add a run at its engine."""
        self._runs.setdefault(run.endpoint.name, {})[key] = run
        self.mark_changed(run.endpoint.name)

    def remove_run(self, key: RunKey, run: ItemRun) -> None:
        """Remove a run from its engine."""
        runs = self._runs.get(run.endpoint.name)
        if runs is not None and runs.pop(key, None) is not None:
            if not runs:
                del self._runs[run.endpoint.name]
            self.mark_changed(run.endpoint.name)

    def runs_at(self, name: str) -> dict[RunKey, ItemRun]:
        """Return the runs at an engine by their key."""
        return self._runs.get(name, {})

    def running(self) -> dict[str, int]:
        """Return the number of runs by engine name; engines without runs are left out."""
        return {name: len(runs) for name, runs in self._runs.items()}

    def begin_tick(self) -> None:
        """Let the parts that `next_part` returns begin anew, unless earlier ones are left."""
        if self._left_of_tick <= 0:
            self._left_of_tick = min(len(self._names), ENGINES_PER_TICK)

    def next_part(self) -> list[str]:
        """Return the names of the engines to look at in this pass."""
        if self._order is None:
            self._order = list(self._names)
        if self.is_small:
            self._left_of_tick = 0
            return self._order
        count = min(ENGINES_PER_PART, self._left_of_tick)
        self._left_of_tick -= count
        start = self._next % len(self._order)
        part = self._order[start : start + count]
        self._next = start + len(part) if start + len(part) < len(self._order) else 0
        return part

    def refresh(self, names: list[str], now: float) -> None:
        """View the engines `names` again, those that have changed, and some that were blocked."""
        changed = list(islice(self._changed, _MAX_CHANGES_PER_PASS))
        for name in changed:
            del self._changed[name]
        self._has_more_changes = bool(self._changed)
        self._is_complete = self._is_complete or not self._changed
        blocked = list(islice(self._blocked, ENGINES_PER_PART))
        for name in blocked:
            del self._blocked[name]
            self._blocked[name] = None
        for name in dict.fromkeys((*changed, *names, *blocked)):
            self._view(name, now)

    def measure(self, runs: list[tuple[RunKey, ItemRun]], now: float) -> None:
        """Measure the event interval of each run and record it for the run's engine."""
        for _, run in runs:
            engine, interval = run.endpoint, run.event_interval
            if self._weights.is_loading(engine.name):
                interval.reset()
            elif self._event_intervals.observe(
                interval, engine, run.events, run.last_contact_at, now
            ):
                self.mark_changed(engine.name)

    def request_permits(self, names: list[str]) -> None:
        """Request a permit at each engine that only its limit keeps from running a waiting item."""
        for name in names:
            state = self._parts.directory.state(name)
            endpoint = state.endpoint if state is not None else None
            if endpoint is None or endpoint.draining or not endpoint.models:
                continue
            if len(self.runs_at(name)) < endpoint.slots:
                self._permits.request(endpoint)

    def choose(self, item: QueuedItem, now: float) -> EngineView | None:
        """Return the engine for an item, looked at again if this pass has not looked at it."""
        for _ in range(_MAX_CHOICES):
            chosen = self._index.choose(item)
            if chosen is None or self._viewed_at.get(chosen.name) == now:
                return chosen
            if not self._view(chosen.name, now):
                return chosen
        return None

    def serving_pools(self, route: Route, head: SubmissionHead) -> frozenset[str]:
        """Return the pools of a route whose engines can run items of a submission, or soon can.

        A pool without weight gets no items. If a single one is left, there is no other choice, so
        it is returned in any case.
        """
        names = [share.pool for share in route.pools if share.weight > 0]
        if len(names) > 1:
            index = self._index
            names = [each for each in names if index.serves(each, head.model, head.min_version)]
        return frozenset(names)

    def mark_planned(self) -> None:
        """Have the engines looked at to which the weight plan gave a load or another model."""
        for engine in self._index.engines:
            if self._weights.assigned_model(engine.name) != engine.assigned_model:
                self.mark_changed(engine.name)
            elif engine.free_slots and self._weights.is_loading(engine.name):
                self.mark_changed(engine.name)

    def _view(self, name: str, now: float) -> bool:
        """View an engine again; return whether it differs from before."""
        state = self._parts.directory.state(name)
        is_followed = name in self._runs or (state is not None and bool(state.endpoint.models))
        if is_followed != (name in self._names):
            self._order = None
            if is_followed:
                self._names[name] = None
            else:
                del self._names[name]
        known = self._index.engine(name)
        view = view_engine(
            self._parts.directory,
            self._weights,
            self._permits,
            self._event_intervals,
            self.runs_at(name).values(),
            self._parts.home,
            now,
            name,
        )
        if view is None:
            self._viewed_at.pop(name, None)
            self._blocked.pop(name, None)
            self._index.remove(name)
            return known is not None
        self._viewed_at[name] = now
        if not view.free_slots and len(self.runs_at(name)) < view.slots:
            self._blocked.setdefault(name)
        else:
            self._blocked.pop(name, None)
        if view == known:
            return False
        self._index.add(view, state.order)
        return True

    def _forget_all(self) -> None:
        self._index = EngineIndex([], self._parts.queue)
        self._names: dict[str, None] = {}
        self._order: list[str] | None = None
        self._changed: dict[str, None] = {}
        self._blocked: dict[str, None] = {}
        self._viewed_at: dict[str, float] = {}
        self._has_more_changes = False
        self._is_complete = False
        self._next = 0
        self._left_of_tick = 0
