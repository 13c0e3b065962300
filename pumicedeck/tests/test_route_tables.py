"""Routes by longest prefix, pool weights, and decoding of the platform's store rows."""

import json
from collections import Counter
from random import Random

import pytest

from pumicedeck.platform.registrations import (
    decode_announced_version,
    decode_endpoint,
    decode_routes,
)
from pumicedeck.route_tables import PoolShare, Route, RouteKind, RouteTable, choose_pool

ROUTES = {
    "version": 7,
    "routes": [
        {
            "name": "outer",
            "host": "Shop.example",
            "path-prefix": "/a/",
            "route-type": "idempotent",
            "timeout-ms": 1500,
            "target-latency-ms": 250,
            "priority": 2,
            "max-attempts": 2,
            "backends": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
        },
        {
            "name": "inner",
            "host": "shop.example",
            "path-prefix": "/a/b/",
            "route-type": "streaming",
            "resumable": True,
            "service": "s3",
        },
        {
            "name": "drafts",
            "host": "shop.example",
            "path-prefix": "/d/",
            "route-type": "rollout",
            "due-ms": 7500,
            "max-wait-s": 12,
            "single-version": True,
            "max-attempts": 3,
            "service": "s4",
        },
    ],
    "services": [{"name": "s4", "max-connections": 150, "engine": {"slots": 12}}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 33554432,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


def decode_example() -> RouteTable:
    return decode_routes(json.dumps(ROUTES).encode()).unwrap()


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("shop.example", "/a/x", "outer"),
        ("shop.example", "/a/", "outer"),
        ("shop.example", "/a/b/", "inner"),
        ("shop.example", "/a/b/c/d", "inner"),
        ("shop.example", "/a/bc", "outer"),
        ("shop.example", "/a", None),
        ("shop.example", "/", None),
        ("other.example", "/a/x", None),
    ],
)
def test_the_longest_prefix_decides(host, path, name):
    route = decode_example().find(host, path)
    assert (route.name if route is not None else None) == name


def test_every_field_is_decoded_with_times_in_seconds():
    table = decode_example()
    outer, inner, drafts = table.routes
    assert (outer.kind, outer.longest_wait, outer.latency_objective) == (
        RouteKind.IDEMPOTENT,
        1.5,
        0.25,
    )
    assert outer.max_attempts == 2 and outer.may_repeat
    assert inner.kind is RouteKind.STREAM and inner.resumable and not inner.may_repeat
    assert (drafts.results_due_seconds, drafts.give_up_seconds, drafts.single_version) == (
        7.5,
        12.0,
        True,
    )
    assert table.pools["s4"].slots == 12 and table.limits.idle_seconds == 15.0


def test_pools_are_chosen_by_weight_and_a_pool_without_weight_gets_nothing():
    outer = decode_example().routes[0]
    drawn = Counter(choose_pool(outer, random) for random in [Random(1)] for _ in range(2000))
    assert 0.85 < drawn["s1"] / 2000 < 0.95
    pools = (PoolShare("x", 0.0), PoolShare("y", 1.0))
    route = Route("n", "h", "/", RouteKind.IDEMPOTENT, pools)
    assert {choose_pool(route, Random(n)) for n in range(50)} == {"y"}


def test_a_table_of_thousands_of_routes_is_searched_by_segments():
    routes = tuple(
        Route(f"r{n}", "h", f"/p{n}/", RouteKind.IDEMPOTENT, (PoolShare("s"),)) for n in range(5000)
    )
    assert RouteTable(1, routes, {}).find("h", "/p4999/x").name == "r4999"


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"version": 1, "routes": [{}]}'])
def test_an_invalid_configuration_is_an_error(value):
    assert decode_routes(value).is_err()


REGISTRATION = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "tn-a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "born": 17,
    "seq": 3,
    "models": [{"name": "m", "version": 4, "adapters": []}],
}


def test_a_registration_is_decoded_as_an_endpoint():
    endpoint = decode_endpoint("i-1", json.dumps(REGISTRATION).encode(), {"tn-a": "south"}).ok_value
    assert endpoint.address.port == 80 and endpoint.failure_domain.region == "south"
    assert endpoint.version_of("m") == 4 and endpoint.version_of("n") == 0
    assert not endpoint.draining and endpoint.slots == 12
    assert endpoint.software_version == "v1"


@pytest.mark.parametrize(
    "change",
    [
        {"born": "17"},
        {"born": 17.5},
        {"born": True},
        {"state": "sleeping"},
        {"service": None},
        {"slots": "12"},
        {"address": "10.0.0.1"},
        {"zone": 4},
        {"version": None},
        {"version": 2},
        {"models": [{"name": "m"}]},
    ],
)
def test_rows_that_are_no_valid_registration_are_ignored(change):
    document = {**REGISTRATION, **change}
    assert decode_endpoint("i-1", json.dumps(document).encode(), {}).is_err()
    assert decode_endpoint("i-1", b"\xff\xfe", {}).is_err()
    assert decode_endpoint("i-1", b"[1]", {}).is_err()


def test_an_announced_version_is_decoded_or_ignored():
    assert decode_announced_version(b'{"model": "m", "version": 3}') == ("m", 3)
    assert decode_announced_version(b'{"model": "m"}') is None
