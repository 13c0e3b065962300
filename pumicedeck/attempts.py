"""State of an attempt at the agent, from its dispatch to the end of its answer."""

import hashlib
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from result import Err, Result

from pumicedeck.messages import Answer, Chunk, Dispatch, Message, Started
from pumicedeck.results import Execution, Failure, ResultCode

RESEND_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class ExecutionEnd:
    """Status and metadata of a complete endpoint answer; its bytes were passed as chunks."""

    status: int
    content_type: str
    tokens: int = 0
    versions: tuple[int, ...] = ()
    bracketed: bool = False


_FAILED_END = ExecutionEnd(0, "")


class AttemptPhase(IntEnum):
    """Phase of an attempt at the agent."""

    QUEUED = 1
    RUNNING = 2
    FINISHED = 3


@dataclass(slots=True)
class Attempt:
    """An accepted dispatch; times are monotonic seconds of the agent process.

    `attached` says that output and answer are sent to the entry as soon as they exist.
    """

    dispatch: Dispatch
    arrived_at: float
    phase: AttemptPhase = AttemptPhase.QUEUED
    attached: bool = True
    cancelled: bool = False
    started_at: float = 0.0
    output: bytearray = field(default_factory=bytearray)
    digest: Any = field(default_factory=hashlib.sha256)
    answer: Answer | None = None

    @property
    def queue_wait(self) -> float:
        """Return the seconds between arrival and start at the endpoint."""
        return self.started_at - self.arrived_at

    def append(self, data: bytes) -> Chunk:
        """Append bytes of the endpoint and return the message that forwards them."""
        offset = len(self.output)
        self.output += data
        self.digest.update(data)
        return Chunk(self.dispatch.attempt, offset, data)

    def truncate(self, offset: int) -> None:
        """Discard the output from `offset` on."""
        del self.output[offset:]
        self.digest = hashlib.sha256(self.output)

    def messages_from(self, offset: int) -> list[Message]:
        """Return the messages for an entry that has received `offset` bytes of the answer."""
        if self.phase is AttemptPhase.QUEUED:
            return []
        attempt = self.dispatch.attempt
        messages: list[Message] = [Started(attempt, self.queue_wait)]
        if self.dispatch.streamed:
            for start in range(offset, len(self.output), RESEND_CHUNK_BYTES):
                part = bytes(self.output[start : start + RESEND_CHUNK_BYTES])
                messages.append(Chunk(attempt, start, part))
        if self.answer:
            messages.append(self.answer)
        return messages

    def end(self, now: float, outcome: Result[ExecutionEnd, Failure]) -> Answer:
        """Mark the attempt as finished and return its answer."""
        self.phase = AttemptPhase.FINISHED
        self.answer = self._build_answer(now, outcome)
        return self.answer

    def is_proven_not_run(self, failure: Failure) -> bool:
        """Return whether a failure proves that the endpoint did not run the attempt."""
        if self.output:
            return False
        return failure.proven_not_run or failure.code is ResultCode.ENDPOINT_UNREACHABLE

    def _build_answer(self, now: float, outcome: Result[ExecutionEnd, Failure]) -> Answer:
        failure = outcome.err_value if isinstance(outcome, Err) else None
        end = _FAILED_END if failure else outcome.ok_value
        has_body = failure is None and not self.dispatch.streamed
        return Answer(
            attempt=self.dispatch.attempt,
            code=int(_end_code(failure) if failure else ResultCode.OK),
            status=end.status,
            content_type=end.content_type,
            body=bytes(self.output) if has_body else b"",
            length=len(self.output),
            digest=self.digest.hexdigest(),
            detail=failure.detail if failure else "",
            tokens=end.tokens,
            versions=end.versions,
            bracketed=end.bracketed,
            queue_wait=self.queue_wait,
            service_time=now - self.started_at,
        )


def _end_code(failure: Failure) -> ResultCode:
    if failure.code.info.execution is Execution.MAY_HAVE_RUN:
        return failure.code
    return ResultCode.ENDPOINT_FAILED
