"""Tests of routes that are split over several pools, one of which has no endpoint left.

What was drawn for that pool stayed bound to it, although the route allows the others too: items of
a step waited for good, calls were refused and reward calls waited.
"""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from result import Ok

from pumicedeck.dialects import AnswerHead
from pumicedeck.endpoint_callers import CompleteAnswer
from pumicedeck.http_messages import HttpResponse
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.route_tables import PoolShare, Route, RouteKind, RouteTable, choose_pool
from pumicedeck.scheduling.reward_calls import RewardCaller, ScoreLimits
from pumicedeck.submissions import RewardCall
from pumicedeck.tasks import spawn
from pumicedeck.tests.scheduler_simulations import ROUTES, SchedulerSimulation
from pumicedeck.tests.test_gateways import GatewayFixture, id_header, route
from pumicedeck.tests.test_request_permits import PermitSimulation

STEP = [[20] * 8, [20] * 8]
ITEMS = 16


def split(*weights):
    pools = tuple(PoolShare(name, weight) for name, weight in zip("xyz", weights, strict=False))
    return Route("n", "h", "/", RouteKind.IDEMPOTENT, pools)


def test_a_choice_changes_only_if_its_pool_is_not_available():
    route = split(6.0, 3.0, 1.0)
    for number in range(200):
        drawn = choose_pool(route, Random(number))
        without_z = choose_pool(route, Random(number), {"x", "y"}.__contains__)
        assert without_z == drawn if drawn != "z" else without_z in {"x", "y"}


def test_the_others_are_chosen_by_weight_and_never_one_without_weight():
    route = split(6.0, 3.0, 0.0)
    assert {choose_pool(route, Random(n), {"y", "z"}.__contains__) for n in range(50)} == {"y"}
    assert {choose_pool(route, Random(n), {"z"}.__contains__) for n in range(50)} == {"x", "y"}
    route = split(2.0, 2.0, 8.0)
    drawn = Counter(choose_pool(route, Random(n), {"x", "y"}.__contains__) for n in range(400))
    assert set(drawn) == {"x", "y"} and 0.4 < drawn["x"] / 400 < 0.6


class SplitSimulation(SchedulerSimulation):
    """A scheduler whose route is split over the pools `a` and `b`; e0 alone is in `b`."""

    def __init__(self, models=("m0",), weights=(0.7, 0.3), **options):
        super().__init__(processes=1, models=models, **options)
        drafts, scores = ROUTES.routes
        pools = tuple(PoolShare(*each) for each in zip("ab", weights, strict=True))
        self.routes = RouteTable(1, (replace(drafts, pools=pools), scores), {})
        for name in self.engines:
            self.register(name)

    def register(self, name):
        engine = self.engines[name]
        loaded = tuple(LoadedModel(*each) for each in engine.versions.items())
        pool = "b" if name == "e0" else "a"
        engine.dead = False
        engine.endpoint = replace(engine.endpoint, pool=pool, models=loaded)
        self.processes[0].directory.update(engine.endpoint)

    def listed(self, name="s0"):
        return len(self.results(self.processes[0], name))


@pytest.mark.parametrize("lost_at", [0.0, 0.4])
def test_items_of_a_pool_that_loses_its_last_engine_go_on_at_the_other_pool(lost_at):
    simulation = SplitSimulation()
    if not lost_at:
        simulation.remove_engine("e0")
    simulation.submit(simulation.processes[0], STEP)
    simulation.run(lost_at)
    if lost_at:
        assert simulation.engines["e0"].starts
        simulation.remove_engine("e0")
    simulation.run(4.0)
    assert simulation.listed() == ITEMS


def test_items_are_split_again_once_the_pool_has_an_engine():
    simulation = SplitSimulation(slots=3)
    simulation.remove_engine("e0")
    simulation.submit(simulation.processes[0], STEP)
    simulation.run(0.3)
    simulation.register("e0")
    simulation.run(6.0)
    assert simulation.listed() == ITEMS
    assert simulation.engines["e0"].starts


def test_items_do_not_wait_for_a_pool_whose_engines_all_serve_another_model():
    simulation = SplitSimulation(models=("m0", "m1"), engines=2)
    process = simulation.processes[0]
    simulation.announced.update(m0=4, m1=4)
    simulation.run(4.0)
    for name, model in (("s0", "m0"), ("s1", "m1")):
        simulation.submit(process, STEP, name=name, model=model, min_version=4)
    simulation.run(8.0)
    assert (simulation.listed("s0"), simulation.listed("s1")) == (ITEMS, ITEMS)


def test_items_do_not_wait_for_long_for_a_full_pool_while_the_other_one_is_idle():
    """Half of a step was drawn for one engine of four. Its items waited for one another while the
    others had ended long ago."""
    simulation = SplitSimulation(engines=4, slots=3, weights=(0.5, 0.5))
    simulation.submit(simulation.processes[0], [[100] * 12, [100] * 12])
    simulation.run(1.9)
    for process in simulation.processes:
        assert process.scheduler.waiting_by_model() == {"m0": 12}
    simulation.run(6.9)
    assert simulation.listed() == 24


def test_items_never_start_in_a_pool_without_weight():
    """An item that waited for its full pool went to any other one of the route."""
    simulation = SplitSimulation(engines=2, slots=2, weights=(1.0, 0.0))
    simulation.submit(simulation.processes[0], [[100] * 4, [100] * 4])
    simulation.run(20.0)
    assert simulation.listed() == 8
    assert not simulation.engines["e0"].starts


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "streaming"])
def test_calls_go_to_the_pool_that_has_endpoints(kind):
    gateway_fixture = GatewayFixture()
    backends = [{"service": "apps", "weight": 1}, {"service": "gone", "weight": 99}]
    fields = route("half", kind, backends=backends)
    del fields["service"]
    gateway_fixture.configure(2, fields)
    gateway_fixture.loop.advance(0.5)
    for number in range(10):
        headers = (("X-Pumicedeck-Request-Id", f"r{number}"), ("X-Pumicedeck-Deadline-Ms", "1400"))
        answer = gateway_fixture.ask("GET", "/half/x", headers=headers)
        assert answer.startswith(b"HTTP/1.1 200")
    gateway_fixture.close()


def test_a_call_is_repeated_at_the_other_pool_if_its_own_has_lost_its_endpoints():
    gateway_fixture = GatewayFixture()
    first, second = gateway_fixture.endpoints
    gateway_fixture.put("servers", second.name, {**second.entry(), "service": "other"})
    backends = [{"service": "apps", "weight": 99}, {"service": "other", "weight": 1}]
    fields = route("half", "idempotent", backends=backends)
    del fields["service"]
    gateway_fixture.configure(2, fields)
    gateway_fixture.loop.advance(0.5)

    def leave(call):
        gateway_fixture.put("servers", first.name, None)
        gateway_fixture.loop.timers.call_later(0.3, call.abort)

    first.on_call = leave
    second.on_call = lambda call: call.answer(
        200, (id_header(call), ("X-Pumicedeck-Response-Signature", "3e1b.07")), b"from other"
    )
    headers = (("X-Pumicedeck-Request-Id", "r1"), ("X-Pumicedeck-Deadline-Ms", "1400"))
    answer = gateway_fixture.ask("GET", "/half/x", headers=headers, until=b"from other")
    assert answer.startswith(b"HTTP/1.1 200")
    assert len(first.calls) == 1
    gateway_fixture.close()


def test_a_reward_call_goes_to_the_pool_that_has_endpoints():
    class Scorer:
        async def call(self, call, endpoint, seconds, silence):
            head = AnswerHead(200, call.request_id, False, False, "mac", None, None, None)
            return Ok(CompleteAnswer(HttpResponse(200, (), b""), head))

    simulation = PermitSimulation({"a": None})
    pool = simulation.directories[0].state("a").endpoint.pool
    pools = (PoolShare("gone", 99.0), PoolShare(pool, 1.0))
    table = RouteTable(1, (Route("scores", "h", "/s/", RouteKind.IDEMPOTENT, pools),), {})
    rewards = RewardCaller(simulation.timers, Scorer(), simulation.selectors[0], Random(1))
    scores = []

    async def score():
        scores.append(
            await rewards.score(
                RewardCall("r", "h", "/s/x", b""), lambda: table, lambda: ScoreLimits(3, 5.0)
            )
        )

    spawn(score(), "score")
    simulation.run(0.05)
    assert scores == ["mac"]
