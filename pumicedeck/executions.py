"""Runs dispatches at the endpoint beside an agent."""

from abc import ABC, abstractmethod
from typing import Protocol

from result import Err, Ok, Result

from pumicedeck.agent_requests import ExecutionEnd
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.platforms import (
    Generation,
    GenerationEnd,
    ModelEngine,
    PlainService,
    ServiceCall,
    ServiceReply,
    TokenChunk,
)
from pumicedeck.results import Failure


class ExecutionListener(Protocol):
    """Hears of the progress of executions."""

    def execution_chunk(self, attempt: AttemptId, data: bytes, tokens: int) -> None:
        """Take bytes that the endpoint produced."""

    def execution_finished(
        self, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]
    ) -> None:
        """Take the end of an execution."""


class VersionWitness(Protocol):
    """Attributes a generation to weight versions from reports and the record of swaps."""

    def started(self, handle: str, model: str) -> None:
        """Take note that a generation starts."""

    def reported(self, handle: str, chunk: TokenChunk) -> None:
        """Take the versions that the engine reports with a chunk."""

    def ended(self, handle: str) -> tuple[tuple[int, ...], bool]:
        """Return the versions, and whether they only bracket the true ones."""


class Executions(ABC):
    """Base of what runs dispatches; `start` never runs an attempt twice."""

    def __init__(self, incarnation: str, listener: ExecutionListener) -> None:
        """Name executions after the agent's incarnation."""
        self._incarnation = incarnation
        self._listener = listener

    @abstractmethod
    def start(self, dispatch: Dispatch) -> None:
        """Hand a dispatch over to the endpoint."""

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an execution where the endpoint can."""

    def _handle(self, attempt: AttemptId) -> str:
        return f"{self._incarnation}:{attempt.entry}:{attempt.sequence}"


class ServiceExecutions(Executions):
    """Calls a plain service once for each dispatch."""

    def __init__(
        self, incarnation: str, listener: ExecutionListener, service: PlainService
    ) -> None:
        """Call `service`."""
        super().__init__(incarnation, listener)
        self._service = service

    def start(self, dispatch: Dispatch) -> None:
        """Make the call."""
        handle = self._handle(dispatch.attempt)
        call = ServiceCall(handle, dispatch.request_id, dispatch.path, dispatch.body)
        self._service.call(call, lambda outcome: self._replied(dispatch.attempt, outcome))

    def _replied(self, attempt: AttemptId, outcome: Result[ServiceReply, Failure]) -> None:
        match outcome:
            case Ok(reply):
                self._listener.execution_chunk(attempt, reply.body, 0)
                end = ExecutionEnd(reply.status, reply.content_type)
                self._listener.execution_finished(attempt, Ok(end))
            case Err(failure):
                self._listener.execution_finished(attempt, Err(failure))


class EngineExecutions(Executions):
    """Generates with a model engine."""

    def __init__(
        self,
        incarnation: str,
        listener: ExecutionListener,
        engine: ModelEngine,
        witness: VersionWitness,
    ) -> None:
        """Generate with `engine` and attribute what it produces by `witness`."""
        super().__init__(incarnation, listener)
        self._engine = engine
        self._witness = witness

    def start(self, dispatch: Dispatch) -> None:
        """Start the generation."""
        attempt = dispatch.attempt
        handle = self._handle(attempt)
        generation = Generation(
            handle=handle,
            model=dispatch.model,
            path=dispatch.path,
            body=dispatch.body,
            priority=dispatch.priority,
            streamed=dispatch.streamed,
        )
        self._witness.started(handle, dispatch.model)
        self._engine.generate(
            generation,
            lambda chunk: self._produced(attempt, handle, chunk),
            lambda outcome: self._ended(attempt, handle, outcome),
        )

    def cancel(self, attempt: AttemptId) -> None:
        """Stop the generation."""
        self._engine.cancel(self._handle(attempt))

    def _produced(self, attempt: AttemptId, handle: str, chunk: TokenChunk) -> None:
        self._witness.reported(handle, chunk)
        self._listener.execution_chunk(attempt, chunk.data, chunk.tokens)

    def _ended(
        self, attempt: AttemptId, handle: str, outcome: Result[GenerationEnd, Failure]
    ) -> None:
        versions, bracketed = self._witness.ended(handle)
        match outcome:
            case Ok(end):
                whole = ExecutionEnd(end.status, end.content_type, end.tokens, versions, bracketed)
                self._listener.execution_finished(attempt, Ok(whole))
            case Err(failure):
                self._listener.execution_finished(attempt, Err(failure))
