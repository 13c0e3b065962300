"""Plans catalogue edits, free of I/O.

Finds rows that changed since the operator read them, merges the edit into the catalogue and builds
the transaction that commits it.
"""

import re
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.catalogue_checks import check_catalogue, problems_failure
from pumicedeck.catalogue_diffs import diff_catalogues, render_change, render_row_changes, row_path
from pumicedeck.catalogue_documents import render_json
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_rows import (
    CATALOGUE_TABLE,
    HEAD_KEY,
    LOG_TABLE,
    REVISION_DIGITS,
    CatalogueChange,
    CatalogueRow,
    RowChange,
    RowName,
    RowValue,
    StoredCatalogue,
    build_catalogue,
    change_outcome_key,
    encode_change,
    encode_head,
    encode_row,
    history_key,
    row_name_of,
)
from pumicedeck.json_documents import decode_document
from pumicedeck.platform_interfaces import Condition, Transaction, Write
from pumicedeck.results import Failure, ResultCode

MAX_ROWS_PER_EDIT = 256
MAX_LOGGED_CHANGES = 4000
MAX_OPERATOR_LENGTH = 100

_CHANGE_ID_PATTERN = re.compile(rf"(\d{{{REVISION_DIGITS}}})-[A-Za-z0-9]{{8,40}}")


@dataclass(frozen=True, slots=True)
class RowEdit:
    """Creates or replaces a row with `value`, or deletes the row if `value` is None.

    `seen` is the revision of the row that the operator read, 0 if the row did not exist.
    """

    name: RowName
    value: RowValue | None
    seen: int


@dataclass(frozen=True, slots=True)
class Edit:
    """Row edits that are committed atomically.

    `change_id` identifies the edit over retries; `time` is the wall time as text.
    """

    change_id: str
    operator: str
    time: str
    rows: tuple[RowEdit, ...]


@dataclass(frozen=True, slots=True)
class EditAccepted:
    """Result of an edit that was committed at catalogue revision `revision`."""

    change_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Outcome of a change id: the revision it was committed at, None if permanently refused."""

    revision: int | None


@dataclass(frozen=True, slots=True)
class EditPlan:
    """The catalogue after an edit, the change to log and the transaction that commits both."""

    catalogue: Catalogue
    change: CatalogueChange
    transaction: Transaction


def new_change_id(base_revision: int, token: str) -> str:
    """Return a change id made of the revision that the operator read and a unique token."""
    return f"{base_revision:0{REVISION_DIGITS}d}-{token}"


def base_revision(change_id: str) -> Result[int, Failure]:
    """Return the catalogue revision that a change id contains."""
    match = _CHANGE_ID_PATTERN.fullmatch(change_id)
    if match is None:
        return Err(Failure(ResultCode.BAD_REQUEST, "change id is not of the form REVISION-TOKEN"))
    return Ok(int(match.group(1)))


def make_edit(
    stored: StoredCatalogue,
    change_id: str,
    operator: str,
    time: str,
    puts: tuple[RowValue, ...] = (),
    deletes: tuple[RowName, ...] = (),
) -> Edit:
    """Return an edit against `stored`, the catalogue as the operator read it.

    Rows in `puts` are created or replaced; rows named in `deletes` are deleted.
    """
    requested: list[tuple[RowName, RowValue | None]] = [
        (row_name_of(value), value) for value in puts
    ]
    requested += [(name, None) for name in deletes]
    rows = []
    for name, value in requested:
        row = stored.row(name)
        rows.append(RowEdit(name, value, row.revision if row else 0))
    return Edit(change_id, operator, time, tuple(rows))


def make_edit_from_diff(
    stored: StoredCatalogue, requested: Catalogue, change_id: str, operator: str, time: str
) -> Edit:
    """Return the edit that turns `stored`, as the operator read it, into `requested`."""
    rows = diff_catalogues(stored.catalogue, requested)
    puts = tuple(row.after for row in rows if row.after is not None)
    deletes = tuple(row.name for row in rows if row.after is None)
    return make_edit(stored, change_id, operator, time, puts, deletes)


def check_edit(edit: Edit) -> Result[None, Failure]:
    """Check the change id, row names, row count and operator name of an edit; else BAD_REQUEST."""
    base_result = base_revision(edit.change_id)
    if isinstance(base_result, Err):
        return base_result
    names = [row.name for row in edit.rows]
    if len(set(names)) != len(names):
        return Err(Failure(ResultCode.BAD_REQUEST, "an edit may contain each row only once"))
    if not 0 < len(names) <= MAX_ROWS_PER_EDIT:
        return Err(Failure(ResultCode.BAD_REQUEST, f"an edit needs 1 to {MAX_ROWS_PER_EDIT} rows"))
    if not 0 < len(edit.operator) <= MAX_OPERATOR_LENGTH:
        return Err(Failure(ResultCode.BAD_REQUEST, "operator name is missing or too long"))
    return Ok(None)


def is_past_retention(change_id: str, head_revision: int) -> bool:
    """Return whether the change log may already have been trimmed past a change id."""
    return head_revision - base_revision(change_id).unwrap_or(0) >= MAX_LOGGED_CHANGES


def conflicting_row_names(stored: StoredCatalogue, edit: Edit) -> tuple[RowName, ...]:
    """Return the names of the rows in `edit` that changed since the operator read them."""
    return tuple(
        each.name
        for each in edit.rows
        if each.seen != (row.revision if (row := stored.row(each.name)) else 0)
    )


def conflict_failure(
    stored: StoredCatalogue, names: tuple[RowName, ...], changes: tuple[CatalogueChange, ...]
) -> Failure:
    """Return an EDIT_CONFLICT failure that shows what other operators changed in the rows `names`.

    Without a change of these rows in `changes`, the failure shows their current values.
    """
    conflicting_changes = [each for each in changes if any(row.name in names for row in each.rows)]
    if conflicting_changes:
        details = "\n".join(render_change(each) for each in conflicting_changes)
    else:
        current = [(name, stored.row(name)) for name in names]
        rows = tuple(RowChange(name, None, row.value) for name, row in current if row)
        details = render_row_changes(rows) or "deleted"
    paths = ", ".join(row_path(name) for name in names)
    return Failure(
        ResultCode.EDIT_CONFLICT, f"{paths} changed since the operator read it:\n{details}"
    )


def plan_edit(stored: StoredCatalogue, edit: Edit) -> Result[EditPlan, Failure]:
    """Merge an edit into the stored catalogue and check the complete result.

    The edit must have no row conflicts. BAD_CATALOGUE lists the problems of an invalid result;
    BAD_REQUEST says that the edit changes nothing.
    """
    revision = stored.revision + 1
    values = {row.name: row.value for row in stored.rows}
    for row in edit.rows:
        values.pop(row.name, None)
        if row.value is not None:
            values[row.name] = row.value
    catalogue = build_catalogue(revision, values.values())
    problems = check_catalogue(catalogue)
    if problems:
        return Err(problems_failure(problems))
    rows = diff_catalogues(stored.catalogue, catalogue)
    if not rows:
        return Err(Failure(ResultCode.BAD_REQUEST, "the edit changes nothing"))
    change = CatalogueChange(revision, edit.change_id, edit.operator, edit.time, rows)
    return Ok(EditPlan(catalogue, change, _transaction(stored, change)))


def _transaction(stored: StoredCatalogue, change: CatalogueChange) -> Transaction:
    conditions = (
        Condition(CATALOGUE_TABLE, HEAD_KEY, stored.head_version),
        Condition(LOG_TABLE, change_outcome_key(change.change_id), 0),
    )
    writes = [Write(CATALOGUE_TABLE, HEAD_KEY, encode_head(change.revision))]
    for row in change.rows:
        value = None
        if row.after is not None:
            value = encode_row(CatalogueRow(row.name, row.after, change.revision))
        writes.append(Write(CATALOGUE_TABLE, row.name.key, value))
    writes.append(Write(LOG_TABLE, history_key(change.revision), encode_change(change)))
    outcome = encode_change_outcome(ChangeOutcome(change.revision))
    writes.append(Write(LOG_TABLE, change_outcome_key(change.change_id), outcome))
    return Transaction(conditions, tuple(writes))


def refusal_transaction(change_id: str) -> Transaction:
    """Return the transaction that records a change id as refused.

    A commit of the change id is conditioned on the absence of this row, so it can no longer take
    effect.
    """
    key = change_outcome_key(change_id)
    outcome = encode_change_outcome(ChangeOutcome(None))
    return Transaction((Condition(LOG_TABLE, key, 0),), (Write(LOG_TABLE, key, outcome),))


def encode_change_outcome(outcome: ChangeOutcome) -> bytes:
    """Encode the outcome of a change id for the change log."""
    return render_json({"revision": outcome.revision}).encode()


def decode_change_outcome(data: bytes) -> Result[ChangeOutcome, Failure]:
    """Decode the outcome of a change id from the change log."""
    return decode_document(data, _build_change_outcome).map_err(
        lambda reason: Failure(
            ResultCode.INTERNAL_ERROR, f"change outcome cannot be decoded: {reason}"
        )
    )


def _build_change_outcome(document) -> ChangeOutcome:
    revision = document["revision"]
    return ChangeOutcome(None if revision is None else int(revision))
