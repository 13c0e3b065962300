"""Carries catalogue edits to the table service and answers only what is certain."""

from collections.abc import Callable
from random import Random

from result import Err, Ok, Result

from pumicedeck.catalogue_maintenance import CatalogueMaintenance
from pumicedeck.catalogue_rows import LOG_TABLE, RowName, StoredCatalogue, change_outcome_key
from pumicedeck.catalogue_stores import HEAD_STORE_KEY, CatalogueStore, ChangesRead, decode_head_row
from pumicedeck.clocks import TimerQueue
from pumicedeck.edits import (
    Edit,
    EditAccepted,
    EditPlan,
    base_revision,
    check_edit,
    conflict_failure,
    conflicting_rows,
    decode_change_outcome,
    is_past_retention,
    plan_edit,
    refusal_transaction,
)
from pumicedeck.platform_interfaces import (
    Committed,
    ObjectStore,
    ResultCallback,
    Row,
    StoreKey,
    TableStore,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.store_budgets import TokenBucket
from pumicedeck.timeouts import TimedObjectStore, TimedTableStore

STORE_TIMEOUT_SECONDS = 3.0
EDIT_DEADLINE_SECONDS = 30.0
MAX_ATTEMPTS = 24
MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 2.0
RETRY_SECONDS = 5.0
EDITS_PER_SECOND = 2.0
EDIT_BURST = 20.0

_WITHOUT_EFFECT = (ResultCode.STORE_CONFLICT, ResultCode.STORE_UNAVAILABLE)


class CatalogueEditor:
    """Submits edits, resolves change ids and reads the catalogue with its history."""

    def __init__(
        self, table: TableStore, objects: ObjectStore, timers: TimerQueue, rng: Random
    ) -> None:
        """Edit the catalogue in `table`; `objects` takes the snapshot."""
        self._table = TimedTableStore(table, timers, STORE_TIMEOUT_SECONDS)
        self._store = CatalogueStore(self._table)
        self._upkeep = CatalogueMaintenance(
            self._table, TimedObjectStore(objects, timers, STORE_TIMEOUT_SECONDS)
        )
        self._timers = timers
        self._rng = rng
        self._edits = TokenBucket(EDITS_PER_SECOND, EDIT_BURST)

    @property
    def busy(self) -> bool:
        """Say whether the snapshot or the trimming after an edit is still under way."""
        return self._upkeep.busy

    def read(self, done: ResultCallback[StoredCatalogue]) -> None:
        """Read the whole catalogue with the revision of each row."""
        self._store.load(done)

    def history(self, newest: int, done: ResultCallback[ChangesRead]) -> None:
        """Read the last `newest` accepted changes."""
        self._store.history(newest, done)

    def dry_run(self, edit: Edit, done: ResultCallback[EditPlan]) -> None:
        """Plan an edit against the stored catalogue and write nothing."""
        checked = check_edit(edit)
        if isinstance(checked, Err):
            done(checked)
            return
        _DryRun(self._store, edit, self._retries(), done).start()

    def submit(self, edit: Edit, done: ResultCallback[EditAccepted]) -> None:
        """Commit an edit; EDIT_UNKNOWN asks the operator to `resolve` its change id."""
        checked = check_edit(edit).and_then(lambda _: self._admit())
        if isinstance(checked, Err):
            done(checked)
            return
        submission = _Submission(self._table, self._store, edit, self._retries(), done)
        submission.start(self._upkeep.after_commit)

    def resolve(self, change_id: str, done: ResultCallback[EditAccepted]) -> None:
        """Find out what became of a change id; one that is not committed is refused for good."""
        checked = base_revision(change_id)
        if isinstance(checked, Err):
            done(checked)
            return
        if isinstance(self._admit(), Err):
            done(Err(_unknown(change_id)))
            return
        _Resolution(self._table, change_id, self._retries(), done).start()

    def _admit(self) -> Result[None, Failure]:
        now = self._timers.now()
        if self._edits.try_acquire(now):
            return Ok(None)
        wait = self._edits.available_at(now) - now
        return Err(Failure(ResultCode.RATE_LIMITED, "not tried; too many edits", wait))

    def _retries(self) -> "_Retries":
        return _Retries(self._timers, self._rng)


class _Retries:
    """A bounded number of attempts with jittered exponential backoff."""

    def __init__(self, timers: TimerQueue, rng: Random) -> None:
        self._timers = timers
        self._rng = rng
        self._attempts = 1
        self._deadline = timers.now() + EDIT_DEADLINE_SECONDS

    def again(self, attempt: Callable[[], None], give_up: Callable[[], None]) -> None:
        if self._attempts >= MAX_ATTEMPTS or self._timers.now() >= self._deadline:
            give_up()
            return
        longest = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2.0**self._attempts)
        self._attempts += 1
        self._timers.call_later(self._rng.uniform(0.0, longest), attempt)


class _DryRun:
    """Plans an edit against one reading of the catalogue."""

    def __init__(
        self, store: CatalogueStore, edit: Edit, retries: _Retries, done: ResultCallback[EditPlan]
    ) -> None:
        self._store = store
        self._edit = edit
        self._retries = retries
        self._done = done

    def start(self) -> None:
        self._store.load(self._loaded)

    def _loaded(self, read: Result[StoredCatalogue, Failure]) -> None:
        if isinstance(read, Err):
            self._retries.again(self.start, lambda: self._done(read))
            return
        names = conflicting_rows(read.ok_value, self._edit)
        if names:
            _show_conflict(self._store, read.ok_value, self._edit, names, self._done)
        else:
            self._done(plan_edit(read.ok_value, self._edit))


class _Submission:
    """One edit on its way; `_uncertain` holds the head versions of commits that may still land."""

    def __init__(
        self,
        table: TableStore,
        store: CatalogueStore,
        edit: Edit,
        retries: _Retries,
        done: ResultCallback[EditAccepted],
    ) -> None:
        self._table = table
        self._store = store
        self._edit = edit
        self._retries = retries
        self._done = done
        self._uncertain: set[int] = set()
        self._after_commit: Callable[[EditPlan], None] = lambda plan: None

    def start(self, after_commit: Callable[[EditPlan], None]) -> None:
        self._after_commit = after_commit
        self._attempt()

    def _attempt(self) -> None:
        self._store.load(self._loaded)

    def _again(self) -> None:
        failure = Failure(
            ResultCode.STORE_UNAVAILABLE, "refused; this attempt wrote nothing", RETRY_SECONDS
        )
        self._retries.again(self._attempt, lambda: self._refuse(failure))

    def _refuse(self, failure: Failure) -> None:
        if self._uncertain:
            failure = _unknown(self._edit.change_id)
        self._done(Err(failure))

    def _loaded(self, read: Result[StoredCatalogue, Failure]) -> None:
        if isinstance(read, Err):
            self._again()
            return
        keys = (HEAD_STORE_KEY, _record_key(self._edit.change_id))
        self._table.read(keys, lambda rows: self._guarded(read.ok_value, rows))

    def _guarded(self, stored: StoredCatalogue, read: Result[tuple[Row, ...], Failure]) -> None:
        if isinstance(read, Err):
            self._again()
            return
        head, record = read.ok_value
        if record.revision != 0:
            self._done(_recorded(self._edit.change_id, record))
            return
        # A commit that was conditioned on an older head can no longer take effect.
        self._uncertain &= {head.revision}
        if head.revision != stored.head_version:
            self._again()
        elif is_past_retention(self._edit.change_id, stored.revision):
            self._done(Err(_forgotten(self._edit.change_id)))
        else:
            self._commit(stored)

    def _commit(self, stored: StoredCatalogue) -> None:
        names = conflicting_rows(stored, self._edit)
        if names and self._uncertain:
            self._refuse(_unknown(self._edit.change_id))
            return
        if names:
            _show_conflict(self._store, stored, self._edit, names, self._done)
            return
        planned = plan_edit(stored, self._edit)
        if isinstance(planned, Err):
            self._refuse(planned.err_value)
            return
        plan = planned.ok_value
        version = stored.head_version
        self._table.commit(plan.transaction, lambda end: self._committed(version, plan, end))

    def _committed(self, version: int, plan: EditPlan, end: Result[Committed, Failure]) -> None:
        if isinstance(end, Ok):
            self._after_commit(plan)
            self._done(Ok(EditAccepted(self._edit.change_id, plan.catalogue.revision)))
            return
        if end.err_value.code not in _WITHOUT_EFFECT:
            self._uncertain.add(version)
        self._again()


class _Resolution:
    """Reads a change id's record, or writes the refusal that fences off a late commit."""

    def __init__(
        self,
        table: TableStore,
        change_id: str,
        retries: _Retries,
        done: ResultCallback[EditAccepted],
    ) -> None:
        self._table = table
        self._change_id = change_id
        self._retries = retries
        self._done = done

    def start(self) -> None:
        self._table.read((HEAD_STORE_KEY, _record_key(self._change_id)), self._read)

    def _again(self) -> None:
        self._retries.again(self.start, lambda: self._done(Err(_unknown(self._change_id))))

    def _read(self, read: Result[tuple[Row, ...], Failure]) -> None:
        if isinstance(read, Err):
            self._again()
            return
        head, record = read.ok_value
        revision = decode_head_row(head).map(lambda found: found.revision)
        if record.revision != 0:
            self._done(_recorded(self._change_id, record))
        elif is_past_retention(self._change_id, revision.unwrap_or(0)):
            self._done(Err(_forgotten(self._change_id)))
        else:
            self._table.commit(refusal_transaction(self._change_id), self._fenced)

    def _fenced(self, end: Result[Committed, Failure]) -> None:
        if isinstance(end, Ok):
            self._done(Err(_refused(self._change_id)))
        else:
            self._again()


def _show_conflict(
    store: CatalogueStore,
    stored: StoredCatalogue,
    edit: Edit,
    names: tuple[RowName, ...],
    done: ResultCallback,
) -> None:
    def shown(read: Result[ChangesRead, Failure]) -> None:
        changes = read.ok_value.changes if isinstance(read, Ok) else ()
        done(Err(conflict_failure(stored, names, changes)))

    base = base_revision(edit.change_id).unwrap_or(0)
    rows = [row for name in names if (row := stored.row(name))]
    since = min([base, *(row.revision - 1 for row in rows)])
    store.read_changes(since, stored.revision, shown)


def _record_key(change_id: str) -> StoreKey:
    return StoreKey(LOG_TABLE, change_outcome_key(change_id))


def _recorded(change_id: str, row: Row) -> Result[EditAccepted, Failure]:
    record = decode_change_outcome(row.value)
    if isinstance(record, Err):
        return record
    if record.ok_value.revision is None:
        return Err(_refused(change_id))
    return Ok(EditAccepted(change_id, record.ok_value.revision))


def _refused(change_id: str) -> Failure:
    return Failure(ResultCode.EDIT_CONFLICT, f"change {change_id} is refused for good")


def _unknown(change_id: str) -> Failure:
    return Failure(ResultCode.EDIT_UNKNOWN, f"unknown; ask again with change id {change_id}")


def _forgotten(change_id: str) -> Failure:
    detail = f"change id {change_id} is too old to be known; read the catalogue again"
    return Failure(ResultCode.EDIT_UNKNOWN, detail)
