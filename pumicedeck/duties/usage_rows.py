"""The rows of reports of use: their keys and values, and the sum of a window's rows; free of I/O.

A gateway never changes a row that it has written: each holds what was counted since the one before,
so a row that the store writes late, or twice, does no harm.
"""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from pumicedeck.json_documents import decode_document, read_integer
from pumicedeck.partitioned_stores import RowKey, StoredRow

USAGE_TABLE = "usage"
CLOCK_PARTITION = "clock"
SENT_PARTITION = "sent"
AGREED_KEY = "agreed"
OFFSET_PREFIX = "offset/"
COUNT_PREFIX = "counts/"
REPORT_KEY = "report"
LAST_KEY = "last"


def agreed_row() -> RowKey:
    """Return the key of the row with the agreed time."""
    return RowKey(USAGE_TABLE, CLOCK_PARTITION, AGREED_KEY)


def offset_row(vm: str) -> RowKey:
    """Return the key of the row with a gateway's time of day less the store's time."""
    return RowKey(USAGE_TABLE, CLOCK_PARTITION, f"{OFFSET_PREFIX}{vm}")


def last_row() -> RowKey:
    """Return the key of the row with the number of the last window that is done with."""
    return RowKey(USAGE_TABLE, SENT_PARTITION, LAST_KEY)


def report_row(window: int) -> RowKey:
    """Return the key of the row with the counts that are reported for a window."""
    return RowKey(USAGE_TABLE, str(window), REPORT_KEY)


def count_row(window: int, incarnation: str, number: int) -> RowKey:
    """Return the key of a row of a gateway's counts.

    `incarnation` is VM and incarnation with a slash between them, `number` counts its rows.
    """
    return RowKey(USAGE_TABLE, str(window), f"{COUNT_PREFIX}{incarnation}/{number}")


def encode_count_row(counts: dict[str, int], is_final: bool) -> bytes:
    """Return the value of a row of a gateway's counts.

    `is_final` says that nothing that began in the window is left out, as far as is known then.
    """
    return json.dumps({"counts": counts, "final": is_final}, sort_keys=True).encode()


def encode_counts(counts: dict[str, int]) -> bytes:
    """Return the value of a report's row."""
    return json.dumps(counts, sort_keys=True).encode()


def decode_counts(value: bytes) -> dict[str, int] | None:
    """Decode the value of a report's row; return None if it is invalid."""
    return decode_document(value, _build_counts).unwrap_or(None)


def _build_counts(document: dict) -> dict[str, int]:
    return {account: read_integer(document, account) for account in document}


@dataclass(frozen=True, slots=True)
class WindowRows:
    """What the rows of a window say.

    `report` is what is reported, None while that is not fixed; `counts` is the sum of the gateways'
    rows, `vms` are those that have one, and `final_vms` those that have a final one.
    """

    report: dict[str, int] | None = None
    counts: dict[str, int] = field(default_factory=dict)
    vms: frozenset[str] = frozenset()
    final_vms: frozenset[str] = frozenset()


def sum_rows(rows: Iterable[StoredRow]) -> WindowRows:
    """Sum the rows of one window; rows that no gateway of this build wrote are left out."""
    report = None
    counts: Counter[str] = Counter()
    vms: set[str] = set()
    final_vms: set[str] = set()
    for stored in rows:
        if stored.value is None:
            continue
        if stored.row.key == REPORT_KEY:
            report = decode_counts(stored.value)
        elif stored.row.key.startswith(COUNT_PREFIX):
            decoded = _decode_count_row(stored.value)
            if decoded is None:
                continue
            vm = stored.row.key.removeprefix(COUNT_PREFIX).partition("/")[0]
            vms.add(vm)
            if decoded[1]:
                final_vms.add(vm)
            counts.update(decoded[0])
    positive = {account: number for account, number in sorted(counts.items()) if number > 0}
    return WindowRows(report, positive, frozenset(vms), frozenset(final_vms))


def _decode_count_row(value: bytes) -> tuple[dict[str, int], bool] | None:
    """Return the counts of a row and whether it is final, None if it is invalid."""
    return decode_document(
        value, lambda document: (_build_counts(document["counts"]), bool(document["final"]))
    ).unwrap_or(None)
