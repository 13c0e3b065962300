"""The fingerprint by which a request that comes again under another id is known."""

from dataclasses import replace

import pytest

from pumicedeck.dialects import ForwardedCall
from pumicedeck.request_fingerprints import fingerprint_request

CALL = ForwardedCall(
    "r1",
    "POST",
    "/a/b?c=1",
    "h.example",
    (("X-Request-Id", "r1"), ("Authorization", "key-1"), ("User-Agent", "sdk")),
    b"body",
    1.5,
)


def test_attempts_at_one_request_have_one_fingerprint():
    again = replace(
        CALL,
        request_id="r2",
        host="H.example",
        budget_seconds=0.4,
        headers=(("authorization", "key-1"), ("X-Request-Id", "r2"), ("X-Left", "400")),
        resume_after=3,
    )
    assert fingerprint_request(again) == fingerprint_request(CALL)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "PUT"},
        {"target": "/a/b?c=2"},
        {"host": "other.example"},
        {"body": b"Body"},
        {"target": "/a/b?c=1b", "body": b"ody"},
        {"headers": (("Authorization", "key-2"),)},
        {"headers": ()},
    ],
    ids=str,
)
def test_other_requests_and_other_callers_have_another(change):
    assert fingerprint_request(replace(CALL, **change)) != fingerprint_request(CALL)
