"""Heads of responses that RFC 9110 and 9112 do not allow.

A server in trouble sent heads with damaged lines. The parser joins a line that begins with a blank
to the field before it, so that a caller got an answer with an odd value, or a body that was not the
server's where that line told the framing. Other damage passed as it came.
"""

import pytest

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_heads import HeadRecorder, find_head_fault
from pumicedeck.http_messages import HttpClientSettings, HttpRequest
from pumicedeck.results import Execution
from pumicedeck.tests.loop_harnesses import LoopHarness, RawServer

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"Content-Length: 2\r\n\r\nhi"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"\r\n2\r\nhi\r\n0\r\n\r\n"
SETTINGS = HttpClientSettings(accepts_close_delimited_answers=True)

INVALID = {
    "status 000": b"HTTP/1.1 000 OK\r\n" + BODY,
    "status 099": b"HTTP/1.1 099 OK\r\n" + BODY,
    "status 20": b"HTTP/1.1 20 OK\r\n" + BODY,
    "status 2000": b"HTTP/1.1 2000 OK\r\n" + BODY,
    "status -20": b"HTTP/1.1 -20 OK\r\n" + BODY,
    "status 600": b"HTTP/1.1 600 OK\r\n" + BODY,
    "status 999": b"HTTP/1.1 999 OK\r\n" + BODY,
    "interim status 000": b"HTTP/1.1 000 OK\r\n\r\n" + OK + BODY,
    "version 0.9": b"HTTP/0.9 200 OK\r\n" + BODY,
    "version 2.0": b"HTTP/2.0 200 OK\r\n" + BODY,
    "control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n" + BODY,
    "blank in a name": OK + b"X A: b\r\n" + BODY,
    "blank after a name": OK + b"X-A : b\r\n" + BODY,
    "tab in a name": OK + b"X\tA: b\r\n" + BODY,
    "zero byte in a name": OK + b"X\x00A: b\r\n" + BODY,
    "control byte in a name": OK + b"X\x01A: b\r\n" + BODY,
    "no name": OK + b": b\r\n" + BODY,
    "no colon": OK + b"X-A\r\n" + BODY,
    "byte above 127 in a name": OK + b"X-\xe9: b\r\n" + BODY,
    "blank before a name": OK + b"X-A: b\r\n X-B: c\r\n" + BODY,
    "tab before a name": OK + b"X-A: b\r\n\tX-B: c\r\n" + BODY,
    "blank before the first name": OK + b" X-B: c\r\n" + BODY,
    "blank before the length": OK + b"X-A: b\r\n Content-Length: 2\r\n\r\nhi",
    "blank before the coding": OK + b"X-A: b\r\n " + CHUNKED + CHUNKS,
    "fold in an interim head": b"HTTP/1.1 103 Early\r\nX-A: b\r\n c\r\n\r\n" + OK + BODY,
    "zero byte in a value": OK + b"X-A: b\x00c\r\n" + BODY,
    "control byte in a value": OK + b"X-A: b\x01c\r\n" + BODY,
    "delete in a value": OK + b"X-A: b\x7fc\r\n" + BODY,
    "CR in a value": OK + b"X-A: b\rc\r\n" + BODY,
    "two lengths": OK + b"Content-Length: 1\r\n" + BODY,
    "length and coding": OK + CHUNKED + BODY,
    "coding in HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + CHUNKED + CHUNKS,
    "unknown coding": OK + b"Transfer-Encoding: gzip\r\n\r\nhi",
    "negative length": OK + b"Content-Length: -2\r\n\r\nhi",
}
VALID = {
    "sized": OK + BODY,
    "chunked": OK + CHUNKED + CHUNKS,
    "no reason": b"HTTP/1.1 200\r\n" + BODY,
    "empty reason": b"HTTP/1.1 200 \r\n" + BODY,
    "empty value": OK + b"X-A:\r\n" + BODY,
    "value with blanks and tabs": OK + b"X-A: \t b c\td \r\n" + BODY,
    "value above 127": OK + b"X-A: caf\xe9\r\n" + BODY,
    "interim heads": b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\nHTTP/1.1 102 P\r\n\r\n" + OK + BODY,
    "line feeds alone": b"HTTP/1.1 200 OK\nContent-Length: 2\n\nhi",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + BODY,
}


def respond(answer, pieces, streamed=False):
    """Return the outcome of a request that gets an answer in pieces of a few bytes."""
    loop = LoopHarness()
    client = HttpClient(loop.timers, SETTINGS).register(loop)
    server = RawServer("raw").register(loop)
    loop.settle()
    outcomes, chunks = [], []
    request = HttpRequest("POST", server.address, "/a")
    client.send(request, outcomes.append, chunks.append if streamed else None, 1.0)
    loop.until(lambda: server.socks)
    size = -(-len(answer) // pieces)
    for at in range(0, len(answer), size):
        if server.socks[0].fileno() >= 0:
            server.send(server.socks[0], answer[at : at + size])
        loop.settle()
    server.hang_up(server.socks[0])
    loop.until(lambda: outcomes)
    client.close()
    loop.stop_and_check()
    return outcomes[0], b"".join(chunks)


@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize("pieces", [1, 7])
@pytest.mark.parametrize("answer", INVALID.values(), ids=INVALID)
def test_a_response_with_an_invalid_head_is_no_response(answer, pieces, streamed):
    outcome, body = respond(answer, pieces, streamed)
    assert outcome.unwrap_err().execution is Execution.MAY_HAVE_RUN
    assert body == b""


@pytest.mark.parametrize("pieces", [1, 7])
@pytest.mark.parametrize("answer", VALID.values(), ids=VALID)
def test_a_response_with_a_valid_head_is_taken(answer, pieces):
    outcome, _ = respond(answer, pieces)
    assert (outcome.unwrap().status, outcome.unwrap().body) == (200, b"hi")


@pytest.mark.parametrize("byte", range(256))
def test_bytes_are_allowed_in_names_and_values_as_the_standard_says(byte):
    text = bytes([byte])
    is_token = text.isalnum() or text in b"!#$%&'*+-.^_`|~"
    is_text = byte >= 0x80 or 0x20 <= byte <= 0x7E or text == b"\t"
    name_fault = find_head_fault(b"HTTP/1.1 200 OK\r\nX%bA: b\r\n\r\n" % text)
    # A colon ends the name.
    assert bool(name_fault) is not (is_token or text == b":")
    value_fault = find_head_fault(b"HTTP/1.1 200 OK\r\nX-A: a%bb\r\n\r\n" % text)
    assert bool(value_fault) is not is_text


def test_the_recorded_head_ends_before_the_body():
    recorder = HeadRecorder()
    for part in (b"HTTP/1.1 103 E\r\n\r", b"\nHTTP/1.1 200 OK\r\n", b"\r\nX: b\x01\r\n\r\n"):
        recorder.feed(part)
    assert recorder.take_head(is_interim=True) == b"HTTP/1.1 103 E\r\n\r\n"
    assert recorder.take_head(is_interim=False) == OK + b"\r\n"
    recorder.feed(b"more of the body")
    assert recorder.take_head(is_interim=False) == b""
