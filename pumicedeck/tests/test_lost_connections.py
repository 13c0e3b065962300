"""All connections to an endpoint are reset at one moment, while the endpoint lives.

Guards against a healthy endpoint that gets no requests for 8 s: each of the twelve lost calls
counted as a failure of its own, and the time of avoidance doubled with each.
"""

from random import Random

from result import Err

from pumicedeck.clocks import VirtualTime
from pumicedeck.dialects import ForwardedCall
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scheduling.engine_permits import EnginePermits
from pumicedeck.scheduling.engine_views import view_engines
from pumicedeck.scheduling.event_intervals import EngineEventIntervals
from pumicedeck.tasks import spawn
from pumicedeck.tests.test_direct_endpoints import HOME, endpoint
from pumicedeck.tests.test_leaving_endpoints import NoWeights


class ResettingClient:
    """Replaces the HTTP client: each call fails when `fail_all` is called."""

    def __init__(self):
        self.open_calls = []

    def send(self, request, done, *arguments):
        self.open_calls.append(done)
        return self

    def cancel(self):
        pass

    def fail_all(self, connection_lost):
        failure = Failure(ResultCode.ENDPOINT_FAILED, "gone", connection_lost=connection_lost)
        calls, self.open_calls = self.open_calls, []
        for done in calls:
            done(Err(failure))


def avoided_seconds(connection_lost):
    """Return for how long an endpoint is avoided after twelve calls to it failed at once."""
    timers = VirtualTime()
    timers.run_until(10.0)
    client = ResettingClient()
    directory = EndpointDirectory(HOME, Random(1))
    directory.update(endpoint("a"))
    caller = EndpointCaller(timers, client, PlatformEndpointDialect(), directory)
    for number in range(12):
        call = ForwardedCall(f"r{number}", "POST", "/x", "h", (), b"")
        spawn(caller.call(call, endpoint("a"), None, 2.0), "call")
    timers.run_until(10.5)
    client.fail_all(connection_lost)
    return directory.state("a").avoid_until - timers.now()


def test_an_endpoint_whose_connections_are_all_reset_is_used_again_soon():
    assert avoided_seconds(connection_lost=True) <= 0.5


def test_an_endpoint_that_leaves_twelve_calls_without_an_answer_is_avoided_for_long():
    assert avoided_seconds(connection_lost=False) >= 8.0


def free_slots(directory, now):
    """Return the free slots that items see at the only engine of a directory."""
    timers = VirtualTime()
    permits = EnginePermits(timers, directory, None, lambda: None)
    intervals = EngineEventIntervals()
    (view,) = view_engines(directory, NoWeights(), permits, intervals, [], HOME, now)
    return view.free_slots


def test_an_engine_that_may_be_down_gets_one_trial_before_other_items():
    """All items of a crashed engine went to it again, and each lost the time until it was known."""
    engine = endpoint("a", models=(LoadedModel("m", 1),))
    directory = EndpointDirectory(HOME, Random(1))
    directory.update(engine)
    directory.record_lost_connection("a", 0.0, 1.0)
    assert free_slots(directory, 1.2) == 0 and free_slots(directory, 1.4) == 1
    directory.call_started("a")
    assert free_slots(directory, 1.4) == 0
    directory.record_answer("a")
    assert free_slots(directory, 1.4) == 6
    directory.call_ended(engine)
    directory.record_lost_connection("a", 1.4, 2.0)
    directory.call_started("a")
    directory.record_failure("a", 2.5)
    directory.call_ended(engine)
    assert free_slots(directory, 6.0) == 0


def test_callers_prefer_other_endpoints_while_a_trial_is_open():
    directory = EndpointDirectory(HOME, Random(1))
    for name in ("a", "b"):
        directory.update(endpoint(name))
    directory.record_lost_connection("a", 0.0, 1.0)
    directory.call_started("a")
    for _ in range(4):
        directory.call_started("b")
    assert directory.choose("s", (), 2.0).endpoint.name == "b"
    directory.record_answer("a")
    assert directory.choose("s", (), 2.0).endpoint.name == "a"
