"""Decides which item runs next and on which engine; free of I/O.

The load is steps of many groups that arrive at once, on engines whose slots hold about half of a
step, and a few items run several times as long as the rest. The longest items start first, so that
the item that ends a step does not start late, and the shorter ones are left for slow engines. Steps
that can still meet their deadline go before those that have missed it.

During a release the engines run two software versions. Output goes on only at the version that
began it, and if it must come from one weight version, only under that one: an item waits for a slot
at such an engine as long as its output took to generate, then it begins anew at any engine. It
begins anew at once if no engine is left at which its output can go on.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from pumicedeck.scheduling.engine_noise import RunForecast

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

        With `begins_anew` an output that cannot go on at the engine may be discarded.
        """
        version = self.versions.get(item.model, 0)
        if self.pool != item.pool or version < item.min_version or not version:
            return False
        return begins_anew or self.can_continue(item)

    def serves(self, model: str, min_version: int) -> bool:
        """Return whether the engine can run items of a model, or will once it has loaded weights.

        An engine without an assigned model may yet get any that it has.
        """
        if not self.versions.get(model, 0):
            return False
        return self.assigned_model in ("", model) or self.versions[model] >= min_version

    def can_continue(self, item: QueuedItem) -> bool:
        """Return whether the item's output, if any, can go on at the engine."""
        return not item.events_done or can_output_go_on(
            item.software,
            item.versions,
            item.single_version,
            self.software,
            self.versions.get(item.model, 0),
        )

    def events_to_generate(self, item: QueuedItem) -> float:
        """Return how many events the engine would have to generate for an item."""
        events = item.expected_events_left or DEFAULT_LENGTH_EVENTS
        return events if self.can_continue(item) else events + item.events_done


def can_output_go_on(
    software: str,
    versions: Sequence[int],
    single_version: bool,
    engine_software: str,
    engine_version: int,
) -> bool:
    """Return whether output of `software` and weight `versions` can go on at an engine.

    With `single_version` the complete output must come from one weight version.
    """
    if software != engine_software:
        return False
    return not single_version or not versions or tuple(versions) == (engine_version,)


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
    not measured long enough. `forecast` is what the run is expected to take, None if the noise of
    its engine is not known.
    """

    item: QueuedItem
    engine: str
    events_left: float
    moves: int
    event_seconds: float | None = None
    forecast: RunForecast | None = None


class MoveReason(StrEnum):
    """Why an item is moved; the values are written to the log and to the metrics.

    UNKNOWN_NOISE is a slow engine whose noise is not known yet, SLOW_PHASE a run that is slow for
    longer than the noise explains, LASTING an engine that is slower for good.
    """

    UNKNOWN_NOISE = "unknown noise"
    SLOW_PHASE = "slow phase"
    LASTING = "slower for good"


@dataclass(frozen=True, slots=True)
class Move:
    """An item that is to leave its engine for `engine`, and by how much sooner it would end."""

    item_id: str
    engine: str
    reason: MoveReason
    gain_seconds: float


@dataclass(frozen=True, slots=True)
class MoveSettings:
    """When an item is moved off a slow engine: if it ends `min_gain_seconds` sooner on another one.

    Its event interval must be `min_slowdown` times that of the other engine, or
    `min_unconfirmed_slowdown` times if only its engine's interval is known, not that of its run. An
    item moves at most `max_moves` times. A run with a forecast moves if it was slow for at least
    `min_slow_seconds`, or if its engine is slower for good, and if the expected gain is more than
    what it takes to process the prompt again.
    """

    min_gain_seconds: float = 0.6
    min_slowdown: float = 1.2
    min_unconfirmed_slowdown: float = 2.0
    max_moves: int = 2
    min_slow_seconds: float = 0.7


def choose_moves(
    running: list[RunningItem],
    engines: list[EngineView],
    settings: MoveSettings,
    queue: QueueSettings = DEFAULT_QUEUE_SETTINGS,
) -> list[Move]:
    """Return the items that would end much sooner on another engine with a free slot."""
    by_name = {engine.name: engine for engine in engines}
    fastest = min((each.event_seconds for each in engines if each.free_slots > 0), default=None)
    if fastest is None:
        return []
    moves = []
    for run in sorted(running, key=lambda run: -run.events_left):
        source = by_name.get(run.engine)
        if source is None or run.moves >= settings.max_moves:
            continue
        if _move_gain(run, source, fastest, 0, settings) < settings.min_gain_seconds:
            continue
        others = [e for e in engines if e is not source and e.free_slots > 0]
        target = _best_engine(run.item, others, queue, begins_anew=True)
        if target is None:
            continue
        events_anew = 0 if target.can_continue(run.item) else run.item.events_done
        gain = _move_gain(run, source, target.event_seconds, events_anew, settings)
        if gain >= settings.min_gain_seconds:
            target.free_slots -= 1
            moves.append(Move(run.item.item_id, target.name, _move_reason(run), gain))
    return moves


def _move_gain(
    run: RunningItem,
    source: EngineView,
    target_event_seconds: float,
    events_anew: int,
    settings: MoveSettings,
) -> float:
    """Return by how many seconds a run would end sooner elsewhere, 0 if it must not move."""
    forecast, events = run.forecast, run.events_left
    if forecast is not None:
        if 0 < forecast.slow_seconds < settings.min_slow_seconds:
            return 0.0
        interval, slowdown = forecast.event_seconds, settings.min_slowdown
        stay, restart = forecast.seconds_for(events), forecast.restart_seconds
    else:
        confirmed = run.event_seconds is not None
        interval = run.event_seconds if confirmed else source.event_seconds
        slowdown = settings.min_slowdown if confirmed else settings.min_unconfirmed_slowdown
        stay, restart = events * interval, 0.0
    if interval < slowdown * target_event_seconds:
        return 0.0
    return stay - restart - (events + events_anew) * target_event_seconds


def _move_reason(run: RunningItem) -> MoveReason:
    """Return why a run moves."""
    if run.forecast is None:
        return MoveReason.UNKNOWN_NOISE
    return MoveReason.SLOW_PHASE if run.forecast.slow_seconds else MoveReason.LASTING
