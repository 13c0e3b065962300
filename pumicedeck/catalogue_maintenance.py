"""Writes the snapshot object and trims the change log after each accepted catalogue edit."""

from result import Result

from pumicedeck.catalogue_rows import (
    LOG_TABLE,
    SNAPSHOT_OBJECT,
    change_outcome_key,
    encode_copy,
    history_key,
)
from pumicedeck.edits import MAX_LOGGED_CHANGES, EditPlan, new_change_id
from pumicedeck.platform_interfaces import ObjectStore, Row, TableStore, Transaction, Write
from pumicedeck.results import Failure

MAX_ROWS_SCANNED_PER_TRIM = 8


class CatalogueMaintenance:
    """Runs the store calls that follow an accepted edit.

    Failures are ignored: readers tolerate a stale snapshot, and the next edit trims the log again.
    """

    def __init__(self, table: TableStore, objects: ObjectStore) -> None:
        """Use `table` and `objects`, whose calls must end within a time-out."""
        self._table = table
        self._objects = objects
        self._pending = 0

    @property
    def busy(self) -> bool:
        """Return whether a store call is still running."""
        return self._pending > 0

    def after_commit(self, plan: EditPlan) -> None:
        """Write the committed catalogue as the snapshot and trim the change log."""
        self._pending += 1
        self._objects.put(SNAPSHOT_OBJECT, encode_copy(plan.catalogue), self._finish)
        oldest_kept_revision = plan.catalogue.revision - MAX_LOGGED_CHANGES + 1
        if oldest_kept_revision > 1:
            self._trim_change_log("history/", history_key(oldest_kept_revision))
            self._trim_change_log(
                "change/", change_outcome_key(new_change_id(oldest_kept_revision - 1, ""))
            )

    def _trim_change_log(self, prefix: str, end_key: str) -> None:
        self._pending += 1
        self._table.scan(
            LOG_TABLE,
            prefix,
            MAX_ROWS_SCANNED_PER_TRIM,
            lambda scan_result: self._delete_expired(scan_result, end_key),
        )

    def _delete_expired(self, scan_result: Result[tuple[Row, ...], Failure], end_key: str) -> None:
        rows = scan_result.unwrap_or(())
        deletions = tuple(Write(LOG_TABLE, row.key, None) for row in rows if row.key < end_key)
        if not deletions:
            self._pending -= 1
            return
        self._table.commit(Transaction((), deletions), self._finish)

    def _finish(self, result: Result[object, Failure]) -> None:
        self._pending -= 1
