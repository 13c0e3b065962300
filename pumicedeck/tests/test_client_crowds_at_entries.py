"""Misbehaving clients end no entry: it stays within its machine and goes on serving.

An entry holds the bodies that callers and operators send, and limits each one but not all of them.
Each test starts processes, so that these tests run one at a time, apart from the others.
"""

import pytest

from pumicedeck.http_messages import KIB, MIB
from pumicedeck.tests.crowd_fixtures import CrowdClient, EntryUnderTest, run_crowd
from pumicedeck.tests.test_client_crowds import body_client, repeated

pytestmark = pytest.mark.crowd

MEMORY_MEGABYTES = 160
LARGE_BODY_BYTES = 8_000_000
PATH = "/v1/entries/bookings/call/book"
LISTENERS = ("callers", "operators")


@pytest.fixture
def entry(tmp_path):
    created = EntryUnderTest(tmp_path, MEMORY_MEGABYTES)
    yield created
    created.close()


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("missing_bytes", [0, 1])
def test_many_large_bodies_at_once(entry, listener, missing_bytes):
    run_crowd(
        entry,
        getattr(entry, listener),
        (
            body_client(n, LARGE_BODY_BYTES, LARGE_BODY_BYTES - missing_bytes, 16 * KIB, PATH)
            for n in range(24)
        ),
    )


@pytest.mark.parametrize("listener", LISTENERS)
def test_requests_sent_ahead(entry, listener):
    bare = b"POST /v1/entries HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    run_crowd(
        entry,
        getattr(entry, listener),
        (CrowdClient(repeated(b"", bare, 8 * MIB // len(bare)), reads=False) for _ in range(12)),
    )
