"""Simulates an endpoint in virtual time that reports its executions to the oracle."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from pumicedeck.attempts import ExecutionEnd
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.oracles import ObservedExecution
from pumicedeck.results import Failure, ResultCode

if TYPE_CHECKING:
    from pumicedeck.simulated_processes import AgentProcess
    from pumicedeck.simulations import Simulation

CONNECT_DELAY_SECONDS = 0.001
CHUNK_INTERVAL_SECONDS = 0.06
CHUNKS = 5

_REFUSED = Failure(ResultCode.ENDPOINT_UNREACHABLE, "connection refused", proven_not_run=True)
_BROKEN = Failure(ResultCode.ENDPOINT_FAILED, "connection broke before the end of the answer")
_CANCELLED = Failure(ResultCode.CANCELLED, "execution cancelled")


def expected_answer(request_id: str, body: bytes) -> bytes:
    """Return the only correct answer to a request."""
    digest = hashlib.sha256(request_id.encode() + b"/" + body).hexdigest()
    return (digest * 2).encode()


@dataclass(slots=True)
class _Execution:
    """One execution; its output is lost unless `is_connected`."""

    agent: AgentProcess
    dispatch: Dispatch
    is_connected: bool = True
    is_stopped: bool = False


class SimulatedEndpoint:
    """Answers in five chunks; `version` is the weight version that its answers name."""

    def __init__(self, simulation: Simulation, name: str, version: int, slots: int = 1) -> None:
        """Create an endpoint that accepts connections."""
        self.slots = slots
        self.is_up = True
        self._simulation = simulation
        self._name = name
        self._version = version
        self._executions: dict[tuple[str, AttemptId], _Execution] = {}

    def start(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Connect and execute a dispatch."""
        self._simulation.time.call_later(
            CONNECT_DELAY_SECONDS, lambda: self._execute(agent, dispatch)
        )

    def cancel(self, agent: AgentProcess, attempt: AttemptId) -> None:
        """Cancel an execution."""
        execution = self._executions.get((agent.incarnation, attempt))
        if execution:
            execution.is_stopped = True
            self._end_execution(execution, Err(_CANCELLED))

    def crash(self) -> None:
        """Break all connections, end their executions and refuse new connections."""
        self.is_up = False
        for execution in list(self._executions.values()):
            execution.is_stopped = True
            self._end_execution(execution, Err(_BROKEN))

    def silence(self) -> None:
        """Stop output on the open connections, while their executions continue; new ones work."""
        for execution in self._executions.values():
            execution.is_connected = False

    def running(self, agent: str) -> int:
        """Return how many executions of an agent incarnation run on working connections."""
        return sum(
            key[0] == agent and execution.is_connected
            for key, execution in self._executions.items()
        )

    def _execute(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        if not self.is_up:
            agent.execution_ended(dispatch.attempt, Err(_REFUSED))
            return
        now = self._simulation.time.now()
        handle, request_id = dispatch.prefix, dispatch.request_id
        self._simulation.oracle.record_execution(
            ObservedExecution(handle, request_id, agent.incarnation, self._version, now)
        )
        execution = _Execution(agent, dispatch)
        self._executions[(agent.incarnation, dispatch.attempt)] = execution
        self._simulation.observe_execution(agent, dispatch)
        body = expected_answer(request_id, dispatch.body)
        size = -(-len(body) // CHUNKS)
        parts = [body[start : start + size] for start in range(0, len(body), size)]
        self._simulation.time.call_later(
            CHUNK_INTERVAL_SECONDS, lambda: self._produce_chunk(execution, parts)
        )

    def _produce_chunk(self, execution: _Execution, parts: list[bytes]) -> None:
        if execution.is_stopped:
            return
        if not parts:
            self._simulation.observe_finish(execution.agent, execution.dispatch)
            self._end_execution(
                execution, Ok(ExecutionEnd(200, "text/plain", CHUNKS, (self._version,)))
            )
            return
        if execution.is_connected:
            self._simulation.observe_chunk(execution.agent, execution.dispatch)
            execution.agent.chunk_produced(execution.dispatch.attempt, parts[0])
        self._simulation.time.call_later(
            CHUNK_INTERVAL_SECONDS, lambda: self._produce_chunk(execution, parts[1:])
        )

    def _end_execution(self, execution: _Execution, outcome: Result[ExecutionEnd, Failure]) -> None:
        attempt = execution.dispatch.attempt
        self._executions.pop((execution.agent.incarnation, attempt), None)
        if execution.is_connected:
            call_after = self._simulation.time.call_later
            call_after(
                CONNECT_DELAY_SECONDS, lambda: execution.agent.execution_ended(attempt, outcome)
            )
