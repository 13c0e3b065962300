"""An endpoint in virtual time that tells the oracle what it really executes."""

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

CONNECT_SECONDS = 0.001
CHUNK_SECONDS = 0.06
CHUNKS = 5

_REFUSED = Failure(ResultCode.ENDPOINT_UNREACHABLE, "connection refused", proven_not_run=True)
_BROKEN = Failure(ResultCode.ENDPOINT_FAILED, "the connection broke")
_CANCELLED = Failure(ResultCode.CANCELLED, "stopped")


def expected_answer(request_id: str, body: bytes) -> bytes:
    """Return the only right answer to a request."""
    digest = hashlib.sha256(request_id.encode() + b"/" + body).hexdigest()
    return (digest * 2).encode()


@dataclass(slots=True)
class _Run:
    agent: AgentProcess
    dispatch: Dispatch
    is_connected: bool = True
    is_stopped: bool = False


class SimulatedEndpoint:
    """Answers in chunks; `version` is what it names as the producer."""

    def __init__(self, simulation: Simulation, name: str, version: int, slots: int = 1) -> None:
        """Take connections from the start."""
        self.slots = slots
        self.is_up = True
        self._simulation = simulation
        self._name = name
        self._version = version
        self._runs: dict[tuple[str, AttemptId], _Run] = {}

    def start(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        """Connect and run a dispatch."""
        self._simulation.time.call_later(CONNECT_SECONDS, lambda: self._begin(agent, dispatch))

    def cancel(self, agent: AgentProcess, attempt: AttemptId) -> None:
        """Stop a run."""
        run = self._runs.get((agent.incarnation, attempt))
        if run:
            run.is_stopped = True
            self._end(run, Err(_CANCELLED))

    def crash(self) -> None:
        """Break all connections and refuse new ones."""
        self.is_up = False
        for run in list(self._runs.values()):
            run.is_stopped = True
            self._end(run, Err(_BROKEN))

    def silence(self) -> None:
        """Let the open connections go silent; new ones work."""
        for run in self._runs.values():
            run.is_connected = False

    def running(self, agent: str) -> int:
        """Return how many runs of an agent incarnation go on and are still listened to."""
        return sum(key[0] == agent and run.is_connected for key, run in self._runs.items())

    def _begin(self, agent: AgentProcess, dispatch: Dispatch) -> None:
        if not self.is_up:
            agent.execution_ended(dispatch.attempt, Err(_REFUSED))
            return
        now = self._simulation.time.now()
        handle, request_id = dispatch.prefix, dispatch.request_id
        self._simulation.oracle.record_execution(
            ObservedExecution(handle, request_id, agent.incarnation, self._version, now)
        )
        run = _Run(agent, dispatch)
        self._runs[(agent.incarnation, dispatch.attempt)] = run
        self._simulation.executing(agent, dispatch)
        body = expected_answer(request_id, dispatch.body)
        size = -(-len(body) // CHUNKS)
        parts = [body[start : start + size] for start in range(0, len(body), size)]
        self._simulation.time.call_later(CHUNK_SECONDS, lambda: self._produce(run, parts))

    def _produce(self, run: _Run, parts: list[bytes]) -> None:
        if run.is_stopped:
            return
        if not parts:
            self._simulation.finished(run.agent, run.dispatch)
            self._end(run, Ok(ExecutionEnd(200, "text/plain", CHUNKS, (self._version,))))
            return
        if run.is_connected:
            self._simulation.chunk_produced(run.agent, run.dispatch)
            run.agent.chunk_produced(run.dispatch.attempt, parts[0])
        self._simulation.time.call_later(CHUNK_SECONDS, lambda: self._produce(run, parts[1:]))

    def _end(self, run: _Run, outcome: Result[ExecutionEnd, Failure]) -> None:
        attempt = run.dispatch.attempt
        self._runs.pop((run.agent.incarnation, attempt), None)
        if run.is_connected:
            later = self._simulation.time.call_later
            later(CONNECT_SECONDS, lambda: run.agent.execution_ended(attempt, outcome))
