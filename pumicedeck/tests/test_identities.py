"""Client accounts: the decision about a key, its decoding, and replays of changing configurations.

The replays run real feeds of the configuration on one stand-in store in virtual time.
"""

import json

import pytest

from pumicedeck.accounts.identities import Account, AccountTable, Identity
from pumicedeck.clocks import VirtualTime
from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.platform.registrations import OPERATOR_TABLE, ROUTES_KEY, decode_routes
from pumicedeck.results import ResultCode
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import FeedSettings, StoreFeed

# The promise of the specification (config-apply-ms).
APPLY_SECONDS = 4.0
STEP_SECONDS = 0.01
REJECTED, UNVERIFIED, NOT_READY = (
    ResultCode.KEY_REJECTED,
    ResultCode.KEY_UNVERIFIED,
    ResultCode.NOT_READY,
)
TABLE = AccountTable.build(
    [(Account("acme", 1), ("k1", "k2")), (Account("bolt"), ("k2", "k3")), (Account("cog"), ())]
)


@pytest.mark.parametrize(
    ("key", "public", "age", "expected"),
    [
        ("k1", False, 0.1, "acme"),
        ("k1", False, 900.0, "acme"),
        ("k1", True, 0.1, "acme"),
        ("k3", False, 0.1, "bolt"),
        ("", False, 0.1, REJECTED),
        ("", False, 900.0, REJECTED),
        ("", True, 0.1, None),
        ("no", False, 1.5, REJECTED),
        ("no", False, 1.6, UNVERIFIED),
        ("no", True, 900.0, None),
    ],
)
def test_a_key_is_known_rejected_or_cannot_be_checked(key, public, age, expected):
    outcome = Identity().identify(TABLE, key, public, age)
    if outcome.is_err():
        assert outcome.err_value.code is expected and outcome.err_value.proven_not_run
    else:
        assert (outcome.ok_value.name if outcome.ok_value else None) == expected


def test_a_key_of_two_accounts_belongs_to_the_first_and_is_not_shown():
    assert TABLE.find("k2") == Account("acme", 1)
    assert TABLE.key_conflicts == (("acme", "bolt"),)
    assert "k1" not in repr(TABLE) and "k2" not in repr(TABLE) and "acme" in repr(TABLE)


def configuration(version, tenants, **fields):
    return {"version": version, "routes": [], "services": [], "tenants": tenants, **fields}


def tenant(name, *keys, **fields):
    return {"name": name, "api-keys": list(keys), **fields}


def decode(document):
    return decode_routes(json.dumps(document).encode())


def test_accounts_are_decoded_and_their_absence_is_known():
    table = decode(configuration(1, [tenant("a", "k", "ü", priority=0), tenant("b")])).unwrap()
    assert table.accounts.find("k") == Account("a", 0)
    # Header fields are read as Latin-1; the caller sends the key as UTF-8.
    assert table.accounts.find("ü".encode().decode("latin-1")) == Account("a", 0)
    assert [each.name for each in table.accounts.accounts] == ["a", "b"]
    assert decode(configuration(1, [])).unwrap().accounts.accounts == ()
    assert decode(configuration(1, None)).unwrap().accounts is None
    assert decode({"version": 1}).unwrap().accounts is None


SECRET = "s3cr3t"
ROUTE = {"name": "r", "host": "h", "path-prefix": "/", "route-type": "idempotent", "service": "s"}


@pytest.mark.parametrize(
    "document",
    [
        configuration(1, SECRET),
        configuration(1, {SECRET: 1}),
        configuration(1, [SECRET]),
        configuration(1, [{"name": "a", SECRET: SECRET}]),
        configuration(1, [tenant("a\r\nX: 1", SECRET)]),
        configuration(1, [tenant("", SECRET)]),
        configuration(1, [tenant(SECRET + "\x7f")]),
        configuration(1, [tenant(SECRET + " ")]),
        configuration(1, [tenant("a", SECRET, 7)]),
        configuration(1, [tenant("a", SECRET, "")]),
        configuration(1, [tenant("a", "\ud800" + SECRET)]),
        configuration(1, [tenant("a", SECRET, priority=SECRET)]),
        configuration(SECRET, [tenant("a", SECRET)]),
        configuration(1, [tenant("a", SECRET)], routes=[{**ROUTE, "public": SECRET}]),
        configuration(1, [tenant("a", SECRET)], routes=[{**ROUTE, "timeout-ms": SECRET}]),
    ],
    ids=lambda document: str(document)[:60].replace("\r\n", "CRLF"),
)
def test_an_invalid_configuration_is_refused_without_showing_its_values(document):
    failure = decode(document).unwrap_err()
    assert failure.code is ResultCode.BAD_CATALOGUE and SECRET not in failure.detail


@pytest.mark.parametrize("value", [b'{"tenants": "s3cr3t', b'{"x": "s3cr3t\xff"}'])
def test_a_configuration_that_is_no_json_is_refused_without_showing_its_values(value):
    assert SECRET not in decode_routes(value).unwrap_err().detail


class ReplayGateway:
    """Follows the configuration as a gateway does; its store client has faults of its own."""

    def __init__(self, timers, data):
        self.timers = timers
        self.store = StandinPartitionedStore(timers, data, call_timeout_seconds=1.5)
        self.routes = None
        settings = FeedSettings(wait_seconds=1.0)
        clock = StoreClock(timers)
        self.feed = StoreFeed(
            timers, self.store, clock, OPERATOR_TABLE, self._apply, settings, ("",)
        )
        self.feed.start()

    def _apply(self, rows, is_snapshot):
        for row in rows:
            decoded = decode_routes(row.value)
            if decoded.is_ok() and (
                self.routes is None or decoded.ok_value.version > self.routes.version
            ):
                self.routes = decoded.ok_value

    def ask(self, key):
        if self.routes is None:
            return NOT_READY
        age = self.timers.now() - self.feed.confirmed_at
        outcome = Identity().identify(self.routes.accounts, key, False, age)
        return outcome.err_value.code if outcome.is_err() else outcome.ok_value.name


class Replay:
    """Gateways on one store; each step asks each gateway about each key and keeps the answers."""

    def __init__(self, gateways, keys, *tenants):
        self.timers = VirtualTime()
        self.data = PartitionedData()
        self.version = 0
        self.keys = keys
        self.configure(*tenants)
        self.gateways = [ReplayGateway(self.timers, self.data) for _ in range(gateways)]
        # By gateway and key: times and answers, one entry for each change of the answer.
        self.answers = {}
        self.run(1.0)

    def configure(self, *tenants):
        self.version += 1
        value = json.dumps(configuration(self.version, list(tenants))).encode()
        self.put(value)

    def put(self, value):
        row = Put(RowKey(OPERATOR_TABLE, "", ROUTES_KEY), value)
        self.data.commit(Change((), (row,))).unwrap()

    def run(self, seconds):
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            self.timers.run_until(self.timers.now() + STEP_SECONDS)
            for gateway in self.gateways:
                for key in self.keys:
                    series = self.answers.setdefault((gateway, key), [])
                    answer = gateway.ask(key)
                    if not series or series[-1][1] != answer:
                        series.append((self.timers.now(), answer))

    def series(self, key):
        """Return for each gateway the answers in order, without those before it was ready."""
        return [
            [each for _, each in self.answers[(gateway, key)] if each is not NOT_READY]
            for gateway in self.gateways
        ]


def test_an_unknown_key_is_rejected_at_any_time_while_the_store_answers():
    # An idle feed is answered once a second; the call that was answered last is up to 2 s old.
    replay = Replay(4, ["no"], tenant("acme", "k1"))
    replay.run(10.0)
    assert replay.series("no") == [[REJECTED]] * 4


def test_three_revocations_within_300_ms_are_in_force_everywhere_in_time():
    replay = Replay(9, ["k1", "k2", "k3", "k4"], tenant("acme", "k1", "k2", "k3", "k4"))
    for left in (("k2", "k3", "k4"), ("k3", "k4"), ("k4",)):
        replay.configure(tenant("acme", *left))
        replay.run(0.1)
    replay.run(APPLY_SECONDS - 0.1)
    for key in ("k1", "k2", "k3"):
        assert replay.series(key) == [["acme", REJECTED]] * 9
    assert replay.series("k4") == [["acme"]] * 9


def test_a_third_of_the_gateways_that_cannot_reach_the_store_refuse_nothing_for_good():
    replay = Replay(9, ["k1", "k2", "new"], tenant("acme", "k1", "k2"))
    cut_off = replay.gateways[:3]
    for gateway in cut_off:
        gateway.store.faults.silent = True
    replay.run(3.0)
    replay.configure(tenant("acme", "k2", "new"))
    replay.run(APPLY_SECONDS)
    for gateway in replay.gateways:
        expected = ("acme", UNVERIFIED) if gateway in cut_off else (REJECTED, "acme")
        assert (gateway.ask("k1"), gateway.ask("new")) == expected
        assert gateway.ask("k2") == "acme"
    for gateway in cut_off:
        gateway.store.faults.silent = False
    replay.run(APPLY_SECONDS)
    assert replay.series("k1") == [["acme", REJECTED]] * 9
    assert replay.series("k2") == [["acme"]] * 9
    assert replay.series("new") == [[REJECTED, UNVERIFIED, "acme"]] * 3 + [[REJECTED, "acme"]] * 6


def test_a_key_that_moves_is_never_refused_and_never_moves_back():
    replay = Replay(6, ["k1"], tenant("acme", "k1"), tenant("bolt", "k2"))
    replay.configure(tenant("acme"), tenant("bolt", "k2", "k1"))
    replay.run(APPLY_SECONDS)
    assert replay.series("k1") == [["acme", "bolt"]] * 6


def test_twenty_configurations_within_2_s_are_followed_forwards_only():
    keys = [f"k{number}" for number in range(21)]
    replay = Replay(6, keys, tenant("acme", *keys))
    for number in range(20):
        replay.configure(tenant("acme", *keys[number + 1 :]))
        replay.run(0.1)
    replay.run(APPLY_SECONDS - 0.1)
    for key in keys[:20]:
        assert replay.series(key) == [["acme", REJECTED]] * 6
    assert replay.series("k20") == [["acme"]] * 6


def test_a_key_added_50_ms_ago_is_served_soon_and_stays():
    replay = Replay(6, ["new"], tenant("acme", "k1"))
    replay.gateways[0].store.faults.silent = True
    replay.run(2.0)
    replay.configure(tenant("acme", "k1", "new"))
    replay.run(0.05)
    # A gateway without contact must not say for good that a key does not exist.
    assert replay.gateways[0].ask("new") is UNVERIFIED
    replay.run(APPLY_SECONDS)
    assert replay.series("new")[1:] == [[REJECTED, "acme"]] * 5


def test_a_gateway_that_has_just_started_knows_nothing_and_then_the_newest():
    replay = Replay(3, ["k1", "new"], tenant("acme", "k1"))
    replay.configure(tenant("acme", "new"))
    started = ReplayGateway(replay.timers, replay.data)
    assert started.ask("new") is NOT_READY
    replay.gateways.append(started)
    replay.run(1.0)
    assert replay.series("new")[3] == ["acme"] and replay.series("k1")[3] == [REJECTED]


def test_an_invalid_configuration_leaves_the_last_valid_one_in_force():
    replay = Replay(3, ["k1", "no"], tenant("acme", "k1"))
    replay.put(b'{"version": 9, "tenants": 4}')
    replay.run(APPLY_SECONDS)
    assert replay.series("k1") == [["acme"]] * 3 and replay.series("no") == [[REJECTED]] * 3
