"""Builds an `EngineView` of each engine: slots, versions and speed, by which items are placed."""

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
    """Return a view of each engine that has models and is not draining.

    An engine that loads weights or failed a short time ago is shown without free slots, one that
    needs a trial with one, and one with a request limit with as many as `permits` holds for it.
    `home` is the failure domain of this process.
    """
    counts = count_runs(runs)
    groups: dict[str, set[str]] = {}
    for run in runs:
        groups.setdefault(run.endpoint.name, set()).add(run.item_work.item.group)
    views = []
    for endpoint in directory.endpoints:
        if endpoint.draining or not endpoint.models:
            continue
        name = endpoint.name
        state = directory.state(name)
        free_slots = max(0, endpoint.slots - counts.get(name, 0))
        if state is not None and state.needs_trial:
            free_slots = min(1, free_slots)
        blocked = weights.is_loading(name) or (state is not None and state.is_avoided(now))
        views.append(
            EngineView(
                name=name,
                pool=endpoint.pool,
                free_slots=0 if blocked else permits.free_slots(name, free_slots),
                slots=endpoint.slots,
                software=endpoint.software_version,
                versions=weights.versions(endpoint),
                event_seconds=event_intervals.seconds(name, now, endpoint.pool),
                distance_seconds=_distance_seconds(endpoint, home),
                assigned_model=weights.assigned_model(name),
                groups=groups.get(name, set()),
            )
        )
    return views


def count_runs(runs: list[ItemRun]) -> dict[str, int]:
    """Return the number of runs by engine name; engines without runs are left out."""
    counts: dict[str, int] = {}
    for run in runs:
        counts[run.endpoint.name] = counts.get(run.endpoint.name, 0) + 1
    return counts


def _distance_seconds(endpoint: DirectEndpoint, home: FailureDomain) -> float:
    """Return what the way to an engine outside the failure domain or region `home` adds."""
    domain = endpoint.failure_domain
    if domain.region != home.region:
        return OTHER_REGION_DELAY_SECONDS
    return 0.0 if domain.name == home.name else OTHER_DOMAIN_DELAY_SECONDS
