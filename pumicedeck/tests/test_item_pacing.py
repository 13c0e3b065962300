"""Short items of a step start in turns and end long before its longest item.

Guards against a step of 80 items that opens a connection for each of them, and whose longest items
run beside eleven others on each engine, though all the rest ends in a sixth of the time.
"""

from collections import Counter

from pumicedeck.scheduling.item_pacing import (
    NO_PACE,
    PacingSettings,
    choose_pace,
    choose_paced_items,
)
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation
from pumicedeck.tests.test_item_queues import item
from pumicedeck.tests.test_schedulers import check_complete

SETTINGS = PacingSettings(share=0.25)


def required(lengths):
    return [(length, False) for length in lengths]


def test_the_pace_lets_the_short_items_end_in_a_quarter_of_the_longest_ones_time():
    pace = choose_pace(required([200.0] * 4 + [20.0] * 50), SETTINGS)
    assert pace.max_short_runs == 20
    assert pace.is_short(20.0) and not pace.is_short(50.0)


def test_a_step_without_long_items_starts_as_a_whole():
    pace = choose_pace(required([20.0] * 50), SETTINGS)
    assert not pace.is_short(20.0)


def test_no_item_waits_for_its_turn_once_its_step_is_some_seconds_old():
    """Engines that turned slow would else leave items waiting beside free slots for a long time."""
    pace = choose_pace(required([200.0] * 4 + [20.0] * 50), SETTINGS)
    assert pace.must_wait(20.0, 1.0) and not pace.must_wait(20.0, SETTINGS.max_wait_seconds)
    simulation = SchedulerSimulation(engines=7)
    for engine in simulation.engines.values():
        engine.event_seconds = 0.4
    simulation.submit(simulation.processes[1], [[190] + [20] * 7 for _ in range(8)])
    simulation.run(SETTINGS.max_wait_seconds + 0.2)
    assert sum(sum(each.working.values()) for each in simulation.engines.values()) == 64


def test_an_optional_group_sets_no_pace_but_its_short_items_keep_to_it():
    assert choose_pace([(200.0, True), (20.0, False)], SETTINGS) == choose_pace(
        required([20.0]), SETTINGS
    )
    pace = choose_pace([(400.0, True), (200.0, False), *[(20.0, True)] * 50], SETTINGS)
    assert pace.short_below == 50.0 and pace.max_short_runs == 20


def test_items_of_unknown_length_do_not_wait():
    pace = choose_pace(required([200.0, 0.0, 20.0]), SETTINGS)
    assert not pace.is_short(0.0)
    assert choose_pace(required([0.0] * 5), SETTINGS) is NO_PACE


def test_pacing_can_be_switched_off():
    assert choose_pace(required([200.0, 20.0]), PacingSettings(share=0.0)) is NO_PACE


def test_long_items_start_at_once_and_the_longer_short_ones_first():
    waiting = [
        item("a", 10.0, waits_for_turn=True),
        item("b", 30.0, waits_for_turn=True),
        item("c", 180.0),
    ]
    chosen = choose_paced_items(waiting, Counter({"s": 1}), 0.0)
    assert [each.item_id for each in chosen] == ["c", "b"]
    chosen = choose_paced_items(waiting, Counter({"s": 0}), 0.0)
    assert [each.item_id for each in chosen] == ["c"]


def test_a_paced_step_ends_with_its_longest_item_on_a_half_of_the_slots():
    simulation = SchedulerSimulation(engines=7)
    lengths = [[190] + [20] * 7 for _ in range(4)] + [[20] * 8 for _ in range(6)]
    simulation.submit(simulation.processes[1], lengths)
    most = 0
    for _ in range(79):
        simulation.run(0.1)
        running = sum(sum(each.working.values()) for each in simulation.engines.values())
        most = max(most, running)
    check_complete(simulation, simulation.processes[1], lengths)
    # 76 short items of 20 events in the time of 47 events need 32 runs at once.
    assert most == 4 + 32


def test_begun_items_of_a_lost_scheduler_go_on_at_once():
    simulation = SchedulerSimulation(engines=7)
    lengths = [[190] + [40] * 7 for _ in range(6)]
    simulation.submit(simulation.processes[1], lengths)
    simulation.run(1.0)
    simulation.processes[0].kill()
    simulation.run(8.8)
    check_complete(simulation, simulation.processes[1], lengths)


def test_long_groups_that_the_step_can_do_without_delay_no_short_items():
    """The store fell silent 2.2 s after a step was accepted. Its longest items set the pace,
    though their groups were optional. The groups that the trainer waited for could have been listed
    by then; instead they were late by the length of the silence."""
    simulation = SchedulerSimulation(engines=4)
    lengths = (
        [[10, 12, 15, 18] for _ in range(20)] + [[20, 30, 40, 45]] * 4 + [[20, 20, 30, 190]] * 3
    )
    process = simulation.processes[1]
    simulation.submit(process, lengths, wanted_groups=24)
    simulation.run(2.1)
    for each in simulation.processes:
        each.store.faults.silent = True
    listed = {result.item_id for result in simulation.results(process)}
    groups = [group for group in range(24) if all(f"{group}-{i}" in listed for i in range(4))]
    assert len(groups) >= 22
