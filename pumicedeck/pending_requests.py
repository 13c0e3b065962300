"""State of the requests at an entry until their final answers."""

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
    """Phase of a request at the entry.

    CLAIMING waits for the claim, WAITING for an agent to route to, SENT for the answer, DETACHED
    for a new session to the agent and REVOKING for the reply to a revoke.
    """

    CLAIMING = 1
    WAITING = 2
    SENT = 3
    DETACHED = 4
    REVOKING = 5


@dataclass(slots=True)
class PendingRequest:
    """A request without its final answer; times are monotonic seconds of the entry process.

    `may_have_run` is set when the outcome of an earlier attempt is unknown. `abandoned` is set
    when the caller has disconnected and the outcome is only recorded. `excluded` are the agents
    that the next attempt avoids. `resend_requested` is set when an incomplete answer was requested
    again; `resend_offset` is the offset from which missing stream output was last requested.
    `delivered` counts the stream bytes received so far without a gap; `digest` is their SHA-256.
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
        """Return whether the request may be tried again although an attempt may have run."""
        return self.request.idempotent and self.delivered == 0

    @property
    def routing_deadline(self) -> float:
        """Return the time until which an attempt may be sent."""
        return min(self.queue_deadline, self.deadline)

    def revoke_time(self, revoke_seconds: float) -> float:
        """Return when an attempt that was not reported as started is revoked.

        That is `revoke_seconds` before the deadline, at most a quarter of the budget before it.
        """
        return self.deadline - min(revoke_seconds, self.request.budget / 4)

    def begin_attempt(self, attempt: AttemptId, agent: str) -> None:
        """Reset the state of the current attempt for a new one at `agent`."""
        self.attempt = attempt
        self.agent = agent
        self.attempts += 1
        self.started = False
        self.resend_requested = False
        self.resend_offset = -1

    def build_dispatch(self, now: float, floor: int) -> Dispatch:
        """Build the dispatch message of the open attempt; it carries the catalogue entry's data."""
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
        """Record and return the bytes of a chunk that were not delivered before."""
        new_bytes = data[self.delivered - offset :]
        self.delivered += len(new_bytes)
        self.digest.update(new_bytes)
        if self.claimed and self.delivered <= MAX_RECORDED_STREAM_BYTES:
            self.recordable_output += new_bytes
        return new_bytes

    def is_complete(self, answer: Answer) -> bool:
        """Return whether length and digest of an answer match the received bytes."""
        if self.request.streamed:
            return answer.length == self.delivered and answer.digest == self.digest.hexdigest()
        digest = hashlib.sha256(answer.body).hexdigest()
        return answer.length == len(answer.body) and answer.digest == digest

    def caller_answer(self, answer: Answer) -> CallerAnswer:
        """Convert a complete answer into the one for the caller."""
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
        """Return the answer to record for repeated requests.

        A stream of up to MAX_RECORDED_STREAM_BYTES is recorded with its bytes, a longer one
        without them.
        """
        if self.request.streamed and len(self.recordable_output) == answer.length:
            return replace(answer, body=bytes(self.recordable_output))
        return answer

    def final_failure(self, failure: Failure) -> Failure:
        """Return a failure for the caller that holds for all attempts, not only the last."""
        if self.delivered:
            return Failure(ResultCode.STREAM_BROKEN, failure.detail)
        if self.may_have_run and failure.execution is Execution.NOT_RUN:
            return Failure(ResultCode.OUTCOME_UNKNOWN, failure.detail, failure.retry_after)
        return failure


class PendingRequests:
    """Pending requests by caller handle and by open attempt; sequences are never reused."""

    def __init__(self, incarnation: str) -> None:
        """Create an empty collection; `incarnation` is the entry in the ids of attempts."""
        self._incarnation = incarnation
        self._by_handle: dict[str, PendingRequest] = {}
        self._by_sequence: OrderedDict[int, PendingRequest] = OrderedDict()
        self._next_sequence = 1
        self._deadlines: Deadlines[str] = Deadlines()

    @property
    def floor(self) -> int:
        """Return the lowest sequence of an open attempt, or the next one if none is open."""
        return next(iter(self._by_sequence), self._next_sequence)

    def __len__(self) -> int:
        """Return how many requests have no final answer."""
        return len(self._by_handle)

    def add(self, pending: PendingRequest) -> None:
        """Add a request."""
        self._by_handle[pending.request.handle] = pending

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request that has its final answer and end its attempt."""
        self.end_attempt(pending)
        self._deadlines.remove(pending.request.handle)
        del self._by_handle[pending.request.handle]

    def find(self, handle: str) -> PendingRequest | None:
        """Return the request of a caller handle; None if it is not pending."""
        return self._by_handle.get(handle)

    def find_attempt(self, attempt: AttemptId, agent: str) -> PendingRequest | None:
        """Return the request whose open attempt is `attempt` at `agent`; None if there is none."""
        pending = self._by_sequence.get(attempt.sequence)
        if pending and pending.attempt == attempt and pending.agent == agent:
            return pending
        return None

    def at_agent(self, agent: str) -> list[PendingRequest]:
        """Return the requests with an open attempt at `agent`."""
        return [each for each in self._by_sequence.values() if each.agent == agent]

    def begin_attempt(self, pending: PendingRequest, agent: str) -> None:
        """Open a new attempt of the request at `agent`."""
        attempt = AttemptId(self._incarnation, self._next_sequence)
        self._next_sequence += 1
        self._by_sequence[attempt.sequence] = pending
        pending.begin_attempt(attempt, agent)

    def end_attempt(self, pending: PendingRequest) -> None:
        """End the open attempt, if any; later messages about it are handled as late."""
        if pending.attempt:
            del self._by_sequence[pending.attempt.sequence]
        pending.attempt = None

    def enter_phase(self, pending: PendingRequest, phase: RequestPhase, phase_end: float) -> None:
        """Move the request to a phase that ends at `phase_end` or at the request's deadline."""
        pending.phase = phase
        self._deadlines.set(pending.request.handle, min(phase_end, pending.deadline))

    def next_deadline(self) -> float | None:
        """Return the earliest end of a phase; None if no request is in a phase that ends."""
        return self._deadlines.next_deadline()

    def pop_expired(self, now: float) -> list[PendingRequest]:
        """Return the requests whose phase has ended."""
        return [self._by_handle[handle] for handle in self._deadlines.pop_expired(now)]
