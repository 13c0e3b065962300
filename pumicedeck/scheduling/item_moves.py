"""Collects the running items that might end sooner on another engine, and chooses which move."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from pumicedeck.scheduling.engine_fleets import EngineFleet, RunKey
from pumicedeck.scheduling.event_intervals import EngineEventIntervals
from pumicedeck.scheduling.item_queues import EngineView, MoveReason, RunningItem, choose_moves
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.scheduling.queued_items import build_queued_item
from pumicedeck.scheduling.scheduler_parts import SchedulerParts, SchedulerSettings
from pumicedeck.scheduling.submission_works import SubmissionWork

# Without an estimate of the length, this many events count as left.
_UNKNOWN_EVENTS_LEFT = 10.0


class ItemMoves:
    """Chooses the runs that leave their engine for a faster one, and counts them by reason."""

    def __init__(
        self,
        parts: SchedulerParts,
        settings: SchedulerSettings,
        fleet: EngineFleet,
        intervals: EngineEventIntervals,
    ) -> None:
        """Choose among the engines of `fleet`; `intervals` has the speeds of their runs."""
        self._parts = parts
        self._settings = settings
        self._fleet = fleet
        self._intervals = intervals
        self._counts: Counter[MoveReason] = Counter()

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of runs that were moved since the process started, by reason."""
        return {reason.value: self._counts[reason] for reason in MoveReason}

    def choose(
        self,
        runs: list[tuple[RunKey, ItemRun]],
        find_work: Callable[[str], SubmissionWork | None],
        now: float,
    ) -> list[tuple[RunKey, str]]:
        """Return the keys of the runs among `runs` that move, each with a detail for the log.

        In a large fleet only the fastest engines are candidates, and only runs that are slower than
        one of these by `min_slowdown` are considered.
        """
        parts, fleet = self._parts, self._fleet
        engines = self._candidate_engines(runs)
        if not engines:
            return []
        free = [engine.event_seconds for engine in engines if engine.free_slots > 0]
        shortest_interval = parts.moves.min_slowdown * min(free, default=0.0)
        running, run_by_id = [], {}
        for key, run in runs:
            work = find_work(key[0])
            route = parts.route(work.head.route) if work is not None else None
            if route is None or run.events < 2:
                continue
            interval = run.event_interval.confirmed_event_seconds
            forecast = self._intervals.forecast(run.event_interval, run.endpoint.name, now)
            if not fleet.is_small:
                source = fleet.index.engine(run.endpoint.name)
                expected = forecast.event_seconds if forecast is not None else interval
                if source is None or (expected or source.event_seconds) < shortest_interval:
                    continue
            pools = fleet.serving_pools(route, work.head)
            queued = build_queued_item(parts, self._settings, work, route, run.item_work, pools)
            run_by_id[queued.item_id] = key, run
            running.append(
                RunningItem(
                    queued,
                    run.endpoint.name,
                    queued.expected_events_left or _UNKNOWN_EVENTS_LEFT,
                    run.item_work.moves,
                    interval,
                    forecast,
                )
            )
        chosen = []
        for move in choose_moves(running, engines, parts.moves, parts.queue):
            key, run = run_by_id[move.item_id]
            run.item_work.moves += 1
            self._counts[move.reason] += 1
            reason, gain = move.reason.value, move.gain_seconds
            chosen.append((key, f"moved to a faster engine: {reason}, gain {gain:.1f} s"))
        return chosen

    def _candidate_engines(self, runs: list[tuple[RunKey, ItemRun]]) -> list[EngineView]:
        """Return copies of the engines to compare, since the choice of moves takes their slots."""
        index = self._fleet.index
        if self._fleet.is_small:
            return [replace(engine) for engine in index.engines]
        fastest = index.fastest_with_room
        if not fastest:
            return []
        by_name = {engine.name: engine for engine in fastest}
        for _, run in runs:
            source = index.engine(run.endpoint.name)
            if source is not None:
                by_name.setdefault(source.name, source)
        return [replace(engine) for engine in by_name.values()]
