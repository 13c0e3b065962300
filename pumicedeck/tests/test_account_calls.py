"""Client accounts at a complete gateway over sockets: calls, streams, retries, changing keys."""

import json

import pytest

from pumicedeck.accounts.call_identifiers import CallIdentifier
from pumicedeck.dialects import ForwardedCall
from pumicedeck.platform.caller_calls import PlatformCallerDialect
from pumicedeck.platform.registrations import decode_routes
from pumicedeck.tests.account_fixtures import ACCOUNT, AccountFixture, bearer
from pumicedeck.tests.test_gateways import ID, SIGNATURE, GatewayFixture, id_header, route

FORGED = (*ID, ("X-Pumicedeck-Tenant", "bolt"), ("x-pumicedeck-tenant", "cog"))


@pytest.fixture
def fixture():
    started = AccountFixture()
    yield started
    started.close()


@pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER "])
def test_an_endpoint_gets_the_account_of_the_key_whatever_the_caller_names(fixture, scheme):
    for key, account in (("key-a1", "acme"), ("key-a2", "acme"), ("key-b1", "bolt")):
        headers = (*FORGED, ("Authorization", f"{scheme} {key}"))
        assert fixture.ask("GET", "/safe/x", headers=headers, until=b"from i-")
        assert fixture.received_accounts() == [account]


@pytest.mark.parametrize(
    "header",
    [
        (),
        (bearer("no"),),
        (bearer(""),),
        (bearer("acme"),),
        (bearer("key-a"),),
        (("Authorization", "key-a1"),),
        (("Authorization", "Basic key-a1"),),
        (bearer("key-a1 key-b1"),),
        (bearer("key-a1"), ("Connection", "Authorization")),
    ],
)
@pytest.mark.parametrize("name", ["safe", "once", "stream", "drafts"])
def test_without_a_known_key_a_request_is_refused_at_once_and_reaches_nobody(fixture, header, name):
    answer = fixture.ask("POST", f"/{name}/x", b"{}", (*FORGED, *header), until=b"}")
    assert answer.startswith(b"HTTP/1.1 401") and b'"code": 411' in answer
    assert b"Retry-After" not in answer and fixture.received() == []


def test_a_public_route_serves_everybody_and_names_only_known_accounts(fixture):
    for key, account in ((None, None), ("no", None), ("key-b1", "bolt")):
        assert fixture.status(key, target="/open/x", headers=FORGED, until=b"from i-") == 200
        assert fixture.received_accounts() == [account]


def test_without_accounts_both_headers_pass_unchanged_as_before():
    # A deployment that does not configure accounts may use both headers for its own purposes.
    plain = GatewayFixture()
    answer = plain.ask("GET", "/safe/x", headers=(*FORGED, bearer("key-a1")), until=b"from i-")
    assert answer.startswith(b"HTTP/1.1 200")
    (call,) = [call for each in plain.endpoints for call in each.calls]
    assert call.header("authorization") == "Bearer key-a1"
    assert [value for name, value in call.headers if name.lower() == ACCOUNT] == ["bolt", "cog"]
    plain.close()


def test_each_attempt_and_each_resumption_of_a_stream_names_the_account(fixture):
    def break_in_the_middle(call):
        call.start_stream(200, (id_header(call), SIGNATURE))
        if call.header("last-event-id"):
            call.write(b"id: 2\ndata: b\n\n")
            call.finish()
        else:
            call.write(b"id: 1\ndata: a\n\n")
            fixture.loop.timers.call_later(0.05, call.abort)

    for endpoint in fixture.endpoints:
        endpoint.on_call = break_in_the_middle
    assert fixture.status("key-a1", target="/stream/x", until=b"0\r\n\r\n") == 200
    assert fixture.received_accounts() == ["acme", "acme"]
    headers = (*FORGED, ("Last-Event-Id", "1"), ("Resumes", "r1"))
    assert fixture.status(None, target="/stream/x", headers=headers) == 401
    fixture.ask_with("key-a2", "GET", "/stream/x", headers=headers, until=b"0\r\n\r\n")
    assert fixture.received_accounts() == ["acme"]
    for endpoint in fixture.endpoints:
        endpoint.on_call = lambda call: call.abort()
    assert fixture.status("key-a1", target="/safe/x") == 502
    assert fixture.received_accounts() == ["acme", "acme"]


def test_a_retry_after_the_accounts_were_removed_does_not_show_the_key(fixture):
    # The second attempt is made under a configuration that passes Authorization on.
    held = []
    for endpoint in fixture.endpoints:
        endpoint.on_call = held.append
    sock = fixture.open("GET", "/safe/x", headers=(*ID, bearer("key-a1")))
    fixture.loop.until(lambda: held)
    fixture.set_accounts()
    for endpoint in fixture.endpoints:
        endpoint.on_call = endpoint.succeed
    held[0].abort()
    assert b"from i-" in fixture.read(sock, b"from i-")
    assert fixture.received_accounts() == ["acme", "acme"]


def test_a_removed_key_is_refused_on_a_connection_that_is_kept(fixture):
    sock = fixture.connect()

    def ask(key):
        lines = ["GET /safe/x HTTP/1.1", "Host: h", "X-Pumicedeck-Request-Id: r1"]
        lines += [f"Authorization: Bearer {key}", "", ""]
        sock.sendall("\r\n".join(lines).encode())
        return int(fixture.read(sock, b"\r\n\r\n").split()[1])

    assert ask("key-a1") == 200
    fixture.set_accounts(acme=("key-a2",), bolt=("key-b1",))
    assert ask("key-a1") == 401 and ask("key-a2") == 200
    fixture.set_accounts(acme=(), bolt=("key-b1", "key-a2"))
    fixture.received()
    assert ask("key-a2") == 200 and fixture.received_accounts() == ["bolt"]


def test_while_the_store_is_silent_known_keys_are_served_and_unknown_ones_get_503(fixture):
    fixture.standin.faults.silent = True
    assert fixture.status("no") == 401
    fixture.loop.advance(2.5)
    answer = fixture.ask_with("no", "GET", "/safe/x", until=b"}")
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
    assert b'"code": 216' in answer
    assert fixture.status(None) == 401 and fixture.received() == []
    assert fixture.status("key-a1", until=b"from i-") == 200
    assert fixture.status("no", target="/open/x", until=b"from i-") == 200
    fixture.standin.faults.silent = False
    fixture.loop.until(lambda: fixture.status("no") == 401)


def test_a_gateway_without_a_configuration_answers_503_to_every_key(fixture):
    fixture.gateway._routes = None
    assert [fixture.status(key) for key in (None, "no", "key-a1")] == [503] * 3


def test_an_invalid_configuration_keeps_the_last_valid_one(fixture):
    document = {"version": 9, "routes": [], "services": [], "tenants": [{"name": "acme"}]}
    fixture.put("op", "config", document)
    fixture.loop.advance(0.5)
    assert fixture.status("key-a1", until=b"from i-") == 200 and fixture.status("no") == 401


def test_the_priority_of_an_account_takes_precedence_over_that_of_a_route():
    tenants = [
        {"name": "acme", "api-keys": ["key-a1"], "priority": 0},
        {"name": "bolt", "api-keys": ["key-b1"]},
    ]
    routes = [route("safe", "idempotent", priority=3)]
    document = {"version": 9, "routes": routes, "services": [], "tenants": tenants}
    table = decode_routes(json.dumps(document).encode()).unwrap()
    identifier = CallIdentifier(PlatformCallerDialect(), lambda: 0.0)

    def priority(key):
        call = ForwardedCall("r", "GET", "/safe/x", "h", (bearer(key),), b"")
        return identifier.identify(call, table.accounts, table.routes[0]).unwrap()[1].priority

    assert priority("key-a1") == 0 and priority("key-b1") == 3


def test_a_name_and_a_key_that_are_not_ascii_reach_endpoint_and_gateway_as_utf8(fixture):
    fixture.set_accounts(**{"müller": ("schlüssel",)})
    key = "schlüssel".encode().decode("latin-1")
    sock = fixture.connect()
    lines = ["GET /safe/x HTTP/1.1", "Host: h", *(f"{n}: {v}" for n, v in (*ID, bearer(key)))]
    sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1"))
    assert b"from i-" in fixture.read(sock, b"from i-")
    assert fixture.received_accounts() == ["müller".encode().decode("latin-1")]
