"""The agent: carries events between entries, the request state machine and the endpoint."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger
from result import Err, Result

from pumicedeck.actions import Action, CancelExecution, Drained, SendMessage, StartExecution
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.attempts import ExecutionEnd
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_followers import CatalogueFollower
from pumicedeck.clocks import TimerQueue
from pumicedeck.endpoint_watches import EndpointWatch
from pumicedeck.engine_weights import EngineWeights
from pumicedeck.executions import Executions
from pumicedeck.handshakes import Hello
from pumicedeck.messages import (
    AttemptId,
    CatalogueCopy,
    CatalogueRequest,
    Heartbeat,
    Leaving,
    LoadReport,
    Message,
)
from pumicedeck.peers import Peers
from pumicedeck.results import Failure
from pumicedeck.swaps import RunningDraft
from pumicedeck.wakeups import Wakeup

_log = logger.bind(module="agent")


@dataclass(frozen=True, slots=True)
class AgentParts:
    """What the composition root gives to an agent."""

    incarnation: str
    timers: TimerQueue
    requests: AgentRequests
    drain_grace: float
    on_drained: Callable[[], None]


class AgentDaemon:
    """One process beside one endpoint; the only way to it."""

    def __init__(self, parts: AgentParts) -> None:
        """Take the parts; `bind` completes the wiring before `start`."""
        self._parts = parts
        self._requests = parts.requests
        self._timers = parts.timers
        self._peers = Peers(self)
        self._beats = 0
        self._executions: Executions | None = None
        self._follower: CatalogueFollower | None = None
        self._watch: EndpointWatch | None = None
        self._weights: EngineWeights | None = None
        self._wakeup = Wakeup(parts.timers, parts.requests.next_wakeup, self._on_time)

    @property
    def peers(self) -> Peers:
        """Return the sessions from entries."""
        return self._peers

    @property
    def requests(self) -> AgentRequests:
        """Return the request state machine."""
        return self._requests

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue in force, an empty one at first."""
        return self._follower.catalogue or Catalogue()

    @property
    def revision(self) -> int:
        """Return the catalogue revision in force, -1 if none."""
        return self._follower.revision

    @property
    def is_ready(self) -> bool:
        """Return whether new work is taken."""
        return not self._requests.draining

    def bind(
        self,
        executions: Executions,
        follower: CatalogueFollower,
        watch: EndpointWatch,
        weights: EngineWeights | None,
    ) -> None:
        """Complete the wiring; `weights` is None beside a plain service."""
        self._executions = executions
        self._follower = follower
        self._watch = watch
        self._weights = weights

    def start(self) -> None:
        """Begin to follow the catalogue, the weights and the endpoint."""
        self._follower.start()
        self._watch.start()
        if self._weights is not None:
            self._weights.start()
        _log.info("agent started", incarnation=self._parts.incarnation)

    def close(self) -> None:
        """Stop everything that `start` began."""
        self._wakeup.close()
        self._watch.close()
        self._follower.close()
        if self._weights is not None:
            self._weights.close()

    def drain(self) -> None:
        """Take no new work, finish what runs and then stop the process."""
        _log.info("drain started", grace=self._parts.drain_grace)
        self._perform(self._requests.begin_drain(self._timers.now(), self._parts.drain_grace))

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Put a newly installed catalogue in force."""
        _log.info("catalogue installed", revision=catalogue.revision)
        if self._weights is not None:
            self._weights.configure(catalogue)
        self._perform(self._requests.configure(self._timers.now(), catalogue))

    def running_drafts(self) -> list[RunningDraft]:
        """Return the drafts under way at the engine."""
        return self._executions.running_drafts(self.catalogue)

    def broadcast_heartbeat(self, revision: int) -> None:
        """Tell every entry at once which catalogue revision is in force here."""
        self._peers.send_to_all(self.heartbeat())

    def load(self) -> LoadReport:
        """Return the load with the weight version in force."""
        load = self._requests.load()
        if self._weights is None:
            return load
        return replace(load, version=self._weights.version)

    # What the sessions report

    def session_opened(self, peer: Hello) -> None:
        """Start serving an entry."""
        self._perform(self._requests.session_opened(self._timers.now(), peer.incarnation))
        self._follower.peer_connected(peer.incarnation)
        self._peers.send(peer.incarnation, self.heartbeat())

    def session_closed(self, peer: Hello) -> None:
        """Keep what an entry asked for until it comes back."""
        self._perform(self._requests.session_closed(self._timers.now(), peer.incarnation))
        self._follower.peer_disconnected(peer.incarnation)

    def message(self, peer: Hello, message: Message) -> None:
        """Pass a message to whom it concerns."""
        if isinstance(message, CatalogueRequest | CatalogueCopy):
            self._follower.message(peer.incarnation, message)
            return
        if isinstance(message, Leaving):
            self.drain()
            return
        if isinstance(message, Heartbeat):
            self._follower.revision_announced(peer.incarnation, message.revision)
        now = self._timers.now()
        self._perform(self._requests.message(now, peer.incarnation, message))

    def connection_ended(self, connection: int) -> None:
        """Do nothing: an agent dials nobody."""

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat with the load."""
        self._beats += 1
        return Heartbeat(self._beats, self._follower.revision, load=self.load())

    # What the endpoint reports

    def execution_chunk(self, attempt: AttemptId, data: bytes, tokens: int) -> None:
        """Take bytes that the endpoint produced."""
        now = self._timers.now()
        self._perform(self._requests.execution_chunk(now, attempt, data, tokens))

    def execution_finished(
        self, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]
    ) -> None:
        """Take the end of an execution."""
        if isinstance(outcome, Err):
            _log.warning("execution failed", attempt=str(attempt), why=str(outcome.err_value))
        now = self._timers.now()
        self._perform(self._requests.execution_finished(now, attempt, outcome))

    def _on_time(self, now: float) -> None:
        self._perform(self._requests.on_timer(now))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(peer, message):
                    self._peers.send(peer, message)
                case StartExecution(dispatch):
                    _log.debug("execution started", request_id=dispatch.request_id)
                    self._executions.start(dispatch)
                case CancelExecution(attempt):
                    self._executions.cancel(attempt)
                case Drained():
                    _log.info("drain finished")
                    self._parts.on_drained()
        self._wakeup.refresh()
