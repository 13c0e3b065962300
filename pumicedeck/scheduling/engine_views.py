"""Builds an `EngineView` of each engine: slots, versions and speed, by which items are placed."""

from collections.abc import Collection

from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.scheduling.engine_permits import EnginePermits
from pumicedeck.scheduling.event_intervals import EngineEventIntervals
from pumicedeck.scheduling.item_queues import (
    OTHER_DOMAIN_DELAY_SECONDS,
    OTHER_REGION_DELAY_SECONDS,
    EngineView,
)
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.scheduling.weight_schedules import WeightSchedule
from pumicedeck.topology import FailureDomain


def view_engines(
    directory: EndpointDirectory,
    weights: WeightSchedule,
    permits: EnginePermits,
    event_intervals: EngineEventIntervals,
    runs: list[ItemRun],
    home: FailureDomain,
    now: float,
) -> list[EngineView]:
    """Return a view of each engine that has models and is not draining; see `view_engine`."""
    runs_by_engine: dict[str, list[ItemRun]] = {}
    for run in runs:
        runs_by_engine.setdefault(run.endpoint.name, []).append(run)
    views = [
        view_engine(
            directory,
            weights,
            permits,
            event_intervals,
            runs_by_engine.get(endpoint.name, ()),
            home,
            now,
            endpoint.name,
        )
        for endpoint in directory.endpoints
    ]
    return [view for view in views if view is not None]


def view_engine(
    directory: EndpointDirectory,
    weights: WeightSchedule,
    permits: EnginePermits,
    event_intervals: EngineEventIntervals,
    runs: Collection[ItemRun],
    home: FailureDomain,
    now: float,
    name: str,
) -> EngineView | None:
    """Return a view of the engine `name`; None if it is gone, has no models or is draining.

    An engine that loads weights or failed a short time ago is shown without free slots, one that
    needs a trial with one, and one with a request limit with as many as `permits` holds for it.
    `runs` are the runs at the engine. `home` is the failure domain of this process.
    """
    state = directory.state(name)
    if state is None or state.endpoint.draining or not state.endpoint.models:
        return None
    endpoint = state.endpoint
    free_slots = max(0, endpoint.slots - len(runs))
    if state.needs_trial:
        free_slots = min(1, free_slots)
    blocked = weights.is_loading(name) or state.is_avoided(now)
    return EngineView(
        name=name,
        pool=endpoint.pool,
        free_slots=0 if blocked else permits.free_slots(name, free_slots),
        slots=endpoint.slots,
        software=endpoint.software_version,
        versions=weights.versions(endpoint),
        event_seconds=event_intervals.seconds(name, now),
        distance_seconds=_distance_seconds(endpoint, home),
        assigned_model=weights.assigned_model(name),
        groups={run.item_work.item.group for run in runs},
    )


def _distance_seconds(endpoint: DirectEndpoint, home: FailureDomain) -> float:
    """Return what the way to an engine outside the failure domain or region `home` adds."""
    domain = endpoint.failure_domain
    if domain.region != home.region:
        return OTHER_REGION_DELAY_SECONDS
    return 0.0 if domain.name == home.name else OTHER_DOMAIN_DELAY_SECONDS
