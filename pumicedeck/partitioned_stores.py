"""Interface of the transactional store used by the gateway: partitioned rows, a change feed."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.results import Failure
from pumicedeck.tasks import Promise


@dataclass(frozen=True, slots=True)
class RowKey:
    """Identifies one row; a transaction can change only rows with the same partition key."""

    table: str
    partition_key: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row with its key `row` and the revision of its last change.

    `value` is None if the row was removed.
    """

    row: RowKey
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Expectation:
    """A condition of a change: the row is at `revision`; 0 means that it does not exist."""

    row: RowKey
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a row; the value None removes the row."""

    row: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Change:
    """Writes to rows of one partition, applied together if every expectation holds."""

    expected: tuple[Expectation, ...]
    puts: tuple[Put, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """Rows in the order of their keys, or of their revisions if they come from the change feed.

    `revision` is the store's newest revision and `store_seconds` its clock, both at the time of the
    answer; `truncated` means that more rows follow.
    """

    rows: tuple[StoredRow, ...]
    revision: int
    store_seconds: float
    truncated: bool = False


@dataclass(frozen=True, slots=True)
class PartitionList:
    """Partition keys in ascending order; the other fields are those of `Page`."""

    partitions: tuple[str, ...]
    revision: int
    store_seconds: float
    truncated: bool = False


class PartitionedStore(ABC):
    """A transactional store of partitioned rows.

    Failures: STORE_UNAVAILABLE (nothing was written), STORE_OUTCOME_UNKNOWN (a commit may have
    taken effect), STORE_CONFLICT (an expectation did not hold, nothing was written).
    `read_changes` fails with HISTORY_GONE if the store has dropped the requested changes; the
    caller then has to read the whole table.
    """

    @abstractmethod
    def commit(self, change: Change) -> Promise[Result[int, Failure]]:
        """Apply a change and return the revision that its rows have now."""

    @abstractmethod
    def read(
        self, table: str, partition_key: str, first: str = "", limit: int = 500
    ) -> Promise[Result[Page, Failure]]:
        """Read up to `limit` rows of one partition from key `first` on, as of one moment."""

    @abstractmethod
    def partitions(self, table: str, after: str = "") -> Promise[Result[PartitionList, Failure]]:
        """List the partition keys of a table that are greater than `after`."""

    @abstractmethod
    def read_changes(self, table: str, after: int, wait: float) -> Promise[Result[Page, Failure]]:
        """Read the changes after revision `after`; wait up to `wait` seconds for the first one."""


async def read_partition(
    store: PartitionedStore, table: str, partition_key: str
) -> Result[list[StoredRow], Failure]:
    """Read all rows of one partition, page by page."""
    rows: list[StoredRow] = []
    first_key = ""
    while True:
        outcome = await store.read(table, partition_key, first_key)
        if isinstance(outcome, Err):
            return outcome
        page = outcome.ok_value
        rows.extend(page.rows)
        if not page.truncated or not page.rows:
            return Ok(rows)
        first_key = first_key_after(page.rows[-1])


def first_key_after(row: StoredRow) -> str:
    """Return the smallest key that is greater than the key of `row`, where the next page starts."""
    return row.row.key + "\0"
