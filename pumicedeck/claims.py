"""Claims of non-idempotent requests in the table service, grouped into transactions.

A request is dispatched only by the entry incarnation whose claim row was written under the
condition that there was none. Each transaction also checks the watermark row: an id below the
watermark has lost its row and is refused.
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

FLUSH_CHECK_SECONDS = 0.05

Answered = Callable[[str, ClaimOutcome], None]

_IN_DOUBT = (ResultCode.STORE_CONFLICT, ResultCode.STORE_OUTCOME_UNKNOWN)


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Times in seconds and bounds of claims."""

    call_seconds: float = 0.5
    group_seconds: float = 0.005
    outcome_seconds: float = 2.0
    max_group: int = 64
    max_calls: int = 4
    max_tries: int = 3
    max_held: int = 50_000
    kept_bytes: int = 16 * 1024
    opaque_kept_bytes: int = 1024
    retry_seconds: float = 1.0
    refuse_seconds: float = 0.5
    doubt_seconds: float = 30.0
    leave_seconds: float = 5.0
    in_progress_seconds: float = 150.0
    max_ahead_seconds: float = 86_400.0


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
    key: str
    handle: str
    row: ClaimRow
    revision: int = 0
    tries: int = 0
    granted: bool = False


@dataclass(slots=True)
class _Group:
    claims: list[_Claim] = field(default_factory=list)
    outcomes: list[_Claim] = field(default_factory=list)

    @property
    def members(self) -> list[_Claim]:
        return self.claims + self.outcomes


class Claims:
    """Claims request ids for one entry incarnation and records their outcomes.

    `answered` hears once of every claim. `is_live` tells whether an entry incarnation may still
    work on what it claimed.
    """

    def __init__(
        self,
        incarnation: str,
        store: TableStore,
        timers: TimerQueue,
        answered: Answered,
        is_live: Callable[[str], bool],
        wall_clock: Callable[[], float],
        settings: ClaimSettings | None = None,
    ) -> None:
        """Use `store` within bounded time; the wall clock only refuses ids far in the future."""
        self._incarnation = incarnation
        self._settings = settings or ClaimSettings()
        self._store = TimedTableStore(store, timers, self._settings.call_seconds)
        self._timers = timers
        self._answered = answered
        self._is_live = is_live
        self._wall_clock = wall_clock
        self._held: dict[str, _Claim] = {}
        self._claims: deque[_Claim] = deque()
        self._outcomes: deque[_Claim] = deque()
        self._seen: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._doubts: dict[str, tuple[float, _Claim]] = {}
        self._watermark = 0
        self._watermark_revision = 0
        self._calls = 0
        self._is_blocked = False
        self._nonce = 0
        self._refuse_until = float("-inf")
        self._flush_timer: Timer | None = None
        self._doubt_timer: Timer | None = None
        self._counters = ClaimCounters()

    @property
    def counters(self) -> ClaimCounters:
        """Return a copy of the counts."""
        return replace(self._counters)

    @property
    def unrecorded(self) -> int:
        """Return how many claims have no recorded outcome yet."""
        return len(self._held)

    def close(self) -> None:
        """Stop the timers; what is not recorded stays in progress in the store."""
        for timer in (self._flush_timer, self._doubt_timer):
            if timer:
                timer.cancel()

    def claim(self, write: WriteClaim) -> None:
        """Claim a request id; `answered` hears of the outcome."""
        self._counters.claims += 1
        if self._answer_from_memory(write):
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
        self._held[key] = claim
        self._claims.append(claim)
        self._flush_within(self._settings.group_seconds)

    def record(self, record: RecordOutcome) -> None:
        """Write the outcome of a granted claim, together with others."""
        claim = self._held.get(claim_key(record.firm, record.request_id))
        if claim is None or not claim.granted or claim.row.code is not None:
            return
        self._counters.outcomes += 1
        max_bytes = self._settings.kept_bytes
        if claim.key.startswith(OPAQUE_PREFIX):
            max_bytes = self._settings.opaque_kept_bytes
        claim.row = claim.row.finished(record.code, record.answer, max_bytes)
        claim.tries = 0
        self._outcomes.append(claim)
        self._flush_within(self._settings.outcome_seconds)

    def flush(self, done: Callable[[], None] | None = None) -> None:
        """Write what waits for company now, because the process is leaving.

        `done` is called once all is recorded, at the latest after `leave_seconds`.
        """
        self._flush_within(0.0)
        if done:
            self._done_when_recorded(done, self._timers.now() + self._settings.leave_seconds)

    def _done_when_recorded(self, done: Callable[[], None], latest: float) -> None:
        if not self._held or self._timers.now() >= latest:
            done()
            return
        self._timers.call_later(FLUSH_CHECK_SECONDS, lambda: self._done_when_recorded(done, latest))

    def _answer_from_memory(self, write: WriteClaim) -> bool:
        """Answer a repetition of what this entry works on or has not recorded yet."""
        held = self._held.get(claim_key(write.firm, write.request_id))
        if held is None:
            return False
        self._counters.repeated += 1
        self._answered(write.handle, self._outcome_of_row(held.row, write.body_digest))
        return True

    def _outcome_of_row(self, row: ClaimRow, digest: str) -> ClaimOutcome:
        """Return what a claim row says to a repetition that may not be granted."""
        if row.digest != digest:
            return Err(Failure(ResultCode.REQUEST_ID_REUSED, "claimed with another body"))
        if row.code is None and not self._may_still_work(row):
            return Err(Failure(ResultCode.OUTCOME_UNKNOWN, f"{row.holder} is gone"))
        if row.code is None or row.is_proven_not_run:
            return Err(Failure(ResultCode.IN_PROGRESS, f"held by {row.holder}", 1.0))
        if row.code != ResultCode.OK:
            return Err(Failure(ResultCode(row.code), "recorded outcome"))
        if row.answer is None:
            return Err(Failure(ResultCode.ANSWER_EXPIRED, "the answer was not kept"))
        return Ok(RecordedAnswer(row.answer))

    def _may_still_work(self, row: ClaimRow) -> bool:
        """Tell whether the holder may still record an outcome, as far as one can know."""
        if row.holder == self._incarnation:
            return True
        if _vm_of(row.holder) == _vm_of(self._incarnation) or not self._is_live(row.holder):
            return False
        now = self._timers.now()
        seen_at = self._seen.setdefault((row.holder, row.nonce), now)
        while len(self._seen) > self._settings.max_held:
            self._seen.popitem(last=False)
        return now - seen_at < self._settings.in_progress_seconds

    def _refusal(self, write: WriteClaim) -> Failure | None:
        second = request_id_unix_second(write.request_id)
        if second is not None and second < self._watermark:
            return Failure(ResultCode.REQUEST_ID_EXPIRED, write.request_id)
        latest = self._wall_clock() + self._settings.max_ahead_seconds
        if second is not None and second > latest:
            return Failure(ResultCode.BAD_REQUEST, "the request id is from the future")
        if self._timers.now() < self._refuse_until:
            return self._unavailable("the store failed just now")
        if len(self._held) >= self._settings.max_held:
            return self._unavailable("too many outcomes are not recorded yet")
        return None

    def _unavailable(self, detail: str) -> Failure:
        return Failure(ResultCode.STORE_UNAVAILABLE, detail, self._settings.retry_seconds)

    def _flush_within(self, seconds: float) -> None:
        due = self._timers.now() + seconds
        if self._flush_timer and self._flush_timer.due <= due:
            return
        if self._flush_timer:
            self._flush_timer.cancel()
        self._flush_timer = self._timers.call_at(due, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        while (self._claims or self._outcomes) and self._calls < self._settings.max_calls:
            group = _Group()
            while self._claims and len(group.claims) < self._settings.max_group:
                group.claims.append(self._claims.popleft())
            while self._outcomes and len(group.outcomes) < self._settings.max_group:
                group.outcomes.append(self._outcomes.popleft())
            self._commit(group)
        self._is_blocked = bool(self._claims or self._outcomes)

    def _call_ended(self) -> None:
        self._calls -= 1
        if self._is_blocked:
            self._flush_within(0.0)

    def _commit(self, group: _Group) -> None:
        conditions = [Condition(CLAIMS_TABLE, WATERMARK_KEY, self._watermark_revision)]
        writes = []
        for claim in group.members:
            claim.tries += 1
            conditions.append(Condition(CLAIMS_TABLE, claim.key, claim.revision))
            writes.append(Write(CLAIMS_TABLE, claim.key, encode_row(claim.row)))
        self._calls += 1
        self._counters.transactions += 1
        self._counters.rows_written += len(writes)
        transaction = Transaction(tuple(conditions), tuple(writes))
        self._store.commit(transaction, lambda result: self._committed(group, result))

    def _committed(self, group: _Group, result: Result[Committed, Failure]) -> None:
        self._call_ended()
        match result:
            case Ok(committed):
                for claim, revision in zip(group.members, committed.revisions, strict=True):
                    claim.revision = revision
                for claim in group.claims:
                    self._grant(claim)
                for claim in group.outcomes:
                    self._settled(claim)
            case Err(failure) if failure.code in _IN_DOUBT:
                self._counters.conflicts += failure.code is ResultCode.STORE_CONFLICT
                self._counters.replies_lost += failure.code is ResultCode.STORE_OUTCOME_UNKNOWN
                self._read_back(group)
            case Err(failure):
                self._store_failed(group, in_doubt=False)

    def _read_back(self, group: _Group) -> None:
        keys = [StoreKey(CLAIMS_TABLE, WATERMARK_KEY)]
        keys += [StoreKey(CLAIMS_TABLE, claim.key) for claim in group.members]
        self._calls += 1
        self._counters.reads += 1
        self._store.read(tuple(keys), lambda result: self._resolve(group, result))

    def _resolve(self, group: _Group, result: Result[tuple[Row, ...], Failure]) -> None:
        self._call_ended()
        if isinstance(result, Err):
            self._store_failed(group, in_doubt=True)
            return
        watermark, *rows = result.ok_value
        self._watermark = int(watermark.value or b"0")
        self._watermark_revision = watermark.revision
        again = _Group()
        for claim, row in zip(group.claims, rows, strict=False):
            if self._resolve_claim(claim, row):
                again.claims.append(claim)
        for claim, row in zip(group.outcomes, rows[len(group.claims) :], strict=True):
            if row.revision == claim.revision:
                again.outcomes.append(claim)
            else:
                self._settled(claim)
        if again.members:
            self._commit(again)

    def _resolve_claim(self, claim: _Claim, row: Row) -> bool:
        """Answer a claim by the row that was read; True if it should be tried again."""
        if claim.tries >= self._settings.max_tries:
            self._refuse(claim, self._unavailable("the claim was not written"))
            self._doubt(claim)
            return False
        if row.revision == 0:
            claim.revision = 0
            return not self._has_expired(claim)
        found = decode_row(row.value)
        if found.holder == self._incarnation and found.nonce == claim.row.nonce:
            claim.revision = row.revision
            self._grant(claim)
            return False
        return self._resolve_other(claim, row.revision, found)

    def _resolve_other(self, claim: _Claim, revision: int, found: ClaimRow) -> bool:
        self._counters.repeated += 1
        never_granted = found.holder == self._incarnation and found.code is None
        if found.digest == claim.row.digest and (found.is_proven_not_run or never_granted):
            claim.revision = revision
            return True
        del self._held[claim.key]
        self._answered(claim.handle, self._outcome_of_row(found, claim.row.digest))
        return False

    def _has_expired(self, claim: _Claim) -> bool:
        second = request_id_unix_second(claim.key.rpartition("/")[2])
        if second is None or second >= self._watermark:
            return False
        self._refuse(claim, Failure(ResultCode.REQUEST_ID_EXPIRED, claim.key))
        return True

    def _store_failed(self, group: _Group, in_doubt: bool) -> None:
        self._refuse_until = self._timers.now() + self._settings.refuse_seconds
        for claim in group.claims:
            self._refuse(claim, self._unavailable("the table service does not answer"))
            if in_doubt:
                self._doubt(claim)
        self._outcomes.extend(group.outcomes)
        if self._outcomes:
            self._flush_within(self._settings.retry_seconds)

    def _grant(self, claim: _Claim) -> None:
        claim.granted = True
        self._counters.granted += 1
        self._answered(claim.handle, Ok(Claimed()))

    def _refuse(self, claim: _Claim, failure: Failure) -> None:
        self._held.pop(claim.key, None)
        self._counters.refused += 1
        self._answered(claim.handle, Err(failure))

    def _settled(self, claim: _Claim) -> None:
        self._held.pop(claim.key, None)

    def _doubt(self, claim: _Claim) -> None:
        until = self._timers.now() + self._settings.doubt_seconds
        self._doubts[claim.key] = (until, claim)
        self._check_doubts_later()

    def _check_doubts_later(self) -> None:
        if self._doubts and self._doubt_timer is None:
            seconds = self._settings.retry_seconds
            self._doubt_timer = self._timers.call_later(seconds, self._check_doubts)

    def _check_doubts(self) -> None:
        self._doubt_timer = None
        now = self._timers.now()
        self._doubts = {key: each for key, each in self._doubts.items() if each[0] > now}
        claims = [claim for _, claim in list(self._doubts.values())[: self._settings.max_group]]
        if not claims:
            return
        self._counters.reads += 1
        keys = tuple(StoreKey(CLAIMS_TABLE, claim.key) for claim in claims)
        self._store.read(keys, lambda result: self._release_written(claims, result))

    def _release_written(
        self, claims: list[_Claim], result: Result[tuple[Row, ...], Failure]
    ) -> None:
        """Record "not run" in the rows of refused claims that were written after all."""
        rows = result.ok_value if isinstance(result, Ok) else ()
        for claim, row in zip(claims, rows, strict=False):
            if row.revision == 0 or claim.key in self._held:
                continue
            self._doubts.pop(claim.key, None)
            found = decode_row(row.value)
            if found.holder != self._incarnation or found.nonce != claim.row.nonce:
                continue
            claim.revision = row.revision
            claim.row = replace(claim.row, code=int(ResultCode.STORE_UNAVAILABLE))
            self._held[claim.key] = claim
            self._outcomes.append(claim)
            self._flush_within(self._settings.group_seconds)
        self._check_doubts_later()


def _vm_of(incarnation: str) -> str:
    return incarnation.partition("/")[0]
