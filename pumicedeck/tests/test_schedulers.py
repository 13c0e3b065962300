"""The scheduler in virtual time: whole steps, lost processes, stores and engines that fail."""

from result import Ok

from pumicedeck.results import ResultCode
from pumicedeck.tests.scheduler_worlds import SchedulerProcess, SchedulerSimulation, complete_text

STEP = [[20, 30, 25, 40], [50, 10, 10, 10], [25, 25, 25, 25], [60, 20, 20, 20]]


def check_whole(world, process, lengths, name="s0"):
    """Every item stands once, whole, under allowed versions and with its own score."""
    results = world.results(process, name)
    wanted = {
        f"{group}-{index}": length
        for group, members in enumerate(lengths)
        for index, length in enumerate(members)
    }
    assert sorted(each.item_id for each in results) == sorted(wanted)
    for each in results:
        assert each.completed
        assert each.text == complete_text(each.item_id, wanted[each.item_id])
        assert each.score == f"mac-r-{each.item_id}"
        assert each.versions
    return results


def test_a_step_is_whole_soon_after_its_longest_item_could_be():
    world = SchedulerSimulation()
    assert isinstance(world.submit(world.processes[1], STEP), Ok)
    world.run(60 * 0.04 + 0.2 + 0.4)
    check_whole(world, world.processes[1], STEP)
    assert all(len(world.starts(f"0-{index}")) == 1 for index in range(4))


def test_the_longest_start_first_when_slots_are_few():
    world = SchedulerSimulation(engines=1, slots=2)
    world.submit(world.processes[0], [[5, 5, 60, 5]])
    first = sorted(world.engines["e0"].starts)[:2]
    assert "0-2" in [item for _, item, _ in first]


def test_another_process_goes_on_from_the_saved_texts_when_the_scheduler_is_killed():
    world = SchedulerSimulation()
    lengths = [[150, 150, 100, 40]]
    world.submit(world.processes[1], lengths)
    world.run(2.6)
    before = world.results(world.processes[1])
    world.processes[0].kill()
    world.run(2.0)
    assert world.active() == [world.processes[1]]
    world.run(6.0)
    after = check_whole(world, world.processes[1], lengths)
    assert after[: len(before)] == before
    resumed = [start for start in world.starts("0-0") if start[2]]
    assert resumed and resumed[0][2] >= 40


def test_a_process_that_starts_after_all_were_lost_does_not_wait_for_a_lease_that_has_lapsed():
    world = SchedulerSimulation()
    world.submit(world.processes[1], STEP)
    world.run(0.5)
    for process in world.processes:
        process.kill()
    world.run(1.4)
    started = SchedulerProcess(world, "p9")
    world.processes.append(started)
    world.run(0.1)
    started.acquire()
    world.run(0.2)
    assert world.active() == [started]
    world.run(5.0)
    check_whole(world, started, STEP)


def test_a_scheduler_that_leaves_hands_its_texts_over_without_a_pause():
    world = SchedulerSimulation()
    world.submit(world.processes[1], [[100, 100]])
    world.run(2.0)
    world.processes[0].leave()
    world.run(1.0)
    assert world.active() == [world.processes[1]]
    world.run(3.2)
    check_whole(world, world.processes[1], [[100, 100]])
    last = world.starts("0-0")[-1]
    assert last[2] >= 45


def test_a_scheduler_that_was_cut_off_writes_nothing_after_its_successor():
    world = SchedulerSimulation()
    lengths = [[100, 60, 60, 60]]
    world.submit(world.processes[1], lengths)
    world.run(0.5)
    world.processes[0].cut()
    world.run(5.0)
    world.processes[0].heal()
    world.submit(world.processes[1], [[10, 10]], name="s1")
    world.run(6.0)
    assert world.active() == [world.processes[1]]
    check_whole(world, world.processes[1], lengths)
    check_whole(world, world.processes[0], lengths)
    assert world.results(world.processes[0]) == world.results(world.processes[1])


def test_work_goes_on_while_the_store_is_down_and_is_listed_after_it():
    world = SchedulerSimulation()
    world.submit(world.processes[1], STEP)
    world.run(0.2)
    for process in world.processes:
        process.store.faults.down = True
    world.run(4.0)
    for process in world.processes:
        process.store.faults.down = False
    world.run(2.5)
    check_whole(world, world.processes[1], STEP)
    assert all(start[2] is None for start in world.starts("3-0"))


def test_lost_replies_and_late_commits_put_no_result_at_two_positions():
    world = SchedulerSimulation()
    world.submit(world.processes[1], STEP)
    faults = world.processes[0].store.faults
    for _ in range(12):
        faults.lost_replies, faults.late_commits = 1, 1
        world.run(0.7)
    faults.lost_replies = faults.late_commits = 0
    world.run(8.0)
    check_whole(world, world.processes[1], STEP)


def test_an_item_goes_on_elsewhere_after_its_engine_went_silent():
    world = SchedulerSimulation(engines=2)
    world.submit(world.processes[0], [[80]])
    world.run(1.0)
    ((_, _, _, name),) = world.starts("0-0")
    world.engines[name].dead = True
    world.run(4.5)
    check_whole(world, world.processes[0], [[80]])
    second = world.starts("0-0")[1]
    assert second[3] != name and second[2] >= 20


def test_an_item_leaves_an_engine_that_turned_slow():
    world = SchedulerSimulation(engines=2)
    world.submit(world.processes[0], [[120]])
    world.run(1.0)
    ((_, _, _, name),) = world.starts("0-0")
    world.engines[name].pace = 0.16
    world.run(6.0)
    check_whole(world, world.processes[0], [[120]])
    assert [start[3] for start in world.starts("0-0")][-1] != name


def test_an_item_leaves_soon_an_engine_that_was_fast_until_now():
    world = SchedulerSimulation(engines=2)
    world.submit(world.processes[0], [[30] * 8])
    world.run(2.0)
    world.submit(world.processes[0], [[110]], name="s1")
    world.run(0.1)
    began, _, _, name = world.starts("0-0")[-1]
    world.engines[name].pace = 0.1
    world.run(7.0)
    check_whole(world, world.processes[0], [[110]], name="s1")
    moved = world.starts("0-0")[-1]
    assert moved[3] != name and moved[0] - began <= 1.2


def test_no_item_starts_after_its_submission_has_ended():
    world = SchedulerSimulation(engines=1, slots=2)
    world.submit(world.processes[1], [[40] * 8])
    world.run(1.0)
    world.end(world.processes[1])
    started = sum(len(engine.starts) for engine in world.engines.values())
    world.run(6.0)
    assert sum(len(engine.starts) for engine in world.engines.values()) == started
    assert not any(sum(e.working.values()) for e in world.engines.values())


def test_a_new_version_is_loaded_once_by_each_engine_that_needs_it():
    world = SchedulerSimulation(engines=4)
    for version in (2, 3, 4):
        world.announced["m0"] = version
        world.submit(
            world.processes[0],
            [[20, 20, 20, 20]],
            name=f"s{version}",
            min_version=version - 1,
            step=version,
        )
        world.run(4.0)
        results = check_whole(world, world.processes[0], [[20] * 4], f"s{version}")
        assert all(min(each.versions) >= version - 1 for each in results)
    assert all(engine.loads <= 3 for engine in world.engines.values())
    assert all(len({fence for _, _, fence in e.orders}) == 1 for e in world.engines.values())


def test_an_order_that_is_carried_out_late_is_not_given_a_second_effect():
    world = SchedulerSimulation(engines=1)
    engine = world.engines["e0"]
    engine.late_orders = 1
    world.announced["m0"] = 3
    world.submit(world.processes[0], [[10]], min_version=2)
    world.run(9.0)
    assert engine.loads == 1 and engine.version == 3
    check_whole(world, world.processes[0], [[10]])


def test_a_successor_waits_before_its_first_order_and_has_a_higher_fencing_number():
    world = SchedulerSimulation(engines=2)
    world.announced["m0"] = 2
    world.run(1.5)
    last = max(order for e in world.engines.values() for order in e.orders)
    world.processes[0].kill()
    world.announced["m0"] = 4
    world.run(10.0)
    later = [o for e in world.engines.values() for o in e.orders if o[1] == "p1"]
    assert later and min(later)[0] - last[0] >= 3.0
    assert min(order[2] for order in later) > last[2]


def test_engines_that_do_not_answer_hold_up_no_load_of_the_others():
    world = SchedulerSimulation(engines=5)
    world.announced["m0"] = 2
    world.run(8.0)
    for name in ("e0", "e1"):
        world.engines[name].dead = True
    world.announced["m0"] = 4
    world.submit(world.processes[0], [[10] * 4], min_version=3)
    world.run(4.0)
    assert [world.engines[name].version for name in ("e2", "e3", "e4")] == [4, 4, 4]


def test_a_carried_group_goes_on_from_the_text_of_the_step_before():
    world = SchedulerSimulation(engines=2)
    world.announced["m0"] = 1
    process = world.processes[0]
    world.submit(process, [[20, 20], [180, 20]], wanted=1)
    world.run(3.0)
    world.end(process)
    world.submit(process, [[20, 20], [180, 20]], name="s1", wanted=1)
    world.run(5.2)
    check_whole(world, process, [[20, 20], [180, 20]], "s1")
    assert world.starts("1-0")[-1][2] >= 40


def test_a_text_of_weights_that_are_too_old_is_made_anew():
    world = SchedulerSimulation(engines=2)
    process = world.processes[0]
    world.submit(process, [[180]])
    world.run(2.0)
    world.end(process)
    world.announced["m0"] = 3
    world.submit(process, [[180]], name="s1", min_version=2)
    world.run(11.0)
    (result,) = check_whole(world, process, [[180]], "s1")
    assert min(result.versions) >= 2
    assert world.starts("0-0")[-1][2] is None


def test_a_submission_is_refused_at_once_while_the_store_is_down():
    world = SchedulerSimulation()
    for process in world.processes:
        process.store.faults.down = True
    outcome = world.submit(world.processes[1], STEP)
    assert outcome.unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    for process in world.processes:
        process.store.faults.down = False
    world.run(3.0)
    assert world.results(world.processes[1]) == []
    assert not any(engine.starts for engine in world.engines.values())


def test_a_submission_whose_commit_got_no_answer_is_accepted_once():
    world = SchedulerSimulation()
    world.processes[1].store.faults.lost_replies = 1
    world.submit(world.processes[1], STEP)
    world.run(4.5)
    assert isinstance(world.submit(world.processes[0], STEP), Ok)
    world.run(2.0)
    check_whole(world, world.processes[1], STEP)


def test_all_processes_lose_power_right_after_a_submission_was_accepted():
    world = SchedulerSimulation(processes=3)
    first, second, third = world.processes
    assert isinstance(world.submit(first, STEP), Ok)
    first.kill()
    second.kill()
    world.run(2.5)
    assert world.active() == [third]
    world.run(4.0)
    check_whole(world, third, STEP)


def test_dropped_history_loses_nothing():
    world = SchedulerSimulation()
    world.submit(world.processes[1], STEP)
    for _ in range(10):
        world.run(0.4)
        world.data.drop_history()
    world.run(1.0)
    check_whole(world, world.processes[1], STEP)


def test_a_finished_submission_is_removed_after_its_status_time_and_an_open_one_is_not():
    world = SchedulerSimulation()
    world.submit(world.processes[1], [[10, 10]])
    world.run(100.0)
    check_whole(world, world.processes[1], [[10, 10]])
    world.run(60.0)
    world.submit(world.processes[1], [[5]], name="s1")
    world.run(10.0)
    assert world.processes[1].mirror.view("s0") is None
    assert world.data.parts("items", "") == ("s1",)
    check_whole(world, world.processes[1], [[5]], "s1")


def test_a_submission_is_adopted_once_while_the_store_is_slow():
    world = SchedulerSimulation()
    first, second = world.processes
    world.submit(first, [[40, 40]])
    world.run(0.5)
    world.end(first)
    first.kill()
    second.store.faults.delay = 0.15
    world.submit(second, [[40, 40, 40]], name="s1")
    world.run(6.0)
    check_whole(world, second, [[40, 40, 40]], "s1")
    for index in range(3):
        starts = [start for start in world.starts(f"0-{index}") if start[0] > 1.6]
        assert len(starts) == 1


def test_a_reward_call_ends_with_its_submission():
    world = SchedulerSimulation()
    world.scores_fail = True
    world.submit(world.processes[0], [[5]])
    world.run(2.0)
    assert world.score_calls
    world.end(world.processes[0])
    calls = len(world.score_calls)
    world.run(10.0)
    assert len(world.score_calls) == calls
