"""What follows an accepted edit: the snapshot object and the trimming of the change log."""

from result import Result

from pumicedeck.catalogue_rows import (
    LOG_TABLE,
    SNAPSHOT_OBJECT,
    change_outcome_key,
    encode_copy,
    history_key,
)
from pumicedeck.edits import KEPT_CHANGES, EditPlan, new_change_id
from pumicedeck.platform_interfaces import ObjectStore, Row, TableStore, Transaction, Write
from pumicedeck.results import Failure

TRIMMED_PER_EDIT = 8


class CatalogueMaintenance:
    """Best effort: a stale snapshot or an untrimmed log does no harm."""

    def __init__(self, table: TableStore, objects: ObjectStore) -> None:
        """Use stores whose calls are bounded in time."""
        self._table = table
        self._objects = objects
        self._pending = 0

    @property
    def busy(self) -> bool:
        """Say whether a call is under way."""
        return self._pending > 0

    def after_commit(self, plan: EditPlan) -> None:
        """Write the snapshot of the committed catalogue and trim the log."""
        self._pending += 1
        self._objects.put(SNAPSHOT_OBJECT, encode_copy(plan.catalogue), self._finish)
        oldest = plan.catalogue.revision - KEPT_CHANGES + 1
        if oldest > 1:
            self._trim("history/", history_key(oldest))
            self._trim("change/", change_outcome_key(new_change_id(oldest - 1, "")))

    def _trim(self, prefix: str, end: str) -> None:
        self._pending += 1
        self._table.scan(LOG_TABLE, prefix, TRIMMED_PER_EDIT, lambda rows: self._cut(rows, end))

    def _cut(self, read: Result[tuple[Row, ...], Failure], end: str) -> None:
        rows = read.unwrap_or(())
        old = tuple(Write(LOG_TABLE, row.key, None) for row in rows if row.key < end)
        if not old:
            self._pending -= 1
            return
        self._table.commit(Transaction((), old), self._finish)

    def _finish(self, result: Result[object, Failure]) -> None:
        self._pending -= 1
