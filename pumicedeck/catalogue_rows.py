"""Encodes and decodes catalogue rows, change log rows and compressed copies of the catalogue."""

import gzip
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from result import Err, Ok, Result

from pumicedeck.catalogue_documents import (
    MAX_DOCUMENT_BYTES,
    catalogue_document,
    parse_catalogue,
    parse_entry,
    parse_pool,
    render_json,
    row_document,
)
from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Pool
from pumicedeck.json_documents import decode_document
from pumicedeck.results import Failure, ResultCode

CATALOGUE_TABLE = "catalogue"
LOG_TABLE = "catalogue_log"
HEAD_KEY = "head"
SNAPSHOT_OBJECT = "catalogue/snapshot"
REVISION_DIGITS = 12
COMPRESSION_LEVEL = 6

RowValue = CatalogueEntry | Pool


class RowKind(StrEnum):
    """Kind of value in a catalogue row."""

    ENTRY = "entry"
    POOL = "pool"


@dataclass(frozen=True, slots=True, order=True)
class RowName:
    """Kind and name that identify one row of the catalogue."""

    kind: RowKind
    name: str

    @property
    def key(self) -> str:
        """Return the row's key in the table service."""
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, slots=True)
class CatalogueRow:
    """A row with the catalogue revision that last changed it."""

    name: RowName
    value: RowValue
    revision: int


@dataclass(frozen=True, slots=True)
class StoredCatalogue:
    """The catalogue as read from the table service.

    `revision` is the catalogue revision. `head_version` is the revision that the table service
    keeps for the head row, on which commits are conditioned.
    """

    revision: int = 0
    head_version: int = 0
    rows: tuple[CatalogueRow, ...] = ()

    @property
    def catalogue(self) -> Catalogue:
        """Return the rows as a `Catalogue`."""
        return build_catalogue(self.revision, (row.value for row in self.rows))

    def row(self, name: RowName) -> CatalogueRow | None:
        """Return the row called `name`, None if there is none."""
        return next((row for row in self.rows if row.name == name), None)


@dataclass(frozen=True, slots=True)
class RowChange:
    """One row before and after a change; None stands for a row that does not exist."""

    name: RowName
    before: RowValue | None
    after: RowValue | None


@dataclass(frozen=True, slots=True)
class CatalogueChange:
    """A change at the revision that it creates.

    `time` is the wall time of the edit as text; it is for display only and decides nothing.
    """

    revision: int
    change_id: str
    operator: str
    time: str
    rows: tuple[RowChange, ...]


def row_name_of(value: RowValue) -> RowName:
    """Return the name of the row that holds `value`."""
    kind = RowKind.ENTRY if isinstance(value, CatalogueEntry) else RowKind.POOL
    return RowName(kind, value.name)


def build_catalogue(revision: int, values: Iterable[RowValue]) -> Catalogue:
    """Return a catalogue of `values`, sorted by name."""
    ordered = sorted(values, key=row_name_of)
    entries = tuple(each for each in ordered if isinstance(each, CatalogueEntry))
    pools = tuple(each for each in ordered if isinstance(each, Pool))
    return Catalogue(revision, entries, pools)


def values_by_row_name(catalogue: Catalogue) -> dict[RowName, RowValue]:
    """Return the entries and pools of a catalogue by row name."""
    return {row_name_of(value): value for value in catalogue.entries + catalogue.pools}


def apply_changes(
    catalogue: Catalogue, changes: tuple[CatalogueChange, ...]
) -> Result[Catalogue, Failure]:
    """Return the catalogue after `changes`; NOT_FOUND if a revision after its own is left out."""
    values = values_by_row_name(catalogue)
    revision = catalogue.revision
    for change in changes:
        if change.revision != revision + 1:
            return Err(
                Failure(ResultCode.NOT_FOUND, f"the change to revision {revision + 1} is missing")
            )
        revision = change.revision
        for row in change.rows:
            values.pop(row.name, None)
            if row.after is not None:
                values[row.name] = row.after
    return Ok(build_catalogue(revision, values.values()))


def history_key(revision: int) -> str:
    """Return the key in the change log of the change to `revision`; keys sort by revision."""
    return f"history/{revision:0{REVISION_DIGITS}d}"


def change_outcome_key(change_id: str) -> str:
    """Return the key in the change log of the row that stores the outcome of a change id."""
    return f"change/{change_id}"


def encode_head(revision: int) -> bytes:
    """Encode the head row, which stores the newest catalogue revision."""
    return render_json({"revision": revision}).encode()


def decode_head(data: bytes) -> Result[int, Failure]:
    """Decode the head row into the newest catalogue revision."""
    return _decode(data, lambda document: int(document["revision"]))


def encode_row(row: CatalogueRow) -> bytes:
    """Encode the row of an entry or pool."""
    document = {"revision": row.revision, "document": row_document(row.value)}
    return render_json(document).encode()


def decode_row(key: str, data: bytes) -> Result[CatalogueRow, Failure]:
    """Decode the row of an entry or pool stored under `key`."""
    return _decode(data, lambda document: _build_row(key, document))


def encode_change(change: CatalogueChange) -> bytes:
    """Encode an accepted change for the change log."""
    rows = [
        {
            "key": row.name.key,
            "before": None if row.before is None else row_document(row.before),
            "after": None if row.after is None else row_document(row.after),
        }
        for row in change.rows
    ]
    document = {
        "revision": change.revision,
        "change_id": change.change_id,
        "operator": change.operator,
        "time": change.time,
        "rows": rows,
    }
    return render_json(document).encode()


def decode_change(data: bytes) -> Result[CatalogueChange, Failure]:
    """Decode an accepted change from the change log."""
    return _decode(data, _build_change)


def encode_copy(catalogue: Catalogue) -> bytes:
    """Encode a complete catalogue as gzip-compressed JSON for peers and the snapshot object."""
    document = {"revision": catalogue.revision, "catalogue": catalogue_document(catalogue)}
    return gzip.compress(render_json(document).encode(), COMPRESSION_LEVEL, mtime=0)


def decode_copy(data: bytes) -> Result[Catalogue, Failure]:
    """Decode a compressed catalogue; one larger than MAX_DOCUMENT_BYTES is refused."""
    try:
        decompressor = zlib.decompressobj(wbits=zlib.MAX_WBITS | 16)
        json_bytes = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        return _decode_error(str(error))
    if not decompressor.eof:
        return _decode_error("compressed catalogue is truncated or too large")
    decoded = _decode(
        json_bytes, lambda each: (render_json(each["catalogue"]), int(each["revision"]))
    )
    return decoded.and_then(lambda copy: parse_catalogue(*copy))


def _parse_key(key: str) -> RowName:
    kind, _, name = key.partition("/")
    return RowName(RowKind(kind), name)


def _parse_value(name: RowName, document: Any) -> RowValue:
    parse = parse_entry if name.kind is RowKind.ENTRY else parse_pool
    return parse(name.name, render_json(document)).unwrap_or_raise(ValueError)


def _build_row(key: str, document: Any) -> CatalogueRow:
    name = _parse_key(key)
    return CatalogueRow(name, _parse_value(name, document["document"]), int(document["revision"]))


def _build_change(document: Any) -> CatalogueChange:
    rows = []
    for row in document["rows"]:
        name = _parse_key(row["key"])
        before = None if row["before"] is None else _parse_value(name, row["before"])
        after = None if row["after"] is None else _parse_value(name, row["after"])
        rows.append(RowChange(name, before, after))
    return CatalogueChange(
        int(document["revision"]),
        str(document["change_id"]),
        str(document["operator"]),
        str(document["time"]),
        tuple(rows),
    )


def _decode(data: bytes, build: Any) -> Result[Any, Failure]:
    decoded = decode_document(data, build)
    return _decode_error(decoded.err_value) if isinstance(decoded, Err) else decoded


def _decode_error(detail: str) -> Err[Failure]:
    return Err(Failure(ResultCode.BAD_CATALOGUE, f"catalogue data cannot be decoded: {detail}"))
