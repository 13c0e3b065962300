"""Which engine serves which model, and which one loads new weights next; free of I/O.

Answers several trainers that name a version every few seconds on shared engines: each trainer has
engines of its own, so that a version costs one load an engine; at a new version only those engines
load at once that the next step could not use, the others when they are idle.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's versions and work; `idle_for` in seconds, 0 while it runs something.

    A `doubtful` one did not answer lately; it loads once no other engine has to.
    """

    name: str
    versions: dict[str, int]
    running: int
    idle_for: float = 0.0
    unresponsive: bool = False


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """What trainers want of a model: `named` is the newest version, `needed` the oldest allowed."""

    model: str
    announced: int
    oldest_allowed: int
    waiting: int


@dataclass(frozen=True, slots=True)
class WeightPlanSettings:
    """How many engines may load at a time: a share of all, at least `least_loads`.

    An engine is idle after `idle_seconds` without work.
    """

    # The users' sheets bear 2 loads at a time on 4 to 6 engines and 8 on 21.
    loads_share: float = 0.38
    least_loads: int = 2
    idle_seconds: float = 0.25
    tolerated_lag: int = 1


@dataclass(frozen=True, slots=True)
class LoadVersion:
    """Order an engine to load a version."""

    engine: str
    model: str
    version: int


def assign_models(
    engines: list[EngineStatus], models: list[str], previous: dict[str, str]
) -> dict[str, str]:
    """Return the model of each engine: equal shares, few moves, newest weights first."""
    if not models:
        return {}
    ordered = sorted(engines, key=lambda engine: engine.name)
    base, extra = divmod(len(ordered), len(models))
    room = {model: base + (index < extra) for index, model in enumerate(sorted(models))}
    assigned: dict[str, str] = {}
    for engine in ordered:
        model = previous.get(engine.name)
        if model is not None and room.get(model, 0) > 0:
            assigned[engine.name] = model
            room[model] -= 1
    for engine in ordered:
        if engine.name in assigned:
            continue
        model = max(
            (each for each in sorted(models) if room[each] > 0),
            key=lambda each: (engine.versions.get(each, 0), room[each]),
        )
        assigned[engine.name] = model
        room[model] -= 1
    return assigned


def plan_loads(
    engines: list[EngineStatus],
    assigned: dict[str, str],
    demands: dict[str, ModelDemand],
    loading: int,
    settings: WeightPlanSettings,
) -> list[LoadVersion]:
    """Return the loads to order now, the most urgent first."""
    urgent, relaxed = [], []
    staggered = _staggered(engines, assigned, demands)
    for engine in engines:
        demand = demands.get(assigned.get(engine.name, ""))
        if demand is None:
            continue
        version = engine.versions.get(demand.model, 0)
        if version >= demand.announced:
            continue
        load = LoadVersion(engine.name, demand.model, demand.announced)
        oldest = max(demand.oldest_allowed, demand.announced - settings.tolerated_lag)
        if version < oldest or engine.name in staggered:
            urgent.append((engine.unresponsive, -demand.waiting, engine.running, engine.name, load))
        elif engine.idle_for >= settings.idle_seconds and not demand.waiting:
            relaxed.append((engine.unresponsive, version, 0, engine.name, load))
    chosen = [entry[-1] for entry in (*sorted(urgent), *sorted(relaxed))]
    most = max(settings.least_loads, int(settings.loads_share * (len(engines) + loading)))
    return chosen[: max(0, most - loading)]


def _staggered(
    engines: list[EngineStatus], assigned: dict[str, str], demands: dict[str, ModelDemand]
) -> set[str]:
    """Return engines that load early so that not all of a model have to at the next version."""
    chosen: set[str] = set()
    for model, demand in demands.items():
        own = [engine for engine in engines if assigned.get(engine.name) == model]
        versions = [engine.versions.get(model, 0) for engine in own]
        newest = sum(1 for version in versions if version >= demand.announced)
        if len(own) < 2 or newest or min(versions) < demand.announced - 1:
            continue
        ordered = sorted(own, key=lambda engine: (engine.running, engine.name))
        chosen.update(engine.name for engine in ordered[: len(own) // 2])
    return chosen
