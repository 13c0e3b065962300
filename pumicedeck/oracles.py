"""Checks what callers were told against what the endpoints really executed.

The oracle knows nothing of the state machines: it hears of executions from the endpoints and of
answers where callers receive them.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from pumicedeck.actions import CallerAnswer
from pumicedeck.results import Execution, Failure, ResultCode

DEADLINE_SLACK_SECONDS = 0.1
NEW_WORK_SECONDS = 3.0


class Promise(StrEnum):
    """What must hold whatever fails."""

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
    """A promise that did not hold, and where."""

    promise: Promise
    detail: str


@dataclass(frozen=True, slots=True)
class ExpectedCall:
    """One call as its caller made it; `body` is the true answer to it."""

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
    """One run of a request at an endpoint."""

    handle: str
    request_id: str
    agent: str
    version: int
    began_at: float


@dataclass(slots=True)
class _Told:
    chunks: bytearray = field(default_factory=bytearray)
    finals: list[CallerAnswer | Failure] = field(default_factory=list)
    last_at: float = 0.0


class Oracle:
    """Collects executions and answers; `violations` judges them at the end."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self._calls: dict[str, ExpectedCall] = {}
        self._told: dict[str, _Told] = {}
        self._executions: list[ObservedExecution] = []
        self._excused: set[str] = set()
        self._late: set[str] = set()
        self._damaged: set[str] = set()
        self._drains: dict[str, float] = {}
        self._cut_off: list[str] = []
        self._left: list[str] = []

    def record_call(self, call: ExpectedCall) -> None:
        """Take note of a call."""
        self._calls[call.handle] = call
        self._told[call.handle] = _Told()

    def record_execution(self, execution: ObservedExecution) -> None:
        """Take note that an endpoint began to run a request."""
        self._executions.append(execution)

    def chunk_received(self, handle: str, data: bytes) -> None:
        """Take note of bytes that reached a caller."""
        self._told[handle].chunks += data

    def final_answer_received(self, now: float, handle: str, final: CallerAnswer | Failure) -> None:
        """Take note of a final answer that reached a caller."""
        told = self._told[handle]
        told.finals.append(final)
        told.last_at = now

    def allow_no_answer(self, handle: str) -> None:
        """The call's connection is gone: its entry died or its caller left."""
        self._excused.add(handle)

    def allow_late_answer(self, handle: str) -> None:
        """The call's entry was stopped for a while."""
        self._late.add(handle)

    def allow_corrupted_chunks(self, handle: str) -> None:
        """A chunk was damaged on its way: the stream may only end in an error."""
        self._damaged.add(handle)

    def drain_started(self, now: float, agent: str) -> None:
        """Take note that an agent was told to leave."""
        self._drains.setdefault(agent, now)

    def record_cut_off_work(self, detail: str) -> None:
        """Take note of work that a process left behind when it said it was drained."""
        self._cut_off.append(detail)

    def record_unreleased(self, detail: str) -> None:
        """Take note of what a process still holds when all should be over."""
        self._left.append(detail)

    def final(self, handle: str) -> CallerAnswer | Failure | None:
        """Return what a caller was told in the end."""
        finals = self._told[handle].finals
        return finals[0] if finals else None

    def violations(self, all_must_succeed: bool = False) -> list[Violation]:
        """Judge all that was seen; without a fault every call must succeed."""
        found = self._duplicates() + self._late_work()
        found += [Violation(Promise.NOTHING_CUT_OFF, detail) for detail in self._cut_off]
        found += [Violation(Promise.NOTHING_LEFT, detail) for detail in self._left]
        for handle, call in self._calls.items():
            found += self._judge_call(call, self._told[handle])
            if all_must_succeed and not self._has_succeeded(call):
                detail = f"{handle} ended with {self.final(handle)}"
                found.append(Violation(Promise.NOTHING_CUT_OFF, detail))
        return found

    def _has_succeeded(self, call: ExpectedCall) -> bool:
        final = self.final(call.handle)
        if isinstance(final, Failure):
            return call.is_repetition and final.code is ResultCode.IN_PROGRESS
        return final is not None

    def _duplicates(self) -> list[Violation]:
        repeatable = {each.request_id for each in self._calls.values() if each.idempotent}
        runs = Counter(each.request_id for each in self._executions)
        return [
            Violation(Promise.AT_MOST_ONCE, f"{request_id} ran {count} times")
            for request_id, count in runs.items()
            if count > 1 and request_id not in repeatable
        ]

    def _late_work(self) -> list[Violation]:
        found = []
        for each in self._executions:
            began = self._drains.get(each.agent)
            if began is not None and each.began_at > began + NEW_WORK_SECONDS:
                found.append(Violation(Promise.NO_NEW_WORK, f"{each.handle} at {each.agent}"))
        return found

    def _judge_call(self, call: ExpectedCall, told: _Told) -> list[Violation]:
        found = []
        is_damaged = call.handle in self._damaged
        if not call.body.startswith(bytes(told.chunks)) and not is_damaged:
            found.append(Violation(Promise.WHOLE_AND_OWN, f"chunks of {call.handle}"))
        wanted = 0 if call.handle in self._excused else 1
        if not wanted <= len(told.finals) <= 1:
            detail = f"{call.handle} got {len(told.finals)}"
            found.append(Violation(Promise.ONE_FINAL_ANSWER, detail))
        if told.finals and call.handle not in self._late:
            if told.last_at > call.made_at + call.budget + DEADLINE_SLACK_SECONDS:
                found.append(Violation(Promise.IN_TIME, f"{call.handle} at {told.last_at}"))
        for final in told.finals:
            if isinstance(final, Failure):
                found += self._judge_failure(call, final)
            else:
                found += self._judge_answer(call, told, final)
        return found

    def _judge_failure(self, call: ExpectedCall, failure: Failure) -> list[Violation]:
        ran = any(each.handle == call.handle for each in self._executions)
        if failure.execution is Execution.NOT_RUN and ran:
            detail = f"{call.handle} was told {failure.code.name}"
            return [Violation(Promise.NOT_RUN_IS_TRUE, detail)]
        return []

    def _judge_answer(
        self, call: ExpectedCall, told: _Told, answer: CallerAnswer
    ) -> list[Violation]:
        found = []
        body = bytes(told.chunks) if call.streamed else answer.body
        if body != call.body:
            partial = call.streamed and call.body.startswith(body)
            promise = Promise.CLEAN_END if partial else Promise.WHOLE_AND_OWN
            found.append(Violation(promise, f"{call.handle} got {len(body)} bytes"))
        made_by = {
            (each.version,) for each in self._executions if each.request_id == call.request_id
        }
        if answer.versions not in made_by:
            found.append(Violation(Promise.TRUE_VERSIONS, f"{call.handle}: {answer.versions}"))
        return found
