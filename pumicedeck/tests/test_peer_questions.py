"""Tests of a scheduler that loses and regains the store while it queries its peers.

A scheduler stopped for lack of store contact although its process had regained the lease, or still
held it. The lease went on being renewed, so no process activated a scheduler and no item ran.
"""

import json
from random import Random
from types import SimpleNamespace

import pytest
from result import Ok

from pumicedeck.http_messages import HttpResponse
from pumicedeck.peer_checks import PeerCheck
from pumicedeck.peer_questions import PeerQuestions
from pumicedeck.tests.scheduler_simulations import LEASE, SchedulerSimulation
from pumicedeck.topology import Address

PEER_ANSWER_SECONDS = 0.02


class FakePeerClient:
    """Answers each query with `report` after a short time, or never if `report` is None."""

    def __init__(self, timers, report=None):
        self._timers = timers
        self.report = report

    def send(self, request, done, silence_seconds):
        if self.report is not None:
            response = HttpResponse(200, (), json.dumps(self.report).encode())
            self._timers.call_later(PEER_ANSWER_SECONDS, lambda: done(Ok(response)))
        return SimpleNamespace(cancel=lambda: None)


def _check_peers(simulation, client):
    """Have the first process of a simulation check its store contact with one peer."""
    process = simulation.processes[0]
    process.mirror.members = {"p0": "10.0.0.21:1", "p1": "10.0.0.22:1"}
    questions = PeerQuestions(
        simulation.timers,
        process.store,
        client,
        process.mirror,
        PeerCheck("p0"),
        "p0",
        Address("10.0.0.21", 1),
        last_contact_at=lambda: process.holder.last_contact_at,
        holder=lambda: process.holder.observed_holder,
        random=Random(1),
        scheduler=process.scheduler,
        lease=process.keeper,
    )
    questions.start()
    simulation.run(0.1)


@pytest.mark.parametrize("tenths_of_phase", range(3))
def test_items_go_on_after_any_outage_of_the_store_with_the_only_peer_lost(tenths_of_phase):
    """The lease was regained while the peer had not answered, then the scheduler was stopped."""
    for hundredths in range(200, 300, 5):
        simulation = SchedulerSimulation(processes=1)
        process = simulation.processes[0]
        _check_peers(simulation, FakePeerClient(simulation.timers))
        simulation.run(0.1 * tenths_of_phase)
        simulation.submit(process, [[120]])
        process.store.faults.down = True
        simulation.run(hundredths / 100)
        process.store.faults.down = False
        simulation.run(1.0)
        assert process.holder.holds(simulation.timers.now()), hundredths
        assert process.scheduler.is_active, hundredths
        simulation.run(5.0)
        assert len(simulation.results(process)) == 1, hundredths


def test_a_scheduler_stopped_while_its_lease_is_valid_starts_anew_with_the_store():
    """A peer reported the holder before this one, which it had read just before the store failed;
    the lease was renewed after the outage without the scheduler being activated."""
    simulation = SchedulerSimulation(processes=1)
    process = simulation.processes[0]
    client = FakePeerClient(simulation.timers, {"heard_ago": 0.65, "holder": "p1"})
    _check_peers(simulation, client)
    simulation.submit(process, [[60]])
    process.store.faults.down = True
    failed_at = simulation.timers.now()
    while process.scheduler.is_active:
        assert process.holder.holds(simulation.timers.now())
        assert simulation.timers.now() < failed_at + LEASE.duration
        simulation.run(0.01)
    process.store.faults.down = False
    simulation.run(0.5)
    assert process.scheduler.is_active
    simulation.run(4.0)
    assert len(simulation.results(process)) == 1
