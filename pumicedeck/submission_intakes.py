"""Accepts submissions, returns their results and ends them, at any process.

Everything goes through the store, so the process that accepts a submission need not schedule it.
"""

from dataclasses import dataclass

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.json_documents import guard_decoding
from pumicedeck.page_caches import PageCache
from pumicedeck.partitioned_stores import Change, Expectation, PartitionedStore, Put, read_partition
from pumicedeck.results import Failure, ResultCode
from pumicedeck.scheduling.submission_rows import read_items, read_results_after
from pumicedeck.submissions import ItemResult, Submission, SubmissionHead, encode_items
from pumicedeck.tasks import sleep, within
from pumicedeck.work_mirrors import (
    HEAD_KEY,
    WORK_TABLE,
    SubmissionView,
    WorkMirror,
    end_row,
    head_row,
    items_row,
)

_log = logger.bind(module="submission_intakes")

NO_SUBMISSION = Failure(ResultCode.NOT_FOUND, "no such submission")
_STORE_UNREADABLE = Failure(ResultCode.STORE_UNAVAILABLE, "the store cannot be read")


@dataclass(frozen=True, slots=True)
class IntakeSettings:
    """Times in seconds; sizes in rows and bytes.

    That the mirror shows no further result is trusted only if its last contact with the store was
    within `fresh_seconds`; otherwise the store is read. Accepting or ending a submission is retried
    every `retry_seconds` for up to `accept_seconds`. `rows_per_change` is the limit of one
    transaction, `page_bytes` that of the results that one read returns.
    """

    fresh_seconds: float = 0.75
    retry_seconds: float = 0.1
    accept_seconds: float = 2.5
    rows_per_change: int = 12
    page_bytes: int = 400_000


class SubmissionIntake:
    """Serves submissions through the store; the mirror shows when there are results to read."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        mirror: WorkMirror,
        settings: IntakeSettings | None = None,
    ) -> None:
        """Create an intake on `store` and `mirror`; the caller keeps `mirror` up to date."""
        self._timers = timers
        self._store = store
        self._mirror = mirror
        self._settings = settings or IntakeSettings()
        self._page_cache = PageCache()

    def is_known_to_be_open(self, submission_id: str) -> bool:
        """Return whether the mirror has the submission and it belongs to no account."""
        view = self._mirror.view(submission_id)
        return view is not None and not view.head.account

    def known_head(self, submission_id: str) -> SubmissionHead | None:
        """Return the head of a submission that the mirror has, None if it has none."""
        view = self._mirror.view(submission_id)
        return None if view is None else view.head

    async def find_head(self, submission_id: str) -> Result[SubmissionHead, Failure]:
        """Return the head of a submission of any account, from the store if necessary.

        NOT_FOUND if there is none, STORE_UNAVAILABLE if the store did not answer.
        """
        return (await self._find(submission_id, None)).map(lambda view: view.head)

    async def accept(
        self, submission: Submission, account: str | None = None
    ) -> Result[None, Failure]:
        """Store a submission; STORE_UNAVAILABLE proves that it was not accepted.

        STORE_OUTCOME_UNKNOWN means that it may have been accepted. A commit whose outcome is
        unknown is repeated; if the first one took effect, the second conflicts with its row.
        NOT_FOUND if another account has a submission with this id; `account` is that of the
        submitter, None if no accounts are configured.
        """
        head = submission.head
        view = self._mirror.view(head.submission_id)
        if view is not None:
            return Ok(None) if view.head.admits(account) else Err(NO_SUBMISSION)
        deadline = self._timers.now() + self._settings.accept_seconds
        changes = self._build_changes(submission, account is not None)
        outcome_unknown = False
        while changes:
            outcome = await self._store.commit(changes[0])
            if isinstance(outcome, Ok):
                changes.pop(0)
                continue
            code = outcome.err_value.code
            if code is ResultCode.STORE_CONFLICT:
                if account is not None:
                    return await self._find_accepted(head.submission_id, account, deadline)
                if len(changes) > 1:
                    changes.pop(0)
                    continue
                return Ok(None)
            last = len(changes) == 1
            outcome_unknown = outcome_unknown or (last and code is ResultCode.STORE_OUTCOME_UNKNOWN)
            if self._timers.now() >= deadline or (last and not outcome_unknown):
                return Err(self._build_rejection(head, outcome_unknown, outcome.err_value))
            await sleep(self._timers, self._settings.retry_seconds)
        return Ok(None)

    async def results(
        self, submission_id: str, after: int, wait: float, account: str | None = None
    ) -> Result[tuple[int, list[ItemResult]], Failure]:
        """Return the number of items and the results from position `after` on.

        Waits up to `wait` seconds for the first result at that position while the submission is
        open. NOT_FOUND if there is no such submission or it belongs to another account than
        `account`, STORE_UNAVAILABLE if the store had to be read and did not answer.
        """
        found = await self._find(submission_id, account)
        if isinstance(found, Err):
            return found
        view = found.ok_value
        deadline = self._timers.now() + wait
        while view.listed <= after and view.is_open:
            left = deadline - self._timers.now()
            if left <= 0 or not await within(self._timers, left, view.changed.wait(), False):
                break
        if view.listed <= after and not self._is_fresh():
            refreshed = await self._refresh(submission_id)
            if isinstance(refreshed, Err):
                return refreshed
        total = view.head.total
        if view.listed <= after:
            return Ok((total, []))
        # An id may be used again after its submission was removed, also by another account.
        cached_as = f"{submission_id}@{view.head.accepted}"
        page = self._page_cache.find(cached_as, after)
        if page is None:
            read = await read_results_after(
                self._store, submission_id, after, self._settings.page_bytes
            )
            if isinstance(read, Err):
                return Err(_STORE_UNREADABLE)
            page = read.ok_value.results
            if page:
                self._page_cache.put(cached_as, after, page, read.ok_value.size)
        return Ok((total, page))

    async def item_body(
        self, submission_id: str, item_id: str, account: str | None = None
    ) -> Result[bytes, Failure]:
        """Return the request body of an item; NOT_FOUND if there is no such submission or item.

        For another account than the submission's there is none.
        """
        found = await self._find(submission_id, account)
        if isinstance(found, Err):
            return found
        items = await read_items(self._store, found.ok_value.head)
        if isinstance(items, Err):
            return Err(_STORE_UNREADABLE)
        for item in items.ok_value:
            if item.item_id == item_id:
                return Ok(item.body)
        return Err(Failure(ResultCode.NOT_FOUND, "no such item"))

    async def end(self, submission_id: str, account: str | None = None) -> Result[None, Failure]:
        """End a submission of `account`; ending it again has no effect."""
        found = await self._find(submission_id, account)
        if isinstance(found, Err):
            return found
        if found.ok_value.ended:
            return Ok(None)
        deadline = self._timers.now() + self._settings.accept_seconds
        change = Change((), (Put(end_row(submission_id), b"{}"),))
        while True:
            outcome = await self._store.commit(change)
            if isinstance(outcome, Ok):
                _log.info("submission ended", **found.ok_value.head.log_fields)
                return Ok(None)
            if self._timers.now() >= deadline:
                return Err(outcome.err_value)
            await sleep(self._timers, self._settings.retry_seconds)

    def _build_changes(self, submission: Submission, has_accounts: bool) -> list[Change]:
        """Return the transactions that store a submission; only the last one writes its head row.

        A submission without a head row does not exist for any process. With accounts each
        transaction requires that there is none: nothing is stored under an id that is taken.
        """
        head = submission.head
        puts = [
            Put(items_row(head.submission_id, number, head.account), chunk)
            for number, chunk in enumerate(encode_items(submission.items))
        ]
        size = self._settings.rows_per_change
        groups = [tuple(puts[at : at + size]) for at in range(0, len(puts), size)]
        last = groups.pop()
        row = head_row(head.submission_id)
        is_new = (Expectation(row, 0),)
        changes = [Change(is_new if has_accounts else (), group) for group in groups]
        changes.append(Change(is_new, (*last, Put(row, head.encode()))))
        return changes

    def _build_rejection(
        self, head: SubmissionHead, outcome_unknown: bool, failure: Failure
    ) -> Failure:
        """Log a submission that was not accepted and return the failure for its caller."""
        _log.info(
            "submission not accepted",
            **head.log_fields,
            unsure=outcome_unknown,
            detail=failure.detail,
        )
        if outcome_unknown:
            return Failure(ResultCode.STORE_OUTCOME_UNKNOWN, failure.detail)
        return Failure(ResultCode.STORE_UNAVAILABLE, failure.detail, proven_not_run=True)

    async def _find_accepted(
        self, submission_id: str, account: str, deadline: float
    ) -> Result[None, Failure]:
        """Return whether the submission that exists under an id is open to `account`."""
        while True:
            found = await self._find(submission_id, account)
            if isinstance(found, Ok):
                return Ok(None)
            if found.err_value is NO_SUBMISSION:
                return found
            if self._timers.now() >= deadline:
                # An earlier commit of this submission may be the one that took effect.
                return Err(Failure(ResultCode.STORE_OUTCOME_UNKNOWN, found.err_value.detail))
            await sleep(self._timers, self._settings.retry_seconds)

    async def _find(
        self, submission_id: str, account: str | None
    ) -> Result[SubmissionView, Failure]:
        """Return a submission from the mirror, from the store if the mirror does not have it.

        The store is also read if the submission belongs to another account than `account`: the
        answer must not differ from that for an id that does not exist.
        """
        view = self._mirror.view(submission_id)
        if view is not None and view.head.admits(account):
            return Ok(view)
        refreshed = await self._refresh(submission_id)
        if isinstance(refreshed, Err):
            return refreshed
        view = self._mirror.view(submission_id)
        if view is None or not view.head.admits(account):
            return Err(NO_SUBMISSION)
        return Ok(view)

    async def _refresh(self, submission_id: str) -> Result[None, Failure]:
        """Read a submission's rows of the work table and apply them to the mirror."""
        outcome = await read_partition(self._store, WORK_TABLE, submission_id)
        if isinstance(outcome, Err):
            return Err(_STORE_UNREADABLE)
        if any(row.row.key == HEAD_KEY for row in outcome.ok_value):
            applied = guard_decoding(lambda: self._mirror.apply(tuple(outcome.ok_value)))
            if isinstance(applied, Err):
                _log.error(
                    "submission row unreadable",
                    submission=submission_id,
                    kind="work",
                    reason=applied.err_value,
                )
                return Err(_STORE_UNREADABLE)
        return Ok(None)

    def _is_fresh(self) -> bool:
        """Return whether the mirror's last contact with the store is recent enough."""
        return self._timers.now() - self._mirror.current_as_of <= self._settings.fresh_seconds
