"""Engines are dealt to models by the work of their steps, and seldom change their model.

Guards against trainers with large steps that fall behind while the engines of a trainer with small
ones are idle, and against engines that change their model, and load weights, with every step.
"""

import pytest

from pumicedeck.scheduling.engine_shares import EngineShares, EngineShareSettings
from pumicedeck.scheduling.weight_plans import EngineStatus, assign_models

MODELS = ["a", "b", "c"]


def shares_after(steps, engines=25, models=MODELS):
    shares = EngineShares()
    for model, work in steps:
        shares.record_step(model, work)
    return shares.choose(models, engines)


def test_a_model_with_half_the_work_gets_half_the_engines():
    chosen = shares_after([("a", 2112.0), ("b", 1200.0), ("c", 2112.0)])
    assert chosen == {"a": 10, "b": 5, "c": 10}


def test_without_steps_all_models_get_equal_shares():
    assert sorted(shares_after([], engines=25).values()) == [8, 8, 9]
    switched_off = EngineShares(EngineShareSettings(by_work=False))
    switched_off.record_step("a", 5000.0)
    switched_off.record_step("b", 10.0)
    assert switched_off.choose(["a", "b"], 6) == {"a": 3, "b": 3}


def test_a_model_whose_steps_are_not_known_yet_counts_as_an_ordinary_one():
    assert shares_after([("a", 900.0), ("b", 900.0)], engines=30) == {"a": 10, "b": 10, "c": 10}


@pytest.mark.parametrize("engines", range(0, 12))
def test_every_model_gets_an_engine_if_there_are_enough(engines):
    chosen = shares_after([("a", 1.0), ("b", 10_000.0), ("c", 1.0)], engines)
    assert sum(chosen.values()) == engines
    assert engines < 3 or min(chosen.values()) >= 1


def test_shares_stay_while_steps_vary_and_follow_a_lasting_change():
    """Steps of one trainer vary by a fifth and more; engines must not change hands with each."""
    shares = EngineShares()
    for model in MODELS:
        shares.record_step(model, 2000.0)
    first = dict(shares.choose(MODELS, 30))
    for number in range(20):
        shares.record_step("a", 2000.0 * (1.2 if number % 2 else 0.8))
        assert shares.choose(MODELS, 30) == first
    for _ in range(20):
        shares.record_step("a", 6000.0)
    assert shares.choose(MODELS, 30)["a"] >= 17


def test_engines_keep_their_models_as_far_as_the_shares_allow():
    engines = [EngineStatus(f"e{n}", {"a": 1, "b": 1}, 0) for n in range(6)]
    before = assign_models(engines, ["a", "b"], {}, {"a": 3, "b": 3})
    after = assign_models(engines, ["a", "b"], before, {"a": 4, "b": 2})
    assert sum(before[name] != after[name] for name in before) == 1
