"""Tests of the order in which items start, of the engine chosen for them, and of their moves."""

import pytest

from pumicedeck.scheduling.event_intervals import WINDOW_SECONDS, RunEventInterval
from pumicedeck.scheduling.item_placements import assign_items
from pumicedeck.scheduling.item_queues import (
    EngineView,
    MoveSettings,
    QueuedItem,
    RunningItem,
    choose_moves,
    choose_optional_groups,
    order_items,
)


def item(name, length=25.0, **fields):
    defaults = {"group": name, "min_version": 1, "deadline": 10.0}
    return QueuedItem(
        name, "s", "m", "engines", expected_events_left=length, **{**defaults, **fields}
    )


def engine(name, free=12, version=1, **fields):
    return EngineView(name, "engines", free, 12, {"m": version}, **fields)


def assigned_engines(items, engines):
    return {each.item_id: each.engine for each in assign_items(items, engines, 0.0)}


def test_the_longest_items_of_a_step_start_first():
    items = [item("a", 10.0), item("b", 180.0), item("c", 60.0)]
    assert [each.item_id for each in order_items(items, 0.0)] == ["b", "c", "a"]
    assert set(assigned_engines(items, [engine("e", free=1)])) == {"b"}


def test_a_step_past_its_deadline_does_not_delay_one_that_can_still_be_complete():
    items = [item("late", 100.0, deadline=1.0), item("new", 10.0, deadline=9.0)]
    assert [each.item_id for each in order_items(items, 2.0)] == ["new", "late"]


def test_carried_over_groups_start_first_in_their_step():
    items = [item("a", 90.0), item("b", 10.0, carried_over=True)]
    assert [each.item_id for each in order_items(items, 0.0)] == ["b", "a"]


def test_an_engine_with_older_weights_is_not_used():
    items = [item("a", min_version=3)]
    assert assigned_engines(items, [engine("old", version=2)]) == {}
    assert assigned_engines(items, [engine("old", version=2), engine("new", version=3)]) == {
        "a": "new"
    }


def test_a_single_version_output_continues_only_under_its_own_version():
    begun = item(
        "a", single_version=True, versions=(2,), events_done=50, software="v1", waited_seconds=1.0
    )
    own, other = engine("own", version=2), engine("other", version=3)
    own.software = other.software = "v1"
    assert own.can_continue(begun) and own.may_run(begun, begins_anew=False)
    assert not other.can_continue(begun) and not other.may_run(begun, begins_anew=False)
    assert other.events_to_generate(begun) == own.events_to_generate(begun) + 50
    assert assigned_engines([begun], [other, own]) == {"a": "own"}


def test_a_slow_engine_is_the_last_choice_and_a_near_one_the_first():
    fast, slow = engine("fast"), engine("slow", event_seconds=0.16)
    assert assigned_engines([item("a")], [slow, fast]) == {"a": "fast"}
    near, far = engine("near"), engine("far", distance_seconds=0.3)
    assert assigned_engines([item("a")], [far, near]) == {"a": "near"}


def test_a_long_item_goes_to_a_fast_engine_far_away_and_a_short_one_stays_near():
    """A third of the engines is 1.3 times slower, and an item of 197 events decides its step."""
    slow, far = engine("slow", event_seconds=0.05), engine("far", distance_seconds=0.3)
    assert assigned_engines([item("a", 197.0)], [slow, far]) == {"a": "far"}
    assert assigned_engines([item("a", 20.0)], [slow, far]) == {"a": "slow"}


def test_a_group_stays_on_one_engine_while_that_costs_little():
    items = [item(f"i{n}", group="g") for n in range(4)]
    assert len(set(assigned_engines(items, [engine("x"), engine("y")]).values())) == 1


def test_an_engine_that_failed_an_item_is_avoided_while_there_is_another():
    items = [item("a", avoided_engines=frozenset({"x"}))]
    assert assigned_engines(items, [engine("x"), engine("y", event_seconds=0.2)]) == {"a": "y"}
    assert assigned_engines(items, [engine("x")]) == {"a": "x"}


def test_no_engine_gets_more_than_its_free_slots():
    items = [item(f"i{n}") for n in range(30)]
    engine_by_item = assigned_engines(items, [engine("x", free=5), engine("y", free=3)])
    assert sorted(engine_by_item.values()).count("x") == 5 and len(engine_by_item) == 8


def test_an_engine_assigned_to_another_model_is_used_only_when_the_own_ones_are_full():
    own, foreign = engine("own", free=1), engine("foreign", assigned_model="n")
    own.assigned_model = "m"
    assert assigned_engines([item("a")], [foreign, own]) == {"a": "own"}
    assert set(
        assigned_engines([item("a"), item("b")], [foreign, engine("own", free=1)]).values()
    ) == {
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


def test_a_long_item_leaves_an_engine_that_is_a_third_slower_and_a_shorter_one_stays():
    """An item of 197 events ended 2.5 s later there, and with it its step."""
    slow, fast = engine("slow", event_seconds=0.05), engine("fast", free=4, event_seconds=0.0385)
    running = [
        RunningItem(item("long"), "slow", 180.0, 0, 0.05),
        RunningItem(item("short"), "slow", 30.0, 0, 0.05),
        RunningItem(item("near"), "slow", 180.0, 0, 0.044),
    ]
    moves = choose_moves(running, [slow, fast], MoveSettings())
    assert [(each.item_id, each.engine) for each in moves] == [("long", "fast")]


def test_only_the_slow_runs_leave_an_engine_that_slows_a_part_of_its_runs():
    partly, fast = engine("partly", event_seconds=0.06), engine("fast", free=4)
    running = [
        RunningItem(item("good"), "partly", 80.0, 0, 0.04),
        RunningItem(item("slow"), "partly", 80.0, 0, 0.32),
        RunningItem(item("unconfirmed"), "partly", 80.0, 0),
    ]
    moves = choose_moves(running, [partly, fast], MoveSettings())
    assert [(each.item_id, each.engine) for each in moves] == [("slow", "fast")]


def test_an_event_interval_is_confirmed_by_two_windows_without_the_prompt_or_a_load():
    interval = RunEventInterval()
    assert not interval.sample(0, 0.0) and not interval.sample(1, 2.0)
    assert interval.sample(
        11, 2.01 + WINDOW_SECONDS
    ) and interval.window_event_seconds == pytest.approx(0.041)
    assert interval.confirmed_event_seconds is None
    assert interval.sample(
        12, 2.02 + 2 * WINDOW_SECONDS
    ) and interval.confirmed_event_seconds == pytest.approx(0.041)
    assert interval.sample(
        13, 2.03 + 3 * WINDOW_SECONDS
    ) and interval.confirmed_event_seconds == pytest.approx(0.41)
    interval.reset()
    assert interval.confirmed_event_seconds is None and not interval.sample(13, 9.0)


def test_the_group_expected_last_is_optional_but_a_carried_over_one_is_not():
    items = [("a", 10.0, False), ("b", 180.0, False), ("b", 5.0, False), ("c", 200.0, True)]
    assert choose_optional_groups(items, 2) == frozenset({"b"})
    assert choose_optional_groups(items, 3) == frozenset()
    assert choose_optional_groups(items, 0) == frozenset()


def test_an_output_waits_for_a_slot_at_its_software_version_as_long_as_it_took_to_generate():
    """A release leaves both versions in service; the engines of one are full for a moment."""
    engines = [engine("full", free=0, software="v1"), engine("free", software="v2")]
    begun = {"software": "v1", "events_done": 50}
    assert assigned_engines([item("a", waited_seconds=1.9, **begun)], engines) == {}
    assert assigned_engines([item("a", waited_seconds=2.1, **begun)], engines) == {"a": "free"}
    assert assigned_engines([item("a", software="v1")], engines) == {"a": "free"}


def test_an_output_is_discarded_at_once_if_no_engine_of_its_software_version_is_left():
    engines = [engine("old", version=1, software="v1"), engine("new", version=3, software="v2")]
    begun = {"software": "v1", "events_done": 50, "min_version": 2}
    assert assigned_engines([item("a", **begun)], engines) == {"a": "new"}


def test_an_output_goes_on_rather_than_begin_anew_at_a_faster_engine():
    slow = engine("slow", software="v1", event_seconds=0.05)
    fast = engine("fast", software="v2", event_seconds=0.03)
    waited = item("a", 60.0, software="v1", events_done=60, waited_seconds=9.0)
    assert assigned_engines([waited], [fast, slow]) == {"a": "slow"}
    short = item("a", 60.0, software="v1", events_done=5, waited_seconds=9.0)
    assert assigned_engines([short], [fast, slow]) == {"a": "fast"}


def test_a_single_version_output_waits_for_a_slot_under_its_weights_then_begins_anew():
    # Guards against items that no engine could run any longer: the output was kept for ever.
    engines = [engine("full", version=1, free=0), engine("free", version=2)]
    begun = {"events_done": 50, "single_version": True, "versions": (1,), "software": "v1"}
    for each in engines:
        each.software = "v1"
    assert assigned_engines([item("a", waited_seconds=1.0, **begun)], engines) == {}
    assert assigned_engines([item("a", waited_seconds=2.0, **begun)], engines) == {"a": "free"}


@pytest.mark.parametrize("versions", [(1,), (3,), (1, 2)])
def test_a_single_version_output_that_no_engine_can_continue_is_discarded_at_once(versions):
    begun = {"events_done": 50, "single_version": True, "versions": versions, "software": "v1"}
    engines = [engine("a", version=2, software="v1")]
    assert assigned_engines([item("a", **begun)], engines) == {"a": "a"}


def test_a_move_to_another_software_version_pays_for_generating_the_output_anew():
    source = engine("source", software="v1", event_seconds=0.1)
    target = engine("target", software="v2", event_seconds=0.03)

    def moves(events_done):
        running = item("a", 50.0, software="v1", events_done=events_done)
        run = RunningItem(running, "source", 50.0, 0, 0.1)
        return choose_moves([run], [source, target], MoveSettings())

    assert [each.engine for each in moves(20)] == ["target"]
    assert moves(110) == []
