"""Tests of planning edits, of the results of the catalogue editor and of racing editors."""

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from result import Err

from pumicedeck import catalogue_maintenance, edits
from pumicedeck.catalogue_documents import parse_catalogue
from pumicedeck.catalogue_editors import EDIT_BURST, CatalogueEditor
from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Pool, RequestClass
from pumicedeck.catalogue_rows import (
    CATALOGUE_TABLE,
    LOG_TABLE,
    SNAPSHOT_OBJECT,
    RowKind,
    RowName,
    decode_copy,
)
from pumicedeck.clocks import VirtualTime
from pumicedeck.edit_experiments import run_edit_races
from pumicedeck.edits import Edit, EditAccepted, make_edit, make_edit_from_diff, new_change_id
from pumicedeck.experiment_stores import (
    ExperimentObjectStore,
    ExperimentTableStore,
    StoreFaults,
    StoreService,
)
from pumicedeck.operator_clients import OperatorClient
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tests.test_catalogue_documents import VALID_CATALOGUE
from pumicedeck.topology import EndpointKind

TOOLS_POOL = Pool("tools", EndpointKind.SERVICE)
CHECK_ENTRY = CatalogueEntry("check", "quintela", RequestClass.BATCH, ("tools",))


class EditorFixture:
    """A catalogue editor over a simulated store in virtual time."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.service = StoreService(self.time, Random(1), StoreFaults())
        table = ExperimentTableStore(self.service)
        objects = ExperimentObjectStore(self.service)
        self.editor = CatalogueEditor(table, objects, self.time, Random(2))
        self.tokens = 0

    def call(self, method: Any, *arguments: Any) -> Any:
        results: list[Any] = []
        method(*arguments, results.append)
        self.time.run_until(self.time.now() + 120.0)
        assert len(results) == 1
        return results[0]

    def edit(self, *puts: Any, deletes: tuple[RowName, ...] = ()) -> Edit:
        self.tokens += 1
        stored = self.call(self.editor.read).unwrap()
        change_id = new_change_id(stored.revision, f"{self.tokens:08d}")
        return make_edit(stored, change_id, "ana", "noon", puts, deletes)

    def submit(self, *puts: Any) -> EditAccepted:
        return self.call(self.editor.submit, self.edit(*puts)).unwrap()


def test_an_accepted_edit_is_in_rows_history_and_snapshot() -> None:
    fixture = EditorFixture()
    assert fixture.submit(TOOLS_POOL, CHECK_ENTRY).revision == 1
    stored = fixture.call(fixture.editor.read).unwrap()
    assert stored.catalogue == Catalogue(1, (CHECK_ENTRY,), (TOOLS_POOL,))
    change = fixture.call(fixture.editor.history, 10).unwrap().changes[0]
    assert (change.operator, len(change.rows)) == ("ana", 2)
    assert decode_copy(fixture.service.objects[SNAPSHOT_OBJECT]).unwrap() == stored.catalogue
    assert not fixture.editor.busy


def test_of_two_edits_of_one_row_the_second_is_refused_with_the_change_shown() -> None:
    fixture = EditorFixture()
    fixture.submit(TOOLS_POOL, CHECK_ENTRY)
    outdated = fixture.edit(replace(CHECK_ENTRY, share=3.0))
    fixture.submit(replace(CHECK_ENTRY, share=2.0))
    # A new change id does not hide that the edit is based on the old revision of the row.
    outdated_with_new_id = replace(outdated, change_id=new_change_id(2, "f" * 8))
    for method, edit in (
        (fixture.editor.submit, outdated),
        (fixture.editor.dry_run, outdated),
        (fixture.editor.submit, outdated_with_new_id),
    ):
        failure = fixture.call(method, edit).unwrap_err()
        assert failure.code is ResultCode.EDIT_CONFLICT
        assert "entries.check.share: 1.0 -> 2.0" in failure.detail


def test_edits_of_different_rows_both_succeed_but_the_whole_is_checked_again() -> None:
    fixture = EditorFixture()
    fixture.submit(TOOLS_POOL)
    added = fixture.edit(CHECK_ENTRY)
    removed = fixture.edit(deletes=(RowName(RowKind.POOL, "tools"),))
    other = fixture.edit(Pool("more", EndpointKind.SERVICE))
    assert fixture.call(fixture.editor.submit, added).unwrap().revision == 2
    assert fixture.call(fixture.editor.submit, other).unwrap().revision == 3
    failure = fixture.call(fixture.editor.submit, removed).unwrap_err()
    assert failure.code is ResultCode.BAD_CATALOGUE
    assert "entries.check.pools" in failure.detail


def test_a_dry_run_writes_nothing_and_shows_the_diff() -> None:
    fixture = EditorFixture()
    stored = fixture.call(fixture.editor.read).unwrap()
    requested = parse_catalogue(VALID_CATALOGUE).unwrap()
    edit = make_edit_from_diff(stored, requested, new_change_id(0, "a" * 8), "ana", "noon")
    plan = fixture.call(fixture.editor.dry_run, edit).unwrap()
    assert len(plan.change.rows) == 4
    assert not fixture.service.data.scan(CATALOGUE_TABLE, "", 1)


def test_the_same_change_id_is_accepted_once() -> None:
    fixture = EditorFixture()
    edit = fixture.edit(TOOLS_POOL)
    first = fixture.call(fixture.editor.submit, edit).unwrap()
    assert fixture.call(fixture.editor.submit, edit).unwrap() == first
    assert fixture.call(fixture.editor.resolve, edit.change_id).unwrap() == first
    assert fixture.call(fixture.editor.read).unwrap().revision == 1


def test_a_store_that_is_down_refuses_and_a_silent_one_leaves_the_outcome_unknown() -> None:
    fixture = EditorFixture()
    edit = fixture.edit(TOOLS_POOL)
    fixture.service.down = True
    assert (
        fixture.call(fixture.editor.submit, edit).unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    )
    fixture.service.down = False
    submitted: list[Any] = []
    fixture.editor.submit(edit, submitted.append)
    while not fixture.service.writes:
        fixture.time.run_until(fixture.time.now() + 0.001)
    fixture.service.faults = StoreFaults(unanswered=1.0)
    fixture.time.run_until(fixture.time.now() + 120.0)
    assert submitted[0].unwrap_err().code is ResultCode.EDIT_UNKNOWN
    fixture.service.faults = StoreFaults()
    assert fixture.call(fixture.editor.resolve, edit.change_id).unwrap().revision == 1


def test_a_resolved_refusal_fences_off_a_late_commit() -> None:
    fixture = EditorFixture()
    edit = fixture.edit(TOOLS_POOL)
    assert fixture.call(fixture.editor.resolve, edit.change_id).is_err()
    assert fixture.call(fixture.editor.submit, edit).unwrap_err().code is ResultCode.EDIT_CONFLICT
    assert fixture.call(fixture.editor.read).unwrap().revision == 0


def test_the_log_stays_bounded_and_an_old_change_id_is_not_guessed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(edits, "MAX_LOGGED_CHANGES", 5)
    monkeypatch.setattr(catalogue_maintenance, "MAX_LOGGED_CHANGES", 5)
    fixture = EditorFixture()
    first = fixture.edit(TOOLS_POOL)
    fixture.call(fixture.editor.submit, first).unwrap()
    for number in range(20):
        fixture.submit(Pool(f"p{number}", EndpointKind.SERVICE))
    history_rows = fixture.service.data.scan(LOG_TABLE, "history/", 100)
    outcome_rows = fixture.service.data.scan(LOG_TABLE, "change/", 100)
    assert len(history_rows) == 5
    assert len(outcome_rows) <= 7
    for method, argument in (
        (fixture.editor.submit, first),
        (fixture.editor.resolve, first.change_id),
    ):
        assert fixture.call(method, argument).unwrap_err().code is ResultCode.EDIT_UNKNOWN


@pytest.mark.parametrize(
    "change",
    [{"change_id": "x"}, {"operator": ""}, {"rows": ()}, {"operator": "a" * 101}],
)
def test_a_malformed_edit_is_refused(change: dict[str, Any]) -> None:
    fixture = EditorFixture()
    edit = replace(fixture.edit(TOOLS_POOL), **change)
    assert fixture.call(fixture.editor.submit, edit).unwrap_err().code is ResultCode.BAD_REQUEST


def test_a_flood_of_edits_is_refused_beyond_the_budget_of_writes() -> None:
    fixture = EditorFixture()
    pool_edits = [fixture.edit(Pool(f"p{number}", EndpointKind.SERVICE)) for number in range(60)]
    answers: list[Any] = []
    for edit in pool_edits:
        fixture.editor.submit(edit, answers.append)
    fixture.time.run_until(fixture.time.now() + 120.0)
    refused = [each.unwrap_err() for each in answers if each.is_err()]
    assert len(answers) == 60
    assert 0 < len(answers) - len(refused) <= EDIT_BURST
    limited = [each for each in refused if each.code is ResultCode.RATE_LIMITED]
    assert len(limited) == 60 - EDIT_BURST
    assert fixture.call(fixture.editor.read).unwrap().revision == len(answers) - len(refused)


def test_the_budget_never_turns_an_accepted_change_into_a_refusal() -> None:
    fixture = EditorFixture()
    edit = fixture.edit(TOOLS_POOL)
    fixture.call(fixture.editor.submit, edit).unwrap()
    answers: list[Any] = []
    for _ in range(60):
        fixture.editor.resolve(edit.change_id, answers.append)
    fixture.time.run_until(fixture.time.now() + 60.0)
    codes = {None if each.is_ok() else each.unwrap_err().code for each in answers}
    assert codes == {None, ResultCode.EDIT_UNKNOWN}


@pytest.mark.parametrize(
    ("resolve_code", "expected"),
    [
        (ResultCode.NOT_READY, ResultCode.EDIT_UNKNOWN),
        (ResultCode.STORE_UNAVAILABLE, ResultCode.EDIT_UNKNOWN),
        (ResultCode.EDIT_CONFLICT, ResultCode.EDIT_CONFLICT),
    ],
)
def test_the_client_says_refused_only_if_the_change_log_does(
    resolve_code: ResultCode, expected: ResultCode
) -> None:
    class Client(OperatorClient):
        def post(self, path: str, document: Any) -> Any:
            return Err(Failure(ResultCode.EDIT_UNKNOWN))

        def get(self, path: str) -> Any:
            return Err(Failure(resolve_code))

    client = Client("http://127.0.0.1:1")
    assert client.submit("x", {}).unwrap_err().code is expected
    client.close()


def test_racing_editors_with_lost_replies_report_true_outcomes() -> None:
    report = run_edit_races(schedules=40, seed=7)
    assert report.faults == ()
    assert report.accepted > 0
    assert report.conflicts > 0
    assert report.asked_again > 0
