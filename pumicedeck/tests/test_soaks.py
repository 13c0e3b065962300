"""Tests of soak plans, oracle, request tracking and proxies, and short soaks of real gateways."""

import json
import socket
from pathlib import Path

import pytest

from pumicedeck.http_listeners import HttpListener
from pumicedeck.soaks.account_checks import REVOKED_KEY, AccountChecks
from pumicedeck.soaks.in_flight_requests import InFlightRequests
from pumicedeck.soaks.oracles import ReadResult, SentItem, SoakOracle
from pumicedeck.soaks.plans import Fault, FaultKind, decode_plan, draw_plan, reduced_plans
from pumicedeck.soaks.proxies import LoopbackProxy
from pumicedeck.soaks.runs import SoakRun
from pumicedeck.tests.loop_harnesses import LoopHarness
from pumicedeck.topology import Address

ITEMS = (SentItem("a", "ra", "a.1\na.2", 2), SentItem("b", "rb", "b.1", 2))


def result(name="a", text="a.1\na.2", versions=(2,), score="mac-ra", completed=True):
    return ReadResult(name, completed, text, versions, score)


def oracle():
    soak_oracle = SoakOracle()
    for version in (2, 3):
        soak_oracle.engine_generated_event("a", version)
        soak_oracle.engine_generated_event("b", version)
    for item in ("a", "b"):
        soak_oracle.engine_finished_item(item)
    soak_oracle.submission_accepted("s", ITEMS)
    return soak_oracle


GOOD_RESULTS = (result(), result("b", "b.1", (2, 3), "mac-rb"))


def violated_promises(soak_oracle):
    return sorted({violation.promise for violation in soak_oracle.finish()})


def test_correct_observations_violate_nothing():
    soak_oracle = oracle()
    soak_oracle.results_read("s", 0, GOOD_RESULTS)
    soak_oracle.results_read("s", 1, GOOD_RESULTS[1:])
    soak_oracle.service_ran("c1")
    soak_oracle.call_answered("c1", True, 200, True)
    soak_oracle.call_answered("c2", True, 503, False)
    soak_oracle.route_probed(0, 2, False)
    soak_oracle.route_probed(0, 2, True)
    soak_oracle.route_probed(0, 3, False)
    soak_oracle.route_probed(1, 2, False)
    soak_oracle.score_requested("a", 2.0)
    soak_oracle.gateway_stopped(0, 0, 3.0, 10.0)
    assert (
        violated_promises(soak_oracle) == []
        and soak_oracle.is_complete("s")
        and soak_oracle.contiguous_results("s") == 2
    )


@pytest.mark.parametrize(
    ("promise", "observe"),
    [
        ("at most once", lambda soak_oracle: [soak_oracle.service_ran("c") for _ in range(2)]),
        ("at most once", lambda soak_oracle: soak_oracle.call_answered("c", True, 200, True)),
        (
            "own and whole answers",
            lambda soak_oracle: soak_oracle.call_answered("c", False, 200, False),
        ),
        (
            "not run is true",
            lambda soak_oracle: (
                soak_oracle.service_ran("c"),
                soak_oracle.call_answered("c", True, 503, False),
            ),
        ),
        (
            "not run is true",
            lambda soak_oracle: (
                soak_oracle.call_answered("c", True, 503, False),
                soak_oracle.service_ran("c"),
            ),
        ),
        (
            "routes never go back",
            lambda soak_oracle: [soak_oracle.route_probed(0, 3, k) for k in (True, False)],
        ),
        ("score after text", lambda soak_oracle: soak_oracle.score_requested("never ended", 1.0)),
        ("a drain cuts nothing", lambda soak_oracle: soak_oracle.gateway_stopped(0, 1, 1.0, 10.0)),
        ("a drain ends in time", lambda soak_oracle: soak_oracle.gateway_stopped(0, 0, 11.0, 10.0)),
        (
            "own and whole answers",
            lambda soak_oracle: soak_oracle.results_read("s", 0, (result(text="a.1"),)),
        ),
        (
            "own and whole answers",
            lambda soak_oracle: soak_oracle.results_read("s", 0, (result(score="mac-rb"),)),
        ),
        (
            "own and whole answers",
            lambda soak_oracle: soak_oracle.results_read("s", 0, (result("z"),)),
        ),
        (
            "versions are true",
            lambda soak_oracle: soak_oracle.results_read("s", 0, (result(versions=(4,)),)),
        ),
        (
            "an item has one result",
            lambda soak_oracle: soak_oracle.results_read("s", 0, (*GOOD_RESULTS, GOOD_RESULTS[0])),
        ),
        (
            "positions are fixed",
            lambda soak_oracle: (
                soak_oracle.results_read("s", 0, GOOD_RESULTS),
                soak_oracle.results_read("s", 0, GOOD_RESULTS[::-1]),
            ),
        ),
    ],
)
def test_each_violation_is_detected(promise, observe):
    soak_oracle = oracle()
    if promise not in ("an item has one result", "positions are fixed"):
        (
            soak_oracle.results_read("s", 0, ())
            if promise.startswith("own")
            else soak_oracle.results_read("s", 0, GOOD_RESULTS)
        )
    observe(soak_oracle)
    assert promise in violated_promises(soak_oracle)


def test_an_old_version_and_a_lost_item_are_detected():
    soak_oracle = oracle()
    soak_oracle.engine_generated_event("a", 1)
    soak_oracle.results_read("s", 0, (result(versions=(1, 2)),))
    assert violated_promises(soak_oracle) == ["nothing accepted is lost", "versions are recent"]


def test_a_plan_is_the_same_each_time_and_survives_its_file():
    plan = draw_plan(7, 30.0, 4, 3, 3)
    assert plan == draw_plan(7, 30.0, 4, 3, 3) == decode_plan(plan.encode())
    assert plan != draw_plan(8, 30.0, 4, 3, 3)
    assert all(0 < fault.at < 30.0 for fault in plan.faults) and len(plan.faults) > 5


def test_reduced_plans_leave_faults_out():
    plan = draw_plan(7, 30.0, 4, 3, 3)
    reduced = reduced_plans(plan)
    assert {len(plan_without_faults.faults) for plan_without_faults in reduced[2:]} == {
        len(plan.faults) - 1
    }
    assert reduced[0].faults + reduced[1].faults in (
        plan.faults[len(plan.faults) // 2 :] + plan.faults[: len(plan.faults) // 2],
    )


def test_all_kinds_are_drawn():
    drawn = {fault.kind for seed in range(40) for fault in draw_plan(seed, 30.0, 4, 3, 3).faults}
    assert drawn == set(FaultKind)


def test_losses_are_attributed_to_a_drain_only_without_another_fault():
    in_flight = InFlightRequests()
    first, second, other = (
        in_flight.request_started(0),
        in_flight.request_started(0),
        in_flight.request_started(1),
    )
    drain = in_flight.begin_drain(0, 5.0)
    in_flight.request_ended(first, answer_lost=True)
    in_flight.request_ended(other, answer_lost=True)
    assert drain.broken_requests == 1
    in_flight.begin_fault(0)
    in_flight.request_ended(second, answer_lost=True)
    assert drain.broken_requests == 1 and drain.fault_affected
    late = in_flight.request_started(0)
    in_flight.end_fault(0)
    assert late.fault_affected and not in_flight.request_started(0).fault_affected
    assert in_flight.end_drain(0) is drain and in_flight.end_drain(0) is None


def account_checks():
    checks = AccountChecks()
    checks.request_sent("c1", "acme")
    checks.revoke(10.0)
    return checks


def test_account_checks_accept_what_is_allowed():
    checks = account_checks()
    checks.request_arrived("c1", "acme", False)
    checks.answered(0, REVOKED_KEY, 200, 13.9)
    checks.answered(0, REVOKED_KEY, 401, 14.0)
    checks.answered(0, "soak-key-a2", 503, 14.0)
    # A gateway that is out of touch with the store, and one that has heard from it a moment ago.
    checks.begin_outage((1,))
    checks.answered(1, REVOKED_KEY, 200, 16.0)
    checks.end_outage((1,), 17.0)
    checks.answered(1, REVOKED_KEY, 200, 20.9)
    assert checks.violations == () and checks.counts["revoked key checked"] == 1
    assert checks.configured["acme"] == ("soak-key-a2",)


@pytest.mark.parametrize(
    "observe",
    [
        lambda checks: checks.request_arrived("c1", "bolt", False),
        lambda checks: checks.request_arrived("c1", "", False),
        lambda checks: checks.request_arrived("never sent", "acme", False),
        lambda checks: checks.request_arrived("c1", "acme", True),
        lambda checks: checks.answered(0, REVOKED_KEY, 200, 14.0),
        lambda checks: (checks.end_outage((0,), 17.0), checks.answered(0, REVOKED_KEY, 200, 21.0)),
        lambda checks: checks.answered(0, "soak-key-b1", 401, 1.0),
        lambda checks: checks.answered(0, "soak-key-b1", 404, 1.0),
    ],
)
def test_each_broken_promise_about_accounts_is_detected(observe):
    checks = account_checks()
    observe(checks)
    assert len(checks.violations) == 1


class ProxyHarness:
    def __init__(self):
        self.loop = LoopHarness()
        self.listener = HttpListener(
            Address("127.0.0.1", 0), self.loop.timers, lambda call: call.answer(200, (), b"yes")
        ).register(self.loop)
        self.listener.start()
        self.proxy = LoopbackProxy(self.loop.timers, lambda: self.listener.address)
        self.proxy.register(self.loop)
        self.proxy.start()
        self.sock = socket.create_connection((self.proxy.address.host, self.proxy.address.port))
        self.sock.setblocking(False)
        self.received = b""

    def send_request(self):
        self.sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

    def has_answer(self):
        try:
            self.received += self.sock.recv(65536)
        except BlockingIOError:
            pass
        return self.received.endswith(b"yes")

    def close(self):
        self.sock.close()
        self.proxy.close()
        self.listener.close()
        assert not self.loop.errors


@pytest.fixture
def harness():
    built = ProxyHarness()
    yield built
    built.close()


def test_a_proxy_withholds_answers_until_its_faults_are_cleared(harness):
    harness.send_request()
    harness.loop.until(harness.has_answer)
    harness.received = b""
    harness.proxy.faults.withholds_answers = True
    harness.send_request()
    harness.loop.advance(1.0)
    assert not harness.has_answer()
    harness.proxy.clear_faults()
    harness.loop.until(harness.has_answer)


def test_a_proxy_delays(harness):
    harness.proxy.faults.delay = 0.5
    started_at = harness.loop.timers.now()
    harness.send_request()
    harness.loop.until(harness.has_answer)
    assert harness.loop.timers.now() - started_at >= 1.0


def test_a_proxy_resets(harness):
    harness.send_request()
    harness.loop.until(harness.has_answer)
    harness.proxy.reset()
    harness.loop.settle()
    with pytest.raises(ConnectionResetError):
        harness.sock.recv(1)


SHORT_PLAN = draw_plan(1, 5.0, 3, 2, 2)
REGRESSIONS = [
    decode_plan(json.dumps(regression["plan"]))
    for regression in json.loads(Path(__file__).with_name("soak_regressions.json").read_text())
]


@pytest.mark.parametrize("plan", [SHORT_PLAN, *REGRESSIONS], ids=lambda plan: f"seed-{plan.seed}")
def test_real_gateways_keep_their_promises_under_faults(plan, tmp_path):
    verdict = SoakRun(plan, tmp_path).run()
    assert verdict.violations == () and verdict.settled
    assert verdict.counts["items"] > 0 and verdict.counts["status 200"] > 0
    assert verdict.counts["accounts seen by endpoints"] > 0
    assert isinstance(plan.faults[0], Fault)
