"""What the entry keeps of its requests until their final answers."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any

from pumicedeck.actions import CallerAnswer, CallerRequest
from pumicedeck.deadlines import Deadlines
from pumicedeck.messages import Answer, AttemptId, Dispatch
from pumicedeck.results import Execution, Failure, ResultCode
from pumicedeck.routers import RouteQuery

MAX_RECORDED_STREAM_BYTES = 16 * 1024


class RequestPhase(IntEnum):
    """Where a request stands at the entry."""

    CLAIMING = 1
    WAITING = 2
    SENT = 3
    DETACHED = 4
    REVOKING = 5


@dataclass(slots=True)
class PendingRequest:
    """A request without its final answer; times are monotonic seconds of the entry.

    `may_have_run` says that the outcome of an earlier attempt is unknown. `abandoned` says that
    the caller is gone and only the outcome is still wanted. `gap_at` is the offset from which
    the rest of a stream was asked for.
    """

    request: CallerRequest
    query: RouteQuery
    deadline: float
    queue_deadline: float
    phase: RequestPhase = RequestPhase.WAITING
    claimed: bool = False
    attempt: AttemptId | None = None
    agent: str = ""
    attempts: int = 0
    excluded: tuple[str, ...] = ()
    started: bool = False
    abandoned: bool = False
    may_have_run: bool = False
    resend_requested: bool = False
    resend_offset: int = -1
    delivered: int = 0
    digest: Any = field(default_factory=hashlib.sha256)
    last_failure: Failure | None = None
    recordable_output: bytearray = field(default_factory=bytearray)

    @property
    def is_retryable(self) -> bool:
        """Return whether the request may be tried again although it may have run."""
        return self.request.idempotent and self.delivered == 0

    @property
    def routing_deadline(self) -> float:
        """Return until when an attempt may still be sent."""
        return min(self.queue_deadline, self.deadline)

    def revoke_time(self, revoke_seconds: float) -> float:
        """Return when an attempt that was not reported as started is revoked."""
        return self.deadline - min(revoke_seconds, self.request.budget / 4)

    def begin_attempt(self, attempt: AttemptId, agent: str) -> None:
        """Turn to a new attempt at `agent`."""
        self.attempt = attempt
        self.agent = agent
        self.attempts += 1
        self.started = False
        self.resend_requested = False
        self.resend_offset = -1

    def dispatch(self, now: float, floor: int) -> Dispatch:
        """Return the message for the current attempt."""
        assert self.attempt is not None
        request = self.request
        return Dispatch(
            attempt=self.attempt,
            agent=self.agent,
            request_id=request.request_id,
            entry_name=request.entry.name,
            firm=request.entry.firm,
            request_class=request.entry.request_class,
            idempotent=request.idempotent,
            streamed=request.streamed,
            path=request.path,
            body=request.body,
            budget=self.deadline - now,
            queue_budget=max(0.0, self.routing_deadline - now),
            expected_tokens=request.expected_tokens,
            priority=request.priority,
            prefix=request.prefix,
            model=request.entry.model,
            draft=request.draft,
            floor=floor,
        )

    def append(self, offset: int, data: bytes) -> bytes:
        """Count the bytes of a chunk that are new and return them."""
        new_bytes = data[self.delivered - offset :]
        self.delivered += len(new_bytes)
        self.digest.update(new_bytes)
        if self.claimed and self.delivered <= MAX_RECORDED_STREAM_BYTES:
            self.recordable_output += new_bytes
        return new_bytes

    def is_complete(self, answer: Answer) -> bool:
        """Return whether length and digest of an answer match what arrived."""
        if self.request.streamed:
            return answer.length == self.delivered and answer.digest == self.digest.hexdigest()
        digest = hashlib.sha256(answer.body).hexdigest()
        return answer.length == len(answer.body) and answer.digest == digest

    def caller_answer(self, answer: Answer) -> CallerAnswer:
        """Return what the caller gets for a whole answer."""
        return CallerAnswer(
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            length=answer.length,
            digest=answer.digest,
            tokens=answer.tokens,
            versions=answer.versions,
            bracketed=answer.bracketed,
            queue_wait=answer.queue_wait,
            agent=self.agent,
        )

    def recorded_answer(self, answer: CallerAnswer) -> CallerAnswer:
        """Return what a repetition gets: a short stream whole, a long one without its bytes."""
        if self.request.streamed and len(self.recordable_output) == answer.length:
            return replace(answer, body=bytes(self.recordable_output))
        return answer

    def final_failure(self, failure: Failure) -> Failure:
        """Return a failure that is true of all attempts, not only of the last one."""
        if self.delivered:
            return Failure(ResultCode.STREAM_BROKEN, failure.detail)
        if self.may_have_run and failure.execution is Execution.NOT_RUN:
            return Failure(ResultCode.OUTCOME_UNKNOWN, failure.detail, failure.retry_after)
        return failure


class PendingRequests:
    """Pending requests by caller handle and by attempt; sequences are never reused."""

    def __init__(self, incarnation: str) -> None:
        """Number the attempts of one entry incarnation."""
        self._incarnation = incarnation
        self._by_handle: dict[str, PendingRequest] = {}
        self._by_sequence: OrderedDict[int, PendingRequest] = OrderedDict()
        self._next_sequence = 1
        self._deadlines: Deadlines[str] = Deadlines()

    @property
    def floor(self) -> int:
        """Return the lowest sequence that is not settled."""
        return next(iter(self._by_sequence), self._next_sequence)

    def __len__(self) -> int:
        """Return how many requests have no final answer."""
        return len(self._by_handle)

    def add(self, pending: PendingRequest) -> None:
        """Take in a request."""
        self._by_handle[pending.request.handle] = pending

    def remove(self, pending: PendingRequest) -> None:
        """Forget a request that has its final answer."""
        self.end_attempt(pending)
        self._deadlines.remove(pending.request.handle)
        del self._by_handle[pending.request.handle]

    def find(self, handle: str) -> PendingRequest | None:
        """Return the request of a caller."""
        return self._by_handle.get(handle)

    def find_attempt(self, attempt: AttemptId, agent: str) -> PendingRequest | None:
        """Return the request whose current attempt at `agent` is this one."""
        pending = self._by_sequence.get(attempt.sequence)
        if pending and pending.attempt == attempt and pending.agent == agent:
            return pending
        return None

    def at_agent(self, agent: str) -> list[PendingRequest]:
        """Return the requests with an attempt at `agent`."""
        return [each for each in self._by_sequence.values() if each.agent == agent]

    def begin_attempt(self, pending: PendingRequest, agent: str) -> None:
        """Give the request a new attempt at `agent`."""
        attempt = AttemptId(self._incarnation, self._next_sequence)
        self._next_sequence += 1
        self._by_sequence[attempt.sequence] = pending
        pending.begin_attempt(attempt, agent)

    def end_attempt(self, pending: PendingRequest) -> None:
        """Settle the current attempt: later messages about it are late."""
        if pending.attempt:
            del self._by_sequence[pending.attempt.sequence]
        pending.attempt = None

    def enter_phase(self, pending: PendingRequest, phase: RequestPhase, phase_end: float) -> None:
        """Move the request to a phase that ends at `due` unless something happens before."""
        pending.phase = phase
        self._deadlines.set(pending.request.handle, min(phase_end, pending.deadline))

    def next_deadline(self) -> float | None:
        """Return the earliest end of a phase."""
        return self._deadlines.next_deadline()

    def pop_expired(self, now: float) -> list[PendingRequest]:
        """Return the requests whose phase has ended."""
        return [self._by_handle[handle] for handle in self._deadlines.pop_expired(now)]
