"""What every process knows of all submissions, kept up to date from the store's change feed.

Free of I/O. Answers many readers of many submissions at many processes: each process knows how many
results there are, and only one with a reader reads them. A process that starts on a narrow link
reads a few rows a submission.
"""

import json
from dataclasses import dataclass, field

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
MEMBERS_PART = "members"


def head_row(submission_id: str) -> RowKey:
    """Name the row of a submission's head."""
    return RowKey(WORK_TABLE, submission_id, HEAD_KEY)


def owner_row(submission_id: str) -> RowKey:
    """Name the row that says which scheduler may write results."""
    return RowKey(WORK_TABLE, submission_id, OWNER_KEY)


def end_row(submission_id: str) -> RowKey:
    """Name the row that ends a submission."""
    return RowKey(WORK_TABLE, submission_id, END_KEY)


def listed_row(submission_id: str) -> RowKey:
    """Name the row that counts a submission's results."""
    return RowKey(WORK_TABLE, submission_id, LISTED_KEY)


def items_row(submission_id: str, chunk: int) -> RowKey:
    """Name a row of a submission's items."""
    return RowKey(ITEMS_TABLE, submission_id, f"{chunk:05d}")


def progress_row(submission_id: str, item_id: str) -> RowKey:
    """Name the row of the text that an item has so far."""
    return RowKey(PROGRESS_TABLE, submission_id, item_id)


def member_row(vm: str) -> RowKey:
    """Name the row in which a process tells its peers where it answers."""
    return RowKey(WORK_TABLE, MEMBERS_PART, vm)


def encode_listed(count: int) -> bytes:
    """Return the bytes of the row that counts results."""
    return str(count).encode()


def encode_owner(fencing: int, holder: str) -> bytes:
    """Return the bytes of an owner row."""
    return json.dumps({"fencing": fencing, "holder": holder}).encode()


@dataclass(slots=True)
class SubmissionView:
    """A submission as the store has it; `listed` counts the results that have a position."""

    submission_id: str
    head: SubmissionHead | None = None
    owner_revision: int = 0
    fencing: int = 0
    ended: bool = False
    listed: int = 0
    changed: Signal = field(default_factory=Signal)

    @property
    def is_open(self) -> bool:
        """Return whether results are still to come."""
        return self.head is not None and not self.ended and self.listed < self.head.total

    def apply(self, row: StoredRow) -> None:
        """Take in a row; one that is known already changes nothing."""
        if row.value is None:
            return
        key = row.row.key
        if key == HEAD_KEY:
            self.head = decode_head(row.value)
        elif key == OWNER_KEY:
            if row.revision > self.owner_revision:
                self.owner_revision = row.revision
                self.fencing = int(json.loads(row.value)["fencing"])
        elif key == END_KEY:
            self.ended = True
        elif key == LISTED_KEY:
            self.listed = max(self.listed, int(row.value))


class WorkMirror:
    """All submissions by id and the addresses of all processes.

    `fresh_at` is the second of the last word from the store.
    """

    def __init__(self) -> None:
        """Know nothing yet."""
        self._views: dict[str, SubmissionView] = {}
        self.current_as_of = -1e9
        self.members: dict[str, str] = {}
        self.changed = Signal()

    @property
    def views(self) -> tuple[SubmissionView, ...]:
        """Return every submission."""
        return tuple(self._views.values())

    def view(self, submission_id: str) -> SubmissionView | None:
        """Return a submission whose head is known."""
        view = self._views.get(submission_id)
        return view if view is not None and view.head is not None else None

    def apply(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in rows of the work table and wake who waits for them."""
        touched: dict[str, SubmissionView] = {}
        for row in rows:
            part = row.row.part
            if part == MEMBERS_PART:
                self._take_member(row)
                continue
            if row.value is None:
                if row.row.key == HEAD_KEY:
                    self._views.pop(part, None)
                continue
            view = self._views.get(part)
            if view is None:
                view = self._views.setdefault(part, SubmissionView(part))
            view.apply(row)
            touched[part] = view
        for view in touched.values():
            view.changed.notify()
        if touched:
            self.changed.notify()

    def _take_member(self, row: StoredRow) -> None:
        if row.value is None:
            self.members.pop(row.row.key, None)
        else:
            self.members[row.row.key] = row.value.decode()
