"""The platform's store as the gateway uses it: partitioned rows with a change feed."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.results import Failure
from pumicedeck.tasks import Promise


@dataclass(frozen=True, slots=True)
class RowKey:
    """Names one row; rows of one part can change in one transaction."""

    table: str
    partition_key: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row at `revision`; `value` is None for one that was removed."""

    row: RowKey
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Expectation:
    """The row has to be at `revision`; 0 means that there is none."""

    row: RowKey
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A new value of a row; None removes it."""

    row: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Change:
    """Rows of one part that change together, if every expectation holds."""

    expected: tuple[Expectation, ...]
    puts: tuple[Put, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """Rows in ascending order; `revision` is the store's newest, `store_seconds` its clock."""

    rows: tuple[StoredRow, ...]
    revision: int
    store_seconds: float
    truncated: bool = False


@dataclass(frozen=True, slots=True)
class PartitionList:
    """Names of parts in ascending order; `revision` is the store's newest."""

    partitions: tuple[str, ...]
    revision: int
    store_seconds: float
    truncated: bool = False


class PartitionedStore(ABC):
    """Failures: STORE_UNAVAILABLE (nothing was done), STORE_OUTCOME_UNKNOWN, STORE_CONFLICT.

    `changes` fails with HISTORY_GONE when the rows have to be read anew.
    """

    @abstractmethod
    def commit(self, change: Change) -> Promise[Result[int, Failure]]:
        """Apply a change; the result is the revision of its rows."""

    @abstractmethod
    def read(
        self, table: str, partition_key: str, first: str = "", limit: int = 500
    ) -> Promise[Result[Page, Failure]]:
        """Read rows of one part from key `first` on, as of one moment."""

    @abstractmethod
    def partitions(self, table: str, after: str = "") -> Promise[Result[PartitionList, Failure]]:
        """List the parts of a table that follow `after`."""

    @abstractmethod
    def read_changes(self, table: str, after: int, wait: float) -> Promise[Result[Page, Failure]]:
        """Read what changed after a revision, waiting up to `wait` seconds for the first row."""


async def read_partition(
    store: PartitionedStore, table: str, partition_key: str
) -> Result[list[StoredRow], Failure]:
    """Read all rows of one part, page by page."""
    rows: list[StoredRow] = []
    first = ""
    while True:
        outcome = await store.read(table, partition_key, first)
        if isinstance(outcome, Err):
            return outcome
        page = outcome.ok_value
        rows.extend(page.rows)
        if not page.truncated or not page.rows:
            return Ok(rows)
        first = first_key_after(page.rows[-1])


def first_key_after(row: StoredRow) -> str:
    """Return the first key that follows a row's own."""
    return row.row.key + "\0"
