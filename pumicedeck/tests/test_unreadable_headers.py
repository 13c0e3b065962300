"""Tests of numbers in headers that are none, of callers and of endpoints.

`str.isdigit` accepts digits that `int` does not, such as a superscript two, and `int` raises for
thousands of digits. The exception ended the stream whose head had such a number without an answer.
"""

import pytest

from pumicedeck.json_documents import parse_whole_number
from pumicedeck.tests.test_gateways import ID, SIGNATURE, GatewayFixture, id_header


@pytest.fixture
def gateway():
    started = GatewayFixture()
    yield started
    started.close()


@pytest.mark.parametrize("text", ["\xb2", "9" * 5000, "\xb3\xb9", "-1", "1e9"])
def test_a_number_in_a_header_that_is_none_leaves_no_caller_without_an_answer(gateway, text):
    headers = [("X-Pumicedeck-Request-Id", "r1"), ("X-Own", "1")]
    for name in ("X-Pumicedeck-Deadline-Ms", "Last-Event-Id", "X-Pumicedeck-Wait-Ms"):
        for target in ("/safe/x", "/stream/x", "/lots/none?after=%C2%B2"):
            sock = gateway.connect()
            lines = [f"GET {target} HTTP/1.1", "Host: h", f"{name}: {text}"]
            lines += [f"{key}: {value}" for key, value in headers]
            sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1"))
            assert gateway.read(sock).startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize("version", ["\xb2", "9" * 5000])
@pytest.mark.parametrize("target", ["/safe/x", "/stream/x"])
def test_an_answer_with_an_unreadable_weight_version_reaches_its_caller(gateway, target, version):
    # A stream got no answer at all: the exception was raised in the callback for its head.
    def answer(call):
        headers = (id_header(call), SIGNATURE, ("X-Pumicedeck-Weight-Versions", version))
        call.answer(200, headers, b"id: 1\ndata: a\n\n")

    for endpoint in gateway.endpoints:
        endpoint.on_call = answer
    received = gateway.ask("GET", target, headers=ID, until=b"data: a")
    assert received.startswith(b"HTTP/1.1 200")


def test_whole_numbers_have_ascii_digits_only_and_not_too_many():
    assert [parse_whole_number(text) for text in ("0", "17", "9" * 18)] == [0, 17, 10**18 - 1]
    for text in ("", "-1", "+1", "1.0", "\xb2", "\u0663", "1_0", " 1", "9" * 19):
        assert parse_whole_number(text) is None
