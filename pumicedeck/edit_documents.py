"""Converts catalogue edits, changes and stored catalogues to and from JSON documents."""

import json
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from pumicedeck.catalogue_diffs import render_row_changes
from pumicedeck.catalogue_documents import (
    catalogue_document,
    entry_document,
    parse_entry,
    parse_pool,
    pool_document,
)
from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry
from pumicedeck.catalogue_rows import (
    CatalogueChange,
    RowKind,
    RowName,
    RowValue,
    StoredCatalogue,
)
from pumicedeck.edits import MAX_ROWS_PER_EDIT, Edit, RowEdit
from pumicedeck.results import Failure, ResultCode


class _Document(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class RowEditDocument(_Document):
    """Creates or replaces a row with `document`, or deletes the row if `document` is null.

    `seen` is the revision of the row that the operator read, 0 if the row did not exist.
    """

    kind: Annotated[RowKind, Field(strict=False)]
    name: str = Field(min_length=1)
    seen: int = Field(ge=0)
    document: dict[str, Any] | None


class EditDocument(_Document):
    """Row edits that are committed atomically."""

    change_id: str
    rows: list[RowEditDocument] = Field(min_length=1, max_length=MAX_ROWS_PER_EDIT)


def row_document(value: RowValue) -> dict[str, Any]:
    """Return an entry or pool without its name as a JSON-compatible dict."""
    if isinstance(value, CatalogueEntry):
        return entry_document(value)
    return pool_document(value)


def parse_edit(body: bytes, operator: str, time: str) -> Result[Edit, Failure]:
    """Parse and check the JSON of an edit; `time` is the wall time as text."""
    try:
        document = EditDocument.model_validate_json(body)
    except ValidationError as error:
        first_error = error.errors()[0]
        path = ".".join(str(part) for part in first_error["loc"]) or "(top)"
        return Err(Failure(ResultCode.BAD_REQUEST, f"{path}: {first_error['msg']}"))
    rows = []
    for each in document.rows:
        value_result = _parse_value(each)
        if isinstance(value_result, Err):
            return value_result
        rows.append(RowEdit(RowName(each.kind, each.name), value_result.ok_value, each.seen))
    return Ok(Edit(document.change_id, operator, time, tuple(rows)))


def _parse_value(row: RowEditDocument) -> Result[RowValue | None, Failure]:
    if row.document is None:
        return Ok(None)
    parse = parse_entry if row.kind is RowKind.ENTRY else parse_pool
    return parse(row.name, json.dumps(row.document))


def edit_document(edit: Edit) -> dict[str, Any]:
    """Return an edit as a JSON-compatible dict."""
    rows = [
        {
            "kind": str(each.name.kind),
            "name": each.name.name,
            "seen": each.seen,
            "document": None if each.value is None else row_document(each.value),
        }
        for each in edit.rows
    ]
    return {"change_id": edit.change_id, "rows": rows}


def change_document(change: CatalogueChange) -> dict[str, Any]:
    """Return an accepted or planned change as a JSON-compatible dict."""
    return {
        "revision": change.revision,
        "change_id": change.change_id,
        "operator": change.operator,
        "time": change.time,
        "diff": render_row_changes(change.rows).splitlines(),
    }


def stored_document(stored: StoredCatalogue) -> dict[str, Any]:
    """Return the catalogue with the revision of each row as a JSON-compatible dict."""
    return {
        "revision": stored.revision,
        "catalogue": catalogue_document(stored.catalogue),
        "rows": {row.name.key: row.revision for row in stored.rows},
    }


def expected_row_revision(row_revision: int, read_revision: int) -> int:
    """Return the row revision to put into an edit as `seen`.

    A row that changed after the operator read the catalogue gets `read_revision` instead of its own
    revision. The two differ, so the edit is refused as a conflict.
    """
    return row_revision if row_revision <= read_revision else read_revision


def make_row_edits(
    requested: Catalogue,
    current: Catalogue,
    row_revisions: dict[str, int],
    read_revision: int,
    deletes: tuple[RowName, ...],
) -> tuple[RowEdit, ...]:
    """Return the row edits that lead from `current` to the requested rows.

    Requested rows that equal the current ones are left out; the rows in `deletes` are deleted.
    `row_revisions` holds the stored revision of each row by key.
    """
    puts: list[tuple[RowName, RowValue]] = []
    for kind, values, find in (
        (RowKind.ENTRY, requested.entries, current.entry),
        (RowKind.POOL, requested.pools, current.pool),
    ):
        puts += [(RowName(kind, each.name), each) for each in values if find(each.name) != each]
    row_values: list[tuple[RowName, RowValue | None]] = [*puts, *((name, None) for name in deletes)]
    return tuple(
        RowEdit(name, value, expected_row_revision(row_revisions.get(name.key, 0), read_revision))
        for name, value in row_values
    )
