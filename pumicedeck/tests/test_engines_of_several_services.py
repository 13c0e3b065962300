"""Tests of engines of several services, which have models of their own or routes of their own.

An engine that came anew was dealt to a model of another service, which it does not have. It refused
each order to load that model and ran nothing, and the steps of its own model stopped for good once
the last other engine of its service was lost.
"""

from dataclasses import replace
from random import Random

import pytest

from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.route_tables import PoolShare, RouteTable
from pumicedeck.scheduling.engine_groups import ServableModels, group_engines
from pumicedeck.scheduling.engine_shares import EngineShares, ShareSettings
from pumicedeck.scheduling.model_shares import StepNeed
from pumicedeck.scheduling.weight_plans import EngineStatus
from pumicedeck.tests.scheduler_simulations import ROUTES, SchedulerSimulation

STEP = [[20, 20], [20, 20]]
LARGE_STEP = [[30] * 8, [30] * 8]
MODELS = ("m0", "m1", "m2", "m3")


def status(name, models, version=1):
    return EngineStatus(name, dict.fromkeys(models, version), 0, models=frozenset(models))


def test_only_models_that_an_engine_has_and_a_route_leads_to_are_servable():
    pools = {"m0": frozenset({"a"}), "m1": frozenset({"b"})}
    servable = ServableModels(pools)
    for pool, models in (("a", {"m0", "m2"}), ("b", {"m1", "m2"}), ("a", {"m0", "m2"})):
        assert servable.find(("m0", "m1", "m2"), pool) == models


def test_engines_that_share_no_model_are_in_groups_of_their_own():
    engines = [status("e0", "a"), status("e1", "b"), status("e2", "bc"), status("e3", "x")]
    groups = group_engines(engines, ["a", "b", "c", "d"])
    assert [([each.name for each in group.engines], group.models) for group in groups] == [
        (["e0"], ["a"]),
        (["e1", "e2"], ["b", "c"]),
    ]


@pytest.mark.parametrize("by_need", [True, False])
@pytest.mark.parametrize("seed", range(20))
def test_each_engine_is_dealt_to_a_model_that_it_can_serve_and_no_model_is_left_out(seed, by_need):
    random = Random(seed)
    shares = EngineShares(ShareSettings(by_need=by_need))
    engines = {
        f"e{number}": status(f"e{number}", random.sample(MODELS, random.randint(1, 4)))
        for number in range(random.randint(4, 9))
    }
    assigned, now = {}, 0.0
    for number in range(30):
        now += 0.5
        if random.random() < 0.3:
            name = random.choice(list(engines))
            del engines[name]
            engines[f"n{number}"] = status(f"n{number}", random.sample(MODELS, 2))
        if shares.is_due(now):
            sizes = {model: random.uniform(100.0, 4000.0) for model in MODELS}
            shares.record_steps(
                StepNeed(f"{model}-{number}", model, now, 7.5, size, size, 19.0)
                for model, size in sizes.items()
            )
        statuses = list(engines.values())
        assigned = shares.deal(statuses, list(MODELS), {}, assigned, now).assigned
        assert assigned.keys() == engines.keys()
        assert all(engines[name].can_serve(model) for name, model in assigned.items())
        counts = {model: list(assigned.values()).count(model) for model in MODELS}
        for model in MODELS:
            donors = [each for each in statuses if counts[assigned[each.name]] > 1]
            assert counts[model] or not any(each.can_serve(model) for each in donors)


def _two_services(simulation, models_by_pool, first_service=("e0", "e1")):
    """Split the engines into the services `a`, with two engines, and `b`, with a route each."""
    drafts, scores = ROUTES.routes
    simulation.routes = RouteTable(
        1,
        (
            replace(drafts, pools=(PoolShare("a"),)),
            replace(drafts, name="notes", path_prefix="/n/", pools=(PoolShare("b"),)),
            scores,
        ),
        {},
    )
    for name, engine in simulation.engines.items():
        pool = "a" if name in first_service else "b"
        _register(simulation, engine, pool, models_by_pool[pool])


def _register(simulation, engine, pool, models, version=1):
    engine.versions = dict.fromkeys(models, version)
    loaded = tuple(LoadedModel(model, version) for model in models)
    engine.endpoint = replace(engine.endpoint, pool=pool, models=loaded)
    for process in simulation.processes:
        process.directory.update(engine.endpoint)


def _announce(simulation, **versions):
    simulation.announced.update(versions)
    simulation.run(2.5)


@pytest.mark.parametrize("first_crashed", ["e0", "e1"])
@pytest.mark.parametrize(
    "models_by_pool",
    [{"a": ("m0",), "b": ("m1",)}, {"a": ("m0", "m1"), "b": ("m0", "m1")}],
    ids=["own models", "own routes"],
)
def test_a_step_goes_on_at_an_engine_that_came_anew_after_the_others_of_its_service_are_lost(
    models_by_pool, first_crashed
):
    simulation = SchedulerSimulation(engines=6, processes=1)
    process = simulation.processes[0]
    spare = simulation.engines.pop("e5")
    process.directory.remove("e5")
    _two_services(simulation, models_by_pool)
    _announce(simulation, m0=5, m1=5)
    simulation.submit(process, STEP, model="m0", min_version=4)
    simulation.submit(process, LARGE_STEP, name="s1", model="m1", min_version=4, route="notes")
    simulation.run(6.0)
    simulation.remove_engine(first_crashed)
    simulation.run(2.0)
    simulation.engines["e5"] = spare
    _register(simulation, spare, "a", models_by_pool["a"], version=5)
    _announce(simulation, m0=6)
    simulation.remove_engine("e0" if first_crashed == "e1" else "e1")
    _announce(simulation, m0=7)
    simulation.submit(process, STEP, name="s2", model="m0", min_version=7)
    simulation.submit(process, STEP, name="s3", model="m1", min_version=4, route="notes")
    simulation.run(6.0)
    assert {name: len(simulation.results(process, name)) for name in ("s0", "s1", "s2", "s3")} == {
        "s0": 4,
        "s1": 16,
        "s2": 4,
        "s3": 4,
    }
    assert spare.versions["m0"] == 7


@pytest.mark.parametrize("first_service", [("e0", "e1"), ("e3", "e4")])
def test_a_model_that_is_announced_after_the_first_one_is_served(first_service):
    """All engines went to the first model and some to the second one later, but the wrong ones."""
    simulation = SchedulerSimulation(engines=5, processes=1)
    process = simulation.processes[0]
    _two_services(simulation, {"a": ("m0",), "b": ("m1",)}, first_service)
    _announce(simulation, m0=3)
    _announce(simulation, m1=3)
    simulation.submit(process, STEP, model="m0", min_version=2)
    simulation.submit(process, STEP, name="s1", model="m1", min_version=3, route="notes")
    simulation.run(6.0)
    assert len(simulation.results(process, "s0")) == len(simulation.results(process, "s1")) == 4


def test_engines_of_a_service_that_a_model_has_left_are_not_dealt_to_it():
    """A trainer goes on by another route. As long as the engines of the former one counted too, the
    model got these only, and none that its items may run on."""
    simulation = SchedulerSimulation(engines=4, processes=1)
    process = simulation.processes[0]
    _two_services(simulation, {"a": ("m0", "m1"), "b": ("m0", "m1")})
    _announce(simulation, m0=3)
    simulation.submit(process, STEP, name="s0", model="m0", min_version=3)
    simulation.run(4.0)
    _announce(simulation, m1=3)
    simulation.submit(process, STEP, name="s1", model="m1", min_version=3)
    simulation.submit(process, STEP, name="s2", model="m0", min_version=3, route="notes")
    simulation.run(6.0)
    _announce(simulation, m0=4, m1=4)
    simulation.submit(process, STEP, name="s3", model="m1", min_version=4)
    simulation.submit(process, STEP, name="s4", model="m0", min_version=4, route="notes")
    simulation.run(6.0)
    names = ("s0", "s1", "s2", "s3", "s4")
    assert [len(simulation.results(process, name)) for name in names] == [4] * 5
    pools = {name: engine.endpoint.pool for name, engine in simulation.engines.items()}
    assigned = process.scheduler._weights._assigned
    assert {(pools[name], model) for name, model in assigned.items()} == {("a", "m1"), ("b", "m0")}
