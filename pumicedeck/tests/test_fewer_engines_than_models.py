"""Tests of models without an engine of their own, since engines are fewer than models.

Engines loaded their own model only, so that a model without one was never loaded, and its steps
stopped for good; also if the trainer of the engine's model had ended.
"""

import pytest

from pumicedeck.scheduling.weight_plans import (
    EngineStatus,
    LoadVersion,
    ModelDemand,
    plan_shared_loads,
)
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation

STEP = [[20, 20], [20, 20]]
MODELS = ("m0", "m1", "m2")


def demand(model, waiting=4, oldest_allowed=4):
    return ModelDemand(model, 5, oldest_allowed, waiting)


def status(name, running=0, models=None, **versions):
    return EngineStatus(name, versions, running, models=models)


def test_a_model_without_an_engine_is_loaded_at_the_least_busy_one_that_can_serve_it():
    engines = [
        status("e0", running=0, models=frozenset({"m0"}), m0=5),
        status("e1", running=3, m0=5, m1=1),
        status("e2", running=2, m0=5, m1=1),
    ]
    demands = {"m0": demand("m0"), "m1": demand("m1")}
    assigned = dict.fromkeys(("e0", "e1", "e2"), "m0")
    assert plan_shared_loads(engines, assigned, demands, ()) == [LoadVersion("e2", "m1", 5)]


@pytest.mark.parametrize(
    "waiting, version, assigned, loading",
    [(0, 1, "m0", ()), (4, 4, "m0", ()), (4, 1, "m1", ()), (4, 1, "m0", ("m1",))],
    ids=["no item waits", "items can run", "has an engine", "is being loaded"],
)
def test_nothing_is_loaded_without_need(waiting, version, assigned, loading):
    engines = [status("e0", m0=5, m1=version)]
    demands = {"m1": demand("m1", waiting=waiting)}
    assert plan_shared_loads(engines, {"e0": assigned}, demands, loading) == []


@pytest.mark.parametrize("engines", [1, 2])
def test_the_steps_of_all_models_are_served(engines):
    simulation = SchedulerSimulation(engines=engines, processes=1, models=MODELS)
    process = simulation.processes[0]
    for version in (3, 4):
        simulation.announced.update(dict.fromkeys(MODELS, version))
        names = [f"{model}-{version}" for model in MODELS]
        for name, model in zip(names, MODELS, strict=True):
            simulation.submit(process, STEP, name=name, model=model, min_version=version)
        simulation.run(9.0)
        assert [len(simulation.results(process, name)) for name in names] == [4, 4, 4]


def test_the_last_engine_serves_a_trainer_beside_the_model_of_one_that_has_ended():
    simulation = SchedulerSimulation(engines=2, processes=1, models=("m0", "m1"))
    process = simulation.processes[0]
    simulation.announced.update(m0=5, m1=5)
    simulation.run(3.0)
    simulation.submit(process, STEP, name="s0", model="m1", min_version=4)
    simulation.run(0.3)
    (used,) = [name for name, engine in simulation.engines.items() if engine.starts]
    simulation.remove_engine(used)
    simulation.run(6.0)
    simulation.announced.update(m1=6)
    simulation.submit(process, STEP, name="s1", model="m1", min_version=6)
    simulation.run(6.0)
    assert (len(simulation.results(process, "s0")), len(simulation.results(process, "s1"))) == (
        4,
        4,
    )
    assert sum(engine.loads for engine in simulation.engines.values()) <= 8
