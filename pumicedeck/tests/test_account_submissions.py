"""Client accounts of submissions: who may read and end them, items, reuse of outputs, rows."""

import json
from dataclasses import replace
from random import Random

import pytest

from pumicedeck.clocks import VirtualTime
from pumicedeck.dialects import ForwardedCall
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.platform.caller_calls import PlatformSubmissionDialect
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.results import ResultCode
from pumicedeck.scheduling.submission_rows import read_items
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.submission_intakes import IntakeSettings, SubmissionIntake
from pumicedeck.submissions import (
    Item,
    Submission,
    SubmissionHead,
    decode_head,
    encode_items,
)
from pumicedeck.tasks import spawn
from pumicedeck.tests.account_fixtures import KEYS, AccountFixture
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation
from pumicedeck.tests.test_gateways import SUBMISSION, route
from pumicedeck.topology import Address, FailureDomain
from pumicedeck.work_mirrors import HEAD_KEY, ITEMS_TABLE, WORK_TABLE, WorkMirror

BODY = json.dumps(SUBMISSION).encode()
NO_REQUEST_ID = ()


@pytest.fixture
def fixture():
    started = AccountFixture()
    yield started
    started.close()


def submit(fixture, key, name, prefix="drafts", body=BODY):
    headers = (("X-Pumicedeck-Request-Id", name),)
    return fixture.status(key, "POST", f"/{prefix}/x", body=body, headers=headers)


def statuses(fixture, key, name):
    """Return the answers to the three requests about a submission."""
    return tuple(
        fixture.status(key, method, target, headers=NO_REQUEST_ID)
        for method, target in (
            ("GET", f"/lots/{name}?after=0"),
            ("GET", f"/items/{name}?id=a"),
            ("DELETE", f"/lots/{name}"),
        )
    )


def rows(fixture, table=WORK_TABLE, name="s1"):
    return fixture.data.read(table, name, "", 100)


def test_any_key_of_the_account_serves_a_submission_and_no_other_key_shows_that_it_exists(fixture):
    assert submit(fixture, "key-a1", "s1") == 202
    fixture.loop.advance(0.6)
    before = rows(fixture)
    assert statuses(fixture, "key-b1", "s1") == statuses(fixture, "key-b1", "none") == (404,) * 3
    assert statuses(fixture, "no", "s1") == statuses(fixture, None, "none") == (401,) * 3
    assert rows(fixture) == before
    answers = [
        fixture.ask_with("key-b1", "GET", f"/lots/{name}", headers=NO_REQUEST_ID, until=b"}")
        for name in ("s1", "none")
    ]
    assert answers[0] == answers[1]
    assert statuses(fixture, "key-a2", "s1") == (200,) * 3
    fixture.standin.faults.down = True
    fixture.loop.advance(0.2)
    assert statuses(fixture, "key-b1", "s1") == statuses(fixture, "key-b1", "none") == (503,) * 3


def test_a_key_that_is_removed_ends_no_submission(fixture):
    assert submit(fixture, "key-a1", "s1") == 202
    fixture.set_accounts(acme=("key-a2",), bolt=("key-b1",))
    assert fixture.status("key-a1", target="/lots/s1", headers=NO_REQUEST_ID) == 401
    assert submit(fixture, "key-a2", "s1") == 202
    assert statuses(fixture, "key-a2", "s1") == (200,) * 3


def test_a_submission_of_another_account_under_the_same_id_is_refused_and_not_stored(fixture):
    assert submit(fixture, "key-a1", "s1") == 202
    other = json.dumps({**SUBMISSION, "step": 7}).encode()
    for seconds in (0.0, 1.0):
        fixture.loop.advance(seconds)
        before = rows(fixture), rows(fixture, ITEMS_TABLE)
        assert submit(fixture, "key-b1", "s1", body=other) == 404
        assert (rows(fixture), rows(fixture, ITEMS_TABLE)) == before
    assert submit(fixture, "key-a2", "s1") == 202


def test_a_submission_accepted_before_accounts_were_configured_is_open_as_before(fixture):
    fixture.set_accounts()
    assert submit(fixture, None, "s1") == 202
    fixture.loop.advance(0.6)
    fixture.set_accounts(**KEYS)
    assert submit(fixture, "key-b1", "s1") == 202
    for key in (None, "no", "key-a1", "key-b1"):
        assert statuses(fixture, key, "s1") == (200,) * 3
    assert fixture.status(None, target="/items/s1?id=b", headers=NO_REQUEST_ID) == 404


def test_a_submission_whose_route_was_removed_stays_with_its_account(fixture):
    assert submit(fixture, "key-a1", "s1") == 202
    tenants = [{"name": name, "api-keys": list(keys)} for name, keys in KEYS.items()]
    document = {"version": 9, "routes": [route("safe", "idempotent")], "tenants": tenants}
    fixture.put("op", "config", document)
    fixture.loop.until(lambda: fixture.gateway.routes.version == 9)
    assert submit(fixture, "key-a2", "s1") == 202
    assert submit(fixture, "key-b1", "s1") == submit(fixture, None, "s1") == 404
    assert statuses(fixture, "key-b1", "s1") == statuses(fixture, "key-b1", "none") == (404,) * 3
    assert statuses(fixture, None, "s1") == (401,) * 3
    assert statuses(fixture, "key-a2", "s1") == (200,) * 3


def test_after_accounts_were_removed_everything_may_be_read_as_without_accounts(fixture):
    assert submit(fixture, "key-a1", "s1") == 202
    fixture.set_accounts()
    assert submit(fixture, None, "s1") == 202
    assert statuses(fixture, None, "s1") == (200,) * 3


def test_a_submission_of_nobody_on_a_public_route_needs_no_key_anywhere(fixture):
    public = route("lots-open", "rollout", public=True, **{"due-ms": 7500, "max-wait-s": 12})
    tenants = [{"name": name, "api-keys": list(keys)} for name, keys in KEYS.items()]
    document = {"version": 9, "routes": [public], "services": [], "tenants": tenants}
    fixture.put("op", "config", document)
    fixture.loop.until(lambda: fixture.gateway.routes.version == 9)
    assert submit(fixture, None, "s1", "lots-open") == 202
    # Asked at once: this gateway may not have the submission in memory yet.
    assert statuses(fixture, None, "s1") == statuses(fixture, "no", "s1") == (200,) * 3
    assert submit(fixture, "key-a1", "s2", "lots-open") == 202
    assert decode_head(rows(fixture, name="s2")[0].value).account == "acme"
    assert submit(fixture, None, "s2", "lots-open") == 404
    assert statuses(fixture, None, "s2") == statuses(fixture, None, "none") == (404,) * 3
    assert statuses(fixture, "no", "s2") == (401,) * 3
    assert statuses(fixture, "key-a2", "s2") == (200,) * 3


def test_while_the_store_is_silent_a_key_that_may_have_been_added_gets_503(fixture):
    assert submit(fixture, "key-a1", "s1") == 202
    fixture.loop.advance(0.6)
    fixture.standin.faults.silent = True
    fixture.loop.advance(2.5)
    assert fixture.status("no", target="/lots/s1", headers=NO_REQUEST_ID) == 503


ITEM_HEADERS = {"Authorization": "Bearer key-b1", "x-pumicedeck-Tenant": "bolt", "X-Own": "1"}


def decode_submission(account, has_accounts):
    items = [{**SUBMISSION["items"][0], "headers": ITEM_HEADERS}]
    body = json.dumps({**SUBMISSION, "items": items}).encode()
    call = ForwardedCall("s1", "POST", "/drafts/x", "h", (), body, account=account)
    dialect = PlatformSubmissionDialect()
    return dialect.decode_submission(call, "drafts", 1.0, has_accounts).unwrap()


def test_items_keep_no_key_and_no_account_of_the_submitter():
    for account in ("acme", ""):
        submission = decode_submission(account, True)
        assert submission.items[0].headers == (("X-Own", "1"),)
        assert submission.head.account == account
    assert dict(decode_submission("", False).items[0].headers) == ITEM_HEADERS


def test_rows_without_an_account_are_the_same_as_before():
    submission = decode_submission("", False)
    fields = set(json.loads(submission.head.encode()))
    assert fields == set(SubmissionHead.__slots__) - {"account"}
    assert decode_head(submission.head.encode()) == submission.head
    head = replace(submission.head, account="acme")
    assert decode_head(head.encode()) == head


ENDPOINT = DirectEndpoint("e", "p", Address("127.0.0.1", 1), FailureDomain("z", "r"), 1, False, 1)


@pytest.mark.parametrize(
    ("account", "has_accounts", "expected"),
    [
        ("acme", True, [("X-Pumicedeck-Tenant", "acme")]),
        # The configuration lost its accounts while the item was waiting.
        ("acme", False, [("X-Pumicedeck-Tenant", "acme")]),
        # The submission was accepted before accounts were configured.
        ("", True, []),
        ("", False, [(n, v) for n, v in ITEM_HEADERS.items() if n != "X-Own"]),
    ],
)
def test_an_item_is_sent_with_the_account_of_its_submission_only(account, has_accounts, expected):
    headers = (*ITEM_HEADERS.items(), ("Connection", "X-Pumicedeck-Tenant"))
    if not account and not has_accounts:
        headers = tuple(ITEM_HEADERS.items())
    call = ForwardedCall("i", "POST", "/d", "h", headers, b"", account=account)
    request = PlatformEndpointDialect(lambda: has_accounts).encode_request(call, ENDPOINT, 1.0)
    names = ("authorization", "x-pumicedeck-tenant")
    assert [pair for pair in request.headers if pair[0].lower() in names] == expected


def test_each_run_of_an_item_has_its_account_also_after_a_takeover_and_rewards_have_none():
    simulation = SchedulerSimulation(engines=3)
    simulation.submit(simulation.processes[1], [[10, 60], [20]], account="acme")
    simulation.run(1.0)
    simulation.processes[0].kill()
    simulation.run(8.0)
    accounts = [name for engine in simulation.engines.values() for name in engine.accounts]
    assert len(accounts) > 3 and set(accounts) == {"acme"}
    assert len(simulation.score_calls) >= 3 and set(simulation.score_accounts) == {""}


def test_outputs_are_not_reused_for_another_account():
    # Otherwise an account that chooses the item ids of another one reads its outputs.
    for account, reuses in (("acme", True), ("bolt", False), ("", False)):
        simulation = SchedulerSimulation(engines=2)
        process = simulation.processes[0]
        simulation.submit(process, [[20], [180]], wanted_groups=1, account="acme")
        simulation.run(3.0)
        simulation.end(process)
        simulation.submit(process, [[20], [180]], name="s1", wanted_groups=1, account=account)
        simulation.run(1.0)
        assert bool(simulation.starts("1-0")[-1][2]) is reuses


class IntakeFixture:
    """Intakes of two gateways on one store; neither learns of a submission but from the store."""

    def __init__(self):
        self.timers = VirtualTime()
        self.store = StandinPartitionedStore(
            self.timers, PartitionedData(), call_timeout_seconds=0.1
        )
        settings = IntakeSettings(rows_per_change=1)
        self.intakes = [
            SubmissionIntake(self.timers, self.store, WorkMirror(), settings) for _ in range(2)
        ]

    def accept(self, number, account, letter):
        """Hand a submission of three chunks in at a gateway; its items begin with `letter`."""
        random = Random(letter)
        items = tuple(
            Item(f"{letter}{n}", "/d", (), random.randbytes(40_000), "g") for n in range(3)
        )
        chunks = len(encode_items(items))
        assert chunks > 2
        head = SubmissionHead("s", "r", "h", "m", 0, 1, 0, 3, chunks, letter, 0.0, account or "")
        found = []

        async def run():
            found.append(await self.intakes[number].accept(Submission(head, items), account))

        spawn(run(), "accept")
        return found

    def run(self, seconds=6.0):
        self.timers.run_until(self.timers.now() + seconds)

    def stored(self):
        """Return the account of the stored submission and the ids of its items."""
        head = decode_head(self.store.data.read(WORK_TABLE, "s", HEAD_KEY, 1)[0].value)
        read = read_items(self.store, head)
        found = []

        async def run():
            found.append(await read)

        spawn(run(), "read")
        self.run()
        return head.account, [item.item_id for item in found[0].unwrap()]


def test_an_id_that_another_account_has_is_refused_at_a_gateway_that_does_not_know_of_it():
    # Its first rows of items would replace those of the other account's submission.
    intakes = IntakeFixture()
    first = intakes.accept(0, "acme", "a")
    intakes.run()
    second = intakes.accept(1, "bolt", "b")
    intakes.run()
    assert first[0].is_ok() and second[0].unwrap_err().code is ResultCode.NOT_FOUND
    assert intakes.stored() == ("acme", ["a0", "a1", "a2"])
    again = intakes.accept(1, "acme", "a")
    intakes.run()
    assert again[0].is_ok() and intakes.stored() == ("acme", ["a0", "a1", "a2"])


@pytest.mark.parametrize("second", ["bolt", ""])
@pytest.mark.parametrize("seconds", [0.0, 0.004, 0.006, 0.011, 0.016])
def test_two_accounts_that_use_one_id_at_the_same_moment_do_not_mix_their_items(second, seconds):
    # The first rows of both are stored before either head; one of the two has to stay whole.
    intakes = IntakeFixture()
    first = intakes.accept(0, "acme", "a")
    intakes.run(seconds)
    other = intakes.accept(1, second, "b")
    intakes.run()
    assert [outcome[0].is_ok() for outcome in (first, other)] in ([True, False], [False, True])
    expected = ("acme", "a") if first[0].is_ok() else (second, "b")
    assert intakes.stored() == (expected[0], [f"{expected[1]}{n}" for n in range(3)])


@pytest.mark.parametrize("late", [False, True])
def test_a_commit_that_took_effect_without_an_answer_is_accepted_for_its_account(late):
    intakes = IntakeFixture()
    if late:
        intakes.store.faults.late_commits = 8
        intakes.store.faults.late_commit_seconds = 0.15
    else:
        intakes.store.faults.lost_replies = 8
    found = intakes.accept(0, "acme", "a")
    intakes.run()
    assert found[0].is_ok()
    again = intakes.accept(1, "acme", "a")
    intakes.run()
    assert again[0].is_ok() and intakes.stored() == ("acme", ["a0", "a1", "a2"])


def test_whether_an_id_is_taken_is_unknown_while_the_store_cannot_be_read():
    intakes = IntakeFixture()
    intakes.accept(0, "acme", "a")
    intakes.run()
    intakes.store.faults.reads_per_second = 0
    found = intakes.accept(1, "acme", "a")
    intakes.run()
    assert found[0].unwrap_err().code is ResultCode.STORE_OUTCOME_UNKNOWN
