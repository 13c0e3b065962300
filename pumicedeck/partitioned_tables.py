"""Table service on the partitioned store, for modules that use no partitions, such as leases."""

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
    """Stores every row in a partition of its own, whose key is the row's key."""

    def __init__(self, store: PartitionedStore) -> None:
        """Use `store`; the caller closes it."""
        self._store = store

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read one row; more keys are an error, as partitions cannot be read as of one moment."""
        (key,) = keys
        promise = self._store.read(key.table, key.key)
        promise.then(lambda outcome: done(_row_of(key, outcome)))

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Raise ValueError: rows are in different partitions, which the store cannot scan."""
        raise ValueError("rows in different partitions cannot be scanned by prefix")

    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction whose rows all have the same key."""
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
        write_count = len(transaction.writes)
        promise = self._store.commit(change)
        promise.then(
            lambda outcome: done(outcome.map(lambda revision: Committed((revision,) * write_count)))
        )


def _row_of(key: StoreKey, outcome: Result[Page, Failure]) -> Result[tuple[Row, ...], Failure]:
    if isinstance(outcome, Err):
        return outcome
    for stored_row in outcome.ok_value.rows:
        if stored_row.row.key == key.key and stored_row.value is not None:
            return Ok((Row(key.table, key.key, stored_row.value, stored_row.revision),))
    return Ok((Row(key.table, key.key, b"", 0),))
