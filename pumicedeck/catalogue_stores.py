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

MAX_CATALOGUE_ROWS = 10_000
MAX_LOAD_ATTEMPTS = 5
MAX_CHANGES_PER_READ = 64

HEAD_STORE_KEY = StoreKey(CATALOGUE_TABLE, HEAD_KEY)


@dataclass(frozen=True, slots=True)
class Head:
    """The head row: `revision` is the newest catalogue revision.

    `version` is the revision that the table service keeps for the row, 0 if the row is absent.
    """

    revision: int
    version: int


@dataclass(frozen=True, slots=True)
class ChangesRead:
    """Result of a read of the change log: the head revision and the changes read, oldest first."""

    head_revision: int
    changes: tuple[CatalogueChange, ...]


def decode_head_row(row: Row) -> Result[Head, Failure]:
    """Decode the head row; an absent row stands for an empty catalogue at revision 0."""
    if row.revision == 0:
        return Ok(Head(0, 0))
    return decode_head(row.value).map(lambda revision: Head(revision, row.revision))


class CatalogueStore:
    """Reads the catalogue from a `TableStore`.

    No read has a time-out of its own: the caller passes a table with time-outs or sets a deadline.
    """

    def __init__(self, table: TableStore) -> None:
        """Create a reader of the catalogue in `table`."""
        self._table = table

    def read_head(self, done: ResultCallback[Head]) -> None:
        """Read the head row, which holds the newest revision."""
        self._table.read(
            (HEAD_STORE_KEY,),
            lambda read_result: done(read_result.and_then(lambda rows: decode_head_row(rows[0]))),
        )

    def load(self, done: ResultCallback[StoredCatalogue]) -> None:
        """Read all rows as of one revision.

        STORE_CONFLICT says that the catalogue changed during each of MAX_LOAD_ATTEMPTS attempts.
        """
        _CatalogueLoad(self._table, done).start()

    def read_changes(self, since: int, up_to: int, done: ResultCallback[ChangesRead]) -> None:
        """Read the changes after revision `since` up to `up_to`, at most MAX_CHANGES_PER_READ.

        NOT_FOUND says that the change after `since` is no longer in the change log.
        """
        last = min(up_to, since + MAX_CHANGES_PER_READ)
        keys = [StoreKey(LOG_TABLE, history_key(each)) for each in range(since + 1, last + 1)]
        self._table.read(
            (HEAD_STORE_KEY, *keys),
            lambda read_result: done(
                read_result.and_then(lambda rows: _decode_consecutive_changes(since, rows))
            ),
        )

    def history(self, count: int, done: ResultCallback[ChangesRead]) -> None:
        """Read the last `count` accepted changes that the change log still holds."""

        def head_read(read_result: Result[Head, Failure]) -> None:
            if isinstance(read_result, Err):
                done(read_result)
                return
            head_revision = read_result.ok_value.revision
            first = max(1, head_revision - count + 1)
            keys = tuple(
                StoreKey(LOG_TABLE, history_key(each)) for each in range(first, head_revision + 1)
            )
            self._table.read(
                keys,
                lambda rows_result: done(
                    rows_result.and_then(lambda rows: _decode_existing_changes(head_revision, rows))
                ),
            )

        self.read_head(head_read)


class _CatalogueLoad:
    """Scans the catalogue table between two reads of the head row.

    The scan is not atomic: if the head row differs between the two reads, the scan is repeated.
    """

    def __init__(self, table: TableStore, done: ResultCallback[StoredCatalogue]) -> None:
        self._table = table
        self._done = done
        self._attempts = 0

    def start(self) -> None:
        self._attempts += 1
        self._table.read((HEAD_STORE_KEY,), self._head_read)

    def _head_read(self, read_result: Result[tuple[Row, ...], Failure]) -> None:
        head_result = read_result.and_then(lambda rows: decode_head_row(rows[0]))
        if isinstance(head_result, Err):
            self._done(head_result)
            return
        self._table.scan(
            CATALOGUE_TABLE,
            "",
            MAX_CATALOGUE_ROWS,
            lambda scan_result: self._rows_scanned(head_result.ok_value, scan_result),
        )

    def _rows_scanned(self, head: Head, scan_result: Result[tuple[Row, ...], Failure]) -> None:
        if isinstance(scan_result, Err):
            self._done(scan_result)
            return
        rows = tuple(row for row in scan_result.ok_value if row.key != HEAD_KEY)
        self._table.read(
            (HEAD_STORE_KEY,), lambda read_result: self._head_read_again(head, rows, read_result)
        )

    def _head_read_again(
        self, head: Head, rows: tuple[Row, ...], read_result: Result[tuple[Row, ...], Failure]
    ) -> None:
        second_head_result = read_result.and_then(lambda head_rows: decode_head_row(head_rows[0]))
        if isinstance(second_head_result, Err):
            self._done(second_head_result)
        elif second_head_result.ok_value == head:
            self._done(_decode_stored_catalogue(head, rows))
        elif self._attempts < MAX_LOAD_ATTEMPTS:
            self.start()
        else:
            self._done(
                Err(
                    Failure(
                        ResultCode.STORE_CONFLICT,
                        "the catalogue changed during every attempt to load it",
                    )
                )
            )


def _decode_stored_catalogue(head: Head, rows: tuple[Row, ...]) -> Result[StoredCatalogue, Failure]:
    decoded = []
    for row in rows:
        row_result = decode_row(row.key, row.value)
        if isinstance(row_result, Err):
            return row_result
        decoded.append(row_result.ok_value)
    return Ok(StoredCatalogue(head.revision, head.version, tuple(decoded)))


def _decode_existing_changes(
    head_revision: int, rows: tuple[Row, ...]
) -> Result[ChangesRead, Failure]:
    """Decode the changes whose rows exist.

    The change log has no row for a trimmed change or for a catalogue that was stored initially.
    """
    change_results = [decode_change(row.value) for row in rows if row.revision]
    failed = next((each for each in change_results if isinstance(each, Err)), None)
    if failed is not None:
        return failed
    return Ok(ChangesRead(head_revision, tuple(each.ok_value for each in change_results)))


def _decode_consecutive_changes(since: int, rows: tuple[Row, ...]) -> Result[ChangesRead, Failure]:
    head_result = decode_head_row(rows[0])
    if isinstance(head_result, Err):
        return head_result
    changes = []
    for row in rows[1:]:
        if row.revision == 0:
            break
        change_result = decode_change(row.value)
        if isinstance(change_result, Err):
            return change_result
        changes.append(change_result.ok_value)
    if not changes and head_result.ok_value.revision > since:
        return Err(
            Failure(
                ResultCode.NOT_FOUND, f"the change to revision {since + 1} is not in the change log"
            )
        )
    return Ok(ChangesRead(head_result.ok_value.revision, tuple(changes)))
