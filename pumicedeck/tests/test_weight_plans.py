"""Tests of the weight plan: which engine serves which model and which one loads next."""

from pumicedeck.scheduling.weight_plans import (
    EngineStatus,
    ModelDemand,
    WeightPlanSettings,
    assign_models,
    plan_loads,
)

SETTINGS = WeightPlanSettings()


def engines(versions, running=1, idle=0.0):
    return [
        EngineStatus(f"e{number}", {"m": version}, running, idle)
        for number, version in enumerate(versions)
    ]


def plan(versions, announced, oldest_allowed=0, waiting=5, loading=0, **fields):
    statuses = engines(versions, **fields)
    assigned = {status.name: "m" for status in statuses}
    demands = {"m": ModelDemand("m", announced, oldest_allowed, waiting)}
    return [each.engine for each in plan_loads(statuses, assigned, demands, loading, SETTINGS)]


def test_two_models_share_the_engines_equally_and_keep_them():
    statuses = [EngineStatus(f"e{n}", {"m": 1, "n": 1}, 0) for n in range(6)]
    first = assign_models(statuses, ["m", "n"], {})
    assert sorted(first.values()) == ["m"] * 3 + ["n"] * 3
    without = [status for status in statuses if status.name != "e0"]
    again = assign_models(without, ["m", "n"], first)
    assert sum(again[name] != first[name] for name in again) <= 1


def test_engines_below_the_oldest_version_load_at_once_two_at_a_time():
    assert len(plan([1, 1, 1, 2], announced=4)) == 2
    assert len(plan([1, 1, 1, 2], announced=4, loading=1)) == 1
    assert plan([1, 1, 1, 2], announced=4, loading=2) == []


def test_more_engines_allow_more_simultaneous_loads():
    assert len(plan([1] * 21, announced=4)) == 7


def test_half_of_the_engines_load_a_version_before_all_have_to():
    assert len(plan([2, 2, 2, 2], announced=3)) == 2
    assert plan([3, 3, 2, 2], announced=3) == []


def test_idle_engines_load_later_versions_and_busy_ones_wait():
    assert plan([3, 2], announced=3, waiting=0, running=0, idle=1.0) == ["e1"]
    assert plan([3, 2], announced=3, waiting=0) == []


def test_nothing_is_loaded_twice_or_without_a_named_version():
    assert plan([3, 3], announced=3) == []
    statuses = engines([1, 1])
    assert plan_loads(statuses, {"e0": "m", "e1": "m"}, {}, 0, SETTINGS) == []


def test_an_engine_that_did_not_answer_loads_after_those_that_do():
    statuses = [EngineStatus(f"e{n}", {"m": 1}, 0, 1.0, unresponsive=n < 2) for n in range(4)]
    demands = {"m": ModelDemand("m", 3, 2, 10)}
    assigned = {status.name: "m" for status in statuses}
    chosen = plan_loads(statuses, assigned, demands, 0, WeightPlanSettings())
    assert [load.engine for load in chosen] == ["e2", "e3"]
