"""A complete gateway over sockets: calls, streams, submissions, readiness and draining."""

import json
import socket

import pytest

from pumicedeck.gateway_compositions import build_gateway
from pumicedeck.gateway_settings import GatewaySettings, MachineSettings, StoreSettings
from pumicedeck.gateways import lease_extra_acquisition_delay_seconds
from pumicedeck.http_listeners import HttpListener
from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.platform.standin_stores import PlatformStoreServer
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.tests.loop_harnesses import LoopHarness
from pumicedeck.topology import Address

LOCAL = "127.0.0.1"
SIGNATURE = ("X-Pumicedeck-Response-Signature", "3e1b.07")


class FakeEndpoint:
    """An endpoint whose answers each test defines in `on_call`."""

    def __init__(self, gateway_fixture, name, pool, software="v1"):
        self.calls = []
        self.software = software
        self.name = name
        self.pool = pool
        self.on_call = self.succeed
        self.listener = HttpListener(Address(LOCAL, 0), gateway_fixture.loop.timers, self._handle)
        self.listener.register(gateway_fixture.loop)
        self.listener.start()

    def succeed(self, call):
        call.answer(200, (id_header(call), SIGNATURE), b"from " + self.name.encode())

    def entry(self, state="ready"):
        address = self.listener.address
        return {
            "service": self.pool,
            "address": f"{address.host}:{address.port}",
            "zone": "tn-a",
            "version": self.software,
            "slots": 6,
            "state": state,
            "born": 1,
            "seq": 1,
        }

    def _handle(self, call):
        self.calls.append(call)
        self.on_call(call)


def id_header(call):
    return ("X-Pumicedeck-Request-Id", call.header("x-pumicedeck-request-id"))


def route(name, kind, service="apps", **fields):
    return {
        "name": name,
        "host": "h",
        "path-prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 1500,
        "target-latency-ms": 250,
        "max-attempts": 2,
        "service": service,
        **fields,
    }


class GatewayFixture:
    """A gateway with two endpoints and a stand-in store, driven over sockets."""

    def __init__(self, metrics_port=0):
        self.loop = LoopHarness()
        timers = self.loop.timers
        self.data = PartitionedData()
        self.standin = StandinPartitionedStore(timers, self.data, call_timeout_seconds=0.05)
        self.store = PlatformStoreServer(self.loop, timers, self.standin)
        self.endpoints = [FakeEndpoint(self, f"i-{n}", "apps") for n in range(2)]
        self.finished = []
        self.on_finished = lambda: self.finished.append(True)
        self.configure(
            1,
            route("safe", "idempotent"),
            route("once", "non_idempotent"),
            route("stream", "streaming", resumable=True),
            route("drafts", "rollout", **{"due-ms": 7500, "max-wait-s": 12}),
        )
        for endpoint in self.endpoints:
            self.put("servers", endpoint.name, endpoint.entry())
        settings = self.make_settings("front-1", metrics_port)
        self.running = build_gateway(settings, self.loop, timers, lambda: self.on_finished())
        self.gateway = self.running.gateway
        self.running.start()
        self.caller_address = self.gateway.caller_listener.address
        self.loop.until(lambda: self.gateway.is_ready)
        self.sockets = []

    def make_settings(self, vm, metrics_port=0):
        return GatewaySettings(
            vm=vm,
            failure_domain="tn-a",
            region="south",
            regions={"tn-a": "south"},
            callers=Address(LOCAL, 0),
            readiness=Address(LOCAL, 0),
            store=StoreSettings(address=self.store.address),
            # The memory that is free is read off this process, which runs all tests of a part.
            machine=MachineSettings(memory_megabytes=8192),
            metrics_port=metrics_port,
        )

    def put(self, table, key, document):
        value = None if document is None else json.dumps(document).encode()
        self.data.commit(Change((), (Put(RowKey(table, "", key), value),)))

    def configure(self, version, *routes):
        self.put("op", "config", {"version": version, "routes": list(routes), "services": []})

    def ask(self, method, target, body=b"", headers=(), until=b"\r\n\r\n", listener=None):
        sock = self.open(method, target, body, headers, listener)
        return self.read(sock, until)

    def connect(self, listener=None):
        """Return a connection to a listener, None if it no longer listens."""
        address = listener.address if listener else self.caller_address
        try:
            sock = socket.create_connection((address.host, address.port))
        except ConnectionRefusedError:
            return None
        sock.setblocking(False)
        self.sockets.append(sock)
        return sock

    def open(self, method, target, body=b"", headers=(), listener=None):
        sock = self.connect(listener)
        lines = [f"{method} {target} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        return sock

    def read(self, sock, until=b"\r\n\r\n"):
        parts = bytearray()

        def is_complete():
            try:
                data = sock.recv(65536)
            except BlockingIOError:
                return False
            parts.extend(data or b"<closed>")
            return until in parts or not data

        self.loop.until(is_complete)
        return bytes(parts)

    def close(self):
        for sock in self.sockets:
            sock.close()
        self.running.close()
        self.store.close()
        for endpoint in self.endpoints:
            endpoint.listener.close()
        assert not self.loop.errors


@pytest.fixture
def gateway_fixture():
    started = GatewayFixture()
    yield started
    started.close()


ID = (("X-Pumicedeck-Request-Id", "r1"), ("X-Pumicedeck-Deadline-Ms", "1400"))


def test_a_call_reaches_an_endpoint_unchanged_and_its_answer_comes_back(gateway_fixture):
    answer = gateway_fixture.ask(
        "POST", "/safe/x%2f?q=1", b"body", (*ID, ("X-Own", "kept")), b"from i-"
    )
    assert answer.startswith(b"HTTP/1.1 200") and b"3e1b.07" in answer
    (call,) = [call for each in gateway_fixture.endpoints for call in each.calls]
    assert (call.method, call.target, call.body) == ("POST", "/safe/x%2f?q=1", b"body")
    assert call.header("x-own") == "kept" and call.host == "h"
    assert 0 < int(call.header("x-pumicedeck-deadline-ms")) <= 1400
    assert call.header("x-pumicedeck-expect-instance").startswith("i-")


def test_a_header_that_is_not_ascii_reaches_the_endpoint_unchanged(gateway_fixture):
    # Such a request was refused with 503 after an exception in the client of endpoints.
    sock = gateway_fixture.connect()
    lines = [
        "GET /safe/x HTTP/1.1",
        "Host: h",
        "X-Pumicedeck-Request-Id: r1",
        "X-Own: café",
        "",
        "",
    ]
    sock.sendall("\r\n".join(lines).encode())
    assert b"from i-" in gateway_fixture.read(sock, b"from i-")
    (call,) = [call for each in gateway_fixture.endpoints for call in each.calls]
    assert call.header("x-own").encode("latin-1") == "café".encode()


def test_an_unknown_route_is_refused_and_a_new_one_is_served_soon(gateway_fixture):
    assert gateway_fixture.ask("GET", "/new/x", headers=ID).startswith(b"HTTP/1.1 404")
    gateway_fixture.configure(2, route("new", "idempotent"))
    gateway_fixture.loop.advance(0.5)
    assert gateway_fixture.ask("GET", "/new/x", headers=ID).startswith(b"HTTP/1.1 200")
    assert gateway_fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 404")
    gateway_fixture.configure(1, route("safe", "idempotent"))
    gateway_fixture.loop.advance(0.5)
    assert gateway_fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 404")


def test_an_unknown_route_may_have_been_added_while_the_gateway_was_out_of_touch(gateway_fixture):
    # Callers do not repeat a request that was answered 404, though other gateways know its route.
    gateway_fixture.standin.faults.silent = True
    gateway_fixture.loop.advance(3.0)
    gateway_fixture.configure(2, route("safe", "idempotent"), route("new", "idempotent"))
    answer = gateway_fixture.ask("GET", "/new/x", headers=ID)
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
    assert gateway_fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 200")
    gateway_fixture.standin.faults.silent = False
    gateway_fixture.loop.advance(2.0)
    assert gateway_fixture.ask("GET", "/new/x", headers=ID).startswith(b"HTTP/1.1 200")
    assert gateway_fixture.ask("GET", "/never/x", headers=ID).startswith(b"HTTP/1.1 404")


def test_a_call_that_may_repeat_is_served_elsewhere_when_an_endpoint_breaks(gateway_fixture):
    broken = []

    def break_first(endpoint):
        def handle(call):
            if not broken:
                broken.append(endpoint)
                call.abort()
            else:
                endpoint.succeed(call)

        return handle

    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = break_first(endpoint)
    answer = gateway_fixture.ask("GET", "/safe/x", headers=ID, until=b"from i-")
    assert answer.startswith(b"HTTP/1.1 200")
    assert broken[0].name.encode() not in answer


def test_a_call_that_may_not_repeat_is_tried_once_unless_it_did_not_run(gateway_fixture):
    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = lambda call: call.abort()
    assert gateway_fixture.ask("POST", "/once/x", headers=ID).startswith(b"HTTP/1.1 502")
    assert sum(len(endpoint.calls) for endpoint in gateway_fixture.endpoints) == 1
    not_run = ("X-Pumicedeck-Not-Run", "1")
    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = lambda call: call.answer(503, (id_header(call), not_run), b"")
    answer = gateway_fixture.ask("POST", "/once/x", headers=ID)
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
    assert sum(len(endpoint.calls) for endpoint in gateway_fixture.endpoints) == 3


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda call: call.answer(200, (("X-Pumicedeck-Request-Id", "other"), SIGNATURE), b"x"),
        lambda call: call.answer(200, (id_header(call),), b"without a signature"),
    ],
)
def test_a_corrupted_answer_never_reaches_the_caller(gateway_fixture, corrupt):
    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = corrupt
    answer = gateway_fixture.ask("GET", "/safe/x", headers=ID)
    assert answer.startswith(b"HTTP/1.1 502")


def test_a_resumable_stream_goes_on_elsewhere_after_its_last_complete_event(gateway_fixture):
    def send_half(call):
        last = call.header("last-event-id")
        call.start_stream(200, (id_header(call), SIGNATURE))
        if last:
            call.write(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
            call.finish()
        else:
            call.write(b"id: 1\ndata: a\n\nid: 2\nda")
            gateway_fixture.loop.timers.call_later(0.05, call.abort)

    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = send_half
    answer = gateway_fixture.ask("GET", "/stream/x", headers=ID, until=b"0\r\n\r\n")
    assert [answer.count(f"id: {n}\n".encode()) for n in (1, 2, 3)] == [1, 1, 1]
    assert answer.index(b"data: a") < answer.index(b"data: b") < answer.index(b"data: c")


def test_a_draining_endpoint_gets_no_new_calls(gateway_fixture):
    leaving, other = gateway_fixture.endpoints
    gateway_fixture.put("servers", leaving.name, leaving.entry("draining"))
    gateway_fixture.loop.advance(0.5)
    for _ in range(6):
        gateway_fixture.ask("GET", "/safe/x", headers=ID, until=b"from i-")
    assert leaving.calls == [] and len(other.calls) == 6


def test_a_caller_that_disconnects_ends_the_call_at_the_endpoint(gateway_fixture):
    cancelled = []

    def hold(call):
        call.on_caller_disconnected = lambda: cancelled.append(True)

    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = hold
    sock = gateway_fixture.open("POST", "/once/x", headers=ID)
    gateway_fixture.loop.until(
        lambda: any(endpoint.calls for endpoint in gateway_fixture.endpoints)
    )
    sock.close()
    gateway_fixture.loop.until(lambda: cancelled)


SUBMISSION = {
    "step": 0,
    "model": "m",
    "min-version": 1,
    "group-target": 1,
    "items": [
        {"id": "a", "path": "/drafts/a", "headers": {}, "body": "aGk=", "tokens": 5, "group": "g"}
    ],
}


def test_a_submission_is_stored_read_and_ended(gateway_fixture):
    body = json.dumps(SUBMISSION).encode()
    headers = (("X-Pumicedeck-Request-Id", "s1"),)
    assert gateway_fixture.ask("POST", "/drafts/s1", body, headers).startswith(b"HTTP/1.1 202")
    assert gateway_fixture.ask("POST", "/drafts/s1", body, headers).startswith(b"HTTP/1.1 202")
    answer = gateway_fixture.ask("GET", "/lots/s1?after=0", until=b'"results": []}')
    assert answer.startswith(b"HTTP/1.1 200") and b'"total": 1' in answer
    assert gateway_fixture.ask("GET", "/items/s1?id=a", until=b"hi").endswith(b"\r\n\r\nhi")
    assert gateway_fixture.ask("GET", "/items/s1?id=b").startswith(b"HTTP/1.1 404")
    assert gateway_fixture.ask("GET", "/lots/none?after=0").startswith(b"HTTP/1.1 404")
    for _ in range(2):
        assert gateway_fixture.ask("DELETE", "/lots/s1").startswith(b"HTTP/1.1 200")


def test_a_submission_whose_route_was_removed_is_still_read_repeated_and_ended(gateway_fixture):
    # Guards against a 404 for what was accepted: submissions outlive the manifest they came under.
    body = json.dumps(SUBMISSION).encode()
    headers = (("X-Pumicedeck-Request-Id", "s1"),)
    ask = gateway_fixture.ask
    assert ask("POST", "/drafts/s1", body, headers).startswith(b"HTTP/1.1 202")
    gateway_fixture.configure(2, route("lots", "idempotent"))
    gateway_fixture.loop.advance(0.5)
    answer = ask("GET", "/lots/s1?after=0", until=b'"id": "a"')
    assert answer.startswith(b"HTTP/1.1 200") and b'"down"' in answer
    assert ask("GET", "/items/s1?id=a", until=b"hi").endswith(b"\r\n\r\nhi")
    assert ask("POST", "/drafts/s1", body, headers).startswith(b"HTTP/1.1 202")
    assert ask("DELETE", "/lots/s1").startswith(b"HTTP/1.1 200")
    # What was never accepted is refused as before, and other routes keep their paths.
    assert ask("POST", "/drafts/s1", b"{}", headers).startswith(b"HTTP/1.1 404")
    assert ask("POST", "/drafts/s2", body, ID).startswith(b"HTTP/1.1 404")
    assert ask("GET", "/items/none?id=a").startswith(b"HTTP/1.1 404")
    assert b"from i-" in ask("GET", "/lots/other", headers=ID, until=b"from i-")


def test_without_a_route_a_submission_is_unknown_only_if_the_store_says_so(gateway_fixture):
    gateway_fixture.configure(2, route("safe", "idempotent"))
    gateway_fixture.loop.advance(0.5)
    assert gateway_fixture.ask("GET", "/lots/none?after=0").startswith(b"HTTP/1.1 404")
    gateway_fixture.standin.faults.down = True
    assert gateway_fixture.ask("GET", "/lots/none?after=0").startswith(b"HTTP/1.1 503")
    assert gateway_fixture.ask("GET", "/none/x", headers=ID).startswith(b"HTTP/1.1 404")


def test_a_submission_is_not_shown_at_a_host_without_routes(gateway_fixture):
    body = json.dumps(SUBMISSION).encode()
    headers = (("X-Pumicedeck-Request-Id", "s1"),)
    assert gateway_fixture.ask("POST", "/drafts/s1", body, headers).startswith(b"HTTP/1.1 202")
    sock = gateway_fixture.connect()
    sock.sendall(b"GET /lots/s1?after=0 HTTP/1.1\r\nHost: other\r\n\r\n")
    assert gateway_fixture.read(sock).startswith(b"HTTP/1.1 404")


def test_without_the_store_a_submission_is_refused_and_calls_go_on(gateway_fixture):
    gateway_fixture.standin.faults.down = True
    body = json.dumps(SUBMISSION).encode()
    answer = gateway_fixture.ask("POST", "/drafts/s1", body, (("X-Pumicedeck-Request-Id", "s1"),))
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
    assert gateway_fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 200")
    assert gateway_fixture.ask("GET", "/lots/none?after=0").startswith(b"HTTP/1.1 503")


def test_an_invalid_submission_is_refused_with_a_result_code(gateway_fixture):
    answer = gateway_fixture.ask("POST", "/drafts/s1", b"{", ID, until=b"}")
    assert answer.startswith(b"HTTP/1.1 400") and b'"code": 400' in answer


def test_a_draining_gateway_is_unready_at_once_and_answers_open_calls(gateway_fixture):
    held = []
    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = held.append
    sock = gateway_fixture.open("GET", "/once/x", headers=ID)
    gateway_fixture.loop.until(lambda: held)
    ready = gateway_fixture.gateway.readiness_listener
    assert gateway_fixture.ask("GET", "/ready", listener=ready).startswith(b"HTTP/1.1 200")
    gateway_fixture.running.drain()
    assert gateway_fixture.ask("GET", "/ready", listener=ready).startswith(b"HTTP/1.1 503")
    held[0].answer(200, (id_header(held[0]), SIGNATURE), b"whole")
    answer = gateway_fixture.read(sock, b"whole")
    assert answer.startswith(b"HTTP/1.1 200") and b"whole" in answer
    gateway_fixture.loop.until(lambda: gateway_fixture.finished)


def test_metrics_report_the_state_of_the_process(gateway_fixture):
    answer = gateway_fixture.ask(
        "GET",
        "/metrics",
        listener=gateway_fixture.gateway.readiness_listener,
        until=b"resident_bytes",
    )
    assert b"pumicedeck_ready 1" in answer and b"pumicedeck_routes_version 1" in answer
    for name in (b"lease_held 0", b"scheduler_active 0", b"open_submissions 0"):
        assert b"pumicedeck_" + name in answer
    assert answer.count(b"pumicedeck_store_heard_seconds_ago{table=") == 3


def test_calls_are_counted_by_route_and_outcome(gateway_fixture):
    gateway_fixture.ask("POST", "/safe/x", headers=ID, until=b"from i-")
    gateway_fixture.ask("POST", "/elsewhere", until=b"404")
    answer = gateway_fixture.ask(
        "GET",
        "/metrics",
        listener=gateway_fixture.gateway.readiness_listener,
        until=b"resident_bytes",
    )
    assert b'pumicedeck_calls_total{route="safe",kind="idempotent",outcome="200"} 1' in answer
    assert b'pumicedeck_calls_total{route="",kind="none",outcome="404"} 1' in answer
    assert b'pumicedeck_call_seconds{route="safe",kind="idempotent",quantile="0.99"}' in answer


def test_the_lease_is_left_to_strong_processes_near_the_store():
    assert lease_extra_acquisition_delay_seconds(0.005, cores=1.0) == 0.0
    assert (
        0.0
        < lease_extra_acquisition_delay_seconds(0.005, cores=0.4)
        < lease_extra_acquisition_delay_seconds(0.065, cores=1.0)
    )
    assert lease_extra_acquisition_delay_seconds(
        0.065, cores=1.0
    ) < lease_extra_acquisition_delay_seconds(0.065, cores=0.4)


def test_endpoints_that_expired_during_an_outage_of_the_store_are_used_until_they_can_register(
    gateway_fixture,
):
    # All of them were removed by the first answer after the outage, and calls were refused.
    gateway_fixture.standin.faults.silent = True
    gateway_fixture.loop.advance(4.0)
    for endpoint in gateway_fixture.endpoints:
        gateway_fixture.put("servers", endpoint.name, None)
    gateway_fixture.standin.faults.silent = False
    for _ in range(12):
        gateway_fixture.loop.advance(0.1)
        assert gateway_fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 200")
    gateway_fixture.loop.advance(2.5)
    assert gateway_fixture.ask("GET", "/safe/x", headers=ID).startswith(b"HTTP/1.1 503")
