"""Chooses the engine of each item that starts from an index of the engines; free of I/O.

The load is thousands of engines and tens of thousands of waiting items: a look at every engine for
every item took 15 s for a step on 3,000 engines. Engines that may run the same items and are
equally far away form a bucket, ordered by the time that they take for an event. An item looks only
at the first engines of each bucket and at those that run items of its group.
"""

from bisect import bisect_left, bisect_right, insort
from dataclasses import replace
from math import inf

from pumicedeck.scheduling.item_queues import (
    BUSY_COST_WEIGHT,
    DEFAULT_QUEUE_SETTINGS,
    Assignment,
    EngineView,
    QueuedItem,
    QueueSettings,
    assignment_cost,
    order_items,
)

# Costs are rounded, so engines whose times differ by less than this are compared by their cost.
_RELATIVE_TOLERANCE = 1e-9
_ABSOLUTE_TOLERANCE = 1e-15
_MAX_FASTEST = 16
# Items differ in few ways that matter here, but minimum versions grow with every step.
_MAX_MATCHES = 2000

_Rank = tuple[float, float, float, int]
_Demand = tuple[str, str, int, str | None, tuple[int, ...] | None]


class _EngineBucket:
    """Engines with a free slot that may run the same items, at the same distance, by rank.

    A rank is (time of an event, event interval, share of busy slots, position). Engines with the
    same rank but for the position have the same cost for every item without a group there.
    """

    __slots__ = ("example", "ranks")

    def __init__(self, example: EngineView) -> None:
        self.example = example
        self.ranks: list[_Rank] = []


class EngineIndex:
    """Engines by what they may run, for the choice of the cheapest one with a free slot.

    Of engines with the same cost the one with the lowest position is chosen.
    """

    def __init__(
        self, engines: list[EngineView], settings: QueueSettings = DEFAULT_QUEUE_SETTINGS
    ) -> None:
        """Create an index of `engines`."""
        self._settings = settings
        self._engines: dict[int, EngineView] = {}
        self._positions: dict[str, int] = {}
        self._entries: dict[int, tuple[_EngineBucket, _Rank | None]] = {}
        self._buckets: dict[tuple, _EngineBucket] = {}
        self._sizes: dict[tuple, int] = {}
        self._keys: dict[int, tuple] = {}
        self._groups: dict[str, set[int]] = {}
        self._indexed_groups: dict[int, set[str]] = {}
        self._matches: dict[tuple[_Demand, bool], list[_EngineBucket]] = {}
        for position, engine in enumerate(engines):
            self.add(engine, position)

    @property
    def engines(self) -> list[EngineView]:
        """Return the engines by position."""
        return [self._engines[position] for position in sorted(self._engines)]

    def engine(self, name: str) -> EngineView | None:
        """Return an engine by its name, None if it is not in the index."""
        position = self._positions.get(name)
        return None if position is None else self._engines[position]

    @property
    def fastest_with_room(self) -> list[EngineView]:
        """Return the first engines with a free slot of each bucket, at most 16 of each."""
        return [
            self._engines[rank[3]]
            for bucket in self._buckets.values()
            for rank in bucket.ranks[:_MAX_FASTEST]
        ]

    def add(self, engine: EngineView, position: int) -> None:
        """Add an engine at a position of its own, or replace the one of this name.

        An engine of the index whose fields were changed must be added again.
        """
        self.remove(engine.name)
        self._positions[engine.name] = position
        self._engines[position] = engine
        self._put_in(position)

    def remove(self, name: str) -> None:
        """Remove an engine, if it is in the index."""
        position = self._positions.pop(name, None)
        if position is not None:
            self._take_out(position)
            del self._engines[position]

    def can_continue(self, item: QueuedItem) -> bool:
        """Return whether an engine, with or without free slots, may run an item as it is."""
        return bool(self._matching(item, begins_anew=False))

    def serves(self, pool: str, model: str, min_version: int) -> bool:
        """Return whether a pool has an engine that can run a model's items, or is to load it.

        An engine counts without a free slot too.
        """
        return any(
            bucket.example.pool == pool and bucket.example.serves(model, min_version)
            for bucket in self._buckets.values()
        )

    def has_room(self, item: QueuedItem) -> bool:
        """Return whether an engine with a free slot may run an item, if it begins anew."""
        return any(bucket.ranks for bucket in self._matching(item, begins_anew=True))

    def choose(self, item: QueuedItem) -> EngineView | None:
        """Return the cheapest engine with a free slot, if possible one the item does not avoid.

        An item whose output can go on at some engine begins anew at another one only after it has
        waited long enough.
        """
        begins_anew = item.has_waited_enough or not self.can_continue(item)
        buckets = self._matching(item, begins_anew)
        if not any(bucket.ranks for bucket in buckets):
            return None
        avoided = [
            self._positions[name] for name in item.avoided_engines if name in self._positions
        ]
        if not avoided:
            return self._cheapest(item, buckets, begins_anew)
        held_back = [(position, self._entries[position]) for position in avoided]
        for _, (bucket, rank) in held_back:
            if rank is not None:
                del bucket.ranks[bisect_left(bucket.ranks, rank)]
        chosen = self._cheapest(item, buckets, begins_anew, frozenset(avoided))
        for _, (bucket, rank) in held_back:
            if rank is not None:
                insort(bucket.ranks, rank)
        return chosen or self._cheapest(item, buckets, begins_anew)

    def take_slot(self, engine: EngineView, group: str) -> None:
        """Take a free slot of an engine of the index for an item of a group."""
        position = self._positions[engine.name]
        bucket, rank = self._entries[position]
        if rank is not None:
            del bucket.ranks[bisect_left(bucket.ranks, rank)]
        engine.free_slots -= 1
        engine.groups.add(group)
        self._groups.setdefault(group, set()).add(position)
        self._indexed_groups[position].add(group)
        rank = self._rank(engine, position)
        if rank is not None:
            insort(bucket.ranks, rank)
        self._entries[position] = (bucket, rank)

    def _cheapest(
        self,
        item: QueuedItem,
        buckets: list[_EngineBucket],
        begins_anew: bool,
        avoided: frozenset[int] = frozenset(),
    ) -> EngineView | None:
        best: tuple[tuple[bool, float], int] | None = None
        for bucket in buckets:
            ranks = bucket.ranks
            if not ranks:
                continue
            limit = ranks[0][0] + abs(ranks[0][0]) * _RELATIVE_TOLERANCE + _ABSOLUTE_TOLERANCE
            at = 0
            while at < len(ranks) and ranks[at][0] <= limit:
                rank = ranks[at]
                cost = assignment_cost(item, self._engines[rank[3]], self._settings)
                if best is None or (cost, rank[3]) < best:
                    best = (cost, rank[3])
                at = bisect_right(ranks, (*rank[:3], inf), at)
        for position in self._groups.get(item.group, ()):
            engine = self._engines[position]
            if engine.free_slots > 0 and position not in avoided:
                if engine.may_run(item, begins_anew):
                    cost = assignment_cost(item, engine, self._settings)
                    if best is None or (cost, position) < best:
                        best = (cost, position)
        return self._engines[best[1]] if best is not None else None

    def _matching(self, item: QueuedItem, begins_anew: bool) -> list[_EngineBucket]:
        """Return the buckets whose engines may run an item; remembered until buckets change."""
        demand = (
            item.model,
            item.pool,
            item.min_version,
            item.software if item.events_done else None,
            item.versions if item.single_version else None,
        )
        matching = self._matches.get((demand, begins_anew))
        if matching is None:
            if len(self._matches) >= _MAX_MATCHES:
                self._matches.clear()
            matching = [
                bucket
                for bucket in self._buckets.values()
                if bucket.example.may_run(item, begins_anew)
            ]
            self._matches[demand, begins_anew] = matching
        return matching

    def _rank(self, engine: EngineView, position: int) -> _Rank | None:
        """Return an engine's place in its bucket, None without a free slot."""
        if engine.free_slots <= 0:
            return None
        busy = 1.0 - engine.free_slots / max(1, engine.slots)
        if not self._settings.places_by_end:
            return (busy, 0.0, busy, position)
        seconds = engine.event_seconds * (1.0 + BUSY_COST_WEIGHT * busy)
        return (seconds, engine.event_seconds, busy, position)

    def _put_in(self, position: int) -> None:
        engine = self._engines[position]
        key = (
            engine.pool,
            engine.software,
            engine.assigned_model,
            engine.distance_seconds,
            tuple(sorted(engine.versions.items())),
        )
        bucket = self._buckets.get(key)
        if bucket is None:
            example = replace(engine, versions=dict(engine.versions))
            bucket = self._buckets[key] = _EngineBucket(example)
            self._matches.clear()
        self._sizes[key] = self._sizes.get(key, 0) + 1
        self._keys[position] = key
        rank = self._rank(engine, position)
        if rank is not None:
            insort(bucket.ranks, rank)
        self._entries[position] = (bucket, rank)
        self._indexed_groups[position] = set(engine.groups)
        for group in engine.groups:
            self._groups.setdefault(group, set()).add(position)

    def _take_out(self, position: int) -> None:
        bucket, rank = self._entries.pop(position)
        if rank is not None:
            del bucket.ranks[bisect_left(bucket.ranks, rank)]
        for group in self._indexed_groups.pop(position):
            members = self._groups[group]
            members.discard(position)
            if not members:
                del self._groups[group]
        key = self._keys.pop(position)
        self._sizes[key] -= 1
        if not self._sizes[key]:
            del self._sizes[key], self._buckets[key]
            self._matches.clear()


def assign_items(
    items: list[QueuedItem],
    engines: list[EngineView],
    now: float,
    settings: QueueSettings = DEFAULT_QUEUE_SETTINGS,
) -> list[Assignment]:
    """Return the items that start now; takes their slots off the free slots of `engines`."""
    index = EngineIndex(engines, settings)
    assignments = []
    for item in order_items(items, now, settings):
        engine = index.choose(item)
        if engine is not None:
            index.take_slot(engine, item.group)
            assignments.append(Assignment(item.item_id, engine.name))
    return assignments
