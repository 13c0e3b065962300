"""A request that arrives in the last moments of a gateway's drain is answered, never cut.

A caller may hold a kept connection, or have just opened one, when the gateway decides to end. If
the gateway still reads a whole request then, forwards it and exits, the request runs at an endpoint
while its caller sees a closed connection. Seen on a day with a machine stopped every 0.6 s.
"""

import socket

import pytest

from pumicedeck.gateway_drains import (
    DrainPhase,
    DrainTimes,
    may_begin_call,
    next_drain_phase,
)
from pumicedeck.processes import STOP_DELAY_SECONDS
from pumicedeck.tests.test_gateways import (
    ID,
    LOCAL,
    SIGNATURE,
    GatewayFixture,
    id_header,
    route,
)

ENDPOINT_SECONDS = 0.06
# Seconds after SIGTERM; a drain without open calls ends after 2.8 s, the process 0.2 s later.
MOMENTS = [round(2.27 + 0.03 * number, 2) for number in range(24)]
TIMES = DrainTimes(balancer_notice_seconds=2.3, max_seconds=7.4, last_requests_seconds=0.3)


@pytest.fixture
def gateway_fixture():
    started = GatewayFixture()
    for endpoint in started.endpoints:
        endpoint.on_call = lambda call: started.loop.timers.call_later(
            ENDPOINT_SECONDS, lambda: call.answer(200, (id_header(call), SIGNATURE), b"whole")
        )
    yield started
    started.close()


def drain_like_a_process(gateway_fixture):
    """Drain and close the gateway as `Process` does after the drain has finished."""
    timers = gateway_fixture.loop.timers
    gateway_fixture.on_finished = lambda: timers.call_later(
        STOP_DELAY_SECONDS, gateway_fixture.running.close
    )
    gateway_fixture.running.drain()


def read_until_closed(gateway_fixture, sock):
    parts = bytearray()

    def is_closed():
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True
        parts.extend(data)
        return not data

    gateway_fixture.loop.until(is_closed)
    return bytes(parts)


def is_closed_by_gateway(sock):
    try:
        return not sock.recv(65536)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


REQUEST = b"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n" + b"".join(
    f"{name}: {value}\r\n".encode() for name, value in ID
)


@pytest.mark.parametrize("connected_before", [0.01, 0.1])
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_request_at_the_end_of_a_drain_is_answered(gateway_fixture, moment, connected_before):
    """Send a whole request `moment` seconds after SIGTERM on a connection opened before it."""
    loop = gateway_fixture.loop
    drain_like_a_process(gateway_fixture)
    loop.advance(moment - connected_before)
    sock = gateway_fixture.connect()
    loop.advance(connected_before)
    if sock is None or is_closed_by_gateway(sock):
        return
    sock.sendall(REQUEST + b"\r\nbody")
    answer = read_until_closed(gateway_fixture, sock)
    ran = sum(len(endpoint.calls) for endpoint in gateway_fixture.endpoints)
    if answer.startswith(b"HTTP/1.1 503"):
        assert ran == 0 and b"Retry-After" in answer
    else:
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"whole") and ran == 1


@pytest.mark.parametrize("moment", [0.0, 1.1, 2.25])
def test_a_kept_connection_serves_its_last_request_and_is_closed(gateway_fixture, moment):
    """A connection from before SIGTERM is closed with its next response, or while it is idle."""
    kept = gateway_fixture.connect()
    idle = gateway_fixture.connect()
    drain_like_a_process(gateway_fixture)
    gateway_fixture.loop.advance(moment)
    kept.sendall(REQUEST + b"\r\nbody")
    answer = read_until_closed(gateway_fixture, kept)
    assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
    assert read_until_closed(gateway_fixture, idle) == b""


def test_a_call_that_outlasts_the_drain_is_told_that_its_outcome_is_unknown(gateway_fixture):
    """An endpoint that never answers must not turn the drain's end into a cut connection."""
    gateway_fixture.configure(2, route("slow", "non_idempotent", **{"timeout-ms": 20000}))
    gateway_fixture.loop.advance(0.5)
    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = lambda call: None
    sock = gateway_fixture.open("POST", "/slow/x", headers=ID[:1])
    gateway_fixture.loop.until(lambda: any(each.calls for each in gateway_fixture.endpoints))
    drain_like_a_process(gateway_fixture)
    gateway_fixture.loop.advance(TIMES.max_seconds + STOP_DELAY_SECONDS)
    assert read_until_closed(gateway_fixture, sock).startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("path", ["/late/x", "/late-stream/x"])
@pytest.mark.parametrize("seconds", [0.06, 2.2])
@pytest.mark.parametrize("moment", [2.5, 5.0, 6.2, 7.0])
def test_a_request_late_in_a_drain_is_answered_in_time_or_refused_as_not_run(
    gateway_fixture, moment, seconds, path
):
    """A long call kept the gateway from ending, so that requests went on to be forwarded until
    shortly before the end; those that took longer than what was left ran and ended with a 502."""
    fields = {"timeout-ms": 4000}
    gateway_fixture.configure(
        2,
        route("slow", "non_idempotent", **{"timeout-ms": 20000}),
        route("late", "non_idempotent", **fields),
        route("late-stream", "streaming", **fields),
    )
    loop = gateway_fixture.loop
    loop.advance(0.5)
    ran = []

    def on_call(call):
        if call.target.startswith("/slow/"):
            return
        ran.append(call)
        headers = (id_header(call), SIGNATURE)
        loop.timers.call_later(seconds, lambda: call.answer(200, headers, b"data: whole\n\n"))

    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = on_call
    gateway_fixture.open("POST", "/slow/x", headers=ID[:1])
    loop.advance(0.1)
    drain_like_a_process(gateway_fixture)
    loop.advance(moment)
    sock = gateway_fixture.open("POST", path, headers=(("X-Pumicedeck-Request-Id", "r2"),))
    started = loop.timers.now()
    answer = read_until_closed(gateway_fixture, sock)
    if ran:
        assert answer.startswith(b"HTTP/1.1 200") and b"whole" in answer
        # What may take as long as its route allows is served while that much time is left.
        assert moment + 4.0 <= TIMES.max_seconds
    else:
        # A refusal with 503 says that the request has not run.
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 0.000" in answer
        assert loop.timers.now() - started < 0.1


def test_a_request_that_has_little_time_is_served_late_in_a_drain(gateway_fixture):
    gateway_fixture.configure(
        2,
        route("slow", "non_idempotent", **{"timeout-ms": 20000}),
        route("once", "non_idempotent", **{"timeout-ms": 4000}),
    )
    gateway_fixture.loop.advance(0.5)
    succeed = gateway_fixture.endpoints[0].on_call

    def on_call(call):
        if not call.target.startswith("/slow/"):
            succeed(call)

    for endpoint in gateway_fixture.endpoints:
        endpoint.on_call = on_call
    gateway_fixture.open("POST", "/slow/x", headers=ID[:1])
    gateway_fixture.loop.advance(0.1)
    drain_like_a_process(gateway_fixture)
    gateway_fixture.loop.advance(5.0)
    sock = gateway_fixture.open("POST", "/once/x", headers=ID)
    answer = read_until_closed(gateway_fixture, sock)
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"whole")


@pytest.mark.parametrize(
    "phase, elapsed, seconds, expected",
    [
        (DrainPhase.SERVING, 1.0, 30.0, True),
        (DrainPhase.CLOSING_IDLE, 2.4, 5.0, True),
        (DrainPhase.CLOSING_IDLE, 2.4, 5.1, False),
        (DrainPhase.CLOSING_IDLE, 7.0, 0.3, True),
        (DrainPhase.REFUSING, 2.4, 0.1, False),
        (DrainPhase.ENDED, 7.4, 0.0, False),
    ],
)
def test_a_drain_serves_what_ends_before_it(phase, elapsed, seconds, expected):
    assert may_begin_call(phase, elapsed, seconds, TIMES) is expected


def test_a_metrics_port_that_is_taken_does_not_keep_a_gateway_from_starting():
    """Another process on the VM may hold the port; metrics are also at the readiness address."""
    with socket.create_server((LOCAL, 0)) as taken:
        started = GatewayFixture(metrics_port=taken.getsockname()[1])
        answer = started.ask("GET", "/safe/x", headers=ID, until=b"from i-")
        assert answer.startswith(b"HTTP/1.1 200")
        started.close()


@pytest.mark.parametrize(
    "phase, elapsed, in_phase, open_calls, connections, expected",
    [
        (DrainPhase.SERVING, 2.2, 2.2, 0, 0, DrainPhase.SERVING),
        (DrainPhase.SERVING, 2.3, 2.3, 0, 3, DrainPhase.CLOSING_IDLE),
        (DrainPhase.CLOSING_IDLE, 5.0, 2.7, 1, 3, DrainPhase.CLOSING_IDLE),
        (DrainPhase.CLOSING_IDLE, 5.0, 2.7, 0, 3, DrainPhase.REFUSING),
        (DrainPhase.CLOSING_IDLE, 7.15, 4.85, 1, 3, DrainPhase.REFUSING),
        (DrainPhase.REFUSING, 5.2, 0.2, 0, 3, DrainPhase.REFUSING),
        (DrainPhase.REFUSING, 5.2, 0.2, 0, 0, DrainPhase.ENDED),
        (DrainPhase.REFUSING, 5.3, 0.3, 0, 3, DrainPhase.ENDED),
        (DrainPhase.REFUSING, 5.3, 0.3, 1, 3, DrainPhase.REFUSING),
        (DrainPhase.REFUSING, 7.4, 0.3, 1, 3, DrainPhase.ENDED),
    ],
)
def test_a_drain_takes_requests_refuses_them_and_ends(
    phase, elapsed, in_phase, open_calls, connections, expected
):
    """The phases end by time or because nothing is left that could be cut."""
    assert next_drain_phase(phase, elapsed, in_phase, open_calls, connections, TIMES) is expected
