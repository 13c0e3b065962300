"""Adapter for a table service over HTTP."""

from pumicedeck.http_adapters import HttpAdapter
from pumicedeck.http_operations import COMMIT, READ_ROWS, SCAN_ROWS
from pumicedeck.platform_interfaces import (
    Committed,
    ResultCallback,
    Row,
    StoreKey,
    TableStore,
    Transaction,
    adapter,
)


@adapter("TableStore", "http")
class HttpTableStore(HttpAdapter, TableStore):
    """A table service at one address; the adapter never sends a commit again."""

    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows from one consistent state of the store."""
        self._call(READ_ROWS, (keys,), done)

    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read up to `limit` rows whose key starts with `prefix`, in key order."""
        self._call(SCAN_ROWS, (table, prefix, limit), done)

    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction; STORE_OUTCOME_UNKNOWN if it may have taken effect."""
        self._call(COMMIT, (transaction,), done)
