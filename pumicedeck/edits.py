"""Plans catalogue edits: row conflicts, the merged catalogue and its transaction; free of I/O."""

import json
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
from pumicedeck.platform_interfaces import Condition, Transaction, Write
from pumicedeck.results import Failure, ResultCode

MAX_ROWS_PER_EDIT = 256
KEPT_CHANGES = 4000
MAX_OPERATOR_LENGTH = 100

_CHANGE_ID = re.compile(rf"(\d{{{REVISION_DIGITS}}})-[A-Za-z0-9]{{8,40}}")


@dataclass(frozen=True, slots=True)
class RowEdit:
    """Put `value`, or delete the row when it is None; `seen` is the row's revision as read."""

    name: RowName
    value: RowValue | None
    seen: int


@dataclass(frozen=True, slots=True)
class Edit:
    """Row edits that take effect together or not at all."""

    change_id: str
    operator: str
    time: str
    rows: tuple[RowEdit, ...]


@dataclass(frozen=True, slots=True)
class EditAccepted:
    """The change is committed at `revision`."""

    change_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """What became of a change id; `revision` is None if it was refused for good."""

    revision: int | None


@dataclass(frozen=True, slots=True)
class EditPlan:
    """The catalogue after the edit and the transaction that makes it so."""

    catalogue: Catalogue
    change: CatalogueChange
    transaction: Transaction


def new_change_id(base_revision: int, token: str) -> str:
    """Return a change id that names the revision that the operator read."""
    return f"{base_revision:0{REVISION_DIGITS}d}-{token}"


def base_revision(change_id: str) -> Result[int, Failure]:
    """Return the revision that a change id names."""
    match = _CHANGE_ID.fullmatch(change_id)
    if match is None:
        return Err(Failure(ResultCode.BAD_REQUEST, "a change id is REVISION-TOKEN"))
    return Ok(int(match.group(1)))


def make_edit(
    stored: StoredCatalogue,
    change_id: str,
    operator: str,
    time: str,
    puts: tuple[RowValue, ...] = (),
    deletes: tuple[RowName, ...] = (),
) -> Edit:
    """Return an edit against the rows that the operator read."""
    wanted: list[tuple[RowName, RowValue | None]] = [(row_name_of(value), value) for value in puts]
    wanted += [(name, None) for name in deletes]
    rows = []
    for name, value in wanted:
        row = stored.row(name)
        rows.append(RowEdit(name, value, row.revision if row else 0))
    return Edit(change_id, operator, time, tuple(rows))


def make_edit_from_diff(
    stored: StoredCatalogue, wanted: Catalogue, change_id: str, operator: str, time: str
) -> Edit:
    """Return the edit that turns what the operator read into `wanted`."""
    rows = diff_catalogues(stored.catalogue, wanted)
    puts = tuple(row.after for row in rows if row.after is not None)
    deletes = tuple(row.name for row in rows if row.after is None)
    return make_edit(stored, change_id, operator, time, puts, deletes)


def check_edit(edit: Edit) -> Result[None, Failure]:
    """Check what needs no catalogue."""
    base = base_revision(edit.change_id)
    if isinstance(base, Err):
        return base
    names = [row.name for row in edit.rows]
    if len(set(names)) != len(names):
        return Err(Failure(ResultCode.BAD_REQUEST, "a row is named twice"))
    if not 0 < len(names) <= MAX_ROWS_PER_EDIT:
        return Err(Failure(ResultCode.BAD_REQUEST, f"1 to {MAX_ROWS_PER_EDIT} rows wanted"))
    if not 0 < len(edit.operator) <= MAX_OPERATOR_LENGTH:
        return Err(Failure(ResultCode.BAD_REQUEST, "an operator's name is wanted"))
    return Ok(None)


def is_past_retention(change_id: str, head_revision: int) -> bool:
    """Say whether the change log may no longer know a change id."""
    return head_revision - base_revision(change_id).unwrap_or(0) >= KEPT_CHANGES


def conflicting_rows(stored: StoredCatalogue, edit: Edit) -> tuple[RowName, ...]:
    """Return the rows that changed since the operator read them."""
    return tuple(
        each.name
        for each in edit.rows
        if each.seen != (row.revision if (row := stored.row(each.name)) else 0)
    )


def conflict_failure(
    stored: StoredCatalogue, names: tuple[RowName, ...], changes: tuple[CatalogueChange, ...]
) -> Failure:
    """Return the refusal that shows what others changed."""
    touching = [each for each in changes if any(row.name in names for row in each.rows)]
    if touching:
        shown = "\n".join(render_change(each) for each in touching)
    else:
        now = [(name, stored.row(name)) for name in names]
        rows = tuple(RowChange(name, None, row.value) for name, row in now if row)
        shown = render_row_changes(rows) or "deleted"
    paths = ", ".join(row_path(name) for name in names)
    return Failure(ResultCode.EDIT_CONFLICT, f"{paths} changed since it was read:\n{shown}")


def plan_edit(stored: StoredCatalogue, edit: Edit) -> Result[EditPlan, Failure]:
    """Merge an edit without row conflicts into the stored catalogue and check the whole."""
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
    record = encode_change_outcome(ChangeOutcome(change.revision))
    writes.append(Write(LOG_TABLE, change_outcome_key(change.change_id), record))
    return Transaction(conditions, tuple(writes))


def refusal_transaction(change_id: str) -> Transaction:
    """Return the transaction after which no commit of this change id can take effect."""
    key = change_outcome_key(change_id)
    record = encode_change_outcome(ChangeOutcome(None))
    return Transaction((Condition(LOG_TABLE, key, 0),), (Write(LOG_TABLE, key, record),))


def encode_change_outcome(record: ChangeOutcome) -> bytes:
    """Encode what became of a change id."""
    return render_json({"revision": record.revision}).encode()


def decode_change_outcome(data: bytes) -> Result[ChangeOutcome, Failure]:
    """Decode what became of a change id."""
    try:
        revision = json.loads(data)["revision"]
        return Ok(ChangeOutcome(None if revision is None else int(revision)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(Failure(ResultCode.INTERNAL_ERROR, f"change record: {error}"))
