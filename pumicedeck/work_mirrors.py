"""The state of all submissions in memory, kept up to date from the store's change feed.

Free of I/O. Many callers read many submissions at many processes: each process has only the number
of results in memory, and reads the results themselves only for its own callers. A process that
starts on a narrow link therefore reads only a few rows per submission.
"""

import json
from dataclasses import dataclass, field
from hashlib import blake2b

from pumicedeck.json_documents import read_integer
from pumicedeck.partitioned_stores import RowKey, StoredRow
from pumicedeck.submissions import SubmissionHead, decode_head
from pumicedeck.tasks import Signal

WORK_TABLE = "work"
ITEMS_TABLE = "items"
PROGRESS_TABLE = "progress"
RESULTS_TABLE = "results"
HEAD_KEY = "head"
OWNER_KEY = "owner"
END_KEY = "end"
LISTED_KEY = "listed"
MEMBERS_PARTITION = "members"
# Followed by all gateways, like the submissions, but not parts of the mirror.
CRASHES_PARTITION = "crashes"
LIMITS_PARTITION = "limits"
SOFTWARE_PARTITION = "software"
_ACCOUNT_DIGEST_BYTES = 8


def head_row(submission_id: str) -> RowKey:
    """Return the key of a submission's head row."""
    return RowKey(WORK_TABLE, submission_id, HEAD_KEY)


def owner_row(submission_id: str) -> RowKey:
    """Return the key of the row that names the scheduler that may write results."""
    return RowKey(WORK_TABLE, submission_id, OWNER_KEY)


def end_row(submission_id: str) -> RowKey:
    """Return the key of the row whose presence ends a submission."""
    return RowKey(WORK_TABLE, submission_id, END_KEY)


def listed_row(submission_id: str) -> RowKey:
    """Return the key of the row that counts a submission's listed results."""
    return RowKey(WORK_TABLE, submission_id, LISTED_KEY)


def items_row(submission_id: str, chunk: int, account: str = "") -> RowKey:
    """Return the key of one of the rows that hold a submission's items.

    Each client account has rows of its own: two that hand in submissions under one id at the same
    moment must not replace each other's items.
    """
    return RowKey(ITEMS_TABLE, submission_id, f"{_items_prefix(account)}{chunk:05d}")


def holds_items(key: str, account: str) -> bool:
    """Return whether a key of a submission's items belongs to `account`, empty for none."""
    prefix, separator, _ = key.rpartition(".")
    return prefix + separator == _items_prefix(account)


def _items_prefix(account: str) -> str:
    """Return the beginning of keys; a digest, since names may have characters that keys may not."""
    if not account:
        return ""
    return blake2b(account.encode(), digest_size=_ACCOUNT_DIGEST_BYTES).hexdigest() + "."


def progress_row(submission_id: str, item_id: str) -> RowKey:
    """Return the key of the row with an item's output so far."""
    return RowKey(PROGRESS_TABLE, submission_id, item_id)


def member_row(vm: str) -> RowKey:
    """Return the key of the row with the address at which a process answers its peers."""
    return RowKey(WORK_TABLE, MEMBERS_PARTITION, vm)


def encode_listed(count: int) -> bytes:
    """Encode the value of the row that counts listed results."""
    return str(count).encode()


def encode_owner(fencing: int, holder: str) -> bytes:
    """Encode the value of an owner row."""
    return json.dumps({"fencing": fencing, "holder": holder}).encode()


@dataclass(slots=True)
class SubmissionView:
    """A submission's rows in the work table, as last received from the store.

    `fencing` is the fencing number of the owner and `owner_revision` the revision of the owner row,
    both 0 without an owner. `listed` counts the results that have a position. `changed` is notified
    after rows were applied.
    """

    submission_id: str
    head: SubmissionHead | None = None
    owner_revision: int = 0
    fencing: int = 0
    ended: bool = False
    listed: int = 0
    changed: Signal = field(default_factory=Signal)

    @property
    def is_open(self) -> bool:
        """Return whether the submission has not ended and results are still missing."""
        return self.head is not None and not self.ended and self.listed < self.head.total

    def apply(self, row: StoredRow) -> None:
        """Apply a row; a deleted row, or one that was already applied, has no effect.

        Raises what its decoding raises; the feed then leaves the row out.
        """
        if row.value is None:
            return
        key = row.row.key
        if key == HEAD_KEY:
            self.head = decode_head(row.value)
        elif key == OWNER_KEY:
            if row.revision > self.owner_revision:
                self.fencing = read_integer(json.loads(row.value), "fencing")
                self.owner_revision = row.revision
        elif key == END_KEY:
            self.ended = True
        elif key == LISTED_KEY:
            self.listed = max(self.listed, int(row.value))


class WorkMirror:
    """All submissions by id, and the addresses of all processes by VM.

    `current_as_of` is the time, in seconds on the process's clock, of which the mirror shows the
    store's state; the owner of the mirror sets it. `members` has the addresses as texts host:port.
    `changed` is notified after rows were applied.
    """

    def __init__(self) -> None:
        """Create an empty mirror."""
        self._views: dict[str, SubmissionView] = {}
        # Earlier than any time of the clock: the store has not answered yet.
        self.current_as_of = -1e9
        self.members: dict[str, str] = {}
        self.changed = Signal()

    @property
    def views(self) -> tuple[SubmissionView, ...]:
        """Return all submissions, also those whose head row was not received yet."""
        return tuple(self._views.values())

    def view(self, submission_id: str) -> SubmissionView | None:
        """Return a submission by its id, None if its head row was not received."""
        view = self._views.get(submission_id)
        return view if view is not None and view.head is not None else None

    def apply(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply rows of the work table and notify the tasks that wait for changes."""
        updated: dict[str, SubmissionView] = {}
        for row in rows:
            partition_key = row.row.partition_key
            if partition_key == MEMBERS_PARTITION:
                self._apply_member_row(row)
                continue
            if partition_key in (CRASHES_PARTITION, LIMITS_PARTITION, SOFTWARE_PARTITION):
                continue
            if row.value is None:
                if row.row.key == HEAD_KEY:
                    self._views.pop(partition_key, None)
                continue
            view = self._views.get(partition_key)
            if view is None:
                view = self._views.setdefault(partition_key, SubmissionView(partition_key))
            view.apply(row)
            updated[partition_key] = view
        for view in updated.values():
            view.changed.notify()
        if updated:
            self.changed.notify()

    def _apply_member_row(self, row: StoredRow) -> None:
        if row.value is None:
            self.members.pop(row.row.key, None)
        else:
            self.members[row.row.key] = row.value.decode()
