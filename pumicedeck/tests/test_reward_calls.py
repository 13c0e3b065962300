"""Reward calls that fail go round the endpoints.

Guards against a call that, once it was tried everywhere, goes to the same endpoint again and again.
"""

from random import Random

from result import Err

from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import PoolShare, Route, RouteKind, RouteTable
from pumicedeck.scheduling.reward_calls import RewardCaller, ScoreLimits
from pumicedeck.submissions import RewardCall
from pumicedeck.tasks import spawn
from pumicedeck.tests.test_request_permits import PermitSimulation

ROUTES = RouteTable(
    1, (Route("scores", "h", "/s/", RouteKind.IDEMPOTENT, (PoolShare("s"),), max_attempts=4),), {}
)


class BrokenCaller:
    """Fails each call without an answer and records its endpoint."""

    def __init__(self):
        self.endpoints = []

    async def call(self, call, endpoint, seconds, silence):
        self.endpoints.append(endpoint.name)
        return Err(Failure(ResultCode.ENDPOINT_FAILED, "broken"))


def test_a_call_that_keeps_failing_reaches_all_endpoints_in_each_round():
    simulation = PermitSimulation({"a": None, "b": None, "c": None})
    caller = BrokenCaller()
    rewards = RewardCaller(simulation.timers, caller, simulation.selectors[0], Random(1))
    reward = RewardCall("r", "h", "/s/x", b"score")
    spawn(rewards.score(reward, lambda: ROUTES, lambda: ScoreLimits(3, until=5.0)), "score")
    simulation.run(6.0)
    assert len(caller.endpoints) >= 40
    for begin in range(0, 39, 3):
        assert set(caller.endpoints[begin : begin + 3]) == {"a", "b", "c"}
