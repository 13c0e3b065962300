"""Loads the newest catalogue from the snapshot object and the change log.

Falls back to reading all rows if the snapshot is missing, corrupted or too old for the change log.
"""

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_rows import (
    SNAPSHOT_OBJECT,
    StoredCatalogue,
    apply_changes,
    decode_copy,
)
from pumicedeck.catalogue_stores import MAX_CHANGES_PER_READ, CatalogueStore, ChangesRead
from pumicedeck.platform_interfaces import ObjectStore, ResultCallback
from pumicedeck.results import Failure


class CatalogueLoader:
    """Loads the catalogue from snapshot and change log, or else from the catalogue table."""

    def __init__(self, store: CatalogueStore, objects: ObjectStore) -> None:
        """Load the snapshot from `objects`, and rows and changes from `store`."""
        self._store = store
        self._objects = objects

    def load(self, done: ResultCallback[Catalogue]) -> None:
        """Load the catalogue at the head revision of the store and pass it to `done`."""
        self._objects.get(
            SNAPSHOT_OBJECT, lambda read_result: self._snapshot_read(read_result, done)
        )

    def _snapshot_read(
        self, read_result: Result[bytes, Failure], done: ResultCallback[Catalogue]
    ) -> None:
        snapshot_result = read_result.and_then(decode_copy)
        if isinstance(snapshot_result, Err):
            self._load_all_rows(done)
            return
        snapshot = snapshot_result.ok_value
        self._store.read_changes(
            snapshot.revision,
            snapshot.revision + MAX_CHANGES_PER_READ,
            lambda changes_result: self._changes_read(snapshot, changes_result, done),
        )

    def _changes_read(
        self,
        snapshot: Catalogue,
        changes_result: Result[ChangesRead, Failure],
        done: ResultCallback[Catalogue],
    ) -> None:
        if isinstance(changes_result, Ok):
            updated = apply_changes(snapshot, changes_result.ok_value.changes)
            head_revision = changes_result.ok_value.head_revision
            if isinstance(updated, Ok) and updated.ok_value.revision >= head_revision:
                done(updated)
                return
        self._load_all_rows(done)

    def _load_all_rows(self, done: ResultCallback[Catalogue]) -> None:
        def rows_loaded(load_result: Result[StoredCatalogue, Failure]) -> None:
            done(load_result.map(lambda stored: stored.catalogue))

        self._store.load(rows_loaded)
