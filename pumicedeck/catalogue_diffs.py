"""Computes the differences between two catalogues and renders them as lines for operators."""

from collections.abc import Iterator
from typing import Any

from pumicedeck.catalogue_documents import row_document
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_rows import (
    CatalogueChange,
    RowChange,
    RowKind,
    RowName,
    RowValue,
    values_by_row_name,
)

_SECTIONS = {RowKind.ENTRY: "entries", RowKind.POOL: "pools"}


def diff_catalogues(before: Catalogue, after: Catalogue) -> tuple[RowChange, ...]:
    """Return the rows that differ between two catalogues, sorted by kind and name."""
    old = values_by_row_name(before)
    new = values_by_row_name(after)
    names = sorted(old.keys() | new.keys())
    return tuple(
        RowChange(name, old.get(name), new.get(name))
        for name in names
        if old.get(name) != new.get(name)
    )


def row_path(name: RowName) -> str:
    """Return the dotted path of a row in a catalogue document, such as `entries.NAME`."""
    return f"{_SECTIONS[name.kind]}.{name.name}"


def render_row_changes(rows: tuple[RowChange, ...]) -> str:
    """Render changed rows: a line per added (+) or deleted (-) row and per changed key (~)."""
    return "\n".join(line for row in rows for line in _row_lines(row))


def render_change(change: CatalogueChange) -> str:
    """Render an accepted change with its revision, operator, time and change id."""
    header = f"revision {change.revision} by {change.operator} at {change.time}"
    return f"{header} ({change.change_id})\n{render_row_changes(change.rows)}"


def _row_lines(row: RowChange) -> Iterator[str]:
    path = row_path(row.name)
    if row.before is None and row.after is not None:
        yield f"+ {path}: {_format_row(row.after)}"
    elif row.after is None and row.before is not None:
        yield f"- {path}: {_format_row(row.before)}"
    elif row.before is not None and row.after is not None:
        yield from _key_lines(path, row_document(row.before), row_document(row.after))


def _key_lines(path: str, before: Any, after: Any) -> Iterator[str]:
    if before == after:
        return
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield f"~ {path}: {before} -> {after}"
        return
    for key in sorted(before.keys() | after.keys()):
        yield from _key_lines(f"{path}.{key}", before.get(key), after.get(key))


def _format_row(value: RowValue) -> str:
    return ", ".join(f"{key}={each}" for key, each in row_document(value).items())
