"""Decides which item runs next and on which engine; free of I/O.

The load is steps of many groups that arrive at once, on engines whose slots hold about half of a
step, and a few items run several times as long as the rest. The longest items start first, so that
the item that ends a step does not start late, and the shorter ones are left for slow engines. Steps
that can still meet their deadline go before those that have missed it.

During a release the engines run two software versions. Output goes on only at the version that
began it: an item waits for a slot there as long as its output took to generate, then it begins anew
at any version. It begins anew at once if no engine of that version is left.
"""

from dataclasses import dataclass, field

DEFAULT_EVENT_SECONDS = 0.04
DEFAULT_LENGTH_EVENTS = 25.0
# An engine that runs items of the group has processed their shared prompt already.
SAME_GROUP_GAIN_SECONDS = 0.05
OTHER_DOMAIN_DELAY_SECONDS = 0.05
OTHER_REGION_DELAY_SECONDS = 0.3
BUSY_COST_WEIGHT = 0.15


@dataclass(frozen=True, slots=True)
class QueuedItem:
    """An item that waits for an engine; `deadline` in seconds on the process's clock.

    `expected_events_left` is the estimated number of events still to come, 0 if unknown.
    `waits_for_turn` means that the item starts in its turn among the short ones of its step.
    `carried_over` means that an earlier step has started an item of the same group. With
    `single_version` the complete output must come from one weight version. `versions` are the
    weight versions of the output so far, `software` the software version that generated it and
    `events_done` its length. The item has waited for an engine for `waited_seconds`.
    `avoided_engines` are the engines at which the item failed a short time ago.
    """

    item_id: str
    submission_id: str
    model: str
    pool: str
    group: str
    min_version: int
    deadline: float
    expected_events_left: float = 0.0
    waits_for_turn: bool = False
    carried_over: bool = False
    single_version: bool = False
    versions: tuple[int, ...] = ()
    software: str = ""
    events_done: int = 0
    waited_seconds: float = 0.0
    avoided_engines: frozenset[str] = frozenset()

    @property
    def has_waited_enough(self) -> bool:
        """Return whether waiting has cost as much as generating the output anew would."""
        return self.waited_seconds >= self.events_done * DEFAULT_EVENT_SECONDS


@dataclass(slots=True)
class EngineView:
    """What the queue needs to know about an engine.

    `versions` has the loaded weight version by model. `event_seconds` is the seconds per event.
    `distance_seconds` is what the way to the engine adds to an item. `assigned_model` is the
    model that the weight plan has chosen for the engine, empty if none. `groups` are the groups of
    the items that it runs. `software` is its software version.
    """

    name: str
    pool: str
    free_slots: int
    slots: int
    versions: dict[str, int]
    event_seconds: float = DEFAULT_EVENT_SECONDS
    distance_seconds: float = 0.0
    assigned_model: str = ""
    groups: set[str] = field(default_factory=set)
    software: str = ""

    def may_run(self, item: QueuedItem, begins_anew: bool) -> bool:
        """Return whether pool, weight and software version allow an item to run on the engine.

        With `begins_anew` an output that another software version began may be discarded.
        """
        version = self.versions.get(item.model, 0)
        if self.pool != item.pool or version < item.min_version or not version:
            return False
        if not self.has_software_of(item):
            return begins_anew
        return not (item.single_version and item.versions and item.versions != (version,))

    def has_software_of(self, item: QueuedItem) -> bool:
        """Return whether the engine runs the software that began the item's output, if any."""
        return not item.events_done or self.software == item.software

    def events_to_generate(self, item: QueuedItem) -> float:
        """Return how many events the engine would have to generate for an item."""
        events = item.expected_events_left or DEFAULT_LENGTH_EVENTS
        return events if self.has_software_of(item) else events + item.events_done


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """By what items are ordered and placed.

    With `longest_first` the longer ones of equally urgent items start first. With
    `places_by_end` an item goes to the engine at which it ends first, otherwise to the nearest and
    least busy one.
    """

    longest_first: bool = True
    places_by_end: bool = True


DEFAULT_QUEUE_SETTINGS = QueueSettings()


@dataclass(frozen=True, slots=True)
class Assignment:
    """An item and the name of the engine that is to run it."""

    item_id: str
    engine: str


def order_items(
    items: list[QueuedItem], now: float, settings: QueueSettings = DEFAULT_QUEUE_SETTINGS
) -> list[QueuedItem]:
    """Return the items in the order in which they are to start.

    Items before their deadline come first, by deadline; at the same deadline carried-over items
    come first, then the longest ones.
    """

    def sort_key(item: QueuedItem) -> tuple[bool, float, bool, float]:
        length = item.expected_events_left or DEFAULT_LENGTH_EVENTS
        rank = -length if settings.longest_first else 0.0
        return item.deadline < now, item.deadline, not item.carried_over, rank

    return sorted(items, key=sort_key)


def choose_optional_groups(
    items: list[tuple[str, float, bool]], wanted_groups: int
) -> frozenset[str]:
    """Return the groups that a step can do without: those with the longest expected items.

    `items` are tuples (group, expected length in events, carried over). A carried-over group is
    never optional. A step without `wanted_groups` has no optional groups.
    """
    longest: dict[str, float] = {}
    required: set[str] = set()
    for group, length, carried_over in items:
        longest[group] = max(longest.get(group, 0.0), length)
        if carried_over:
            required.add(group)
    optional_count = max(0, len(longest) - wanted_groups) if wanted_groups else 0
    candidates = sorted((group for group in longest if group not in required), key=longest.get)
    return frozenset(candidates[len(candidates) - min(optional_count, len(candidates)) :])


def _best_engine(
    item: QueuedItem, engines: list[EngineView], settings: QueueSettings, begins_anew: bool
) -> EngineView | None:
    """Return the cheapest engine with a free slot, one that the item does not avoid if possible.

    With `begins_anew` also engines at which the item would have to begin anew are considered.
    """
    eligible = [each for each in engines if each.free_slots > 0 and each.may_run(item, begins_anew)]
    untried = [each for each in eligible if each.name not in item.avoided_engines]
    candidates = untried or eligible
    if not candidates:
        return None
    return min(candidates, key=lambda engine: assignment_cost(item, engine, settings))


def assignment_cost(
    item: QueuedItem, engine: EngineView, settings: QueueSettings
) -> tuple[bool, float]:
    """Return a sort key: engines assigned to another model last, then by seconds to the end.

    The distance counts once, not for each event, so that a long item runs on a fast engine in
    another region rather than on a slow one nearby.
    """
    assigned_to_other_model = bool(engine.assigned_model) and engine.assigned_model != item.model
    busy = 1.0 - engine.free_slots / max(1, engine.slots)
    if not settings.places_by_end:
        return assigned_to_other_model, engine.distance_seconds + busy
    events = engine.events_to_generate(item)
    seconds = events * engine.event_seconds * (1.0 + BUSY_COST_WEIGHT * busy)
    seconds += engine.distance_seconds
    if item.group in engine.groups:
        seconds -= SAME_GROUP_GAIN_SECONDS
    return assigned_to_other_model, seconds


@dataclass(frozen=True, slots=True)
class RunningItem:
    """An item that an engine runs.

    `events_left` is the submitter's estimate of its length less the events received. `moves` is how
    often it was moved. `event_seconds` is the confirmed event interval of this run, None if it was
    not measured long enough.
    """

    item: QueuedItem
    engine: str
    events_left: float
    moves: int
    event_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class MoveSettings:
    """When an item is moved off a slow engine: if it ends `min_gain_seconds` sooner on another one.

    Its event interval must be `min_slowdown` times that of the other engine, or
    `min_unconfirmed_slowdown` times if only its engine's interval is known, not that of its run. An
    item moves at most `max_moves` times.
    """

    min_gain_seconds: float = 0.6
    min_slowdown: float = 1.2
    min_unconfirmed_slowdown: float = 2.0
    max_moves: int = 2


def choose_moves(
    running: list[RunningItem],
    engines: list[EngineView],
    settings: MoveSettings,
    queue: QueueSettings = DEFAULT_QUEUE_SETTINGS,
) -> list[Assignment]:
    """Return the items that would end much sooner on another engine with a free slot."""
    by_name = {engine.name: engine for engine in engines}
    moves = []
    for run in sorted(running, key=lambda run: -run.events_left):
        source = by_name.get(run.engine)
        if source is None or run.moves >= settings.max_moves:
            continue
        others = [e for e in engines if e is not source and e.free_slots > 0]
        target = _best_engine(run.item, others, queue, begins_anew=True)
        if target is None:
            continue
        confirmed = run.event_seconds is not None
        run_event_seconds = run.event_seconds if confirmed else source.event_seconds
        slowdown = settings.min_slowdown if confirmed else settings.min_unconfirmed_slowdown
        if run_event_seconds < slowdown * target.event_seconds:
            continue
        events_anew = 0 if target.has_software_of(run.item) else run.item.events_done
        gain = run.events_left * run_event_seconds
        gain -= (run.events_left + events_anew) * target.event_seconds
        if gain >= settings.min_gain_seconds:
            target.free_slots -= 1
            moves.append(Assignment(run.item.item_id, target.name))
    return moves
