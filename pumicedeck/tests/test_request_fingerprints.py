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


def test_another_key_of_an_account_does_not_hide_a_request():
    # A request that crashes endpoints would be let through again with each new key.
    first = replace(CALL, account="acme")
    second = replace(first, headers=(("Authorization", "key-2"),))
    assert fingerprint_request(second) == fingerprint_request(first)
    assert fingerprint_request(replace(first, headers=())) == fingerprint_request(first)
    cookie = replace(first, headers=(("Cookie", "c"),))
    others = [fingerprint_request(each) for each in (replace(first, account="bolt"), cookie, CALL)]
    assert len({*others, fingerprint_request(first)}) == 4


def test_without_an_account_the_fingerprint_is_the_same_as_before():
    # Gateways of two releases share the reports of crashes by fingerprint.
    assert fingerprint_request(CALL) == "51291abd1a55a35e81b946dd"
