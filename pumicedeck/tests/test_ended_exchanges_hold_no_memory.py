"""Bodies are given back when their exchange ends, not when the garbage collector comes by.

A server in trouble sent bodies without end. Each was ended at its limit of 8 MiB, but stayed in the
connection, which is in reference cycles; the collector counts objects and not bytes, so a few dozen
calls took a machine of 200 MB out of memory. The bodies of requests stayed in the same way.
"""

import gc
import tracemalloc
from contextlib import contextmanager

import pytest

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_listeners import HttpListener
from pumicedeck.http_messages import KIB, MIB, HttpClientSettings, HttpRequest
from pumicedeck.memory_budgets import MemoryBudget
from pumicedeck.tests.loop_harnesses import LoopHarness
from pumicedeck.tests.test_endless_answers import CHUNKED, ENDLESS, EndlessHarness
from pumicedeck.tests.test_gateways import ID, LOCAL, SIGNATURE, GatewayFixture, id_header
from pumicedeck.topology import Address

BODY_BYTES = MIB
SETTINGS = HttpClientSettings(
    body_bytes=BODY_BYTES,
    received_bytes=2 * BODY_BYTES,
    exchange_seconds=5.0,
    accepts_close_delimited_answers=True,
)
# What a few exchanges leave behind of objects and sockets' buffers.
ALLOWED_BYTES = 512 * KIB


@contextmanager
def without_collector():
    """Count what is allocated while no garbage is collected."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
        gc.enable()


@pytest.mark.parametrize("ends_by", ["limit", "budget", "time", "cancel", "close"])
@pytest.mark.parametrize("kind", ["body without a length", "chunks", "body with a length"])
def test_an_endless_body_is_given_back_when_its_exchange_ends(kind, ends_by):
    budget_bytes = BODY_BYTES // 2 if ends_by == "budget" else 64 * MIB
    harness = EndlessHarness(SETTINGS, budget_bytes)
    beginning, _ = ENDLESS[kind]
    part = b"1000\r\n" + b"x" * 4096 + b"\r\n" if beginning == CHUNKED else b"x" * 4096
    is_short = ends_by in ("time", "cancel", "close")
    # The shorter ones come to 75% of the limit in the time that the exchange has.
    server = harness.serve(beginning, part, 0.25 if is_short else 0.01, 10 if is_short else 16)
    with without_collector() as held:
        before = held()
        for _ in range(3):
            request = HttpRequest("POST", server.address, "/a")
            outcomes = []
            exchange = harness.client.send(request, outcomes.append)
            if is_short:
                harness.loop.advance(4.8)
                assert harness.budget.held_bytes > BODY_BYTES // 2
            if ends_by == "cancel":
                exchange.cancel()
            elif ends_by == "close":
                harness.client.close()
                harness.client = HttpClient(harness.loop.timers, SETTINGS, harness.budget).register(
                    harness.loop
                )
            else:
                harness.loop.until(lambda outcomes=outcomes: outcomes, turns=20_000)
            assert harness.budget.held_bytes == 0
            harness.loop.advance(0.1)
            del exchange, outcomes
        assert held() - before < ALLOWED_BYTES
    harness.close()


@pytest.mark.parametrize("streamed", [False, True])
def test_a_kept_connection_does_not_keep_the_request_that_it_sent(streamed):
    loop = LoopHarness()
    client = HttpClient(loop.timers, SETTINGS, MemoryBudget(MIB)).register(loop)
    # Unlike the other servers of these tests it keeps nothing of what it has read.
    server = HttpListener(
        Address(LOCAL, 0), loop.timers, lambda call: call.answer(200, (), b"hi")
    ).register(loop)
    server.start()
    loop.settle()
    with without_collector() as held:
        before = held()
        for _ in range(3):
            outcomes = []
            request = HttpRequest("POST", server.address, "/a", (), b"x" * BODY_BYTES)
            chunk = (lambda data: None) if streamed else None
            client.send(request, outcomes.append, chunk, head=lambda response: True)
            loop.until(lambda outcomes=outcomes: outcomes)
            assert outcomes[0].is_ok() and client.open_connections == 1
            del request, outcomes
            loop.settle()
        assert held() - before < ALLOWED_BYTES
    client.close()
    server.close()
    loop.stop_and_check()


@pytest.mark.parametrize("answer", ["200", "500", "refused", "broken"])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
def test_a_gateway_gives_back_the_bodies_of_calls_that_have_ended(path, answer):
    gateway_fixture = GatewayFixture()

    def on_call(call):
        identified = (id_header(call), SIGNATURE)
        if answer == "broken":
            call.abort()
        elif answer == "refused":
            call.answer(503, (id_header(call), ("X-Pumicedeck-Not-Run", "1")), b"")
        else:
            call.answer(int(answer), identified, b"y" * BODY_BYTES if answer == "200" else b"")

    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = on_call

    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in ID)
    request = head.encode() + b"\r\n" + b"x" * BODY_BYTES
    expected_bytes = BODY_BYTES if answer == "200" else 1

    def call_once():
        sock = gateway_fixture.connect()
        sent = received = 0

        def is_over():
            nonlocal sent, received
            try:
                if sent < len(request):
                    sent += sock.send(request[sent : sent + 64 * KIB])
                data = sock.recv(MIB)
            except BlockingIOError:
                return False
            received += len(data)
            return not data or received >= expected_bytes

        gateway_fixture.loop.until(is_over, turns=20_000)
        sock.close()
        gateway_fixture.sockets.remove(sock)
        for endpoint in gateway_fixture.endpoints:
            endpoint.calls.clear()
        gateway_fixture.loop.settle()

    call_once()
    with without_collector() as held:
        before = held()
        for _ in range(4):
            call_once()
        assert held() - before < ALLOWED_BYTES
    gateway_fixture.close()
