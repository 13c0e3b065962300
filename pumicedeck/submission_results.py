"""Results of a submission in the store: rows named by the position of their first result."""

from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from pumicedeck.partitioned_stores import (
    PartitionedStore,
    Put,
    RowKey,
    StoredRow,
    key_after,
    read_part,
)
from pumicedeck.results import Failure
from pumicedeck.submissions import ItemResult, decode_results, encode_results
from pumicedeck.work_mirrors import RESULTS_TABLE

PAGE_ROWS = 32


def results_row(submission_id: str, position: int, chunk: int = 0) -> RowKey:
    """Name a row of the write whose first result has `position`."""
    return RowKey(RESULTS_TABLE, submission_id, f"{position:08d}.{chunk:02d}")


def results_puts(
    submission_id: str, position: int, batch: tuple[ItemResult, ...]
) -> tuple[Put, ...]:
    """Return the rows of one write of results; the first one's absence is its condition."""
    return tuple(
        Put(results_row(submission_id, position, chunk), value)
        for chunk, value in enumerate(encode_results(batch))
    )


def join_results(
    rows: Sequence[StoredRow], after: int
) -> tuple[list[list[ItemResult]], StoredRow | None]:
    """Return the results of each whole write from position `after` on, and the last row used.

    Rows are in ascending order; what follows a gap or an unfinished write is left out.
    """
    writes: list[list[ItemResult]] = []
    position, last, at = after, None, 0
    while at < len(rows) and int(rows[at].row.key.partition(".")[0]) == position:
        count = rows[at].value[0]
        if len(rows) - at < count:
            break
        results = decode_results([row.value for row in rows[at : at + count]])
        writes.append(results)
        position += len(results)
        at += count
        last = rows[at - 1]
    return writes, last


async def read_results(
    store: PartitionedStore, submission_id: str
) -> Result[list[ItemResult], Failure]:
    """Read all results of a submission in the order of their positions."""
    rows = await read_part(store, RESULTS_TABLE, submission_id)
    if isinstance(rows, Err):
        return rows
    writes, _ = join_results(rows.ok_value, 0)
    return Ok([result for write in writes for result in write])


async def read_results_after(
    store: PartitionedStore, submission_id: str, after: int, size_of: Callable, most_bytes: int
) -> Result[list[ItemResult], Failure]:
    """Read results from position `after` on: one write or more, as long as they fit `most_bytes`.

    `size_of` returns the bytes of one result. A position at which no write begins is looked for
    from the start.
    """
    found: list[ItemResult] = []
    size = 0
    first = results_row(submission_id, after).key
    while True:
        outcome = await store.read(RESULTS_TABLE, submission_id, first, PAGE_ROWS)
        if isinstance(outcome, Err):
            return outcome
        page = outcome.ok_value
        writes, last = join_results(page.rows, after + len(found))
        for write in writes:
            size += sum(size_of(result) for result in write)
            if found and size > most_bytes:
                return Ok(found)
            found.extend(write)
        if last is None or not page.truncated:
            break
        first = key_after(last)
    if found:
        return Ok(found)
    whole = await read_results(store, submission_id)
    return whole.map(lambda results: _first_that_fit(results[after:], size_of, most_bytes))


def _first_that_fit(
    results: list[ItemResult], size_of: Callable, most_bytes: int
) -> list[ItemResult]:
    fitting: list[ItemResult] = []
    size = 0
    for result in results:
        size += size_of(result)
        if fitting and size > most_bytes:
            break
        fitting.append(result)
    return fitting
