"""Streams that broke off and whose next endpoint answers with something else than their rest.

Guards against callers that find the text of an error in the middle of their stream, or a stream
that ends as if it were complete although only its first events came.
"""

import pytest

from pumicedeck.tests.test_gateways import (
    ID,
    SIGNATURE,
    FakeEndpoint,
    GatewayFixture,
    id_header,
    route,
)

EVENTS = 9
BREAK_AFTER = 5
NOT_RUN = ("X-Pumicedeck-Not-Run", "1")
END = b"0\r\n\r\n"


def events(first, last):
    return b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1))


class StreamFixture(GatewayFixture):
    """Three endpoints; the first that is called breaks off, the second answers with `next_answer`,
    the others serve."""

    def __init__(self):
        super().__init__()
        self.count = 0
        self.break_first = self.break_off
        self.next_answer = self.serve
        third = FakeEndpoint(self, "i-2", "apps")
        self.endpoints.append(third)
        self.put("servers", third.name, third.entry())
        for endpoint in self.endpoints:
            endpoint.on_call = self.handle
        self.configure(
            2,
            route("stream", "streaming", resumable=True, **{"max-attempts": 3}),
            route("once", "streaming", **{"max-attempts": 3}),
        )
        self.loop.until(lambda: len(self.gateway.routes.routes) == 2)
        self.loop.until(lambda: "i-2" in str(self.names()))

    def names(self):
        return [endpoint.name for endpoint in self.endpoints]

    def handle(self, call):
        self.count += 1
        {1: self.break_first, 2: self.next_answer}.get(self.count, self.serve)(call)

    def break_off(self, call):
        call.start_stream(200, (id_header(call), SIGNATURE))
        call.write(events(1, BREAK_AFTER) + b"id: 6\nda")
        self.loop.timers.call_later(0.05, call.abort)

    def serve(self, call):
        last = int(call.header("last-event-id") or "0")
        call.start_stream(200, (id_header(call), SIGNATURE))
        call.write(events(last + 1, EVENTS))
        call.finish()

    def stream(self, target="/stream/x"):
        """Return the body of a stream, and whether it ended as complete."""
        sock = self.open("GET", target, headers=ID)
        received = self.read(sock, END)
        if END not in received:
            received += self.read(sock, b"<closed>") if b"<closed>" not in received else b""
        head, _, body = received.partition(b"\r\n\r\n")
        return head, chunk_data(body), received.endswith(END)


def chunk_data(body):
    """Return the data of all chunks, and what is no chunk as it is."""
    found = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        try:
            length = int(size, 16)
        except ValueError:
            return found + body.replace(b"<closed>", b"")
        found, body = found + rest[:length], rest[length + 2 :]
    return found


@pytest.fixture
def fixture():
    started = StreamFixture()
    yield started
    started.close()


def answer(status, *headers, body=b"sorry", signed=False, own_id=True):
    def send(call):
        fields = [id_header(call)] if own_id else [("X-Pumicedeck-Request-Id", "other")]
        fields += [SIGNATURE] if signed else []
        call.answer(status, (*fields, *headers), body)

    return send


def raw(data):
    """Send bytes as they are, then close."""

    def send(call):
        call.connection._sock.send(data)
        call.abort()

    return send


HEAD = b"HTTP/1.1 200 OK\r\nX-Pumicedeck-Request-Id: r1\r\nX-Pumicedeck-Response-Signature: 3e\r\n"
NEXT_ANSWERS = {
    **{str(status): answer(status) for status in (400, 404, 409, 422, 429, 500, 502, 504)},
    "404 with a signature": answer(404, signed=True),
    "503 not run": answer(503, NOT_RUN),
    "421": answer(421),
    "302": answer(302),
    "200 without a signature, text": answer(200),
    "200 without a signature, events": answer(200, body=events(6, EVENTS)),
    "200 of another request": answer(200, body=events(6, EVENTS), signed=True, own_id=False),
    "200 with a signature, text": answer(200, body=b"sorry\n\n", signed=True),
    "200 that leaves an event out": answer(200, body=events(7, EVENTS), signed=True),
    "200 with half an event": answer(200, body=events(6, 7) + b"id: 8\nda", signed=True),
    "no answer": raw(b""),
    "no answer of the protocol": raw(b"\x16\x03\x01\x00 sorry\n\n"),
    "half a status line": raw(b"HTTP/1.1 20"),
    "half a head": raw(HEAD),
    "half a field": raw(HEAD[:-9]),
    "half a chunk": raw(HEAD + b"Transfer-Encoding: chunked\r\n\r\n20\r\nid: 6\ndata"),
    "another head in a chunk": raw(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n30\r\nid: 6\nHTTP/1.1 500 sorry\r\n\r\n"
    ),
    "another head instead of a chunk": raw(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nHTTP/1.1 500 sorry\r\n\r\nsorry\n\n"
    ),
}


@pytest.mark.parametrize("next_answer", NEXT_ANSWERS.values(), ids=NEXT_ANSWERS)
def test_a_stream_goes_on_at_the_endpoint_that_has_its_rest(fixture, next_answer):
    fixture.next_answer = next_answer
    _, body, is_complete = fixture.stream()
    assert body == events(1, EVENTS) and is_complete
    assert fixture.count == 3


@pytest.mark.parametrize("next_answer", NEXT_ANSWERS.values(), ids=NEXT_ANSWERS)
def test_a_stream_that_no_endpoint_goes_on_with_does_not_look_complete(fixture, next_answer):
    fixture.next_answer = fixture.serve = next_answer
    _, body, is_complete = fixture.stream()
    assert not is_complete
    assert body in [events(1, last) for last in (5, 7)]


@pytest.mark.parametrize(
    "first_answer",
    [
        answer(200, body=events(1, 3)),
        answer(200, body=b"sorry\n\n"),
        raw(HEAD),
        raw(HEAD[:30]),
        raw(b"sorry\n\n"),
    ],
)
@pytest.mark.parametrize("target", ["/stream/x", "/once/x"])
def test_a_stream_whose_first_answer_is_none_begins_elsewhere_or_fails(
    fixture, first_answer, target
):
    fixture.break_first = first_answer
    head, body, is_complete = fixture.stream(target)
    if target == "/stream/x":
        assert head.startswith(b"HTTP/1.1 200") and body == events(1, EVENTS) and is_complete
    else:
        assert head.startswith(b"HTTP/1.1 502") and SIGNATURE[0].encode() not in head
        assert fixture.count == 1


def test_a_stream_that_may_not_go_on_elsewhere_ends_incomplete(fixture):
    _, body, is_complete = fixture.stream("/once/x")
    assert body == events(1, BREAK_AFTER) and not is_complete and fixture.count == 1


def test_a_stream_with_events_without_numbers_is_not_begun_again(fixture):
    def break_off(call):
        call.start_stream(200, (id_header(call), SIGNATURE))
        call.write(b"data: a\n\ndata: b\n\n")
        fixture.loop.timers.call_later(0.05, call.abort)

    fixture.break_first = break_off
    _, body, is_complete = fixture.stream()
    assert body == b"data: a\n\ndata: b\n\n" and not is_complete and fixture.count == 1


def test_an_event_without_a_number_before_numbered_ones_is_not_forgotten(fixture):
    def break_off(call):
        call.start_stream(200, (id_header(call), SIGNATURE))
        call.write(b"data: a\n\n" + events(1, 2) + b"data: b\n\n")
        fixture.loop.timers.call_later(0.05, call.abort)

    fixture.break_first = break_off
    _, body, is_complete = fixture.stream()
    assert body == b"data: a\n\n" + events(1, 2) and not is_complete and fixture.count == 1


def test_comments_between_events_are_relayed_and_end_no_stream(fixture):
    def go_on(call):
        call.start_stream(200, (id_header(call), SIGNATURE))
        call.write(b": still here\n\n" + events(6, 7) + b":\n\n" + events(8, EVENTS))
        call.finish()

    fixture.next_answer = go_on
    _, body, is_complete = fixture.stream()
    assert body.replace(b": still here\n\n", b"").replace(b":\n\n", b"") == events(1, EVENTS)
    assert b": still here" in body and is_complete and fixture.count == 2
