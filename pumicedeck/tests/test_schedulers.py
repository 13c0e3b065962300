"""Tests of the scheduler in virtual time, with failing processes, stores and engines."""

from result import Ok

from pumicedeck.results import ResultCode
from pumicedeck.route_tables import RouteTable
from pumicedeck.tests.scheduler_simulations import (
    ROUTES,
    SchedulerProcess,
    SchedulerSimulation,
    complete_text,
)

STEP = [[20, 30, 25, 40], [50, 10, 10, 10], [25, 25, 25, 25], [60, 20, 20, 20]]


def check_complete(simulation, process, lengths, name="s0"):
    """Check that each item has one complete result with its own text, score and versions."""
    results = simulation.results(process, name)
    expected_lengths = {
        f"{group}-{index}": length
        for group, members in enumerate(lengths)
        for index, length in enumerate(members)
    }
    assert sorted(each.item_id for each in results) == sorted(expected_lengths)
    for each in results:
        assert each.completed
        assert each.text == complete_text(each.item_id, expected_lengths[each.item_id])
        assert each.score == f"mac-r-{each.item_id}"
        assert each.versions
    return results


def test_a_step_is_complete_soon_after_its_longest_item_can_be():
    simulation = SchedulerSimulation()
    assert isinstance(simulation.submit(simulation.processes[1], STEP), Ok)
    simulation.run(60 * 0.04 + 0.2 + 0.4)
    check_complete(simulation, simulation.processes[1], STEP)
    assert all(len(simulation.starts(f"0-{index}")) == 1 for index in range(4))


def test_long_outputs_that_are_complete_together_are_listed_together():
    """Results of 67 KB each were listed one by one, and a trainer that reads twice a second missed
    its deadline by the pause after the read that returned only the first one."""
    simulation = SchedulerSimulation()
    simulation.padding = "x" * 330
    process = simulation.processes[1]
    simulation.submit(process, [[190, 190, 190]])
    counts = set()
    for _ in range(900):
        simulation.run(0.01)
        counts.add(len(simulation.results(process)))
    assert counts == {0, 3}


def test_the_longest_items_start_first_when_slots_are_few():
    simulation = SchedulerSimulation(engines=1, slots=2)
    simulation.submit(simulation.processes[0], [[5, 5, 60, 5]])
    first = sorted(simulation.engines["e0"].starts)[:2]
    assert "0-2" in [item for _, item, _ in first]


def test_another_process_continues_from_the_saved_outputs_when_the_scheduler_is_killed():
    simulation = SchedulerSimulation()
    lengths = [[150, 150, 100, 40]]
    simulation.submit(simulation.processes[1], lengths)
    simulation.run(2.6)
    before = simulation.results(simulation.processes[1])
    simulation.processes[0].kill()
    simulation.run(2.0)
    assert simulation.active() == [simulation.processes[1]]
    simulation.run(6.0)
    after = check_complete(simulation, simulation.processes[1], lengths)
    assert after[: len(before)] == before
    resumed = [start for start in simulation.starts("0-0") if start[2]]
    assert resumed and resumed[0][2] >= 40


def test_a_process_that_starts_after_all_were_killed_does_not_wait_for_an_expired_lease():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[1], STEP)
    simulation.run(0.5)
    for process in simulation.processes:
        process.kill()
    simulation.run(1.4)
    started = SchedulerProcess(simulation, "p9")
    simulation.processes.append(started)
    simulation.run(0.1)
    started.acquire()
    simulation.run(0.2)
    assert simulation.active() == [started]
    simulation.run(5.0)
    check_complete(simulation, started, STEP)


def test_a_stopping_scheduler_hands_its_outputs_over_without_a_pause():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[1], [[100, 100]])
    simulation.run(2.0)
    simulation.processes[0].leave()
    simulation.run(1.0)
    assert simulation.active() == [simulation.processes[1]]
    simulation.run(3.2)
    check_complete(simulation, simulation.processes[1], [[100, 100]])
    last = simulation.starts("0-0")[-1]
    assert last[2] >= 45


def test_a_scheduler_that_was_disconnected_writes_nothing_after_its_successor_started():
    simulation = SchedulerSimulation()
    lengths = [[100, 60, 60, 60]]
    simulation.submit(simulation.processes[1], lengths)
    simulation.run(0.5)
    simulation.processes[0].disconnect()
    simulation.run(5.0)
    simulation.processes[0].reconnect()
    simulation.submit(simulation.processes[1], [[10, 10]], name="s1")
    simulation.run(6.0)
    assert simulation.active() == [simulation.processes[1]]
    check_complete(simulation, simulation.processes[1], lengths)
    check_complete(simulation, simulation.processes[0], lengths)
    assert simulation.results(simulation.processes[0]) == simulation.results(
        simulation.processes[1]
    )


def test_work_goes_on_while_the_store_is_down_and_is_listed_after_it():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[1], STEP)
    simulation.run(0.2)
    for process in simulation.processes:
        process.store.faults.down = True
    simulation.run(4.0)
    for process in simulation.processes:
        process.store.faults.down = False
    simulation.run(2.5)
    check_complete(simulation, simulation.processes[1], STEP)
    assert all(start[2] is None for start in simulation.starts("3-0"))


def test_lost_replies_and_late_commits_put_no_result_at_two_positions():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[1], STEP)
    faults = simulation.processes[0].store.faults
    for _ in range(12):
        faults.lost_replies, faults.late_commits = 1, 1
        simulation.run(0.7)
    faults.lost_replies = faults.late_commits = 0
    simulation.run(8.0)
    check_complete(simulation, simulation.processes[1], STEP)


def test_an_item_continues_on_another_engine_after_its_engine_stopped_answering():
    simulation = SchedulerSimulation(engines=2)
    simulation.submit(simulation.processes[0], [[80]])
    simulation.run(1.0)
    ((_, _, _, name),) = simulation.starts("0-0")
    simulation.engines[name].dead = True
    simulation.run(4.5)
    check_complete(simulation, simulation.processes[0], [[80]])
    second = simulation.starts("0-0")[1]
    assert second[3] != name and second[2] >= 20


def test_an_item_leaves_an_engine_that_turned_slow():
    simulation = SchedulerSimulation(engines=2)
    simulation.submit(simulation.processes[0], [[120]])
    simulation.run(1.0)
    ((_, _, _, name),) = simulation.starts("0-0")
    simulation.engines[name].event_seconds = 0.16
    simulation.run(6.0)
    check_complete(simulation, simulation.processes[0], [[120]])
    assert [start[3] for start in simulation.starts("0-0")][-1] != name


def test_an_item_leaves_soon_an_engine_that_was_fast_until_now():
    simulation = SchedulerSimulation(engines=2)
    simulation.submit(simulation.processes[0], [[30] * 8])
    simulation.run(2.0)
    simulation.submit(simulation.processes[0], [[110]], name="s1")
    simulation.run(0.1)
    began, _, _, name = simulation.starts("0-0")[-1]
    simulation.engines[name].event_seconds = 0.1
    simulation.run(7.0)
    check_complete(simulation, simulation.processes[0], [[110]], name="s1")
    moved = simulation.starts("0-0")[-1]
    assert moved[3] != name and moved[0] - began <= 1.2


def test_no_item_starts_after_its_submission_has_ended():
    simulation = SchedulerSimulation(engines=1, slots=2)
    simulation.submit(simulation.processes[1], [[40] * 8])
    simulation.run(1.0)
    simulation.end(simulation.processes[1])
    started = sum(len(engine.starts) for engine in simulation.engines.values())
    simulation.run(6.0)
    assert sum(len(engine.starts) for engine in simulation.engines.values()) == started
    assert not any(sum(e.working.values()) for e in simulation.engines.values())


def test_a_new_version_is_loaded_once_by_each_engine_that_needs_it():
    simulation = SchedulerSimulation(engines=4)
    for version in (2, 3, 4):
        simulation.announced["m0"] = version
        simulation.submit(
            simulation.processes[0],
            [[20, 20, 20, 20]],
            name=f"s{version}",
            min_version=version - 1,
            step=version,
        )
        simulation.run(4.0)
        results = check_complete(simulation, simulation.processes[0], [[20] * 4], f"s{version}")
        assert all(min(each.versions) >= version - 1 for each in results)
    assert all(engine.loads <= 3 for engine in simulation.engines.values())
    assert all(len({fence for _, _, fence in e.orders}) == 1 for e in simulation.engines.values())


def test_an_order_that_is_carried_out_late_takes_effect_only_once():
    simulation = SchedulerSimulation(engines=1)
    engine = simulation.engines["e0"]
    engine.late_orders = 1
    simulation.announced["m0"] = 3
    simulation.submit(simulation.processes[0], [[10]], min_version=2)
    simulation.run(9.0)
    assert engine.loads == 1 and engine.version == 3
    check_complete(simulation, simulation.processes[0], [[10]])


def test_a_successor_waits_before_its_first_order_and_has_a_higher_fencing_number():
    simulation = SchedulerSimulation(engines=2)
    simulation.announced["m0"] = 2
    simulation.run(1.5)
    last = max(order for e in simulation.engines.values() for order in e.orders)
    simulation.processes[0].kill()
    simulation.announced["m0"] = 4
    simulation.run(10.0)
    later = [o for e in simulation.engines.values() for o in e.orders if o[1] == "p1"]
    assert later and min(later)[0] - last[0] >= 3.0
    assert min(order[2] for order in later) > last[2]


def test_engines_that_do_not_answer_do_not_delay_loads_of_the_others():
    simulation = SchedulerSimulation(engines=5)
    simulation.announced["m0"] = 2
    simulation.run(8.0)
    for name in ("e0", "e1"):
        simulation.engines[name].dead = True
    simulation.announced["m0"] = 4
    simulation.submit(simulation.processes[0], [[10] * 4], min_version=3)
    simulation.run(4.0)
    assert [simulation.engines[name].version for name in ("e2", "e3", "e4")] == [4, 4, 4]


def test_a_carried_over_group_continues_from_the_output_of_the_step_before():
    simulation = SchedulerSimulation(engines=2)
    simulation.announced["m0"] = 1
    process = simulation.processes[0]
    simulation.submit(process, [[20, 20], [180, 20]], wanted_groups=1)
    simulation.run(3.0)
    simulation.end(process)
    simulation.submit(process, [[20, 20], [180, 20]], name="s1", wanted_groups=1)
    simulation.run(5.2)
    check_complete(simulation, process, [[20, 20], [180, 20]], "s1")
    assert simulation.starts("1-0")[-1][2] >= 40


def test_an_output_of_weights_that_are_too_old_is_generated_again():
    simulation = SchedulerSimulation(engines=2)
    process = simulation.processes[0]
    simulation.submit(process, [[180]])
    simulation.run(2.0)
    simulation.end(process)
    simulation.announced["m0"] = 3
    simulation.submit(process, [[180]], name="s1", min_version=2)
    simulation.run(11.0)
    (result,) = check_complete(simulation, process, [[180]], "s1")
    assert min(result.versions) >= 2
    assert simulation.starts("0-0")[-1][2] is None


def test_a_submission_is_refused_at_once_while_the_store_is_down():
    simulation = SchedulerSimulation()
    for process in simulation.processes:
        process.store.faults.down = True
    outcome = simulation.submit(simulation.processes[1], STEP)
    assert outcome.unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    for process in simulation.processes:
        process.store.faults.down = False
    simulation.run(3.0)
    assert simulation.results(simulation.processes[1]) == []
    assert not any(engine.starts for engine in simulation.engines.values())


def test_a_submission_whose_commit_got_no_answer_is_accepted_once():
    simulation = SchedulerSimulation()
    simulation.processes[1].store.faults.lost_replies = 1
    simulation.submit(simulation.processes[1], STEP)
    simulation.run(4.5)
    assert isinstance(simulation.submit(simulation.processes[0], STEP), Ok)
    simulation.run(2.0)
    check_complete(simulation, simulation.processes[1], STEP)


def test_an_accepted_submission_survives_the_loss_of_two_processes_right_after_it():
    simulation = SchedulerSimulation(processes=3)
    first, second, third = simulation.processes
    assert isinstance(simulation.submit(first, STEP), Ok)
    first.kill()
    second.kill()
    simulation.run(2.5)
    assert simulation.active() == [third]
    simulation.run(4.0)
    check_complete(simulation, third, STEP)


def test_dropped_change_history_loses_no_result():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[1], STEP)
    for _ in range(10):
        simulation.run(0.4)
        simulation.data.drop_history()
    simulation.run(1.0)
    check_complete(simulation, simulation.processes[1], STEP)


def test_a_finished_submission_is_removed_after_its_status_time_and_an_open_one_is_not():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[1], [[10, 10]])
    simulation.run(100.0)
    check_complete(simulation, simulation.processes[1], [[10, 10]])
    simulation.run(60.0)
    simulation.submit(simulation.processes[1], [[5]], name="s1")
    simulation.run(10.0)
    assert simulation.processes[1].mirror.view("s0") is None
    assert simulation.data.partitions("items", "") == ("s1",)
    check_complete(simulation, simulation.processes[1], [[5]], "s1")


def test_a_submission_is_adopted_once_while_the_store_is_slow():
    simulation = SchedulerSimulation()
    first, second = simulation.processes
    simulation.submit(first, [[40, 40]])
    simulation.run(0.5)
    simulation.end(first)
    first.kill()
    second.store.faults.delay = 0.15
    simulation.submit(second, [[40, 40, 40]], name="s1")
    simulation.run(6.0)
    check_complete(simulation, second, [[40, 40, 40]], "s1")
    for index in range(3):
        starts = [start for start in simulation.starts(f"0-{index}") if start[0] > 1.6]
        assert len(starts) == 1


def test_a_reward_call_ends_with_its_submission():
    simulation = SchedulerSimulation()
    simulation.scores_fail = True
    simulation.submit(simulation.processes[0], [[5]])
    simulation.run(2.0)
    assert simulation.score_calls
    simulation.end(simulation.processes[0])
    calls = len(simulation.score_calls)
    simulation.run(10.0)
    assert len(simulation.score_calls) == calls


def keep_routes(simulation, *names):
    """Install a configuration that has only the named routes of the deployment."""
    routes = tuple(route for route in ROUTES.routes if route.name in names)
    simulation.routes = RouteTable(simulation.routes.version + 1, routes, {})


def test_complete_outputs_wait_for_the_route_of_their_reward_calls():
    # Guards against complete outputs that are given up because a manifest leaves out that route.
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[0], STEP)
    keep_routes(simulation, "drafts")
    simulation.run(3.0)
    assert simulation.results(simulation.processes[0]) == []
    keep_routes(simulation, "drafts", "scores")
    simulation.run(1.0)
    check_complete(simulation, simulation.processes[0], STEP)


def test_without_a_route_for_reward_calls_items_are_given_up_at_their_time_and_not_before():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[0], [[20, 30]])
    keep_routes(simulation, "drafts")
    simulation.run(19.0)
    assert simulation.results(simulation.processes[0]) == []
    simulation.run(2.0)
    results = simulation.results(simulation.processes[0])
    assert [each.completed for each in results] == [False, False]
    assert simulation.score_calls == []


def test_a_successor_scores_outputs_that_waited_for_a_route():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[0], [[20, 30]])
    keep_routes(simulation, "drafts")
    simulation.run(3.0)
    simulation.processes[0].kill()
    simulation.run(3.0)
    keep_routes(simulation, "drafts", "scores")
    simulation.run(1.0)
    check_complete(simulation, simulation.processes[1], [[20, 30]])


def test_an_output_that_completes_after_its_submissions_route_was_removed_is_scored():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[0], [[30, 30]])
    simulation.run(0.5)
    keep_routes(simulation, "scores")
    simulation.run(2.0)
    check_complete(simulation, simulation.processes[0], [[30, 30]])


def test_only_status_500_counts_as_an_attempt_at_an_item_or_its_reward_call():
    # Guards against items given up early: any other failure counted as well.
    simulation = SchedulerSimulation()
    simulation.run_statuses = [504, 404, 502, 400, 504]
    simulation.score_statuses = [504, 400, 502, 404, 409]
    simulation.submit(simulation.processes[0], [[20]])
    simulation.run(8.0)
    check_complete(simulation, simulation.processes[0], [[20]])
    assert len(simulation.starts("0-0")) == 6 and len(simulation.score_calls) == 6


def test_an_item_is_given_up_after_the_routes_attempts_with_status_500():
    simulation = SchedulerSimulation()
    simulation.run_statuses = [500] * 3
    simulation.submit(simulation.processes[0], [[20]])
    simulation.run(4.0)
    (result,) = simulation.results(simulation.processes[0])
    assert not result.completed and len(simulation.starts("0-0")) == 3


def test_an_engine_that_always_answers_another_status_is_asked_twice_a_second_at_most():
    simulation = SchedulerSimulation(engines=1)
    simulation.run_statuses = [504] * 1000
    simulation.submit(simulation.processes[0], [[20]])
    simulation.run(10.0)
    assert 5 <= len(simulation.starts("0-0")) <= 21
