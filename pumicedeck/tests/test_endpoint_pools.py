"""The choice of an endpoint by an index of pools is that of a look at all endpoints.

Guards against an index that misses an endpoint which came, moved, restarted or left, and against a
choice in a large pool that overlooks the only endpoints that may be used. Also covers registrations
of which only the sequence has changed.
"""

import json
from random import Random

import pytest

from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.endpoint_pools import call_cost
from pumicedeck.platform.registrations import EndpointDecoder, decode_endpoint
from pumicedeck.topology import Address, FailureDomain

HOME = FailureDomain("a", "r")
DOMAINS = (HOME, FailureDomain("b", "r"), FailureDomain("c", "s"))
REGISTRATION = {
    "service": "p",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "slots": 8,
    "born": 1,
    "seq": 1,
    "version": "v1",
    "models": [{"name": "m", "version": 1}],
}


def reference_choose(states, home, random, pool, tried, now, expected_wait, may_use):
    """Return the choice of the old code, which looked at all endpoints."""
    candidates = [
        state
        for state in states
        if state.endpoint.pool == pool
        and not state.endpoint.draining
        and may_use(state.endpoint)
        and state.endpoint.name not in tried
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda each: call_cost(each, home, now, expected_wait, random))


def endpoint(random, number, pools="pq"):
    return DirectEndpoint(
        f"e{number}",
        random.choice(pools),
        Address("h", number + 1),
        random.choice(DOMAINS),
        random.randint(1, 4),
        random.random() < 0.1,
        random.randint(0, 1),
        software_version=random.choice(("v1", "v2")),
    )


def change(directory, random, now):
    name = f"e{random.randint(0, 70)}"
    kind = random.randint(0, 7)
    if kind < 3:
        directory.update(endpoint(random, random.randint(0, 70)))
    elif kind == 3:
        directory.remove(name)
    elif kind == 4:
        directory.record_failure(name, now)
    elif kind == 5:
        directory.record_success(name, random.uniform(0.1, 2.0))
    elif kind == 6 and directory.state(name) is not None:
        directory.record_leaving(directory.state(name).endpoint)
    elif directory.state(name) is not None:
        directory.record_request_limit(directory.state(name).endpoint, 5.0, now, now)


@pytest.mark.parametrize("seed", range(20))
def test_the_choice_among_up_to_64_endpoints_of_a_pool_is_as_before(seed):
    random = Random(seed)
    directory = EndpointDirectory(HOME, Random(seed))
    for number in range(random.randint(0, 80)):
        directory.update(endpoint(random, number))
    for step in range(150):
        now = step * 0.1
        change(directory, random, now)
        tried = tuple(f"e{random.randint(0, 70)}" for _ in range(random.randint(0, 3)))
        software = random.choice((None, "v1"))
        arguments = (
            random.choice("pq"),
            tried,
            now,
            lambda name: 0.2,
            lambda each, software=software: software in (None, each.software_version),
        )
        draws = Random()
        draws.setstate(directory.random.getstate())
        states = [directory.state(each.name) for each in directory.endpoints]
        assert [each.name for each in directory.endpoints if each.pool == "p"] == [
            each.endpoint.name for each in directory._pool("p").states
        ]
        expected = reference_choose(states, HOME, draws, *arguments)
        chosen = directory.choose(*arguments)
        assert chosen is expected
        if chosen is not None:
            directory.call_started(chosen.endpoint.name)


def large_directory():
    directory = EndpointDirectory(HOME, Random(1))
    random = Random(2)
    for number in range(1000):
        directory.update(endpoint(random, number, "p"))
    return directory


def test_the_choice_in_a_large_pool_compares_few_and_spreads_the_calls(monkeypatch):
    directory = large_directory()
    looked_at = []
    may_use = lambda each: looked_at.append(each) or True  # noqa: E731
    for _ in range(300):
        directory.call_started(directory.choose("p", (), 0.0, may_use=may_use).endpoint.name)
    assert len(looked_at) <= 300 * 32
    states = [directory.state(each.name) for each in directory.endpoints]
    called = [state for state in states if state.in_flight]
    # The near endpoints have more than twice as many slots: none is filled up beside free ones.
    assert all(state.endpoint.failure_domain == HOME for state in called)
    assert all(state.in_flight <= state.endpoint.slots for state in called)


def test_the_only_endpoint_that_may_be_used_is_found_in_a_large_pool():
    directory = large_directory()
    names = [each.name for each in directory.endpoints if not each.draining]
    only = directory.choose("p", (), 0.0, may_use=lambda each: each.name == names[-1])
    assert only.endpoint.name == names[-1]
    for name in names[1:]:
        directory.record_failure(name, 0.0)
    assert directory.choose("p", (), 0.1).endpoint.name == names[0]
    assert directory.choose("p", tuple(names), 0.1) is None


def encoded(**changes):
    return json.dumps({**REGISTRATION, **changes}).encode()


def test_a_registration_that_changes_only_its_sequence_is_the_same_endpoint():
    decoder = EndpointDecoder({"a": "r"})
    first = decoder.decode("e", encoded())
    assert first.is_ok()
    assert first == decode_endpoint("e", encoded(), {"a": "r"})
    assert decoder.decode("e", encoded(seq=22)) is first
    assert decoder.decode("f", encoded(seq=22)).ok_value.name == "f"


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "draining"},
        {"born": 2},
        {"slots": 9},
        {"models": [{"name": "m", "version": 2}]},
        {"models": [{"name": 'x"seq": 7,', "version": 1}]},
        {"seq": "2"},
        {"seq": 2.5},
        {"seq": None},
    ],
)
def test_any_other_change_of_a_registration_is_decoded(changes):
    decoder = EndpointDecoder({"a": "r"})
    decoder.decode("e", encoded())
    assert decoder.decode("e", encoded(**changes)) == decode_endpoint(
        "e", encoded(**changes), {"a": "r"}
    )
    assert decoder.decode("e", encoded(seq=3)) == decode_endpoint("e", encoded(), {"a": "r"})
