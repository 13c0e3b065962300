"""Keys of accounts occur in no log line, metric, error text or stored row.

A deployment without accounts makes no further call and has no further header, field or row.
"""

import json
import zlib

import pytest
from loguru import logger
from result import Ok

from pumicedeck.tests.account_fixtures import KEYS, AccountFixture, bearer
from pumicedeck.tests.test_account_submissions import IntakeFixture, statuses, submit
from pumicedeck.tests.test_gateways import ID, SIGNATURE, SUBMISSION, GatewayFixture, id_header

WRONG_KEY = "key-of-nobody"
ALL_KEYS = (WRONG_KEY, "key-moved", *(key for keys in KEYS.values() for key in keys))


def readable(value):
    """Return the value of a row, decompressed if it is; a row of results has a byte before that."""
    for data in (value, value[1:]):
        try:
            return zlib.decompress(data)
        except zlib.error:
            continue
    return value


class Observed:
    """Everything that a gateway has written, sent and stored during a test."""

    def __init__(self, fixture):
        self.fixture = fixture
        self.answers = []
        self.lines = []
        self.number = logger.add(
            lambda message: self.lines.append(str(message)),
            level=0,
            serialize=True,
            backtrace=False,
            diagnose=False,
        )

    def ask(self, key, method, target, body=b"", headers=ID):
        self.answers.append(self.fixture.ask_with(key, method, target, body, headers))
        self.fixture.loop.advance(0.05)

    def texts(self):
        metrics = self.fixture.ask(
            "GET",
            "/metrics",
            listener=self.fixture.gateway.readiness_listener,
            until=b"resident_bytes",
        )
        rows = {
            f"{row.row}": readable(row.value or b"")
            for row in self.fixture.data._history
            if row.row.table != "op"
        }
        assert any("table='items'" in row for row in rows)
        assert self.lines and self.answers and rows
        return {
            "log lines": "\n".join(self.lines),
            "answers": b"".join(self.answers).decode("latin-1"),
            "metrics": metrics.decode(),
            "rows": "".join(f"{key}{value!r}" for key, value in rows.items()),
        }


@pytest.fixture
def observed():
    fixture = AccountFixture()
    made = Observed(fixture)
    yield made
    logger.remove(made.number)
    fixture.close()


def with_keys_in_items(name):
    headers = {"Authorization": f"Bearer {KEYS['bolt'][0]}", "authorization": f"Bearer {WRONG_KEY}"}
    items = [{**SUBMISSION["items"][0], "id": name, "headers": headers}]
    return json.dumps({**SUBMISSION, "items": items}).encode()


def test_a_key_is_written_nowhere(observed):
    fixture = observed.fixture
    for key in (None, "key-a1", "key-b1", WRONG_KEY):
        for path in ("safe", "once", "open", "stream", "nowhere"):
            observed.ask(key, "POST", f"/{path}/x")
        submission = (("X-Pumicedeck-Request-Id", f"s-{key and key[-1]}"),)
        observed.ask(key, "POST", "/drafts/x", with_keys_in_items("a"), submission)
        observed.ask(key, "POST", "/drafts/x", b"{", submission)
        for target in ("/lots/s-1?after=0", "/items/s-1?id=a", "/lots/none"):
            observed.ask(key, "GET", target)
    for on_call in (
        lambda call: call.abort(),
        lambda call: call.answer(500, (id_header(call), SIGNATURE), b""),
        lambda call: call.answer(200, (id_header(call),), b"without a signature"),
        lambda call: None,
    ):
        for endpoint in fixture.endpoints:
            endpoint.on_call = on_call
        observed.ask("key-a1", "GET", "/safe/x")
        observed.ask("key-a1", "GET", "/stream/x")
    fixture.set_accounts(acme=("key-a1", "key-moved"), bolt=("key-moved", "key-b1"))
    fixture.put("op", "config", {"version": 90, "tenants": [{"name": "x", "api-keys": "key-a1"}]})
    fixture.put("op", "config", {"version": "key-a1", "routes": [], "services": []})
    fixture.put("op", "config", {"version": 91, "routes": [{"name": "key-a1"}], "services": []})
    fixture.loop.advance(0.5)
    observed.ask("key-moved", "GET", "/lots/s-1?after=0")
    fixture.standin.faults.down = True
    fixture.loop.advance(2.5)
    for key in ("key-a1", WRONG_KEY):
        observed.ask(key, "POST", "/drafts/x", with_keys_in_items("b"))
        observed.ask(key, "GET", "/safe/x")
        observed.ask(key, "GET", "/lots/none")
    texts = observed.texts()
    found = [(place, key) for place, text in texts.items() for key in ALL_KEYS if key in text]
    assert found == []
    for event in (
        "one key of two accounts",
        "routes not installed",
        "KEY_REJECTED",
        "attempt fail",
    ):
        assert event in texts["log lines"], event
    for code in ("KEY_REJECTED", "KEY_UNVERIFIED", "NOT_FOUND"):
        assert code in texts["answers"], code
    # The account's name does occur, so that this test looks at the right places.
    assert "acme" in texts["log lines"] and "acme" in texts["metrics"] and "acme" in texts["rows"]


def test_an_unknown_key_and_its_account_are_named_in_no_refusal_but_a_known_account_is(observed):
    observed.ask(WRONG_KEY, "GET", "/safe/x")
    for endpoint in observed.fixture.endpoints:
        endpoint.on_call = lambda call: call.abort()
    observed.ask("key-a1", "GET", "/once/x")
    records = [json.loads(line)["record"] for line in observed.lines]
    refused = [each["extra"] for each in records if each["message"] == "refused"]
    assert [each.get("account") for each in refused] == [None, "acme"]


def test_a_caller_that_leaves_is_logged_and_counted_with_its_account(observed):
    # The account is known only after the end of the call was given its handler.
    fixture = observed.fixture
    for endpoint in fixture.endpoints:
        endpoint.on_call = lambda call: None
    sock = fixture.open("GET", "/once/x", headers=(*ID, bearer("key-a1")))
    fixture.loop.until(lambda: any(endpoint.calls for endpoint in fixture.endpoints))
    sock.close()
    fixture.loop.until(lambda: any("caller left" in line for line in observed.lines))
    records = [json.loads(line)["record"] for line in observed.lines]
    (left,) = [each["extra"] for each in records if each["message"] == "caller left"]
    assert left["account"] == "acme" and left["route"] == "once"
    metrics = fixture.gateway._metrics.text(True, 0)
    assert 'pumicedeck_account_calls{account="acme"} 1' in metrics


def test_without_accounts_an_endpoint_gets_the_same_headers_as_before():
    fixture = GatewayFixture()
    fixture.ask("GET", "/safe/x", headers=(*ID, ("X-Own", "1"), bearer("k")), until=b"from i-")
    (call,) = [call for each in fixture.endpoints for call in each.calls]
    names = sorted(name.lower() for name, _ in call.headers)
    assert names == [
        "authorization",
        "content-length",
        "host",
        "x-own",
        "x-pumicedeck-deadline-ms",
        "x-pumicedeck-expect-instance",
        "x-pumicedeck-request-id",
    ]
    fixture.close()


def test_without_accounts_the_store_gets_the_same_rows_and_log_lines_have_no_further_field():
    fixture = GatewayFixture()
    fixture.ask_with = lambda key, *arguments: fixture.ask(*arguments)
    fixture.status = lambda key, method="GET", target="/safe/x", body=b"", headers=ID: int(
        fixture.ask(method, target, body, headers).split()[1]
    )
    observed = Observed(fixture)
    assert submit(fixture, None, "s1") == submit(fixture, None, "s1") == 202
    fixture.loop.advance(0.6)
    assert statuses(fixture, None, "s1") == (200,) * 3
    assert statuses(fixture, None, "none") == (404,) * 3
    logger.remove(observed.number)
    rows = {row.row.key: row.value for row in fixture.data.read("work", "s1", "", 100)}
    assert set(rows) <= {"head", "end", "owner", "listed"}
    assert "account" not in json.loads(rows["head"])
    extras = [json.loads(line)["record"]["extra"] for line in observed.lines]
    assert extras and not any("account" in each or "accounts" in each for each in extras)
    fixture.close()


@pytest.mark.parametrize(("account", "reads"), [(None, 0), ("acme", 1)])
def test_without_accounts_an_id_that_exists_costs_no_further_call(account, reads):
    intakes = IntakeFixture()
    intakes.accept(0, account, "a")
    intakes.run()
    before = intakes.store.calls.reads
    commits = intakes.store.calls.commits
    found = intakes.accept(1, account, "a")
    intakes.run()
    assert isinstance(found[0], Ok)
    assert intakes.store.calls.reads - before == reads
    # Three transactions of items and the head row; with accounts the first one shows the conflict.
    assert intakes.store.calls.commits - commits == (3 if account is None else 1)
