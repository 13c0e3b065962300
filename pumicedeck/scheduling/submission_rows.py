"""Reads a submission's rows: its items, their partial outputs, and its results by position."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.json_documents import guard_decoding
from pumicedeck.partitioned_stores import (
    PartitionedStore,
    Put,
    RowKey,
    StoredRow,
    first_key_after,
    read_partition,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.submissions import (
    Item,
    ItemResult,
    Progress,
    SubmissionHead,
    decode_items,
    decode_progress,
    decode_results,
    encode_results,
)
from pumicedeck.work_mirrors import ITEMS_TABLE, PROGRESS_TABLE, RESULTS_TABLE, holds_items

PAGE_ROWS = 32
RESULT_OVERHEAD_BYTES = 400

_log = logger.bind(module="submission_rows")


def results_row(submission_id: str, position: int, chunk: int = 0) -> RowKey:
    """Return the key of one row of the write whose first result has `position`."""
    return RowKey(RESULTS_TABLE, submission_id, f"{position:08d}.{chunk:02d}")


def results_puts(
    submission_id: str, position: int, batch: tuple[ItemResult, ...]
) -> tuple[Put, ...]:
    """Return the rows of one write of results.

    The write must be made conditional on the absence of its first row, so that no two writes begin
    at the same position.
    """
    return tuple(
        Put(results_row(submission_id, position, chunk), value)
        for chunk, value in enumerate(encode_results(batch))
    )


def join_results(
    rows: Sequence[StoredRow], after: int
) -> tuple[list[list[ItemResult]], StoredRow | None]:
    """Return the results of each complete write from position `after` on, and the last row used.

    `rows` are in ascending order; rows after a gap or from an incomplete write on are left out.
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


def _join_results(
    submission_id: str, rows: Sequence[StoredRow], after: int
) -> Result[tuple[list[list[ItemResult]], StoredRow | None], Failure]:
    """Return what `join_results` does, INTERNAL_ERROR if a row cannot be decoded."""
    joined = guard_decoding(lambda: join_results(rows, after))
    return joined.map_err(lambda reason: _unreadable(submission_id, "results", reason))


def _unreadable(submission_id: str, kind: str, reason: str) -> Failure:
    _log.error("submission row unreadable", submission=submission_id, kind=kind, reason=reason)
    return Failure(ResultCode.INTERNAL_ERROR, f"{kind} cannot be decoded: {reason}")


async def read_results(
    store: PartitionedStore, submission_id: str
) -> Result[list[ItemResult], Failure]:
    """Read all results of a submission, ordered by position."""
    rows = await read_partition(store, RESULTS_TABLE, submission_id)
    if isinstance(rows, Err):
        return rows
    joined = _join_results(submission_id, rows.ok_value, 0)
    return joined.map(lambda found: [result for write in found[0] for result in write])


@dataclass(slots=True)
class ResultPage:
    """Results in order, up to `max_bytes` but at least those of one `add`; `size` in bytes."""

    max_bytes: int
    results: list[ItemResult] = field(default_factory=list)
    size: int = 0

    def add(self, results: list[ItemResult]) -> bool:
        """Add results that must stay together; return False if they would exceed the limit."""
        size = sum(len(each.text.encode()) + RESULT_OVERHEAD_BYTES for each in results)
        if self.results and self.size + size > self.max_bytes:
            return False
        self.results.extend(results)
        self.size += size
        return True


async def read_results_after(
    store: PartitionedStore, submission_id: str, after: int, max_bytes: int
) -> Result[ResultPage, Failure]:
    """Read results from position `after` on, up to `max_bytes`.

    If no write begins at that position, all results are read and those before it are skipped.
    """
    found = ResultPage(max_bytes)
    first = results_row(submission_id, after).key
    while True:
        outcome = await store.read(RESULTS_TABLE, submission_id, first, PAGE_ROWS)
        if isinstance(outcome, Err):
            return outcome
        page = outcome.ok_value
        joined = _join_results(submission_id, page.rows, after + len(found.results))
        if isinstance(joined, Err):
            return joined
        writes, last = joined.ok_value
        for write in writes:
            if not found.add(write):
                return Ok(found)
        if last is None or not page.truncated:
            break
        first = first_key_after(last)
    if found.results:
        return Ok(found)
    all_results = await read_results(store, submission_id)
    if isinstance(all_results, Err):
        return all_results
    for result in all_results.ok_value[after:]:
        if not found.add([result]):
            break
    return Ok(found)


async def read_items(
    store: PartitionedStore, head: SubmissionHead
) -> Result[tuple[Item, ...], Failure]:
    """Read all items of a submission; NOT_FOUND if some of their rows are missing."""
    rows = await read_partition(store, ITEMS_TABLE, head.submission_id)
    if isinstance(rows, Err):
        return rows
    chunks = [row.value for row in rows.ok_value if holds_items(row.row.key, head.account)]
    if len(chunks) < head.chunks:
        return Err(Failure(ResultCode.NOT_FOUND, "rows of items are missing"))
    items = guard_decoding(lambda: decode_items(chunks[: head.chunks]))
    return items.map_err(lambda reason: _unreadable(head.submission_id, "items", reason))


async def read_progress(store: PartitionedStore, submission_id: str) -> dict[str, Progress]:
    """Read the partial outputs of a submission, by item id; empty if the store cannot be read.

    One that cannot be decoded is left out, so that its item begins anew.
    """
    rows = await read_partition(store, PROGRESS_TABLE, submission_id)
    if isinstance(rows, Err):
        _log.warning(
            "partial outputs unreadable; items restart from the beginning", submission=submission_id
        )
        return {}
    found = {}
    for row in rows.ok_value:
        if not row.value:
            continue
        progress = guard_decoding(lambda value=row.value: decode_progress(value))
        if isinstance(progress, Ok):
            found[row.row.key] = progress.ok_value
        else:
            _unreadable(submission_id, "partial output", progress.err_value)
    return found
