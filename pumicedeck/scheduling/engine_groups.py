"""Splits engines and models into groups whose engines serve the models of their group only.

The load is several services of engines with models of their own. An engine that is dealt to a model
that it does not have, or that no route leads to, runs nothing and refuses each order to load it.
Shares are therefore dealt within each group; free of I/O.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from pumicedeck.route_tables import Route
from pumicedeck.scheduling.weight_plans import EngineStatus
from pumicedeck.submissions import SubmissionHead


@dataclass(frozen=True, slots=True)
class EngineGroup:
    """Engines, in the given order, and the models that at least one of them serves, sorted."""

    engines: list[EngineStatus]
    models: list[str]


class ModelPools:
    """Follows the pools of the routes that the last submissions of each model came by."""

    def __init__(self, find_route: Callable[[str], Route | None]) -> None:
        """Follow no model; `find_route` returns a route by its name, None if there is none."""
        self._find_route = find_route
        self._routes: dict[str, set[str]] = {}

    def find(self, open_submissions: Iterable[SubmissionHead]) -> dict[str, frozenset[str]]:
        """Return the pools by model, of the models whose last submissions have a route."""
        open_routes: dict[str, set[str]] = {}
        for head in open_submissions:
            open_routes.setdefault(head.model, set()).add(head.route)
        self._routes |= open_routes
        pools: dict[str, frozenset[str]] = {}
        for model, names in self._routes.items():
            routes = [route for name in names if (route := self._find_route(name)) is not None]
            if routes:
                pools[model] = frozenset(share.pool for route in routes for share in route.pools)
        return pools


class ServableModels:
    """Finds the models that engines can serve; engines that are alike get the same set."""

    def __init__(self, pools_by_model: Mapping[str, frozenset[str]]) -> None:
        """Let models of `pools_by_model` be served by these pools only, others by any pool."""
        self._pools_by_model = pools_by_model
        self._found: dict[tuple[str, ...], frozenset[str]] = {}

    def find(self, loaded: Collection[str], pool: str) -> frozenset[str]:
        """Return the models among `loaded` that an engine of `pool` can serve."""
        key = (pool, *loaded)
        found = self._found.get(key)
        if found is None:
            found = frozenset(each for each in loaded if self._is_served_by(each, pool))
            self._found[key] = found
        return found

    def _is_served_by(self, model: str, pool: str) -> bool:
        pools = self._pools_by_model.get(model)
        return pools is None or pool in pools


def group_engines(engines: list[EngineStatus], models: list[str]) -> list[EngineGroup]:
    """Return the groups of engines and models; an engine that serves none of them is left out.

    Two models are in the same group if an engine serves both.
    """
    known = frozenset(models)
    served_by: dict[frozenset[str] | None, frozenset[str]] = {}
    for servable in {engine.models for engine in engines}:
        served_by[servable] = known if servable is None else servable & known
    merged: list[frozenset[str]] = []
    for served in filter(None, served_by.values()):
        overlapping = [each for each in merged if each & served]
        merged = [each for each in merged if not each & served]
        merged.append(served.union(*overlapping))
    if len(merged) == 1 and all(served_by.values()):
        return [EngineGroup(engines, sorted(merged[0]))]
    return [
        EngineGroup([each for each in engines if served_by[each.models] & group], sorted(group))
        for group in sorted(merged, key=sorted)
    ]
