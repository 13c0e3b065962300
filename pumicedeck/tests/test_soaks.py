"""The soak's plans, judge and proxies, and a short run of real processes."""

import json
import socket
from pathlib import Path

import pytest

from pumicedeck.http_listeners import HttpListener
from pumicedeck.soaks.flights import InFlightRequests
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
    made = SoakOracle()
    for version in (2, 3):
        made.engine_generated("a", version)
        made.engine_generated("b", version)
    for item in ("a", "b"):
        made.engine_ended(item)
    made.submission_accepted("s", ITEMS)
    return made


GOOD = (result(), result("b", "b.1", (2, 3), "mac-rb"))


def broken(made):
    return sorted({violation.promise for violation in made.finish()})


def test_what_is_right_breaks_nothing():
    made = oracle()
    made.read("s", 0, GOOD)
    made.read("s", 1, GOOD[1:])
    made.service_ran("c1")
    made.call_answered("c1", True, 200, True)
    made.call_answered("c2", True, 503, False)
    made.route_probed(0, 2, False)
    made.route_probed(0, 2, True)
    made.route_probed(0, 3, False)
    made.route_probed(1, 2, False)
    made.scored("a", 2.0)
    made.gateway_stopped(0, 0, 3.0, 10.0)
    assert broken(made) == [] and made.is_complete("s") and made.contiguous_results("s") == 2


@pytest.mark.parametrize(
    ("promise", "see"),
    [
        ("at most once", lambda made: [made.service_ran("c") for _ in range(2)]),
        ("at most once", lambda made: made.call_answered("c", True, 200, True)),
        ("own and whole answers", lambda made: made.call_answered("c", False, 200, False)),
        (
            "not run is true",
            lambda made: (made.service_ran("c"), made.call_answered("c", True, 503, False)),
        ),
        (
            "not run is true",
            lambda made: (made.call_answered("c", True, 503, False), made.service_ran("c")),
        ),
        ("routes never go back", lambda made: [made.route_probed(0, 3, k) for k in (True, False)]),
        ("score after text", lambda made: made.scored("never ended", 1.0)),
        ("a drain cuts nothing", lambda made: made.gateway_stopped(0, 1, 1.0, 10.0)),
        ("a drain ends in time", lambda made: made.gateway_stopped(0, 0, 11.0, 10.0)),
        ("own and whole answers", lambda made: made.read("s", 0, (result(text="a.1"),))),
        ("own and whole answers", lambda made: made.read("s", 0, (result(score="mac-rb"),))),
        ("own and whole answers", lambda made: made.read("s", 0, (result("z"),))),
        ("versions are true", lambda made: made.read("s", 0, (result(versions=(4,)),))),
        ("an item has one result", lambda made: made.read("s", 0, (*GOOD, GOOD[0]))),
        (
            "positions are fixed",
            lambda made: (made.read("s", 0, GOOD), made.read("s", 0, GOOD[::-1])),
        ),
    ],
)
def test_each_broken_promise_is_seen(promise, see):
    made = oracle()
    if promise not in ("an item has one result", "positions are fixed"):
        made.read("s", 0, ()) if promise.startswith("own") else made.read("s", 0, GOOD)
    see(made)
    assert promise in broken(made)


def test_an_old_version_and_a_lost_item_are_seen():
    made = oracle()
    made.engine_generated("a", 1)
    made.read("s", 0, (result(versions=(1, 2)),))
    assert broken(made) == ["nothing accepted is lost", "versions are recent"]


def test_a_plan_is_the_same_each_time_and_survives_its_file():
    plan = draw_plan(7, 30.0, 4, 3, 3)
    assert plan == draw_plan(7, 30.0, 4, 3, 3) == decode_plan(plan.encode())
    assert plan != draw_plan(8, 30.0, 4, 3, 3)
    assert all(0 < fault.at < 30.0 for fault in plan.faults) and len(plan.faults) > 5


def test_smaller_plans_leave_faults_out():
    plan = draw_plan(7, 30.0, 4, 3, 3)
    smaller = reduced_plans(plan)
    assert {len(each.faults) for each in smaller[2:]} == {len(plan.faults) - 1}
    assert smaller[0].faults + smaller[1].faults in (
        plan.faults[len(plan.faults) // 2 :] + plan.faults[: len(plan.faults) // 2],
    )


def test_all_kinds_are_drawn():
    drawn = {fault.kind for seed in range(40) for fault in draw_plan(seed, 30.0, 4, 3, 3).faults}
    assert drawn == set(FaultKind)


def test_a_drain_answers_for_what_no_other_fault_has_touched():
    flights = InFlightRequests()
    first, second, other = (
        flights.request_started(0),
        flights.request_started(0),
        flights.request_started(1),
    )
    drain = flights.begin_drain(0, 5.0)
    flights.request_ended(first, lost=True)
    flights.request_ended(other, lost=True)
    assert drain.broken_requests == 1
    flights.begin_fault(0)
    flights.request_ended(second, lost=True)
    assert drain.broken_requests == 1 and drain.fault_affected
    late = flights.request_started(0)
    flights.end_fault(0)
    assert late.fault_affected and not flights.request_started(0).fault_affected
    assert flights.end_drain(0) is drain and flights.end_drain(0) is None


class ProxyBench:
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
        self.seen = b""

    def ask(self):
        self.sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

    def has_answer(self):
        try:
            self.seen += self.sock.recv(65536)
        except BlockingIOError:
            pass
        return self.seen.endswith(b"yes")

    def close(self):
        self.sock.close()
        self.proxy.close()
        self.listener.close()
        assert not self.loop.errors


@pytest.fixture
def bench():
    made = ProxyBench()
    yield made
    made.close()


def test_a_proxy_passes_on_and_holds_back_until_it_is_healed(bench):
    bench.ask()
    bench.loop.until(bench.has_answer)
    bench.seen = b""
    bench.proxy.faults.holds_answers = True
    bench.ask()
    bench.loop.advance(1.0)
    assert not bench.has_answer()
    bench.proxy.clear_faults()
    bench.loop.until(bench.has_answer)


def test_a_proxy_delays(bench):
    bench.proxy.faults.delay = 0.5
    began = bench.loop.timers.now()
    bench.ask()
    bench.loop.until(bench.has_answer)
    assert bench.loop.timers.now() - began >= 1.0


def test_a_proxy_resets(bench):
    bench.ask()
    bench.loop.until(bench.has_answer)
    bench.proxy.reset()
    bench.loop.settle()
    with pytest.raises(ConnectionResetError):
        bench.sock.recv(1)


SHORT = draw_plan(1, 5.0, 3, 2, 2)
REGRESSIONS = [
    decode_plan(json.dumps(each["plan"]))
    for each in json.loads(Path(__file__).with_name("soak_regressions.json").read_text())
]


@pytest.mark.parametrize("plan", [SHORT, *REGRESSIONS], ids=lambda plan: f"seed-{plan.seed}")
def test_real_gateways_keep_their_promises_under_faults(plan, tmp_path):
    verdict = SoakRun(plan, tmp_path).run()
    assert verdict.violations == () and verdict.settled
    assert verdict.counts["items"] > 0 and verdict.counts["status 200"] > 0
    assert isinstance(plan.faults[0], Fault)
