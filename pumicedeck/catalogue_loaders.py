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
        self._objects.get(SNAPSHOT_OBJECT, lambda read: self._snapshot_read(read, done))

    def _snapshot_read(self, read: Result[bytes, Failure], done: ResultCallback[Catalogue]) -> None:
        snapshot = read.and_then(decode_copy)
        if isinstance(snapshot, Err):
            self._load_all_rows(done)
            return
        base = snapshot.ok_value
        self._store.read_changes(
            base.revision,
            base.revision + MAX_CHANGES_PER_READ,
            lambda changes: self._changes_read(base, changes, done),
        )

    def _changes_read(
        self, base: Catalogue, read: Result[ChangesRead, Failure], done: ResultCallback[Catalogue]
    ) -> None:
        if isinstance(read, Ok):
            loaded = apply_changes(base, read.ok_value.changes)
            head = read.ok_value.head_revision
            if isinstance(loaded, Ok) and loaded.ok_value.revision >= head:
                done(loaded)
                return
        self._load_all_rows(done)

    def _load_all_rows(self, done: ResultCallback[Catalogue]) -> None:
        def loaded(read: Result[StoredCatalogue, Failure]) -> None:
            done(read.map(lambda stored: stored.catalogue))

        self._store.load(loaded)
