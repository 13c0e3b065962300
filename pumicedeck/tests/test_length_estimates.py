"""Estimated lengths in tokens, while an event holds dozens of them.

Guards against estimates that are taken for events: items then look dozens of times as long as they
are, so that runs move for differences in speed that gain nothing, and items leave the engine that
has their prompt.
"""

from random import Random

import pytest

from pumicedeck.scheduling.item_placements import assign_items
from pumicedeck.scheduling.item_queues import (
    EngineView,
    MoveSettings,
    QueuedItem,
    RunningItem,
    choose_moves,
)
from pumicedeck.scheduling.length_estimates import MIN_ITEMS, LengthEstimates

TOKENS_PER_EVENT = 76


def learned(items=50, seed=1):
    """Estimates that have seen items of 5 to 25 events, each estimated at half to twice of it."""
    random, lengths = Random(seed), LengthEstimates()
    for _ in range(items):
        events = random.randint(5, 25)
        lengths.record("m", events * TOKENS_PER_EVENT * 2 ** random.uniform(-1, 1), events)
    return lengths


@pytest.mark.parametrize("seed", range(5))
def test_events_are_learned_from_estimates_that_are_off_by_up_to_twice(seed):
    events = learned(seed=seed).events("m", 20 * TOKENS_PER_EVENT)
    assert 20 / 1.5 < events < 20 * 1.5


def test_the_models_differ_and_a_new_one_counts_like_all():
    lengths = learned()
    for _ in range(50):
        lengths.record("other", 100.0, 50)
    assert lengths.events("other", 100.0) == pytest.approx(50.0)
    assert lengths.events("m", 1520.0) < 40.0
    assert lengths.events("new", 1520.0) > lengths.events("m", 1520.0)


def test_before_items_were_completed_an_estimate_counts_as_events():
    lengths = learned(items=MIN_ITEMS - 1)
    assert lengths.events("m", 1520.0) == 1520.0 and lengths.events("m", 0.0) == 0.0


def test_a_change_of_the_unit_is_learned():
    """A release of the engines may change how many tokens an event has."""
    lengths = learned()
    for _ in range(300):
        lengths.record("m", 100.0, 100)
    assert lengths.events("m", 100.0) == pytest.approx(100.0, rel=0.2)


def test_without_learning_estimates_count_as_events():
    lengths = LengthEstimates(learns=False)
    for _ in range(MIN_ITEMS):
        lengths.record("m", 760.0, 10)
    assert lengths.events("m", 760.0) == 760.0


def queued(lengths, tokens, group="g"):
    left = lengths.events("m", tokens)
    return QueuedItem("i", "s", "m", "p", group, 1, 9.0, expected_events_left=left)


def engine(name, event_seconds, groups=()):
    return EngineView(name, "p", 4, 8, {"m": 1}, event_seconds=event_seconds, groups=set(groups))


def test_a_run_stays_at_an_engine_where_it_loses_less_than_a_move_is_worth():
    """5 events are left, which 0.2 s instead of 0.15 s each delay by 0.25 s."""
    engines = [engine("slow", 0.2), engine("fast", 0.15)]
    item = queued(learned(), 5 * TOKENS_PER_EVENT)
    run = RunningItem(item, "slow", item.expected_events_left, 0, 0.2)
    assert choose_moves([run], engines, MoveSettings()) == []


def test_an_item_begins_where_its_prompt_is_kept_if_another_engine_is_hardly_faster():
    """20 events of 0.150 and 0.149 s differ by 0.02 s; a prompt read again costs more."""
    engines = [engine("kept", 0.150, ("g",)), engine("fast", 0.149)]
    item = queued(learned(), 20 * TOKENS_PER_EVENT)
    assert [each.engine for each in assign_items([item], engines, 0.0)] == ["kept"]
