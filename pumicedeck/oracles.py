"""Compares what callers were told with what the endpoints executed in a simulation.

The oracle is independent of the state machines: endpoints report executions to it, and callers
report the answers that they receive.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from pumicedeck.actions import CallerAnswer
from pumicedeck.results import Execution, Failure, ResultCode

DEADLINE_TOLERANCE_SECONDS = 0.1
MAX_NEW_WORK_SECONDS = 3.0


class Promise(StrEnum):
    """Guarantees that must hold under every fault."""

    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    NOT_RUN_IS_TRUE = "what is refused as not run did not run"
    WHOLE_AND_OWN = "an answer is whole and the caller's own"
    CLEAN_END = "a partial answer has no clean end"
    ONE_FINAL_ANSWER = "each call gets exactly one final answer"
    IN_TIME = "the final answer comes within the time budget"
    NO_NEW_WORK = "a leaving endpoint gets no new work after 3 seconds"
    NOTHING_CUT_OFF = "a drain cuts off nothing in flight"
    NOTHING_LEFT = "slots, queues and pending requests come free"
    TRUE_VERSIONS = "an answer names the weight versions that produced it"


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that did not hold, with the calls or processes concerned."""

    promise: Promise
    detail: str


@dataclass(frozen=True, slots=True)
class ExpectedCall:
    """One call as its caller made it at second `made_at`; `body` is the correct answer."""

    handle: str
    request_id: str
    idempotent: bool
    streamed: bool
    body: bytes
    made_at: float
    budget: float
    is_repetition: bool = False


@dataclass(frozen=True, slots=True)
class ObservedExecution:
    """One execution of a request at an endpoint, begun at second `began_at`."""

    handle: str
    request_id: str
    agent: str
    version: int
    began_at: float


@dataclass(slots=True)
class _ReceivedAnswers:
    """What the caller received for one call; `last_answer_at` in seconds."""

    chunks: bytearray = field(default_factory=bytearray)
    final_answers: list[CallerAnswer | Failure] = field(default_factory=list)
    last_answer_at: float = 0.0


class Oracle:
    """Records calls, executions and answers; `violations` checks them when the run is over."""

    def __init__(self) -> None:
        """Create an oracle without any records."""
        self._calls: dict[str, ExpectedCall] = {}
        self._received: dict[str, _ReceivedAnswers] = {}
        self._executions: list[ObservedExecution] = []
        self._no_answer_allowed: set[str] = set()
        self._late_answer_allowed: set[str] = set()
        self._corruption_allowed: set[str] = set()
        self._drains_started_at: dict[str, float] = {}
        self._cut_off: list[str] = []
        self._unreleased: list[str] = []

    def record_call(self, call: ExpectedCall) -> None:
        """Record a call when it is made."""
        self._calls[call.handle] = call
        self._received[call.handle] = _ReceivedAnswers()

    def record_execution(self, execution: ObservedExecution) -> None:
        """Record that an endpoint started to execute a request."""
        self._executions.append(execution)

    def chunk_received(self, handle: str, data: bytes) -> None:
        """Record bytes that a caller received."""
        self._received[handle].chunks += data

    def final_answer_received(self, now: float, handle: str, final: CallerAnswer | Failure) -> None:
        """Record a final answer that a caller received."""
        received = self._received[handle]
        received.final_answers.append(final)
        received.last_answer_at = now

    def allow_no_answer(self, handle: str) -> None:
        """Allow a call to get no answer: its entry was killed or its caller disconnected."""
        self._no_answer_allowed.add(handle)

    def allow_late_answer(self, handle: str) -> None:
        """Allow a late answer to a call whose entry was paused."""
        self._late_answer_allowed.add(handle)

    def allow_corrupted_chunks(self, handle: str) -> None:
        """Allow wrong bytes in a stream with a corrupted chunk; it must still end in an error."""
        self._corruption_allowed.add(handle)

    def drain_started(self, now: float, agent: str) -> None:
        """Record that the drain of an agent started at `now`."""
        self._drains_started_at.setdefault(agent, now)

    def record_cut_off_work(self, detail: str) -> None:
        """Record work that was still open when its process reported that it was drained."""
        self._cut_off.append(detail)

    def record_unreleased(self, detail: str) -> None:
        """Record requests that a process still holds at the end of the run."""
        self._unreleased.append(detail)

    def final_answer(self, handle: str) -> CallerAnswer | Failure | None:
        """Return the first final answer that a call got, or None."""
        final_answers = self._received[handle].final_answers
        return final_answers[0] if final_answers else None

    def violations(self, all_must_succeed: bool = False) -> list[Violation]:
        """Return all violations; `all_must_succeed` also reports every call that failed."""
        found_violations = self._duplicates() + self._executions_after_drain()
        found_violations += [Violation(Promise.NOTHING_CUT_OFF, detail) for detail in self._cut_off]
        found_violations += [Violation(Promise.NOTHING_LEFT, detail) for detail in self._unreleased]
        for handle, call in self._calls.items():
            found_violations += self._check_call(call, self._received[handle])
            if all_must_succeed and not self._has_succeeded(call):
                detail = f"{handle} ended with {self.final_answer(handle)}"
                found_violations.append(Violation(Promise.NOTHING_CUT_OFF, detail))
        return found_violations

    def _has_succeeded(self, call: ExpectedCall) -> bool:
        final = self.final_answer(call.handle)
        if isinstance(final, Failure):
            return call.is_repetition and final.code is ResultCode.IN_PROGRESS
        return final is not None

    def _duplicates(self) -> list[Violation]:
        idempotent_ids = {each.request_id for each in self._calls.values() if each.idempotent}
        runs = Counter(each.request_id for each in self._executions)
        return [
            Violation(Promise.AT_MOST_ONCE, f"{request_id} ran {count} times")
            for request_id, count in runs.items()
            if count > 1 and request_id not in idempotent_ids
        ]

    def _executions_after_drain(self) -> list[Violation]:
        found_violations = []
        for each in self._executions:
            drain_started_at = self._drains_started_at.get(each.agent)
            if (
                drain_started_at is not None
                and each.began_at > drain_started_at + MAX_NEW_WORK_SECONDS
            ):
                found_violations.append(
                    Violation(Promise.NO_NEW_WORK, f"{each.handle} started at {each.agent}")
                )
        return found_violations

    def _check_call(self, call: ExpectedCall, received: _ReceivedAnswers) -> list[Violation]:
        found_violations = []
        is_corrupted = call.handle in self._corruption_allowed
        if not call.body.startswith(bytes(received.chunks)) and not is_corrupted:
            found_violations.append(
                Violation(Promise.WHOLE_AND_OWN, f"wrong chunks of {call.handle}")
            )
        required = 0 if call.handle in self._no_answer_allowed else 1
        if not required <= len(received.final_answers) <= 1:
            detail = f"{call.handle}, final answers: {len(received.final_answers)}"
            found_violations.append(Violation(Promise.ONE_FINAL_ANSWER, detail))
        if received.final_answers and call.handle not in self._late_answer_allowed:
            if received.last_answer_at > call.made_at + call.budget + DEADLINE_TOLERANCE_SECONDS:
                found_violations.append(
                    Violation(
                        Promise.IN_TIME, f"{call.handle} answered at {received.last_answer_at}"
                    )
                )
        for final in received.final_answers:
            if isinstance(final, Failure):
                found_violations += self._check_failure(call, final)
            else:
                found_violations += self._check_answer(call, received, final)
        return found_violations

    def _check_failure(self, call: ExpectedCall, failure: Failure) -> list[Violation]:
        ran = any(each.handle == call.handle for each in self._executions)
        if failure.execution is Execution.NOT_RUN and ran:
            detail = f"{call.handle} ran but was refused with {failure.code.name}"
            return [Violation(Promise.NOT_RUN_IS_TRUE, detail)]
        return []

    def _check_answer(
        self, call: ExpectedCall, received: _ReceivedAnswers, answer: CallerAnswer
    ) -> list[Violation]:
        found_violations = []
        body = bytes(received.chunks) if call.streamed else answer.body
        if body != call.body:
            partial = call.streamed and call.body.startswith(body)
            promise = Promise.CLEAN_END if partial else Promise.WHOLE_AND_OWN
            found_violations.append(
                Violation(
                    promise, f"{call.handle} got wrong or incomplete content of {len(body)} bytes"
                )
            )
        executing_versions = {
            (each.version,) for each in self._executions if each.request_id == call.request_id
        }
        if answer.versions not in executing_versions:
            found_violations.append(
                Violation(
                    Promise.TRUE_VERSIONS, f"{call.handle} names weight versions {answer.versions}"
                )
            )
        return found_violations
