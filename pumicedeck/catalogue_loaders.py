"""Loads the newest catalogue from the snapshot object and the few changes since."""

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
    """Falls back to reading the whole table where the snapshot is missing, damaged or too old."""

    def __init__(self, store: CatalogueStore, objects: ObjectStore) -> None:
        """Read from these stores."""
        self._store = store
        self._objects = objects

    def load(self, done: ResultCallback[Catalogue]) -> None:
        """Load the catalogue at the store's head revision."""
        self._objects.get(SNAPSHOT_OBJECT, lambda read: self._snapshot_read(read, done))

    def _snapshot_read(self, read: Result[bytes, Failure], done: ResultCallback[Catalogue]) -> None:
        snapshot = read.and_then(decode_copy)
        if isinstance(snapshot, Err):
            self._load_whole(done)
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
        self._load_whole(done)

    def _load_whole(self, done: ResultCallback[Catalogue]) -> None:
        def loaded(read: Result[StoredCatalogue, Failure]) -> None:
            done(read.map(lambda stored: stored.catalogue))

        self._store.load(loaded)
