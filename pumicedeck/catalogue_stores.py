"""Reads the catalogue and its change log from the table service."""

from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.catalogue_rows import (
    CATALOGUE_TABLE,
    HEAD_KEY,
    LOG_TABLE,
    CatalogueChange,
    StoredCatalogue,
    decode_change,
    decode_head,
    decode_row,
    history_key,
)
from pumicedeck.platform_interfaces import ResultCallback, Row, StoreKey, TableStore
from pumicedeck.results import Failure, ResultCode

MAX_ROWS = 10_000
MAX_LOAD_ATTEMPTS = 5
MAX_CHANGES_PER_READ = 64

HEAD_STORE_KEY = StoreKey(CATALOGUE_TABLE, HEAD_KEY)


@dataclass(frozen=True, slots=True)
class Head:
    """The newest revision; `version` is the store's own revision of the row, 0 if absent."""

    revision: int
    version: int


@dataclass(frozen=True, slots=True)
class ChangesRead:
    """The head revision and the changes that follow the revision asked for."""

    head_revision: int
    changes: tuple[CatalogueChange, ...]


def decode_head_row(row: Row) -> Result[Head, Failure]:
    """Decode the head row; an absent one is revision 0."""
    if row.revision == 0:
        return Ok(Head(0, 0))
    return decode_head(row.value).map(lambda revision: Head(revision, row.revision))


class CatalogueStore:
    """Reads over `TableStore`; time-outs are the caller's."""

    def __init__(self, table: TableStore) -> None:
        """Read from `table`."""
        self._table = table

    def read_head(self, done: ResultCallback[Head]) -> None:
        """Read the newest revision."""
        self._table.read(
            (HEAD_STORE_KEY,),
            lambda read: done(read.and_then(lambda rows: decode_head_row(rows[0]))),
        )

    def load(self, done: ResultCallback[StoredCatalogue]) -> None:
        """Read the whole catalogue as of one revision."""
        _Load(self._table, done).start()

    def read_changes(self, since: int, up_to: int, done: ResultCallback[ChangesRead]) -> None:
        """Read the changes after revision `since`, up to `upto` or a bounded number of them."""
        last = min(up_to, since + MAX_CHANGES_PER_READ)
        keys = [StoreKey(LOG_TABLE, history_key(each)) for each in range(since + 1, last + 1)]
        self._table.read(
            (HEAD_STORE_KEY, *keys),
            lambda read: done(read.and_then(lambda rows: _changes_of(since, rows))),
        )

    def history(self, newest: int, done: ResultCallback[ChangesRead]) -> None:
        """Read the last `newest` changes."""

        def with_head(read: Result[Head, Failure]) -> None:
            if isinstance(read, Err):
                done(read)
                return
            head = read.ok_value.revision
            first = max(1, head - newest + 1)
            keys = tuple(StoreKey(LOG_TABLE, history_key(each)) for each in range(first, head + 1))
            self._table.read(
                keys, lambda rows: done(rows.and_then(lambda held: _kept_changes(head, held)))
            )

        self.read_head(with_head)


class _Load:
    """Scans the table between two equal readings of the head row."""

    def __init__(self, table: TableStore, done: ResultCallback[StoredCatalogue]) -> None:
        self._table = table
        self._done = done
        self._attempts = 0

    def start(self) -> None:
        self._attempts += 1
        self._table.read((HEAD_STORE_KEY,), self._head_read)

    def _head_read(self, read: Result[tuple[Row, ...], Failure]) -> None:
        head = read.and_then(lambda rows: decode_head_row(rows[0]))
        if isinstance(head, Err):
            self._done(head)
            return
        self._table.scan(
            CATALOGUE_TABLE, "", MAX_ROWS, lambda rows: self._scanned(head.ok_value, rows)
        )

    def _scanned(self, head: Head, read: Result[tuple[Row, ...], Failure]) -> None:
        if isinstance(read, Err):
            self._done(read)
            return
        rows = tuple(row for row in read.ok_value if row.key != HEAD_KEY)
        self._table.read((HEAD_STORE_KEY,), lambda again: self._head_read_again(head, rows, again))

    def _head_read_again(
        self, head: Head, rows: tuple[Row, ...], read: Result[tuple[Row, ...], Failure]
    ) -> None:
        again = read.and_then(lambda found: decode_head_row(found[0]))
        if isinstance(again, Err):
            self._done(again)
        elif again.ok_value == head:
            self._done(_stored(head, rows))
        elif self._attempts < MAX_LOAD_ATTEMPTS:
            self.start()
        else:
            self._done(Err(Failure(ResultCode.STORE_CONFLICT, "the catalogue keeps changing")))


def _stored(head: Head, rows: tuple[Row, ...]) -> Result[StoredCatalogue, Failure]:
    decoded = []
    for row in rows:
        each = decode_row(row.key, row.value)
        if isinstance(each, Err):
            return each
        decoded.append(each.ok_value)
    return Ok(StoredCatalogue(head.revision, head.version, tuple(decoded)))


def _kept_changes(head: int, rows: tuple[Row, ...]) -> Result[ChangesRead, Failure]:
    """Decode the changes that the log still holds; a first catalogue has none."""
    decoded = [decode_change(row.value) for row in rows if row.revision]
    failed = next((each for each in decoded if isinstance(each, Err)), None)
    if failed is not None:
        return failed
    return Ok(ChangesRead(head, tuple(each.ok_value for each in decoded)))


def _changes_of(since: int, rows: tuple[Row, ...]) -> Result[ChangesRead, Failure]:
    head = decode_head_row(rows[0])
    if isinstance(head, Err):
        return head
    changes = []
    for row in rows[1:]:
        if row.revision == 0:
            break
        change = decode_change(row.value)
        if isinstance(change, Err):
            return change
        changes.append(change.ok_value)
    if not changes and head.ok_value.revision > since:
        return Err(Failure(ResultCode.NOT_FOUND, f"change {since + 1} is not kept"))
    return Ok(ChangesRead(head.ok_value.revision, tuple(changes)))
