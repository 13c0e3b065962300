"""A table service for parts of the product that know no partitions, such as leases."""

from result import Err, Ok, Result

from pumicedeck.partitioned_stores import (
    Change,
    Expectation,
    Page,
    PartitionedStore,
    Put,
    RowKey,
)
from pumicedeck.platform_interfaces import (
    Committed,
    ResultCallback,
    Row,
    StoreKey,
    TableStore,
    Transaction,
)
from pumicedeck.results import Failure


class PartitionedTableStore(TableStore):
    """Keeps every row in the part of its own name."""

    def __init__(self, store: PartitionedStore) -> None:
        """Use `store`, which stays the caller's to close."""
        self._store = store

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read one row; this table keeps no view of several parts at one moment."""
        (key,) = keys
        promise = self._store.read(key.table, key.key)
        promise.then(lambda outcome: done(_row_of(key, outcome)))

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Not offered: rows lie in different parts."""
        raise ValueError("rows in parts cannot be scanned by prefix")

    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction on rows of one key."""
        change = Change(
            tuple(
                Expectation(RowKey(each.table, each.key, each.key), each.revision)
                for each in transaction.conditions
            ),
            tuple(
                Put(RowKey(each.table, each.key, each.key), each.value)
                for each in transaction.writes
            ),
        )
        count = len(transaction.writes)
        promise = self._store.commit(change)
        promise.then(
            lambda outcome: done(outcome.map(lambda revision: Committed((revision,) * count)))
        )


def _row_of(key: StoreKey, outcome: Result[Page, Failure]) -> Result[tuple[Row, ...], Failure]:
    if isinstance(outcome, Err):
        return outcome
    for stored in outcome.ok_value.rows:
        if stored.row.key == key.key and stored.value is not None:
            return Ok((Row(key.table, key.key, stored.value, stored.revision),))
    return Ok((Row(key.table, key.key, b"", 0),))
