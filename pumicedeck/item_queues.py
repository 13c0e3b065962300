"""Which item runs next and on which engine; free of I/O.

Answers steps of many groups that arrive at once on engines whose slots hold about half of a step,
where a few items run several times as long as the rest: the longest start first, so that the step's
last item begins early, and an engine that is slow gets what is short. Steps that can still be whole
in time go before those that cannot.
"""

from dataclasses import dataclass, field

DEFAULT_EVENT_SECONDS = 0.04
USUAL_LENGTH_EVENTS = 25.0
GROUP_GAIN = 0.95
OTHER_DOMAIN_COST_FACTOR = 1.05
OTHER_REGION_COST_FACTOR = 1.4
LOAD_COST = 0.15
SLOW_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class QueuedItem:
    """An item that waits; `due` in seconds of the injected clock.

    `versions` are those of the text made so far, `avoid` the engines that failed it lately.
    """

    item_id: str
    submission_id: str
    model: str
    pool: str
    group: str
    min_version: int
    due: float
    expected_length: float = 0.0
    carried_over: bool = False
    single_version: bool = False
    versions: tuple[int, ...] = ()
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True)
class EngineView:
    """An engine as the queue sees it; `distance_cost` is 1 for one in the same failure domain."""

    name: str
    pool: str
    free_slots: int
    slots: int
    versions: dict[str, int]
    event_seconds: float = DEFAULT_EVENT_SECONDS
    distance_cost: float = 1.0
    assigned_model: str = ""
    groups: set[str] = field(default_factory=set)

    def may_run(self, item: QueuedItem) -> bool:
        """Tell whether an item may run here."""
        version = self.versions.get(item.model, 0)
        if self.pool != item.pool or version < item.min_version or not version:
            return False
        return not (item.single_version and item.versions and item.versions != (version,))


@dataclass(frozen=True, slots=True)
class Assignment:
    """An item and the engine that it goes to."""

    item_id: str
    engine: str


def order_items(items: list[QueuedItem], now: float) -> list[QueuedItem]:
    """Return the items in the order in which they start."""
    return sorted(
        items,
        key=lambda item: (
            item.due < now,
            item.due,
            not item.carried_over,
            -(item.expected_length or USUAL_LENGTH_EVENTS),
        ),
    )


def choose_optional_groups(
    items: list[tuple[str, float, bool]], wanted_groups: int
) -> frozenset[str]:
    """Return the groups that a step can do without: those expected to last longest.

    `items` are (group, expected length, carried); a carried group is waited for in any case.
    """
    longest: dict[str, float] = {}
    waited: set[str] = set()
    for group, length, carried_over in items:
        longest[group] = max(longest.get(group, 0.0), length)
        if carried_over:
            waited.add(group)
    spare = max(0, len(longest) - wanted_groups) if wanted_groups else 0
    free = sorted((group for group in longest if group not in waited), key=longest.get)
    return frozenset(free[len(free) - min(spare, len(free)) :])


def assign_items(
    items: list[QueuedItem], engines: list[EngineView], now: float
) -> list[Assignment]:
    """Return what starts now; the views' free slots are used up on the way."""
    assignments = []
    for item in order_items(items, now):
        engine = _best_engine(item, engines)
        if engine is None:
            continue
        engine.free_slots -= 1
        engine.groups.add(item.group)
        assignments.append(Assignment(item.item_id, engine.name))
    return assignments


def _best_engine(item: QueuedItem, engines: list[EngineView]) -> EngineView | None:
    fitting = [each for each in engines if each.free_slots > 0 and each.may_run(item)]
    untried = [each for each in fitting if each.name not in item.avoid]
    candidates = untried or fitting
    if not candidates:
        return None
    return min(candidates, key=lambda engine: _cost(item, engine))


def _cost(item: QueuedItem, engine: EngineView) -> tuple[bool, float]:
    busy = 1.0 - engine.free_slots / max(1, engine.slots)
    cost = engine.event_seconds * engine.distance_cost * (1.0 + LOAD_COST * busy)
    if item.group in engine.groups:
        cost *= GROUP_GAIN
    foreign = bool(engine.assigned_model) and engine.assigned_model != item.model
    return foreign, cost


@dataclass(frozen=True, slots=True)
class RunningItem:
    """An item at work; `events_left` is what its sender's estimate leaves.

    `event_seconds` is its own pace, None if it is not sure yet.
    """

    item: QueuedItem
    engine: str
    events_left: float
    moves: int
    event_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class MoveSettings:
    """When an item leaves a slow engine; `least_gain` in seconds."""

    least_gain: float = 0.6
    most_moves: int = 2


def choose_moves(
    running: list[RunningItem], engines: list[EngineView], settings: MoveSettings
) -> list[Assignment]:
    """Return the items that would end much sooner on an engine with a free slot."""
    by_name = {engine.name: engine for engine in engines}
    moves = []
    for each in sorted(running, key=lambda entry: -entry.events_left):
        source = by_name.get(each.engine)
        if source is None or each.moves >= settings.most_moves:
            continue
        others = [e for e in engines if e is not source and e.free_slots > 0]
        target = _best_engine(each.item, others)
        pace = each.event_seconds or source.event_seconds
        if target is None or pace < SLOW_FACTOR * target.event_seconds:
            continue
        gain = each.events_left * (pace - target.event_seconds)
        if gain >= settings.least_gain:
            target.free_slots -= 1
            moves.append(Assignment(each.item.item_id, target.name))
    return moves
