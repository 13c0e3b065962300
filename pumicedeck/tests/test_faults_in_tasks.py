"""Exceptions in the tasks that serve calls, score items, run them and schedule.

Guards against a caller without an answer and a step that never ends: the exception was logged and
what waited for the task was forgotten. 1,023 failures in a row at an endpoint raised one, since two
to their power fits no float.
"""

import json
from random import Random

import pytest

from pumicedeck.backoffs import doubled_seconds
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.scheduling.item_runs import ItemRun
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation
from pumicedeck.tests.test_direct_endpoints import HOME, endpoint
from pumicedeck.tests.test_gateways import ID, SIGNATURE, SUBMISSION, GatewayFixture, id_header


@pytest.mark.parametrize("failures", [0, 1, 1022, 1023, 1024, 10**6])
def test_a_backoff_has_a_value_after_any_number_of_failures(failures):
    assert doubled_seconds(2.0, failures, 8.0) == min(8.0, 2.0 * 2 ** min(failures, 2))
    assert 0.0 < doubled_seconds(2.0, failures) <= 2.0 * 2**30


def test_an_endpoint_that_fails_thousands_of_times_in_a_row_is_only_avoided():
    directory = EndpointDirectory(HOME, Random(1))
    directory.update(endpoint("a"))
    for number in range(3000):
        directory.record_failure("a", number * 0.002)
    assert directory.state("a").avoid_until == 2999 * 0.002 + 8.0


class RaisedError(Exception):
    pass


@pytest.fixture
def gateway():
    started = GatewayFixture()
    yield started
    started.close()


def raise_fault(*arguments, **options):
    raise RaisedError


@pytest.mark.parametrize("target", ["/safe/x", "/once/x", "/stream/x"])
def test_a_caller_whose_task_raises_is_answered(gateway, target):
    forwarder = gateway.gateway._parts.forwarder
    forwarder._call_attempts._selector.select = raise_fault
    answer = gateway.ask("GET", target, headers=ID, until=b"}")
    assert answer.startswith(b"HTTP/1.1 500") and b'"code": 999' in answer
    ready = gateway.gateway.readiness_listener
    text = gateway.ask("GET", "/metrics", until=b"cpu_seconds", listener=ready)
    assert b'outcome="500"' in text


def test_a_stream_whose_task_raises_does_not_look_complete(gateway):
    def begin(call):
        call.start_stream(200, (id_header(call), SIGNATURE))
        call.write(b"id: 1\ndata: a\n\n")
        gateway.loop.timers.call_later(0.05, call.finish)

    for each in gateway.endpoints:
        each.on_call = begin
    gateway.gateway._parts.forwarder._call_attempts.record_attempt = raise_fault
    answer = gateway.ask("GET", "/stream/x", headers=ID, until=b"<closed>")
    assert b"data: a" in answer and b"0\r\n\r\n" not in answer


@pytest.mark.parametrize("method", ["accept", "results"])
def test_a_trainer_whose_request_raises_is_answered(gateway, method):
    setattr(gateway.gateway._submissions._intake, method, raise_fault)
    if method == "accept":
        answer = gateway.ask("POST", "/drafts/s1", json.dumps(SUBMISSION).encode(), ID, b"}")
    else:
        answer = gateway.ask("GET", "/lots/s1", until=b"}")
    assert answer.startswith(b"HTTP/1.1 500") and b'"code": 999' in answer


def test_an_item_whose_scoring_raises_ends_and_so_does_its_step():
    simulation = SchedulerSimulation()
    scheduler = simulation.processes[0].scheduler
    scheduler._parts.rewards.score = raise_fault
    simulation.submit(simulation.processes[0], [[20, 30]])
    simulation.run(3.0)
    results = simulation.results(simulation.processes[0])
    assert [each.completed for each in results] == [False, False]
    assert scheduler.open_submissions == 0


@pytest.mark.parametrize("fails_after_its_start", [False, True])
def test_an_item_whose_run_raises_is_run_again(monkeypatch, fails_after_its_start):
    simulation = SchedulerSimulation()
    run, faults = ItemRun.run, iter([True, True])

    async def fail_twice(self, seconds, silence):
        outcome = await run(self, seconds, silence) if fails_after_its_start else None
        if next(faults, False):
            raise RaisedError
        return outcome or await run(self, seconds, silence)

    monkeypatch.setattr(ItemRun, "run", fail_twice)
    simulation.submit(simulation.processes[0], [[20, 30]])
    simulation.run(8.0)
    results = simulation.results(simulation.processes[0])
    assert [each.completed for each in results] == [True, True]
    assert simulation.processes[0].scheduler.running_items == 0


def test_an_item_whose_runs_all_raise_is_run_twice_a_second_at_most(monkeypatch):
    simulation = SchedulerSimulation(engines=1)
    runs = []
    monkeypatch.setattr(ItemRun, "run", lambda *arguments: runs.append(1) or raise_fault())
    simulation.submit(simulation.processes[0], [[20]])
    simulation.run(10.0)
    assert 3 <= len(runs) <= 21


def test_a_pass_of_the_scheduler_that_raises_is_followed_by_others():
    simulation = SchedulerSimulation()
    scheduler = simulation.processes[0].scheduler
    apply_view, faults = scheduler._apply_view, iter([True] * 5)
    scheduler._apply_view = lambda view: raise_fault() if next(faults, False) else apply_view(view)
    simulation.submit(simulation.processes[0], [[20, 30]])
    simulation.run(4.0)
    results = simulation.results(simulation.processes[0])
    assert [each.completed for each in results] == [True, True]
