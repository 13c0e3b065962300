"""Order and placement of items under the loads that they answer."""

import pytest

from pumicedeck.event_intervals import WINDOW_SECONDS, RunEventInterval
from pumicedeck.item_queues import (
    EngineView,
    MoveSettings,
    QueuedItem,
    RunningItem,
    assign_items,
    choose_moves,
    choose_optional_groups,
    order_items,
)


def item(name, length=25.0, **fields):
    defaults = {"group": name, "min_version": 1, "due": 10.0}
    return QueuedItem(name, "s", "m", "engines", expected_length=length, **{**defaults, **fields})


def engine(name, free=12, version=1, **fields):
    return EngineView(name, "engines", free, 12, {"m": version}, **fields)


def started(items, engines):
    return {each.item_id: each.engine for each in assign_items(items, engines, 0.0)}


def test_the_longest_items_of_a_step_start_first():
    items = [item("a", 10.0), item("b", 180.0), item("c", 60.0)]
    assert [each.item_id for each in order_items(items, 0.0)] == ["b", "c", "a"]
    assert set(started(items, [engine("e", free=1)])) == {"b"}


def test_a_step_that_is_late_does_not_starve_one_that_can_be_whole():
    items = [item("late", 100.0, due=1.0), item("new", 10.0, due=9.0)]
    assert [each.item_id for each in order_items(items, 2.0)] == ["new", "late"]


def test_carried_groups_go_first_in_their_step():
    items = [item("a", 90.0), item("b", 10.0, carried_over=True)]
    assert [each.item_id for each in order_items(items, 0.0)] == ["b", "a"]


def test_an_engine_with_older_weights_is_not_used():
    items = [item("a", min_version=3)]
    assert started(items, [engine("old", version=2)]) == {}
    assert started(items, [engine("old", version=2), engine("new", version=3)]) == {"a": "new"}


def test_a_single_version_text_goes_on_under_its_own_version_only():
    items = [item("a", single_version=True, versions=(2,))]
    assert started(items, [engine("e", version=3)]) == {}
    assert started(items, [engine("e", version=2)]) == {"a": "e"}


def test_a_slow_engine_is_the_last_choice_and_a_near_one_the_first():
    fast, slow = engine("fast"), engine("slow", event_seconds=0.16)
    assert started([item("a")], [slow, fast]) == {"a": "fast"}
    near, far = engine("near"), engine("far", distance_cost=1.4)
    assert started([item("a")], [far, near]) == {"a": "near"}


def test_a_group_stays_on_one_engine_while_that_costs_little():
    items = [item(f"i{n}", group="g") for n in range(4)]
    assert len(set(started(items, [engine("x"), engine("y")]).values())) == 1


def test_an_engine_that_failed_an_item_is_avoided_while_there_is_another():
    items = [item("a", avoid=frozenset({"x"}))]
    assert started(items, [engine("x"), engine("y", event_seconds=0.2)]) == {"a": "y"}
    assert started(items, [engine("x")]) == {"a": "x"}


def test_no_engine_gets_more_than_its_free_slots():
    items = [item(f"i{n}") for n in range(30)]
    placed = started(items, [engine("x", free=5), engine("y", free=3)])
    assert sorted(placed.values()).count("x") == 5 and len(placed) == 8


def test_another_models_engine_is_borrowed_only_when_the_own_ones_are_full():
    own, foreign = engine("own", free=1), engine("foreign", assigned_model="n")
    own.assigned_model = "m"
    assert started([item("a")], [foreign, own]) == {"a": "own"}
    assert set(started([item("a"), item("b")], [foreign, engine("own", free=1)]).values()) == {
        "own",
        "foreign",
    }


def test_long_items_leave_an_engine_that_turned_slow():
    slow, fast = engine("slow", event_seconds=0.16), engine("fast", free=1)
    running = [
        RunningItem(item("short"), "slow", 3.0, 0),
        RunningItem(item("long"), "slow", 80.0, 0),
        RunningItem(item("moved"), "slow", 90.0, 2),
    ]
    moves = choose_moves(running, [slow, fast], MoveSettings())
    assert [(each.item_id, each.engine) for each in moves] == [("long", "fast")]


def test_only_the_slow_runs_leave_an_engine_that_slows_a_part_of_its_runs():
    partly, fast = engine("partly", event_seconds=0.06), engine("fast", free=4)
    running = [
        RunningItem(item("good"), "partly", 80.0, 0, 0.04),
        RunningItem(item("slow"), "partly", 80.0, 0, 0.32),
        RunningItem(item("unsure"), "partly", 80.0, 0),
    ]
    moves = choose_moves(running, [partly, fast], MoveSettings())
    assert [(each.item_id, each.engine) for each in moves] == [("slow", "fast")]


def test_a_run_is_surely_slow_after_two_windows_and_not_by_its_prompt_or_a_load():
    pace = RunEventInterval()
    assert not pace.sample(0, 0.0) and not pace.sample(1, 2.0)
    assert pace.sample(11, 2.01 + WINDOW_SECONDS) and pace.window_event_seconds == pytest.approx(
        0.041
    )
    assert pace.confirmed_event_seconds is None
    assert pace.sample(
        12, 2.02 + 2 * WINDOW_SECONDS
    ) and pace.confirmed_event_seconds == pytest.approx(0.041)
    assert pace.sample(
        13, 2.03 + 3 * WINDOW_SECONDS
    ) and pace.confirmed_event_seconds == pytest.approx(0.41)
    pace.reset()
    assert pace.confirmed_event_seconds is None and not pace.sample(13, 9.0)


def test_the_group_expected_last_can_be_spared_but_not_a_carried_one():
    items = [("a", 10.0, False), ("b", 180.0, False), ("b", 5.0, False), ("c", 200.0, True)]
    assert choose_optional_groups(items, 2) == frozenset({"b"})
    assert choose_optional_groups(items, 3) == frozenset()
    assert choose_optional_groups(items, 0) == frozenset()
