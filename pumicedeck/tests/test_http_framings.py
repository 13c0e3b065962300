"""Property tests of the framing check, compared with how circuits.web parses the same bytes."""

import itertools

import pytest
from circuits.web.parsers import HttpParser
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicedeck.http_framings import CompleteRequest, RequestBounds, RequestReader
from pumicedeck.results import Execution, ResultCode

BOUNDS = RequestBounds(header_bytes=512, body_bytes=256)
bodies = st.binary(max_size=64)
junk_bytes = st.sampled_from(
    [
        b"\r\n",
        b"\n",
        b" ",
        b":",
        b"0",
        b"-1",
        b"Content-Length: 5\r\n",
        b"chunked",
        b"\x00",
        b"%2f",
        b"\\",
        b"\\x",
        b"\xe9",
    ]
)


@st.composite
def messages(draw):
    body = draw(bodies)
    if draw(st.booleans()):
        cut = draw(st.integers(0, len(body)))
        chunks = [part for part in (body[:cut], body[cut:]) if part]
        framed = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in chunks) + b"0\r\n\r\n"
        head = b"Transfer-Encoding: chunked\r\n"
    else:
        framed, head = body, b"Content-Length: %d\r\n" % len(body)
    return b"POST /a HTTP/1.1\r\nHost: h\r\n" + head + b"\r\n" + framed, body


def feed(parts):
    """Feed parts until the request is complete or rejected, and return the last outcome."""
    reader = RequestReader(BOUNDS)
    for part in parts:
        outcome = reader.feed(part)
        if outcome.is_err() or outcome.unwrap() is not None:
            return outcome
    return outcome


def split(data, cuts):
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(edges) if a < b]


def circuits_body(data):
    parser = HttpParser(0, True)
    parser.execute(data, len(data))
    assert parser.is_headers_complete()
    if b"Content-Length" in data.partition(b"\r\n\r\n")[0]:
        assert parser.is_message_complete()
    return parser.recv_body()


@pytest.mark.parametrize(
    "header",
    [
        b"X: C:\\new\\x",
        b"X: a\\r\\nContent-Length: 9",
        b"X: \\N{",
        b"X: a\x85\xe9",
        b"!#$%&'*+-.^_`|~: y",
        b"X:",
    ],
)
def test_any_header_value_reaches_circuits_as_it_was_sent(header):
    data = b"POST /a HTTP/1.1\r\nHost: h\r\n" + header + b"\r\nContent-Length: 2\r\n\r\nhi"
    request = feed([data]).unwrap()
    assert circuits_body(request.data) == b"hi"
    name, _, value = header.partition(b":")
    parser = HttpParser(0, True)
    parser.execute(request.data, len(request.data))
    assert parser.get_headers()[name.decode()] == value.strip().decode("latin-1")


@pytest.mark.parametrize(
    "line, header",
    [
        (b"POST /a HTTP/1.1", b"Content-Encoding: gzip"),
        (b"POST /a HTTP/1.1", b"Content-Encoding: deflate"),
        (b"POST /a HTTP/1.1", b"Content-Encoding: gzip\r\nContent-Encoding: identity"),
        (b"POST /a\\x HTTP/1.1", b"X: y"),
        (b"POST /a?\\n HTTP/1.1", b"X: y"),
        (b"BREW /a HTTP/1.1", b"X: y"),
        (b"post /a HTTP/1.1", b"X: y"),
    ],
)
def test_what_circuits_would_read_otherwise_is_refused(line, header):
    data = line + b"\r\nHost: h\r\n" + header + b"\r\nContent-Length: 2\r\n\r\nhi"
    failure = feed([data]).unwrap_err()
    assert failure.code is ResultCode.BAD_REQUEST
    assert failure.execution is Execution.NOT_RUN


@settings(derandomize=True, max_examples=200, deadline=None)
@given(messages(), st.lists(st.integers(0, 500), max_size=6), st.binary(max_size=20))
def test_any_split_of_a_valid_request_gives_the_same_body(message, cuts, trailing):
    data, body = message
    request = feed(split(data, cuts)).unwrap()
    assert circuits_body(request.data) == body
    joined = feed([data + trailing]).unwrap()
    assert (joined.data, joined.trailing_bytes) == (request.data, trailing)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    messages(), st.integers(0, 500), st.integers(0, 3), junk_bytes, st.lists(st.integers(0, 500))
)
def test_damaged_request_is_refused_waits_or_reads_alike_in_circuits(
    message, position, removed, inserted, cuts
):
    data = message[0]
    position %= len(data)
    damaged = data[:position] + inserted + data[position + removed :]
    outcome = feed(split(damaged, cuts))
    if outcome.is_err():
        assert outcome.unwrap_err().execution is Execution.NOT_RUN
        return
    request = outcome.unwrap()
    if request is None:
        return
    assert isinstance(request, CompleteRequest)
    head, _, sent = request.data.partition(b"\r\n\r\n")
    assert circuits_body(request.data) == sent
    names = [line.partition(b":")[0].lower() for line in head.split(b"\r\n")[1:]]
    assert names.count(b"content-length") <= 1
    assert b"transfer-encoding" not in names
    assert len(sent) <= BOUNDS.body_bytes
