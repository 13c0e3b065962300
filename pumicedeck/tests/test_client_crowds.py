"""Misbehaving clients end no gateway: it stays within its machine and goes on serving.

A gateway ran out of memory under many large bodies at once, whole or kept short of their end, under
requests sent ahead whose answers nobody read, under long answers that many clients read slowly, and
under one body of many small JSON values. Each body was held two or three times over, nothing added
up what all connections hold, and nothing stopped reading from a connection that owed an answer.

Each test starts processes, so that these tests run one at a time, apart from the others.
"""

import itertools
import json

import pytest

from pumicedeck.http_messages import KIB, MIB
from pumicedeck.tests.crowd_fixtures import (
    CrowdClient,
    GatewayUnderTest,
    ask,
    pieces,
    raise_descriptor_limit,
    request_head,
    run_crowd,
)

pytestmark = pytest.mark.crowd

# Less than any machine of a deployment has, so that small crowds are enough.
MEMORY_MEGABYTES = 128
# What the machines of the smallest deployment have.
DEPLOYED_MEMORY_MEGABYTES = 180
LARGE_BODY_BYTES = 30_000_000
LARGEST_BODY_BYTES = 32 * MIB
PIECE_BYTES = 16 * KIB
REFUSALS = (408, 413, 429, 503)


@pytest.fixture
def gateway(tmp_path):
    created = GatewayUnderTest(tmp_path, MEMORY_MEGABYTES)
    yield created
    created.close()


@pytest.fixture
def deployed_gateway(tmp_path):
    created = GatewayUnderTest(tmp_path, DEPLOYED_MEMORY_MEGABYTES)
    yield created
    created.close()


def body_client(number, size, sent_bytes, piece_bytes, path="/once/x"):
    head = request_head(path, f"crowd-{number}", size)
    return CrowdClient(itertools.chain([head], pieces(bytes(sent_bytes), piece_bytes)))


def chunked_client(number, sent_bytes, end=b"", path="/once/x"):
    chunk = b"%x\r\n%s\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))
    head = request_head(path, f"crowd-{number}")
    chunks = itertools.repeat(chunk, sent_bytes // PIECE_BYTES)
    return CrowdClient(itertools.chain([head], chunks, [end]))


def repeated(first, then, count):
    """Return `first`, and then `count` times `then` in pieces of at least 64 KiB."""
    together = max(1, 64 * KIB // len(then))
    return itertools.chain([first], itertools.repeat(then * together, count // together))


def check_refusals(gateway, crowd):
    """Check that what was refused was not run, that is a promise of the refusal."""
    refused = [number for number, each in enumerate(crowd.clients) if each.status in REFUSALS]
    assert not {f"crowd-{number}" for number in refused} & set(gateway.ran())
    for number in refused:
        _, _, body = bytes(crowd.clients[number].received).partition(b"\r\n\r\n")
        assert b'"code"' in body


def test_many_large_bodies_at_once(gateway):
    crowd = run_crowd(
        gateway,
        gateway.callers,
        (body_client(n, LARGE_BODY_BYTES, LARGE_BODY_BYTES, MIB) for n in range(8)),
    )
    assert {each.status for each in crowd.clients} <= {200, *REFUSALS, 0}
    check_refusals(gateway, crowd)


@pytest.mark.parametrize("piece_bytes", [LARGE_BODY_BYTES, PIECE_BYTES])
def test_large_bodies_kept_short_of_their_end(gateway, piece_bytes):
    crowd = run_crowd(
        gateway,
        gateway.callers,
        (body_client(n, LARGE_BODY_BYTES, LARGE_BODY_BYTES - 1, piece_bytes) for n in range(6)),
    )
    check_refusals(gateway, crowd)
    assert not [each for each in gateway.ran() if each.startswith("crowd")]


def test_large_bodies_in_chunks_kept_short_of_their_end(gateway):
    crowd = run_crowd(
        gateway, gateway.callers, (chunked_client(n, LARGE_BODY_BYTES) for n in range(6))
    )
    check_refusals(gateway, crowd)


def test_many_medium_bodies_kept_short_of_their_end(gateway):
    crowd = run_crowd(
        gateway,
        gateway.callers,
        (body_client(n, 500_000, 499_999, PIECE_BYTES) for n in range(200)),
    )
    check_refusals(gateway, crowd)


def test_requests_without_the_usual_headers_sent_ahead(gateway):
    # The first one takes seconds, so that all others wait behind it.
    first = request_head("/once/slow", "crowd", 0)
    bare = b"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    run_crowd(
        gateway,
        gateway.callers,
        (CrowdClient(repeated(first, bare, 17 * MIB // len(bare)), reads=False) for _ in range(8)),
    )


def test_small_requests_sent_ahead_without_a_slow_one(gateway):
    kinds = (
        b"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
        request_head("/none/x", "crowd", 0),
        b"GET /lots/x HTTP/1.1\r\nHost: h\r\n\r\n",
    )
    run_crowd(
        gateway,
        gateway.callers,
        (
            CrowdClient(repeated(b"", kind * 8, 2 * MIB // len(kind) // 8), reads=False)
            for kind in kinds * 4
        ),
    )


def test_large_requests_sent_ahead(gateway):
    whole = request_head("/safe/x", "crowd", MIB) + bytes(MIB)
    first = request_head("/safe/slow", "crowd", 0)
    run_crowd(
        gateway,
        gateway.callers,
        (
            CrowdClient(itertools.chain([first], itertools.repeat(whole, 20)), reads=False)
            for _ in range(8)
        ),
    )


def slow_reader(number, path, reads):
    return CrowdClient([request_head(path, f"crowd-{number}", 0)], reads, pause=0.2)


@pytest.mark.parametrize("reads", [False, True])
def test_long_streams_read_slowly(gateway, reads):
    run_crowd(
        gateway,
        gateway.callers,
        (slow_reader(n, f"/stream/{12 * MIB}", reads) for n in range(24)),
    )


@pytest.mark.parametrize("reads", [False, True])
def test_large_answers_read_slowly(gateway, reads):
    run_crowd(
        gateway,
        gateway.callers,
        (slow_reader(n, "/safe/8000000", reads) for n in range(40)),
    )


SMALL_VALUES = {
    "numbers": (b"[", b"1,", b"1]"),
    "lists": (b"[", b"[],", b"[]]"),
    "objects": (b"[", b'{"a":{}},', b"{}]"),
    "nested objects in items": (b'{"items":[', b'{"id":{}},', b"{}]}"),
    "wide text": ('"\U0001f600'.encode(), b"a", b'"'),
}


@pytest.mark.parametrize("kind", SMALL_VALUES)
def test_a_submission_of_many_small_values(gateway, kind):
    first, repeat, last = SMALL_VALUES[kind]
    body = first + repeat * (24 * MIB // len(repeat)) + last
    head = request_head("/drafts/x", "crowd-0", len(body))
    crowd = run_crowd(gateway, gateway.callers, [CrowdClient([head, body])])
    assert crowd.clients[0].status in (400, *REFUSALS)


@pytest.mark.parametrize("sent", [b"", b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 15000])
def test_more_connections_than_descriptors(gateway, sent):
    raise_descriptor_limit(1000)
    run_crowd(gateway, gateway.callers, (CrowdClient([sent]) for _ in range(600)))


LISTENERS = ("readiness", "metrics", "relay")


@pytest.mark.parametrize("listener", LISTENERS)
def test_large_bodies_at_the_other_listeners(gateway, listener):
    run_crowd(
        gateway,
        getattr(gateway, listener),
        (body_client(n, LARGE_BODY_BYTES, LARGE_BODY_BYTES - 1, MIB) for n in range(6)),
    )


@pytest.mark.parametrize("listener", LISTENERS)
def test_requests_sent_ahead_at_the_other_listeners(gateway, listener):
    request = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
    run_crowd(
        gateway,
        getattr(gateway, listener),
        (CrowdClient(repeated(b"", request, 100_000), reads=False) for _ in range(8)),
    )


def test_all_kinds_together(gateway):
    first = request_head("/once/slow", "crowd", 0)
    bare = b"POST /once/x HTTP/1.0\r\n\r\n"
    kinds = (
        lambda n: body_client(n, LARGE_BODY_BYTES, LARGE_BODY_BYTES, MIB),
        lambda n: body_client(n, LARGE_BODY_BYTES, LARGE_BODY_BYTES - 1, PIECE_BYTES),
        lambda n: chunked_client(n, LARGE_BODY_BYTES),
        lambda n: CrowdClient(repeated(first, bare, 17 * MIB // len(bare)), reads=False),
        lambda n: slow_reader(n, f"/stream/{12 * MIB}", False),
        lambda n: slow_reader(n, "/safe/8000000", True),
        lambda n: CrowdClient([b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 15000]),
    )
    run_crowd(
        gateway,
        gateway.callers,
        (kind(n) for n, kind in enumerate(kind for kind in kinds for _ in range(5))),
    )


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_single_body_of_the_largest_size_is_served_in_calm(deployed_gateway, framing, path):
    if framing == "length":
        client = body_client(0, LARGEST_BODY_BYTES, LARGEST_BODY_BYTES, MIB, path)
    else:
        client = chunked_client(0, LARGEST_BODY_BYTES, b"0\r\n\r\n", path)
    crowd = run_crowd(deployed_gateway, deployed_gateway.callers, [client], until_answered=True)
    assert crowd.clients[0].status == 200


def test_a_single_answer_of_the_largest_size_is_served_in_calm(deployed_gateway):
    status, body = ask(deployed_gateway.callers, f"/safe/{8 * MIB}")
    assert (status, len(body)) == (200, 8 * MIB)
    deployed_gateway.check()


def test_a_single_large_submission_is_served_in_calm(deployed_gateway):
    items = [
        {
            "id": f"item-{number}",
            "path": f"/drafts/{number}",
            "headers": {"X-Pumicedeck-Token-Counts": "540,400"},
            "body": "q83v" * (PIECE_BYTES // 4),
            "group": f"group-{number // 8}",
        }
        for number in range(LARGE_BODY_BYTES // (PIECE_BYTES + 200))
    ]
    body = json.dumps({"step": 1, "model": "m", "items": items}).encode()
    head = request_head("/drafts/", "crowd-0", len(body))
    client = CrowdClient([head, body])
    crowd = run_crowd(deployed_gateway, deployed_gateway.callers, [client], until_answered=True)
    assert crowd.clients[0].status == 202
