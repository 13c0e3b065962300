"""Collects the running items that might end sooner on another engine, and chooses which move."""

from collections.abc import Callable
from dataclasses import replace

from pumicedeck.scheduling.engine_fleets import EngineFleet, RunKey
from pumicedeck.scheduling.item_queues import EngineView, RunningItem, choose_moves
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.scheduling.queued_items import build_queued_item
from pumicedeck.scheduling.scheduler_parts import SchedulerParts, SchedulerSettings
from pumicedeck.scheduling.submission_works import SubmissionWork

# Without an estimate of the length, this many events count as left.
_UNKNOWN_EVENTS_LEFT = 10.0


def choose_runs_to_move(
    parts: SchedulerParts,
    settings: SchedulerSettings,
    fleet: EngineFleet,
    runs: list[tuple[RunKey, ItemRun]],
    find_work: Callable[[str], SubmissionWork | None],
) -> list[RunKey]:
    """Return the keys of the runs among `runs` to end because another engine is much faster.

    In a large fleet only the fastest engines are candidates, and only runs that are slower than
    one of these by `min_slowdown` are considered.
    """
    engines = _candidate_engines(fleet, runs)
    if not engines:
        return []
    free = [engine.event_seconds for engine in engines if engine.free_slots > 0]
    shortest_interval = parts.moves.min_slowdown * min(free, default=0.0)
    running, key_by_id = [], {}
    for key, run in runs:
        work = find_work(key[0])
        route = parts.route(work.head.route) if work is not None else None
        if route is None or run.events < 2:
            continue
        interval = run.event_interval.confirmed_event_seconds
        if not fleet.is_small:
            source = fleet.index.engine(run.endpoint.name)
            if source is None or (interval or source.event_seconds) < shortest_interval:
                continue
        queued = build_queued_item(parts, settings, work, route, run.item_work)
        key_by_id[queued.item_id] = key
        running.append(
            RunningItem(
                queued,
                run.endpoint.name,
                queued.expected_events_left or _UNKNOWN_EVENTS_LEFT,
                run.item_work.moves,
                interval,
            )
        )
    moves = choose_moves(running, engines, parts.moves, parts.queue)
    return [key_by_id[move.item_id] for move in moves]


def _candidate_engines(fleet: EngineFleet, runs: list[tuple[RunKey, ItemRun]]) -> list[EngineView]:
    """Return copies of the engines to compare, since the choice of moves takes their slots."""
    if fleet.is_small:
        return [replace(engine) for engine in fleet.index.engines]
    fastest = fleet.index.fastest_with_room
    if not fastest:
        return []
    by_name = {engine.name: engine for engine in fastest}
    for _, run in runs:
        source = fleet.index.engine(run.endpoint.name)
        if source is not None:
            by_name.setdefault(source.name, source)
    return [replace(engine) for engine in by_name.values()]
