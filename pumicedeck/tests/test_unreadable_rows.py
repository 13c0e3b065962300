"""Tests of unreadable rows in the tables that gateways write, and of unreadable reports and bodies.

Each decoder listed the exceptions that it expected. Deep nesting and infinite numbers raise others,
which ended the task that met them: a caller got no answer, or the scheduler stopped for all
submissions because of one row.
"""

import json
from dataclasses import replace
from math import inf

import pytest
from result import Ok

from pumicedeck.claim_rows import CLAIMS_TABLE, claim_key
from pumicedeck.duties.true_times import decode_agreed_time, decode_offset_report
from pumicedeck.duties.usage_rows import REPORT_KEY, decode_counts, sum_rows
from pumicedeck.http_messages import HttpResponse
from pumicedeck.leases import LEASE_TABLE, CommitLease, LeaseAcquired, LeaseHolder, decode_lease
from pumicedeck.limit_reports import _decode as decode_limit
from pumicedeck.partitioned_stores import Change, Put, RowKey, StoredRow
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.platform_interfaces import (
    Committed,
    Condition,
    Row,
    StoreKey,
    Transaction,
    Write,
)
from pumicedeck.request_permits import decode_next_permit
from pumicedeck.request_quarantines import decode_crash
from pumicedeck.results import ResultCode
from pumicedeck.stream_records import written_at
from pumicedeck.stream_versions import decode_pool_versions
from pumicedeck.submissions import SubmissionHead, decode_head
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation, complete_text
from pumicedeck.tests.test_claims import ClaimSimulation
from pumicedeck.tests.test_gateways import ID, SUBMISSION, GatewayFixture
from pumicedeck.tests.test_rows_of_other_writers import LONG_NUMBER, NESTED
from pumicedeck.work_mirrors import (
    END_KEY,
    HEAD_KEY,
    LISTED_KEY,
    OWNER_KEY,
    WORK_TABLE,
    head_row,
    progress_row,
)

UNREADABLE = [
    *(NESTED, "", "null", "[]", "7", "\udcff"),
    '{"next_at": 1e999, "limit": 1e999, "incarnation": 1, "fencing": 1e999, "holder": "h"}',
    '{"offset": 1e999, "since": 0, "former": 0, "first_window": 1, "started": NaN}',
    '{"fingerprint": "f", "endpoint": "e", "incarnation": 1, "began_at": NaN, "ended_at": 1e999}',
    f'{{"offset": {LONG_NUMBER}, "started": 1, "next_at": {LONG_NUMBER}, "acme": {LONG_NUMBER}}}',
    f'{{"base": "v1", "announced": {NESTED}',
]


@pytest.mark.parametrize("text", UNREADABLE)
def test_an_unreadable_row_of_any_table_has_no_value(text):
    value = text.encode("utf-8", "surrogateescape")
    for decode in (
        decode_crash,
        decode_limit,
        decode_pool_versions,
        decode_agreed_time,
        decode_offset_report,
    ):
        assert decode(value) is None
    assert not decode_counts(value)
    assert decode_next_permit(value) == 0.0
    stored = StoredRow(RowKey("usage", "1", REPORT_KEY), value, 1)
    assert not sum_rows([stored]).report


def test_an_unreadable_lease_expires_and_the_next_holder_has_a_higher_fencing_number():
    # The holder's task ended, and no process scheduled again.
    unreadable = Row(LEASE_TABLE, "e", NESTED.encode(), 40)
    holder = LeaseHolder("e", "me")
    holder.acquire(0.0)
    assert holder.lease_read(0.0, Ok(unreadable)) == []
    assert holder.other_holder
    holder.on_timer(15.0)
    (commit,) = holder.lease_read(15.0, Ok(unreadable))
    assert isinstance(commit, CommitLease)
    assert decode_lease(commit.transaction.writes[0].value, 41, 1.0).fencing == 41
    (acquired,) = holder.lease_committed(15.1, Ok(Committed((41,))))
    assert isinstance(acquired, LeaseAcquired) and acquired.fencing == 41


HEAD = SubmissionHead("s", "drafts", "h", "m0", 0, 1, 0, 2, 1, "digest", 1.0)


@pytest.mark.parametrize(
    "changes",
    [{"total": "2"}, {"total": None}, {"accepted": "now"}, {"model": 3}, {"min_version": 1.5}],
)
def test_a_head_with_a_field_of_another_type_is_no_head(changes):
    assert decode_head(HEAD.encode()) == HEAD
    document = {**json.loads(HEAD.encode()), **changes}
    with pytest.raises(ValueError):
        decode_head(json.dumps(document).encode())


def put(simulation, row, value):
    simulation.data.commit(Change((), (Put(row, value),)))


@pytest.mark.parametrize("key", [HEAD_KEY, OWNER_KEY, LISTED_KEY, END_KEY, "other"])
@pytest.mark.parametrize("value", [NESTED.encode(), b'{"total": "x"}', b"\xff", b"1e999"])
def test_an_unreadable_row_of_one_submission_stops_no_other(key, value):
    simulation = SchedulerSimulation()
    put(simulation, head_row("odd"), replace(HEAD, submission_id="odd").encode())
    put(simulation, RowKey(WORK_TABLE, "odd", key), value)
    simulation.submit(simulation.processes[0], [[20, 30]])
    simulation.processes[0].kill()
    simulation.run(8.0)
    results = simulation.results(simulation.processes[1])
    assert [each.completed for each in results] == [True, True]


def test_an_item_whose_partial_output_is_unreadable_begins_anew():
    simulation = SchedulerSimulation()
    simulation.submit(simulation.processes[0], [[60, 60]])
    simulation.run(1.0)
    simulation.processes[0].kill()
    put(simulation, progress_row("s0", "0-0"), b"no output")
    simulation.run(8.0)
    results = simulation.results(simulation.processes[1])
    assert {each.text for each in results} == {complete_text(f"0-{n}", 60) for n in range(2)}


def test_a_claim_whose_row_is_unreadable_is_refused_and_the_others_are_granted():
    simulation = ClaimSimulation()
    simulation.claim(simulation.add_entry("a/1"), "c1", "r1")
    entry = simulation.add_entry("b/1")
    row = simulation.data.read(StoreKey(CLAIMS_TABLE, claim_key("f", "r1")))
    condition = Condition(row.table, row.key, row.revision)
    write = Write(row.table, row.key, NESTED.encode())
    assert simulation.data.commit(Transaction((condition,), (write,))).is_ok()
    assert simulation.claim(entry, "c2", "r1") is ResultCode.STORE_UNAVAILABLE
    assert not isinstance(simulation.claim(entry, "c3", "r2"), ResultCode)


@pytest.fixture
def gateway():
    started = GatewayFixture()
    yield started
    started.close()


@pytest.mark.parametrize("body", ["[]", "null", NESTED, '{"models": [], "busy": 0, "seq": 1e999}'])
def test_an_unreadable_report_of_an_engine_is_none(body):
    # It raised in the scheduler, and the engine counted as loading for as long as that lived.
    assert PlatformEndpointDialect().report(HttpResponse(200, (), body.encode())) is None


@pytest.mark.parametrize(
    "body",
    [
        NESTED,
        '{"items": ' + NESTED,
        json.dumps({**SUBMISSION, "step": "STEP"}).replace('"STEP"', "1e999"),
        json.dumps({**SUBMISSION, "min-version": 10**400}),
        json.dumps({**SUBMISSION, "items": [{**SUBMISSION["items"][0], "id": ["a"]}]}),
    ],
)
def test_a_submission_that_cannot_be_decoded_is_refused_with_a_result_code(gateway, body):
    answer = gateway.ask("POST", "/drafts/s1", body.encode(), ID, until=b"}")
    assert answer.startswith(b"HTTP/1.1 400") and b'"code": 400' in answer


def test_an_unreadable_stream_record_is_not_swept_as_an_old_one():
    assert written_at(NESTED.encode()) == inf
    assert written_at(b'{"version": "v1", "at": 3.5}') == 3.5
