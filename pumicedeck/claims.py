"""Claims ids of non-idempotent requests in the table service, many in one transaction.

Only the entry incarnation that inserted the claim row of a request dispatches the request. Each
transaction also checks the watermark row: the row of an id below the watermark may have been
deleted by a sweep, so such an id is refused.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from pumicedeck.actions import RecordOutcome, WriteClaim
from pumicedeck.claim_outcomes import Claimed, ClaimOutcome, RecordedAnswer
from pumicedeck.claim_rows import (
    CLAIMS_TABLE,
    OPAQUE_PREFIX,
    WATERMARK_KEY,
    ClaimRow,
    claim_key,
    decode_row,
    encode_row,
    request_id_unix_second,
)
from pumicedeck.clocks import Timer, TimerQueue
from pumicedeck.json_documents import guard_decoding
from pumicedeck.platform_interfaces import (
    Committed,
    Condition,
    Row,
    StoreKey,
    TableStore,
    Transaction,
    Write,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.timeouts import TimedTableStore

FLUSH_POLL_SECONDS = 0.05

ClaimCallback = Callable[[str, ClaimOutcome], None]

_UNCERTAIN_CODES = (ResultCode.STORE_CONFLICT, ResultCode.STORE_OUTCOME_UNKNOWN)


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Times in seconds and bounds of claims.

    `call_seconds` is the timeout of a store call. Claims wait up to `batch_seconds` and outcomes up
    to `outcome_seconds` to share a transaction, which holds up to `max_batch` claims and as many
    outcomes. `max_calls` bounds the concurrent store calls, `max_tries` the commits of one claim
    and `max_unrecorded` the claims without a recorded outcome. An answer above `max_answer_bytes`
    is not recorded; `max_opaque_answer_bytes` is the bound for ids without a time, whose rows are
    never deleted.

    After a failed store call, claims are refused for `refuse_after_failure_seconds`. Outcomes are
    written again after `retry_seconds`, which is also the retry time given to refused callers. If
    the row of a refused claim may have been written, the row is read repeatedly for
    `uncertain_seconds`. A claim of another entry counts as in progress for `in_progress_seconds`
    after this entry first read it. Ids more than `max_future_seconds` ahead of the wall clock are
    refused.
    """

    call_seconds: float = 0.5
    batch_seconds: float = 0.005
    outcome_seconds: float = 2.0
    max_batch: int = 64
    max_calls: int = 4
    max_tries: int = 3
    max_unrecorded: int = 50_000
    max_answer_bytes: int = 16 * 1024
    max_opaque_answer_bytes: int = 1024
    retry_seconds: float = 1.0
    refuse_after_failure_seconds: float = 0.5
    uncertain_seconds: float = 30.0
    exit_flush_seconds: float = 5.0
    in_progress_seconds: float = 150.0
    max_future_seconds: float = 86_400.0


@dataclass(slots=True)
class ClaimCounters:
    """Counts since the start of the process."""

    claims: int = 0
    granted: int = 0
    repeated: int = 0
    refused: int = 0
    outcomes: int = 0
    transactions: int = 0
    rows_written: int = 0
    reads: int = 0
    conflicts: int = 0
    replies_lost: int = 0


@dataclass(slots=True)
class _Claim:
    """A claim without a recorded outcome; `revision` is the known revision of its row."""

    key: str
    handle: str
    row: ClaimRow
    revision: int = 0
    tries: int = 0
    granted: bool = False


@dataclass(slots=True)
class _Batch:
    """New claims and outcomes of granted claims that share a transaction."""

    claims: list[_Claim] = field(default_factory=list)
    outcomes: list[_Claim] = field(default_factory=list)

    @property
    def members(self) -> list[_Claim]:
        return self.claims + self.outcomes


class Claims:
    """Claims request ids for one entry incarnation and records their outcomes.

    `report_result` is called once for every claim, with its handle and ClaimOutcome: whether the
    request may be dispatched. `record` receives the outcome of a request that was dispatched.
    `is_live` returns whether an entry incarnation may still be working on its claims.
    """

    def __init__(
        self,
        incarnation: str,
        store: TableStore,
        timers: TimerQueue,
        report_result: ClaimCallback,
        is_live: Callable[[str], bool],
        wall_clock: Callable[[], float],
        settings: ClaimSettings | None = None,
    ) -> None:
        """Use `store` with a timeout per call; `wall_clock` only serves to refuse future ids."""
        self._incarnation = incarnation
        self._settings = settings or ClaimSettings()
        self._store = TimedTableStore(store, timers, self._settings.call_seconds)
        self._timers = timers
        self._answered = report_result
        self._is_live = is_live
        self._wall_clock = wall_clock
        self._open_claims: dict[str, _Claim] = {}
        self._claims_to_write: deque[_Claim] = deque()
        self._outcomes_to_write: deque[_Claim] = deque()
        self._in_progress_since: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._uncertain_claims: dict[str, tuple[float, _Claim]] = {}
        self._watermark = 0
        self._watermark_revision = 0
        self._calls_in_flight = 0
        self._has_backlog = False
        self._nonce = 0
        self._refuse_until = float("-inf")
        self._flush_timer: Timer | None = None
        self._uncertain_timer: Timer | None = None
        self._counters = ClaimCounters()

    @property
    def counters(self) -> ClaimCounters:
        """Return a copy of the counters."""
        return replace(self._counters)

    @property
    def unrecorded(self) -> int:
        """Return how many claims have no recorded outcome yet."""
        return len(self._open_claims)

    def close(self) -> None:
        """Stop the timers; claims without a recorded outcome stay in progress in the store."""
        for timer in (self._flush_timer, self._uncertain_timer):
            if timer:
                timer.cancel()

    def claim(self, write: WriteClaim) -> None:
        """Claim a request id; the result may be reported before this method returns."""
        self._counters.claims += 1
        if self._answer_from_open_claim(write):
            return
        refusal = self._refusal(write)
        if refusal:
            self._counters.refused += 1
            self._answered(write.handle, Err(refusal))
            return
        self._nonce += 1
        key = claim_key(write.firm, write.request_id)
        row = ClaimRow(self._incarnation, self._nonce, write.body_digest)
        claim = _Claim(key, write.handle, row)
        self._open_claims[key] = claim
        self._claims_to_write.append(claim)
        self._flush_within(self._settings.batch_seconds)

    def record(self, record: RecordOutcome) -> None:
        """Record the outcome of a granted claim in a later transaction."""
        claim = self._open_claims.get(claim_key(record.firm, record.request_id))
        if claim is None or not claim.granted or claim.row.code is not None:
            return
        self._counters.outcomes += 1
        max_bytes = self._settings.max_answer_bytes
        if claim.key.startswith(OPAQUE_PREFIX):
            max_bytes = self._settings.max_opaque_answer_bytes
        claim.row = claim.row.finished(record.code, record.answer, max_bytes)
        claim.tries = 0
        self._outcomes_to_write.append(claim)
        self._flush_within(self._settings.outcome_seconds)

    def flush(self, done: Callable[[], None] | None = None) -> None:
        """Write waiting claims and outcomes at once, before the process stops.

        `done` is called once every claim has a recorded outcome, at the latest after
        `exit_flush_seconds`.
        """
        self._flush_within(0.0)
        if done:
            self._done_when_recorded(done, self._timers.now() + self._settings.exit_flush_seconds)

    def _done_when_recorded(self, done: Callable[[], None], latest: float) -> None:
        if not self._open_claims or self._timers.now() >= latest:
            done()
            return
        self._timers.call_later(FLUSH_POLL_SECONDS, lambda: self._done_when_recorded(done, latest))

    def _answer_from_open_claim(self, write: WriteClaim) -> bool:
        """Reply to a repeated claim while this entry has an open claim of the same request id."""
        open_claim = self._open_claims.get(claim_key(write.firm, write.request_id))
        if open_claim is None:
            return False
        self._counters.repeated += 1
        self._answered(write.handle, self._outcome_of_row(open_claim.row, write.body_digest))
        return True

    def _outcome_of_row(self, row: ClaimRow, digest: str) -> ClaimOutcome:
        """Return the reply to a repeated claim, not granted, from the row of the earlier claim."""
        if row.digest != digest:
            return Err(
                Failure(ResultCode.REQUEST_ID_REUSED, "claimed before with another path or body")
            )
        if row.code is None and not self._may_still_record(row):
            return Err(
                Failure(
                    ResultCode.OUTCOME_UNKNOWN, f"{row.holder} did not record an outcome in time"
                )
            )
        # A "not run" outcome comes from an open claim of this entry, before it is in the table;
        # once it is there, the request id can be claimed again. The caller may retry after 1 s.
        if row.code is None or row.is_proven_not_run:
            return Err(Failure(ResultCode.IN_PROGRESS, f"claimed by {row.holder}", 1.0))
        if row.code != ResultCode.OK:
            return Err(Failure(ResultCode(row.code), "outcome of an earlier request with this id"))
        if row.answer is None:
            return Err(
                Failure(ResultCode.ANSWER_EXPIRED, "the answer was too large to be recorded")
            )
        return Ok(RecordedAnswer(row.answer))

    def _may_still_record(self, row: ClaimRow) -> bool:
        """Return whether the holder of a claim may still record its outcome.

        An older incarnation on this VM cannot, nor one that is not live. Any other can for
        `in_progress_seconds` after this entry first read its claim.
        """
        if row.holder == self._incarnation:
            return True
        if _vm_of(row.holder) == _vm_of(self._incarnation) or not self._is_live(row.holder):
            return False
        now = self._timers.now()
        since = self._in_progress_since.setdefault((row.holder, row.nonce), now)
        while len(self._in_progress_since) > self._settings.max_unrecorded:
            self._in_progress_since.popitem(last=False)
        return now - since < self._settings.in_progress_seconds

    def _refusal(self, write: WriteClaim) -> Failure | None:
        second = request_id_unix_second(write.request_id)
        if second is not None and second < self._watermark:
            return Failure(ResultCode.REQUEST_ID_EXPIRED, write.request_id)
        latest = self._wall_clock() + self._settings.max_future_seconds
        if second is not None and second > latest:
            return Failure(ResultCode.BAD_REQUEST, "the request id's time is too far in the future")
        if self._timers.now() < self._refuse_until:
            return self._unavailable("a recent store call failed")
        if len(self._open_claims) >= self._settings.max_unrecorded:
            return self._unavailable("too many claims have no recorded outcome")
        return None

    def _unavailable(self, detail: str) -> Failure:
        return Failure(ResultCode.STORE_UNAVAILABLE, detail, self._settings.retry_seconds)

    def _flush_within(self, seconds: float) -> None:
        """Flush at the latest after `seconds`; an earlier flush timer stays."""
        flush_at = self._timers.now() + seconds
        if self._flush_timer and self._flush_timer.due <= flush_at:
            return
        if self._flush_timer:
            self._flush_timer.cancel()
        self._flush_timer = self._timers.call_at(flush_at, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        while (
            self._claims_to_write or self._outcomes_to_write
        ) and self._calls_in_flight < self._settings.max_calls:
            batch = _Batch()
            while self._claims_to_write and len(batch.claims) < self._settings.max_batch:
                batch.claims.append(self._claims_to_write.popleft())
            while self._outcomes_to_write and len(batch.outcomes) < self._settings.max_batch:
                batch.outcomes.append(self._outcomes_to_write.popleft())
            self._commit(batch)
        self._has_backlog = bool(self._claims_to_write or self._outcomes_to_write)

    def _call_ended(self) -> None:
        self._calls_in_flight -= 1
        if self._has_backlog:
            self._flush_within(0.0)

    def _commit(self, batch: _Batch) -> None:
        conditions = [Condition(CLAIMS_TABLE, WATERMARK_KEY, self._watermark_revision)]
        writes = []
        for claim in batch.members:
            claim.tries += 1
            conditions.append(Condition(CLAIMS_TABLE, claim.key, claim.revision))
            writes.append(Write(CLAIMS_TABLE, claim.key, encode_row(claim.row)))
        self._calls_in_flight += 1
        self._counters.transactions += 1
        self._counters.rows_written += len(writes)
        transaction = Transaction(tuple(conditions), tuple(writes))
        self._store.commit(transaction, lambda result: self._committed(batch, result))

    def _committed(self, batch: _Batch, result: Result[Committed, Failure]) -> None:
        self._call_ended()
        match result:
            case Ok(committed):
                for claim, revision in zip(batch.members, committed.revisions, strict=True):
                    claim.revision = revision
                for claim in batch.claims:
                    self._grant(claim)
                for claim in batch.outcomes:
                    self._close_claim(claim)
            case Err(failure) if failure.code in _UNCERTAIN_CODES:
                self._counters.conflicts += failure.code is ResultCode.STORE_CONFLICT
                self._counters.replies_lost += failure.code is ResultCode.STORE_OUTCOME_UNKNOWN
                self._read_back(batch)
            case Err(failure):
                self._store_failed(batch, may_be_written=False)

    def _read_back(self, batch: _Batch) -> None:
        """Read the rows of a commit that conflicted or whose outcome is unknown."""
        keys = [StoreKey(CLAIMS_TABLE, WATERMARK_KEY)]
        keys += [StoreKey(CLAIMS_TABLE, claim.key) for claim in batch.members]
        self._calls_in_flight += 1
        self._counters.reads += 1
        self._store.read(tuple(keys), lambda result: self._resolve_batch(batch, result))

    def _resolve_batch(self, batch: _Batch, result: Result[tuple[Row, ...], Failure]) -> None:
        self._call_ended()
        if isinstance(result, Err):
            self._store_failed(batch, may_be_written=True)
            return
        watermark, *rows = result.ok_value
        self._watermark = int(watermark.value or b"0")
        self._watermark_revision = watermark.revision
        retry = _Batch()
        for claim, row in zip(batch.claims, rows, strict=False):
            if self._resolve_claim(claim, row):
                retry.claims.append(claim)
        for claim, row in zip(batch.outcomes, rows[len(batch.claims) :], strict=True):
            if row.revision == claim.revision:
                retry.outcomes.append(claim)
            else:
                self._close_claim(claim)
        if retry.members:
            self._commit(retry)

    def _resolve_claim(self, claim: _Claim, row: Row) -> bool:
        """Grant, refuse or answer a claim by the row that was read; return whether to retry it."""
        if claim.tries >= self._settings.max_tries:
            self._refuse(
                claim, self._unavailable("the claim row was not written after repeated tries")
            )
            self._add_uncertain_claim(claim)
            return False
        if row.revision == 0:
            claim.revision = 0
            return not self._has_expired(claim)
        decoded = guard_decoding(lambda: decode_row(row.value))
        if isinstance(decoded, Err):
            detail = f"the claim row cannot be decoded: {decoded.err_value}"
            self._refuse(claim, self._unavailable(detail))
            return False
        found = decoded.ok_value
        if found.holder == self._incarnation and found.nonce == claim.row.nonce:
            claim.revision = row.revision
            self._grant(claim)
            return False
        return self._resolve_other(claim, row.revision, found)

    def _resolve_other(self, claim: _Claim, revision: int, found: ClaimRow) -> bool:
        """Answer a claim whose row holds another claim, or return True to commit it again.

        The row may be replaced if its claim was not run, or if it is an older claim of this
        incarnation that was refused although its row was written.
        """
        self._counters.repeated += 1
        never_granted = found.holder == self._incarnation and found.code is None
        if found.digest == claim.row.digest and (found.is_proven_not_run or never_granted):
            claim.revision = revision
            return True
        del self._open_claims[claim.key]
        self._answered(claim.handle, self._outcome_of_row(found, claim.row.digest))
        return False

    def _has_expired(self, claim: _Claim) -> bool:
        second = request_id_unix_second(claim.key.rpartition("/")[2])
        if second is None or second >= self._watermark:
            return False
        self._refuse(claim, Failure(ResultCode.REQUEST_ID_EXPIRED, claim.key))
        return True

    def _store_failed(self, batch: _Batch, may_be_written: bool) -> None:
        self._refuse_until = self._timers.now() + self._settings.refuse_after_failure_seconds
        for claim in batch.claims:
            self._refuse(claim, self._unavailable("the table service failed or did not answer"))
            if may_be_written:
                self._add_uncertain_claim(claim)
        self._outcomes_to_write.extend(batch.outcomes)
        if self._outcomes_to_write:
            self._flush_within(self._settings.retry_seconds)

    def _grant(self, claim: _Claim) -> None:
        claim.granted = True
        self._counters.granted += 1
        self._answered(claim.handle, Ok(Claimed()))

    def _refuse(self, claim: _Claim, failure: Failure) -> None:
        self._open_claims.pop(claim.key, None)
        self._counters.refused += 1
        self._answered(claim.handle, Err(failure))

    def _close_claim(self, claim: _Claim) -> None:
        self._open_claims.pop(claim.key, None)

    def _add_uncertain_claim(self, claim: _Claim) -> None:
        """Watch a refused claim whose row may have been written."""
        until = self._timers.now() + self._settings.uncertain_seconds
        self._uncertain_claims[claim.key] = (until, claim)
        self._schedule_uncertain_check()

    def _schedule_uncertain_check(self) -> None:
        if self._uncertain_claims and self._uncertain_timer is None:
            seconds = self._settings.retry_seconds
            self._uncertain_timer = self._timers.call_later(seconds, self._check_uncertain_claims)

    def _check_uncertain_claims(self) -> None:
        self._uncertain_timer = None
        now = self._timers.now()
        self._uncertain_claims = {
            key: each for key, each in self._uncertain_claims.items() if each[0] > now
        }
        claims = [
            claim for _, claim in list(self._uncertain_claims.values())[: self._settings.max_batch]
        ]
        if not claims:
            return
        self._counters.reads += 1
        keys = tuple(StoreKey(CLAIMS_TABLE, claim.key) for claim in claims)
        self._store.read(keys, lambda result: self._release_written_claims(claims, result))

    def _release_written_claims(
        self, claims: list[_Claim], result: Result[tuple[Row, ...], Failure]
    ) -> None:
        """Record "not run" in the rows of refused claims that the store wrote after all."""
        rows = result.ok_value if isinstance(result, Ok) else ()
        for claim, row in zip(claims, rows, strict=False):
            if row.revision == 0 or claim.key in self._open_claims:
                continue
            self._uncertain_claims.pop(claim.key, None)
            decoded = guard_decoding(lambda value=row.value: decode_row(value))
            if isinstance(decoded, Err):
                continue
            found = decoded.ok_value
            if found.holder != self._incarnation or found.nonce != claim.row.nonce:
                continue
            claim.revision = row.revision
            claim.row = replace(claim.row, code=int(ResultCode.STORE_UNAVAILABLE))
            self._open_claims[claim.key] = claim
            self._outcomes_to_write.append(claim)
            self._flush_within(self._settings.batch_seconds)
        self._schedule_uncertain_check()


def _vm_of(incarnation: str) -> str:
    return incarnation.partition("/")[0]
