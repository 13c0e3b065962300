"""Reports of use: right, on time, and one for each window, through each fault by itself."""

import pytest

from pumicedeck.tests.usage_fixtures import (
    WINDOW_SECONDS,
    UsageSimulation,
    window_at,
    window_end,
)

FIX_AGE = 3.0


@pytest.fixture
def simulation():
    made = UsageSimulation()
    yield made
    made.check_rules()


def test_each_window_is_reported_once_with_what_began_in_it(simulation):
    """Also the first one, in which the first gateway started, and those without requests."""
    first = window_at(0.0)
    simulation.run(17.0, requests_per_second=20)
    simulation.run(30.0)
    assert simulation.wrong_windows(tolerance=0.0) == []
    windows = [window for _, _, _, window in simulation.api.calls]
    assert windows == list(range(first, windows[-1] + 1))
    assert simulation.reported(window_at(30.0)) == {}
    # After the last requests the holder waits for rows of gateways that had some before.
    assert all(simulation.api.age(window) < 5.2 for window in windows)


def run_to_age(simulation, window, age):
    """Run until `age` seconds after a window's end."""
    simulation.run(window_end(window) + age - simulation.timers.now(), requests_per_second=20)


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
@pytest.mark.parametrize("age", [FIX_AGE - 0.5, FIX_AGE + 0.05, FIX_AGE + 0.12, FIX_AGE + 0.5])
@pytest.mark.parametrize("loses_answers", [False, True])
def test_a_holder_lost_around_its_report_is_followed_in_time(simulation, fault, age, loses_answers):
    """Guards against a report that is late, missing or another one when its sender is lost.

    The holder is lost before the report is fixed, while it is fixed or sent, and after that; the
    answers of its last calls are lost or not.
    """
    simulation.run(12.0, requests_per_second=20)
    holder = simulation.holder
    window = window_at(simulation.timers.now())
    run_to_age(simulation, window, FIX_AGE - 0.7)
    simulation.api.loses_answers = loses_answers
    run_to_age(simulation, window, age)
    if fault == "kill":
        simulation.kill(holder.vm)
    elif fault == "freeze":
        holder.is_frozen = True
    else:
        holder.is_cut = True
    simulation.api.loses_answers = False
    simulation.run(9.0, requests_per_second=20)
    assert simulation.holder is not None and simulation.holder is not holder
    assert simulation.api.age(window) <= 10.0
    assert simulation.reported(window) == dict(simulation.truth[window])
    holder.is_cut = False
    holder.thaw()
    simulation.run(40.0, requests_per_second=20)
    late = [each for each in simulation.api.arrived_at if simulation.api.age(each) > 10.0]
    assert late == []
    lost_with_it = range(window, window + 4)
    assert [each for each in simulation.wrong_windows() if each not in lost_with_it] == []
    assert sum(process.sender.token > 0 for process in simulation.processes.values()) == 1


@pytest.mark.parametrize("status", [429, 503])
def test_a_refused_report_is_repeated_until_it_is_taken(simulation, status):
    """Guards against a report that is dropped after a refusal, or sent too often."""
    simulation.run(12.0, requests_per_second=20)
    simulation.api.status = status
    window = window_at(simulation.timers.now())
    run_to_age(simulation, window, 8.02)
    repeated = simulation.holder.sender.repeated
    assert 3 <= repeated <= 8
    simulation.api.status = 200
    simulation.run(30.0, requests_per_second=20)
    assert simulation.wrong_windows(tolerance=0.0) == []


def test_reports_wait_for_an_api_that_is_silent(simulation):
    simulation.run(12.0, requests_per_second=20)
    simulation.api.silent = True
    simulation.run(25.0, requests_per_second=20)
    simulation.api.silent = False
    simulation.run(25.0, requests_per_second=20)
    late = [each for each in simulation.api.arrived_at if simulation.api.age(each) > 10.0]
    assert 3 <= len(late) <= 5
    assert set(simulation.wrong_windows(tolerance=0.0)) == set(late)
    windows = sorted(simulation.api.reports)
    assert windows == list(range(windows[0], windows[-1] + 1))


def test_a_slow_api_and_lost_answers_cause_exact_repeats_only(simulation):
    simulation.api.delay = 0.9
    simulation.run(20.0, requests_per_second=20)
    simulation.api.loses_answers = True
    simulation.run(6.0, requests_per_second=20)
    simulation.api.loses_answers = False
    simulation.run(30.0, requests_per_second=20)
    assert simulation.wrong_windows(tolerance=0.0) == []
    assert len(simulation.api.calls) > len(simulation.api.reports)


def test_a_report_is_given_up_after_a_minute_and_later_ones_follow(simulation):
    """Guards against a first failure that holds all later reports back for good."""
    simulation.run(12.0, requests_per_second=20)
    simulation.api.silent = True
    simulation.run(90.0, requests_per_second=20)
    simulation.api.silent = False
    simulation.run(30.0, requests_per_second=20)
    missing = [each for each in simulation.truth if each not in simulation.api.reports]
    newest = window_at(simulation.timers.now())
    assert 0 < len([each for each in missing if each < newest - 3]) <= 8
    assert simulation.api.age(newest - 3) <= 10.0


def test_all_lose_power_within_a_window(simulation):
    """Guards against reports that begin anew, and counts that are in the store but not reported."""
    simulation.run(14.0, requests_per_second=20)
    simulation.run_until_true(4.53)
    window = window_at(simulation.timers.now())
    for vm in simulation.vms:
        simulation.kill(vm)
    simulation.run(12.0)
    for vm in simulation.vms:
        simulation.start(vm)
    simulation.run(40.0, requests_per_second=20)
    reported, truth = simulation.reported(window), simulation.truth[window]
    # At most the half second since the last row of each is lost.
    assert all(reported[account] >= 0.8 * truth[account] for account in truth)
    assert simulation.wrong_windows(tolerance=0.0)[0] == window
    windows = sorted(simulation.api.reports)
    assert windows == list(range(window_at(0.0), windows[-1] + 1))
    newest = window_at(simulation.timers.now())
    assert [each for each in simulation.wrong_windows(0.0) if each > newest - 6] == []


@pytest.mark.parametrize("seconds", [2.5, 4.0, 6.5, 12.0])
def test_counts_of_a_gateway_that_was_cut_off_are_reported_if_they_come_in_time(
    simulation, seconds
):
    """Guards against counts that a fixed report has not and that nobody tells of."""
    simulation.run(12.0, requests_per_second=20)
    simulation.run_until_true(2.03, window_offset=1)
    window = window_at(simulation.timers.now())
    gateway = next(each for each in simulation.processes.values() if not each.sender.token)
    gateway.is_cut = True
    simulation.run(seconds, requests_per_second=20)
    gateway.is_cut = False
    simulation.run(40.0, requests_per_second=20)
    came_in_time = 2.0 + seconds < WINDOW_SECONDS + 4.0
    assert (window not in simulation.wrong_windows(0.0)) is came_in_time
    reported = sum(sum(report.values()) for report in simulation.api.reports.values())
    began = sum(sum(simulation.truth[each].values()) for each in simulation.api.reports)
    assert began - reported == gateway.saver.too_late
    assert all(
        each.saver.too_late == 0 for each in simulation.processes.values() if each != gateway
    )


@pytest.mark.parametrize("seconds", [1.0, 4.0, 9.0])
def test_a_store_that_is_silent_delays_a_report_only_until_the_rows_are_there(simulation, seconds):
    """Guards against a report that is fixed before gateways could write their rows."""
    simulation.run(12.0, requests_per_second=20)
    simulation.run_until_true(4.83, window_offset=1)
    window = window_at(simulation.timers.now())
    simulation.faults.silent = True
    simulation.run(seconds, requests_per_second=20)
    simulation.faults.silent = False
    simulation.run(40.0, requests_per_second=20)
    assert simulation.reported(window) == dict(simulation.truth[window])
    assert simulation.wrong_windows(0.0) == [] or seconds > 5.0


def test_late_and_lost_answers_of_the_store_change_no_count(simulation):
    """Guards against rows that are counted twice, or replaced by older ones, when repeated."""
    simulation.run(12.0, requests_per_second=20)
    for _ in range(6):
        simulation.faults.late_commits = 2
        simulation.faults.lost_replies = 2
        simulation.run(4.0, requests_per_second=20)
    simulation.run(30.0, requests_per_second=20)
    assert [each for each in simulation.wrong_windows(0.01)] == []


@pytest.mark.parametrize("step", [2.0, -2.0])
@pytest.mark.parametrize("at_start", [False, True])
def test_steps_of_the_time_of_day_at_a_third_of_the_vms_move_no_window(step, at_start):
    """Guards against windows by a VM's own time of day, also while the first offset is chosen."""
    simulation = UsageSimulation(vms=6)
    stepped = [simulation.processes[vm] for vm in simulation.vms[:2]]
    if not at_start:
        simulation.run(12.0, requests_per_second=20)
    for process in stepped:
        process.step = step
    simulation.run(12.0, requests_per_second=20)
    for process in stepped:
        process.step = 0.0
    simulation.run(30.0, requests_per_second=20)
    simulation.check_rules()
    assert simulation.wrong_windows(0.0) == []


def test_a_lasting_error_of_the_agreed_offset_is_mended_once_and_at_all_gateways_together():
    simulation = UsageSimulation(vms=3)
    for process in simulation.processes.values():
        process.step = -2.0
    simulation.run(12.0, requests_per_second=20)
    for process in simulation.processes.values():
        process.step = 0.0
    simulation.run(80.0, requests_per_second=20)
    simulation.check_rules()
    newest = window_at(simulation.timers.now())
    wrong = simulation.wrong_windows(0.0)
    assert wrong and [each for each in wrong if each > newest - 7] == []
    assert sum(sum(each.values()) for each in simulation.api.reports.values()) == sum(
        sum(simulation.truth[each].values()) for each in simulation.api.reports
    )


def test_a_process_that_stops_saves_what_it_has_counted(simulation):
    simulation.run(12.0, requests_per_second=20)
    leaving = next(each for each in simulation.processes.values() if not each.sender.token)
    simulation.run_until_true(2.37, window_offset=1)
    leaving.count("a", 7)
    finished = []
    leaving.duty.drain()
    leaving.duty.finish(lambda: finished.append(simulation.timers.now()))
    began_at = simulation.timers.now()
    simulation.timers.run_until(began_at + 0.3)
    assert finished and finished[0] < began_at + 0.2
    leaving.is_dead = True
    simulation.run(30.0, requests_per_second=20)
    assert simulation.wrong_windows(0.0) == []


def test_rows_are_removed_two_minutes_after_a_window_was_sent(simulation):
    simulation.run(200.0, requests_per_second=20)
    windows = [int(each) for each in simulation.data.partitions("usage", "") if each.isdigit()]
    newest = window_at(simulation.timers.now())
    assert min(windows) >= newest - (120 + 30 + 5 + 10) / WINDOW_SECONDS
    assert simulation.wrong_windows(0.0) == []
