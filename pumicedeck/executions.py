"""Runs dispatches at the endpoint of an agent: a plain service or a model engine."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from pumicedeck.attempts import ExecutionEnd
from pumicedeck.attributions import Attribution
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.clocks import TimerQueue
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.platform_interfaces import (
    Generation,
    GenerationEnd,
    ModelEngine,
    PlainService,
    ServiceCall,
    ServiceReply,
    TokenChunk,
)
from pumicedeck.results import Execution, Failure, ResultCode
from pumicedeck.swaps import RunningDraft
from pumicedeck.weight_followers import WeightFollower


class ExecutionListener(Protocol):
    """Receives output and ends of executions."""

    def execution_chunk(self, attempt: AttemptId, data: bytes, tokens: int) -> None:
        """Receive bytes that the endpoint produced, with their number of tokens."""

    def execution_finished(
        self, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]
    ) -> None:
        """Receive the end of an execution."""


MAX_RESUMES = 3
_ENGINE_FAILURE_CODES = (ResultCode.ENDPOINT_FAILED, ResultCode.ENDPOINT_UNREACHABLE)


class Executions(ABC):
    """Base class of executions at an endpoint; `start` is called at most once per attempt."""

    def __init__(self, incarnation: str, listener: ExecutionListener) -> None:
        """Report to `listener`; `incarnation` is the prefix of the handles at the endpoint."""
        self._incarnation = incarnation
        self._listener = listener

    @abstractmethod
    def start(self, dispatch: Dispatch) -> None:
        """Pass a dispatch to the endpoint."""

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an execution; does nothing unless the subclass supports it."""

    def running_drafts(self, catalogue: Catalogue) -> list[RunningDraft]:
        """Return the running drafts; a plain service has none."""
        return []

    def _handle(self, attempt: AttemptId) -> str:
        return f"{self._incarnation}:{attempt.entry}:{attempt.sequence}"


class ServiceExecutions(Executions):
    """Calls a plain service once for each dispatch."""

    def __init__(
        self, incarnation: str, listener: ExecutionListener, service: PlainService
    ) -> None:
        """Create executions that call `service`."""
        super().__init__(incarnation, listener)
        self._service = service

    def start(self, dispatch: Dispatch) -> None:
        """Call the service with a dispatch."""
        handle = self._handle(dispatch.attempt)
        call = ServiceCall(handle, dispatch.request_id, dispatch.path, dispatch.body)
        self._service.call(call, lambda outcome: self._on_reply(dispatch.attempt, outcome))

    def _on_reply(self, attempt: AttemptId, outcome: Result[ServiceReply, Failure]) -> None:
        match outcome:
            case Ok(reply):
                self._listener.execution_chunk(attempt, reply.body, 0)
                end = ExecutionEnd(reply.status, reply.content_type)
                self._listener.execution_finished(attempt, Ok(end))
            case Err(failure):
                self._listener.execution_finished(attempt, Err(failure))


@dataclass(slots=True)
class _Generation:
    """A running generation; `started_at` is monotonic time, `output` what was received."""

    dispatch: Dispatch
    started_at: float
    output: bytearray = field(default_factory=bytearray)
    resumes: int = 0
    tokens: int = 0
    oldest_version: int = -1

    def record_chunk(self, chunk: TokenChunk) -> None:
        """Update the token count and the oldest weight version from a chunk.

        A chunk at offset 0 starts both anew.
        """
        self.tokens = chunk.tokens + (self.tokens if chunk.offset else 0)
        if chunk.versions and (self.oldest_version < 0 or not chunk.offset):
            self.oldest_version = min(chunk.versions)


class EngineExecutions(Executions):
    """Generates with a model engine and attributes drafts to weight versions.

    An engine may restart a running generation when its weights change. It then sends a chunk at
    an offset below the number of bytes it has sent. The output of a request that is not streamed
    is therefore held back until its end; a streamed request whose output changes fails.
    """

    def __init__(
        self,
        incarnation: str,
        listener: ExecutionListener,
        engine: ModelEngine,
        weights: WeightFollower,
        timers: TimerQueue,
    ) -> None:
        """Generate with `engine`; `weights` provides the weight versions of drafts."""
        super().__init__(incarnation, listener)
        self._engine = engine
        self._weights = weights
        self._attributions = weights.attributions
        self._timers = timers
        self._running: dict[AttemptId, _Generation] = {}

    def start(self, dispatch: Dispatch) -> None:
        """Start a generation; a draft whose weight versions cannot be attributed now is refused."""
        attempt = dispatch.attempt
        if dispatch.draft is not None:
            admitted = self._weights.admit(dispatch.model)
            if isinstance(admitted, Err):
                self._listener.execution_finished(attempt, admitted)
                return
            handle = self._handle(attempt)
            self._attributions.started(self._timers.now(), handle, dispatch.model)
        self._running[attempt] = _Generation(dispatch, self._timers.now())
        self._generate(dispatch, 0)

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel the generation of an attempt at the engine."""
        self._engine.cancel(self._handle(attempt))

    def running_drafts(self, catalogue: Catalogue) -> list[RunningDraft]:
        """Return the running drafts, from which the swap policy is chosen.

        The remaining seconds are extrapolated from the tokens produced so far.
        """
        now = self._timers.now()
        drafts = []
        for running in self._running.values():
            entry = catalogue.entry(running.dispatch.entry_name)
            if running.dispatch.draft is None or entry is None:
                continue
            elapsed = now - running.started_at
            tokens_left = max(0, running.dispatch.expected_tokens - running.tokens)
            remaining = elapsed * tokens_left / running.tokens if running.tokens else elapsed
            version = running.oldest_version
            if version < 0:
                version = self._weights.version(entry.model)
            drafts.append(RunningDraft(entry, elapsed, remaining, version))
        return drafts

    def _generate(self, dispatch: Dispatch, resume_offset: int) -> None:
        attempt = dispatch.attempt
        generation = Generation(
            handle=self._handle(attempt),
            model=dispatch.model,
            path=dispatch.path,
            body=dispatch.body,
            priority=dispatch.priority,
            streamed=dispatch.streamed,
            resume_offset=resume_offset,
        )
        self._engine.generate(
            generation,
            lambda chunk: self._on_chunk(attempt, chunk),
            lambda outcome: self._on_end(attempt, outcome),
        )

    def _on_chunk(self, attempt: AttemptId, chunk: TokenChunk) -> None:
        running = self._running.get(attempt)
        if running is None:
            return
        if chunk.offset > len(running.output):
            self._fail(attempt, "bytes are missing in the engine's output")
            return
        repeated_bytes = len(running.output) - chunk.offset
        if (
            running.dispatch.streamed
            and bytes(running.output[chunk.offset :]) != chunk.data[:repeated_bytes]
        ):
            self._fail(attempt, "the engine restarted a streamed generation")
            return
        del running.output[chunk.offset :]
        running.output += chunk.data
        if running.dispatch.draft is not None:
            self._attributions.chunk(self._handle(attempt), chunk)
            running.record_chunk(chunk)
        if running.dispatch.streamed:
            self._listener.execution_chunk(attempt, chunk.data[repeated_bytes:], chunk.tokens)

    def _on_end(self, attempt: AttemptId, outcome: Result[GenerationEnd, Failure]) -> None:
        running = self._running.get(attempt)
        if running is None:
            return
        match outcome:
            case Ok(end):
                self._finish(attempt, running, end)
            case Err(failure):
                self._resume_or_fail(attempt, running, failure)

    def _finish(self, attempt: AttemptId, running: _Generation, end: GenerationEnd) -> None:
        if end.length != len(running.output):
            self._fail(
                attempt, f"{len(running.output)} of {end.length} bytes of engine output arrived"
            )
            return
        attribution = Attribution(())
        if running.dispatch.draft is not None:
            handle = self._handle(attempt)
            attributed = self._attributions.finished(self._timers.now(), handle, end.tokens)
            if isinstance(attributed, Err):
                self._fail(attempt, attributed.err_value.detail)
                return
            attribution = attributed.ok_value
        del self._running[attempt]
        if not running.dispatch.streamed:
            self._listener.execution_chunk(attempt, bytes(running.output), end.tokens)
        execution_end = ExecutionEnd(
            end.status,
            end.content_type,
            end.tokens,
            attribution.versions,
            attribution.bracketed,
        )
        self._listener.execution_finished(attempt, Ok(execution_end))

    def _resume_or_fail(self, attempt: AttemptId, running: _Generation, failure: Failure) -> None:
        """Resume a failed generation up to MAX_RESUMES times, else report its failure.

        Once the engine has produced output, the failure must not say "not run".
        """
        # With offset 0 the engine could not distinguish a resumed generation from a new one.
        resumable = failure.code is ResultCode.ENDPOINT_FAILED and len(running.output) > 0
        if resumable and running.resumes < MAX_RESUMES:
            running.resumes += 1
            self._generate(running.dispatch, len(running.output))
            return
        del self._running[attempt]
        self._attributions.dropped(self._handle(attempt))
        if failure.code in _ENGINE_FAILURE_CODES:
            self._weights.engine_failed()
        has_started = len(running.output) > 0 or running.resumes > 0
        if has_started and failure.execution is Execution.NOT_RUN:
            failure = Failure(ResultCode.ENDPOINT_FAILED, failure.detail)
        self._listener.execution_finished(attempt, Err(failure))

    def _fail(self, attempt: AttemptId, detail: str) -> None:
        del self._running[attempt]
        self._attributions.dropped(self._handle(attempt))
        self._engine.cancel(self._handle(attempt))
        failure = Failure(ResultCode.ENDPOINT_FAILED, detail)
        self._listener.execution_finished(attempt, Err(failure))
