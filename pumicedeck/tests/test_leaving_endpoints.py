"""An endpoint that says in an answer that it leaves gets no further request of this process.

Guards against requests that still reach an endpoint after its time to drain: its registration may
say `ready` for seconds after its answers said that it leaves, while the store is slow or cut off,
or may never say anything else.
"""

import pytest

from pumicedeck.dialects import VersionOrder
from pumicedeck.direct_endpoints import (
    MAX_LEAVING_ENDPOINTS,
    DirectEndpoint,
    EndpointDirectory,
)
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.http_clients import HttpClient
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.scheduling.engine_permits import EnginePermits
from pumicedeck.scheduling.engine_views import view_engines
from pumicedeck.scheduling.event_intervals import EngineEventIntervals
from pumicedeck.tasks import spawn
from pumicedeck.tests.loop_harnesses import LoopHarness, RawServer
from pumicedeck.tests.test_direct_endpoints import HOME, directory, endpoint
from pumicedeck.tests.test_gateways import ID, SIGNATURE, GatewayFixture, id_header

LEAVING = ("Server-Leaving", "1")


@pytest.fixture
def fixture():
    started = GatewayFixture()
    yield started
    started.close()


def answer_leaving(status, *headers, body=b""):
    def handle(call):
        call.answer(status, (id_header(call), *headers, LEAVING), body)

    return handle


def stream_leaving(call):
    call.start_stream(200, (id_header(call), SIGNATURE, LEAVING))
    call.write(b"id: 1\ndata: a\n\n")
    call.finish()


ANSWERS = {
    "success": ("/safe/x", answer_leaving(200, SIGNATURE)),
    "error": ("/safe/x", answer_leaving(500, SIGNATURE)),
    "refusal": ("/once/x", answer_leaving(503, ("X-Pumicedeck-Not-Run", "1"))),
    "stream": ("/stream/x", stream_leaving),
    "an answer to another request": (
        "/safe/x",
        lambda call: call.answer(200, (("X-Pumicedeck-Request-Id", "z"), SIGNATURE, LEAVING), b""),
    ),
}


@pytest.mark.parametrize(("target", "handle"), ANSWERS.values(), ids=ANSWERS.keys())
def test_no_call_follows_to_an_endpoint_after_any_answer_that_it_leaves(fixture, target, handle):
    leaving, other = fixture.endpoints
    leaving.on_call = handle
    for _ in range(12):
        fixture.ask("GET", target, headers=ID)
        if leaving.calls:
            break
    assert len(leaving.calls) == 1
    for _ in range(8):
        assert fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 200")
    fixture.put("servers", leaving.name, {**leaving.entry("ready"), "seq": 2})
    fixture.put("servers", other.name, other.entry("draining"))
    # Longer than a failed endpoint is avoided.
    fixture.loop.advance(3.0)
    assert fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 503")
    assert len(leaving.calls) == 1


def test_the_header_of_a_long_stream_counts_while_the_stream_goes_on(fixture):
    leaving, other = fixture.endpoints
    streams = []

    def begin(call):
        call.start_stream(200, (id_header(call), SIGNATURE, LEAVING))
        call.write(b"id: 1\ndata: a\n\n")
        streams.append(call)

    leaving.on_call = begin
    sockets = []
    while not streams:
        sockets.append(fixture.open("GET", "/stream/x", headers=ID))
        fixture.loop.advance(0.1)
    fixture.put("servers", other.name, other.entry("draining"))
    fixture.loop.advance(0.5)
    assert fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 503")
    assert len(leaving.calls) == 1
    streams[0].finish()


def test_a_new_incarnation_is_used_again(fixture):
    leaving, other = fixture.endpoints
    leaving.on_call = answer_leaving(200, SIGNATURE)
    while not leaving.calls:
        fixture.ask("GET", "/safe/x", headers=ID)
    leaving.on_call = leaving.succeed
    fixture.put("servers", other.name, other.entry("draining"))
    fixture.put("servers", leaving.name, {**leaving.entry(), "born": 2})
    fixture.loop.advance(0.5)
    assert fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 200")


def test_with_nothing_but_leaving_endpoints_a_call_is_refused_as_not_run(fixture):
    for each in fixture.endpoints:
        each.on_call = answer_leaving(200, SIGNATURE)
    for _ in range(2):
        fixture.ask("GET", "/safe/x", headers=ID)
    answer = fixture.ask("GET", "/safe/x", headers=ID)
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
    assert sum(len(each.calls) for each in fixture.endpoints) == 2


def test_a_registration_that_comes_back_does_not_undo_it():
    endpoints = directory(endpoint("a"))
    assert endpoints.record_leaving(endpoint("a"))
    assert not endpoints.record_leaving(endpoint("a"))
    endpoints.remove("a")
    endpoints.update(endpoint("a"))
    assert endpoints.accepting_endpoints("s") == []
    endpoints.update(endpoint("a", incarnation=7))
    assert len(endpoints.accepting_endpoints("s")) == 1


def test_only_the_newest_leaving_endpoints_are_remembered():
    endpoints = directory()
    for number in range(MAX_LEAVING_ENDPOINTS + 5):
        endpoints.record_leaving(endpoint(f"e{number}"))
    assert not endpoints.is_leaving(endpoint("e0"))
    assert endpoints.is_leaving(endpoint(f"e{MAX_LEAVING_ENDPOINTS}"))


class OrderHarness:
    """An endpoint caller and an engine that answers with raw bytes."""

    def __init__(self):
        self.loop = LoopHarness()
        self.client = HttpClient(self.loop.timers).register(self.loop)
        self.server = RawServer("engine").register(self.loop)
        self.loop.settle()
        self.engine = DirectEndpoint(
            "e", "p", self.server.address, HOME, 6, models=(LoadedModel("m", 1),)
        )
        self.directory = EndpointDirectory(HOME, None)
        self.directory.update(self.engine)
        self.dialect = PlatformEndpointDialect()
        self.caller = EndpointCaller(self.loop.timers, self.client, self.dialect, self.directory)

    def send(self, request):
        outcomes = []

        async def send():
            outcomes.append(await self.caller.send_request(request, self.engine, 1.0))

        spawn(send(), "send")
        self.loop.until(lambda: outcomes)

    def close(self):
        self.client.close()
        self.loop.stop_and_check()


class NoWeights:
    """Engines that load nothing."""

    def is_loading(self, name):
        return False

    def versions(self, each):
        return {model.model: model.version for model in each.models}

    def assigned_model(self, name):
        return ""


@pytest.mark.parametrize("kind", ["report", "order"])
@pytest.mark.parametrize("status", [200, 409, 503])
def test_answers_to_orders_and_reports_count_too(kind, status):
    harness = OrderHarness()
    head = f"HTTP/1.1 {status} X\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    harness.server.reply = head.encode()
    order = VersionOrder("m", 2, True, "front-1", 3, 0)
    request = harness.dialect.report_request(harness.engine)
    if kind == "order":
        request = harness.dialect.order(harness.engine, order)
    harness.send(request)
    permits = EnginePermits(harness.loop.timers, harness.directory, None, lambda: None)
    views = view_engines(
        harness.directory, NoWeights(), permits, EngineEventIntervals(), [], HOME, 0.0
    )
    assert views == []
    harness.close()


def test_an_answer_of_another_endpoint_at_the_same_address_does_not_count():
    harness = OrderHarness()
    harness.server.reply = b"HTTP/1.1 421 X\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    harness.send(harness.dialect.report_request(harness.engine))
    assert len(harness.directory.accepting_endpoints("p")) == 1
    harness.close()
