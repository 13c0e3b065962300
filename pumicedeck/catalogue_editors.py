"""Commits catalogue edits to the table service and reports only outcomes that are certain.

A commit whose reply is lost may still take effect. The edit is then retried and, if its outcome
stays uncertain, reported as EDIT_UNKNOWN. `CatalogueEditor.resolve` with its change id then reads
the outcome from the change log, or writes a refusal there that blocks the commit.
"""

from collections.abc import Callable
from random import Random

from result import Err, Ok, Result

from pumicedeck.backoffs import doubled_seconds
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
    conflicting_row_names,
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
BACKOFF_BASE_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 2.0
RETRY_AFTER_SECONDS = 5.0
EDITS_PER_SECOND = 2.0
EDIT_BURST = 20.0

# A commit that fails with one of these codes has certainly written nothing.
_CODES_WITHOUT_WRITES = (ResultCode.STORE_CONFLICT, ResultCode.STORE_UNAVAILABLE)


class CatalogueEditor:
    """Plans and submits edits, resolves change ids, and reads the catalogue and its history."""

    def __init__(
        self, table: TableStore, objects: ObjectStore, timers: TimerQueue, rng: Random
    ) -> None:
        """Edit the catalogue in `table`; the snapshot is written to `objects`."""
        self._table = TimedTableStore(table, timers, STORE_TIMEOUT_SECONDS)
        self._store = CatalogueStore(self._table)
        self._maintenance = CatalogueMaintenance(
            self._table, TimedObjectStore(objects, timers, STORE_TIMEOUT_SECONDS)
        )
        self._timers = timers
        self._rng = rng
        self._edit_budget = TokenBucket(EDITS_PER_SECOND, EDIT_BURST)

    @property
    def busy(self) -> bool:
        """Return whether the snapshot or the trimming after an edit is still in progress."""
        return self._maintenance.busy

    def read(self, done: ResultCallback[StoredCatalogue]) -> None:
        """Read the complete catalogue with the revision of each row."""
        self._store.load(done)

    def history(self, count: int, done: ResultCallback[ChangesRead]) -> None:
        """Read the last `count` accepted changes."""
        self._store.history(count, done)

    def dry_run(self, edit: Edit, done: ResultCallback[EditPlan]) -> None:
        """Plan an edit against the stored catalogue without writing.

        EDIT_CONFLICT says that a row changed since the operator read it, BAD_CATALOGUE that the
        edited catalogue would be invalid.
        """
        check_result = check_edit(edit)
        if isinstance(check_result, Err):
            done(check_result)
            return
        _DryRun(self._store, edit, self._new_retries(), done).start()

    def submit(self, edit: Edit, done: ResultCallback[EditAccepted]) -> None:
        """Commit an edit.

        EDIT_CONFLICT says that a row changed since the operator read it. EDIT_UNKNOWN says that the
        edit may still take effect; `resolve` with its change id reads its outcome or blocks it.
        """
        check_result = check_edit(edit).and_then(lambda _: self._check_edit_budget())
        if isinstance(check_result, Err):
            done(check_result)
            return
        submission = _Submission(self._table, self._store, edit, self._new_retries(), done)
        submission.start(self._maintenance.after_commit)

    def resolve(self, change_id: str, done: ResultCallback[EditAccepted]) -> None:
        """Return the result of a change id; one that was not committed is refused permanently.

        EDIT_CONFLICT says that it is refused, EDIT_UNKNOWN that its outcome cannot be determined.
        """
        check_result = base_revision(change_id)
        if isinstance(check_result, Err):
            done(check_result)
            return
        if isinstance(self._check_edit_budget(), Err):
            done(Err(_unknown_failure(change_id)))
            return
        _Resolution(self._table, change_id, self._new_retries(), done).start()

    def _check_edit_budget(self) -> Result[None, Failure]:
        now = self._timers.now()
        if self._edit_budget.try_acquire(now):
            return Ok(None)
        wait = self._edit_budget.available_at(now) - now
        return Err(
            Failure(ResultCode.RATE_LIMITED, "edit rate limit reached; nothing was written", wait)
        )

    def _new_retries(self) -> "_Retries":
        return _Retries(self._timers, self._rng)


class _Retries:
    """Schedules retries with jittered exponential backoff, bounded in number and time."""

    def __init__(self, timers: TimerQueue, rng: Random) -> None:
        self._timers = timers
        self._rng = rng
        self._attempts = 1
        self._deadline = timers.now() + EDIT_DEADLINE_SECONDS

    def retry_or_give_up(self, attempt: Callable[[], None], give_up: Callable[[], None]) -> None:
        if self._attempts >= MAX_ATTEMPTS or self._timers.now() >= self._deadline:
            give_up()
            return
        max_delay = doubled_seconds(BACKOFF_BASE_SECONDS, self._attempts, MAX_BACKOFF_SECONDS)
        self._attempts += 1
        self._timers.call_later(self._rng.uniform(0.0, max_delay), attempt)


class _DryRun:
    """Plans one edit against the stored catalogue and retries only failed reads."""

    def __init__(
        self, store: CatalogueStore, edit: Edit, retries: _Retries, done: ResultCallback[EditPlan]
    ) -> None:
        self._store = store
        self._edit = edit
        self._retries = retries
        self._done = done

    def start(self) -> None:
        self._store.load(self._catalogue_loaded)

    def _catalogue_loaded(self, load_result: Result[StoredCatalogue, Failure]) -> None:
        if isinstance(load_result, Err):
            self._retries.retry_or_give_up(self.start, lambda: self._done(load_result))
            return
        conflicting_names = conflicting_row_names(load_result.ok_value, self._edit)
        if conflicting_names:
            _report_conflict(
                self._store, load_result.ok_value, self._edit, conflicting_names, self._done
            )
        else:
            self._done(plan_edit(load_result.ok_value, self._edit))


class _Submission:
    """Submits one edit with retries.

    `_uncertain_head_versions` holds the versions of the head row on which commits with unknown
    outcome were conditioned; these commits may still take effect.
    """

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
        self._uncertain_head_versions: set[int] = set()
        self._after_commit: Callable[[EditPlan], None] = lambda plan: None

    def start(self, after_commit: Callable[[EditPlan], None]) -> None:
        self._after_commit = after_commit
        self._attempt()

    def _attempt(self) -> None:
        self._store.load(self._catalogue_loaded)

    def _retry(self) -> None:
        failure = Failure(
            ResultCode.STORE_UNAVAILABLE,
            "edit not committed; this submission wrote nothing",
            RETRY_AFTER_SECONDS,
        )
        self._retries.retry_or_give_up(self._attempt, lambda: self._refuse(failure))

    def _refuse(self, failure: Failure) -> None:
        if self._uncertain_head_versions:
            failure = _unknown_failure(self._edit.change_id)
        self._done(Err(failure))

    def _catalogue_loaded(self, load_result: Result[StoredCatalogue, Failure]) -> None:
        if isinstance(load_result, Err):
            self._retry()
            return
        keys = (HEAD_STORE_KEY, _outcome_store_key(self._edit.change_id))
        self._table.read(
            keys, lambda rows_result: self._head_and_outcome_read(load_result.ok_value, rows_result)
        )

    def _head_and_outcome_read(
        self, stored: StoredCatalogue, read_result: Result[tuple[Row, ...], Failure]
    ) -> None:
        if isinstance(read_result, Err):
            self._retry()
            return
        head_row, outcome_row = read_result.ok_value
        if outcome_row.revision != 0:
            self._done(_result_of_outcome_row(self._edit.change_id, outcome_row))
            return
        # A commit that was conditioned on an older head can no longer take effect.
        self._uncertain_head_versions &= {head_row.revision}
        if head_row.revision != stored.head_version:
            self._retry()
        elif is_past_retention(self._edit.change_id, stored.revision):
            self._done(Err(_expired_failure(self._edit.change_id)))
        else:
            self._commit(stored)

    def _commit(self, stored: StoredCatalogue) -> None:
        conflicting_names = conflicting_row_names(stored, self._edit)
        if conflicting_names and self._uncertain_head_versions:
            self._refuse(_unknown_failure(self._edit.change_id))
            return
        if conflicting_names:
            _report_conflict(self._store, stored, self._edit, conflicting_names, self._done)
            return
        plan_result = plan_edit(stored, self._edit)
        if isinstance(plan_result, Err):
            self._refuse(plan_result.err_value)
            return
        plan = plan_result.ok_value
        version = stored.head_version
        self._table.commit(
            plan.transaction, lambda commit_result: self._commit_ended(version, plan, commit_result)
        )

    def _commit_ended(
        self, version: int, plan: EditPlan, commit_result: Result[Committed, Failure]
    ) -> None:
        if isinstance(commit_result, Ok):
            self._after_commit(plan)
            self._done(Ok(EditAccepted(self._edit.change_id, plan.catalogue.revision)))
            return
        if commit_result.err_value.code not in _CODES_WITHOUT_WRITES:
            self._uncertain_head_versions.add(version)
        self._retry()


class _Resolution:
    """Reads the outcome of a change id, or writes a refusal that blocks a delayed commit."""

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
        self._table.read((HEAD_STORE_KEY, _outcome_store_key(self._change_id)), self._rows_read)

    def _retry(self) -> None:
        self._retries.retry_or_give_up(
            self.start, lambda: self._done(Err(_unknown_failure(self._change_id)))
        )

    def _rows_read(self, read_result: Result[tuple[Row, ...], Failure]) -> None:
        if isinstance(read_result, Err):
            self._retry()
            return
        head_row, outcome_row = read_result.ok_value
        revision_result = decode_head_row(head_row).map(lambda head: head.revision)
        if outcome_row.revision != 0:
            self._done(_result_of_outcome_row(self._change_id, outcome_row))
        elif is_past_retention(self._change_id, revision_result.unwrap_or(0)):
            self._done(Err(_expired_failure(self._change_id)))
        else:
            self._table.commit(refusal_transaction(self._change_id), self._refusal_committed)

    def _refusal_committed(self, commit_result: Result[Committed, Failure]) -> None:
        if isinstance(commit_result, Ok):
            self._done(Err(_refused_failure(self._change_id)))
        else:
            self._retry()


def _report_conflict(
    store: CatalogueStore,
    stored: StoredCatalogue,
    edit: Edit,
    conflicting_names: tuple[RowName, ...],
    done: ResultCallback,
) -> None:
    """Fail with EDIT_CONFLICT, showing the changes made since the operator read the catalogue."""

    def report(read_result: Result[ChangesRead, Failure]) -> None:
        changes = read_result.ok_value.changes if isinstance(read_result, Ok) else ()
        done(Err(conflict_failure(stored, conflicting_names, changes)))

    base = base_revision(edit.change_id).unwrap_or(0)
    rows = [row for name in conflicting_names if (row := stored.row(name))]
    since = min([base, *(row.revision - 1 for row in rows)])
    store.read_changes(since, stored.revision, report)


def _outcome_store_key(change_id: str) -> StoreKey:
    return StoreKey(LOG_TABLE, change_outcome_key(change_id))


def _result_of_outcome_row(change_id: str, row: Row) -> Result[EditAccepted, Failure]:
    outcome_result = decode_change_outcome(row.value)
    if isinstance(outcome_result, Err):
        return outcome_result
    if outcome_result.ok_value.revision is None:
        return Err(_refused_failure(change_id))
    return Ok(EditAccepted(change_id, outcome_result.ok_value.revision))


def _refused_failure(change_id: str) -> Failure:
    return Failure(ResultCode.EDIT_CONFLICT, f"change {change_id} is permanently refused")


def _unknown_failure(change_id: str) -> Failure:
    return Failure(
        ResultCode.EDIT_UNKNOWN, f"outcome unknown; query it again with change id {change_id}"
    )


def _expired_failure(change_id: str) -> Failure:
    detail = f"change id {change_id} is older than the change log; read the catalogue again"
    return Failure(ResultCode.EDIT_UNKNOWN, detail)
