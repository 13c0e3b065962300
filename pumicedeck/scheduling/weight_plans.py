"""Decides which engine serves which model and which engine loads new weights next; free of I/O.

The load is several trainers that announce a version every few seconds and share the engines. Each
trainer's model gets engines of its own, so that a version costs each engine only one load. At a new
version, engines that the next step could not use load at once, and the others when they are idle.
With fewer engines than models, an engine also loads a model without one, once items wait for it.
"""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's loaded versions by model, and its work.

    `running` counts the items that it runs; `idle_seconds` is how long it has run none. An
    `unresponsive` engine did not report after its last load order; it loads after the others.
    `event_seconds` is the lasting seconds per event of one of its `slots`. `models` are those that
    it can serve, None for any.
    """

    name: str
    versions: dict[str, int]
    running: int
    idle_seconds: float = 0.0
    unresponsive: bool = False
    slots: int = 1
    event_seconds: float = 0.04
    models: frozenset[str] | None = None

    def can_serve(self, model: str) -> bool:
        """Return whether the engine can load a model and is reached by its requests."""
        return self.models is None or model in self.models


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """The weight versions that trainers need of a model.

    `announced` is the newest version, `oldest_allowed` the oldest one that every open submission
    allows, and `waiting` the number of items that wait for an engine.
    """

    model: str
    announced: int
    oldest_allowed: int
    waiting: int


@dataclass(frozen=True, slots=True)
class WeightPlanSettings:
    """Limits of loads: `loads_share` of all engines may load at a time, at least `min_loads`.

    An engine counts as idle after `idle_after_seconds` without work. It does not wait until it is
    idle if its version is no longer allowed or more than `max_lag_versions` behind the announced
    one.
    """

    # The users' sites let 2 of 4 to 6 engines load at a time, and 8 of 21.
    loads_share: float = 0.38
    min_loads: int = 2
    idle_after_seconds: float = 0.25
    max_lag_versions: int = 1


@dataclass(frozen=True, slots=True)
class LoadVersion:
    """A load to order: the engine, the model and the version."""

    engine: str
    model: str
    version: int


def assign_models(
    engines: list[EngineStatus], models: list[str], previous: dict[str, str]
) -> dict[str, str]:
    """Return the model of each engine, in equal shares.

    Each engine must be able to serve one of `models`. It keeps its model from `previous` as far as
    the shares allow; another one gets the model of which it has the newest version. If some engines
    cannot serve all models, shares may differ, but each model has an engine where one is left for
    it.
    """
    if not models:
        return {}
    ordered = sorted(engines, key=lambda engine: engine.name)
    base, extra = divmod(len(ordered), len(models))
    open_shares = {model: base + (index < extra) for index, model in enumerate(sorted(models))}
    assigned: dict[str, str] = {}
    for engine in ordered:
        model = previous.get(engine.name)
        if model is None or not engine.can_serve(model):
            continue
        if open_shares.get(model, 0) > 0:
            assigned[engine.name] = model
            open_shares[model] -= 1
    for engine in ordered:
        if engine.name in assigned:
            continue
        servable = [each for each in sorted(models) if engine.can_serve(each)]
        model = max(
            servable,
            key=lambda each: (
                open_shares[each] > 0,
                engine.versions.get(each, 0) if open_shares[each] > 0 else 0,
                open_shares[each],
            ),
        )
        assigned[engine.name] = model
        open_shares[model] -= 1
    _serve_each_model(ordered, models, assigned)
    return assigned


def _serve_each_model(
    engines: list[EngineStatus], models: list[str], assigned: dict[str, str]
) -> None:
    """Give each model without engines one of the model that has most, if it can serve it."""
    counts = Counter(assigned.values())
    for model in sorted(models):
        donors = [
            each
            for each in engines
            if each.can_serve(model) and counts[assigned[each.name]] > 1 and not counts[model]
        ]
        if donors:
            donor = max(donors, key=lambda each: counts[assigned[each.name]])
            counts[assigned[donor.name]] -= 1
            counts[model] += 1
            assigned[donor.name] = model


def plan_loads(
    engines: list[EngineStatus],
    assigned: dict[str, str],
    demands: dict[str, ModelDemand],
    loading: int,
    settings: WeightPlanSettings,
) -> list[LoadVersion]:
    """Return the loads to order now, the most urgent first.

    `assigned` has the model by engine name; `loading` counts the loads under way at other engines.
    """
    urgent, when_idle = [], []
    load_early = _engines_to_load_early(engines, assigned, demands)
    for engine in engines:
        demand = demands.get(assigned.get(engine.name, ""))
        if demand is None:
            continue
        version = engine.versions.get(demand.model, 0)
        if version >= demand.announced:
            continue
        load = LoadVersion(engine.name, demand.model, demand.announced)
        oldest = max(demand.oldest_allowed, demand.announced - settings.max_lag_versions)
        if version < oldest or engine.name in load_early:
            urgent.append((engine.unresponsive, -demand.waiting, engine.running, engine.name, load))
        elif engine.idle_seconds >= settings.idle_after_seconds and not demand.waiting:
            when_idle.append((engine.unresponsive, version, 0, engine.name, load))
    chosen = [entry[-1] for entry in (*sorted(urgent), *sorted(when_idle))]
    max_loads = max(settings.min_loads, int(settings.loads_share * (len(engines) + loading)))
    return chosen[: max(0, max_loads - loading)]


def plan_shared_loads(
    engines: list[EngineStatus],
    assigned: dict[str, str],
    demands: dict[str, ModelDemand],
    loading: Collection[str],
) -> list[LoadVersion]:
    """Return loads of models without an engine of their own, of which no engine can run an item.

    An engine keeps its other models when it loads one. `engines` are all engines, `loading` the
    models of the loads under way.
    """
    served = {*assigned.values(), *loading}
    loads = []
    for model, demand in sorted(demands.items()):
        if model in served or not demand.waiting:
            continue
        able = [each for each in engines if each.can_serve(model)]
        if not able or any(each.versions.get(model, 0) >= demand.oldest_allowed for each in able):
            continue
        engine = min(able, key=lambda each: (each.unresponsive, each.running, each.name))
        loads.append(LoadVersion(engine.name, model, demand.announced))
    return loads


def _engines_to_load_early(
    engines: list[EngineStatus], assigned: dict[str, str], demands: dict[str, ModelDemand]
) -> set[str]:
    """Return half of the engines of each model whose engines all have the version before.

    They load the announced version early. Otherwise all engines of the model would have to load at
    once when the next version is announced.
    """
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
