"""The agent daemon: passes events between entries, the request state machine and the endpoint."""

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
class AgentDependencies:
    """Dependencies of an agent, built by the composition root.

    `drain_grace` is the longest time in seconds that a drain waits for running attempts;
    `on_drained` is called once the drain has finished.
    """

    incarnation: str
    timers: TimerQueue
    requests: AgentRequests
    drain_grace: float
    on_drained: Callable[[], None]


class AgentDaemon:
    """The process beside one endpoint; every request to the endpoint passes through it."""

    def __init__(self, dependencies: AgentDependencies) -> None:
        """Create a daemon without sessions; `bind` must be called before `start`."""
        self._dependencies = dependencies
        self._requests = dependencies.requests
        self._timers = dependencies.timers
        self._peers = Peers(self)
        self._heartbeat_sequence = 0
        self._executions: Executions | None = None
        self._follower: CatalogueFollower | None = None
        self._endpoint_watch: EndpointWatch | None = None
        self._weights: EngineWeights | None = None
        self._wakeup = Wakeup(
            dependencies.timers, dependencies.requests.next_wakeup, self._on_timer
        )

    @property
    def peers(self) -> Peers:
        """Return the open sessions with entries."""
        return self._peers

    @property
    def requests(self) -> AgentRequests:
        """Return the request state machine."""
        return self._requests

    @property
    def catalogue(self) -> Catalogue:
        """Return the installed catalogue, or an empty one if none is installed yet."""
        return self._follower.catalogue or Catalogue()

    @property
    def revision(self) -> int:
        """Return the revision of the installed catalogue, -1 if there is none."""
        return self._follower.revision

    @property
    def is_ready(self) -> bool:
        """Return whether the agent accepts new requests."""
        return not self._requests.draining

    def bind(
        self,
        executions: Executions,
        follower: CatalogueFollower,
        watch: EndpointWatch,
        weights: EngineWeights | None,
    ) -> None:
        """Set the components that need the daemon; `weights` is None beside a plain service."""
        self._executions = executions
        self._follower = follower
        self._endpoint_watch = watch
        self._weights = weights

    def start(self) -> None:
        """Start following the catalogue and the weights, and polling the endpoint."""
        self._follower.start()
        self._endpoint_watch.start()
        if self._weights is not None:
            self._weights.start()
        _log.info("agent started", incarnation=self._dependencies.incarnation)

    def close(self) -> None:
        """Stop everything that `start` started."""
        self._wakeup.close()
        self._endpoint_watch.close()
        self._follower.close()
        if self._weights is not None:
            self._weights.close()

    def drain(self) -> None:
        """Refuse new and queued requests, let the running ones finish, then call `on_drained`."""
        _log.info("drain started", grace=self._dependencies.drain_grace)
        self._perform(
            self._requests.begin_drain(self._timers.now(), self._dependencies.drain_grace)
        )

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a newly installed catalogue to the weights and to the queue's shares and limits."""
        _log.info("catalogue installed", revision=catalogue.revision)
        if self._weights is not None:
            self._weights.configure(catalogue)
        self._perform(self._requests.configure(self._timers.now(), catalogue))

    def running_drafts(self) -> list[RunningDraft]:
        """Return the drafts that the engine is generating."""
        return self._executions.running_drafts(self.catalogue)

    def broadcast_heartbeat(self, revision: int) -> None:
        """Send every entry a heartbeat now, because it carries the new catalogue revision."""
        self._peers.send_to_all(self.heartbeat())

    def load(self) -> LoadReport:
        """Return the load report, with the weight version that the engine serves."""
        load = self._requests.load()
        if self._weights is None:
            return load
        return replace(load, version=self._weights.version)

    # Events of sessions with entries

    def session_opened(self, peer: Hello) -> None:
        """Register an entry whose session opened and send it a heartbeat."""
        self._perform(self._requests.session_opened(self._timers.now(), peer.incarnation))
        self._follower.peer_connected(peer.incarnation)
        self._peers.send(peer.incarnation, self.heartbeat())

    def session_closed(self, peer: Hello) -> None:
        """Handle the end of a session; the entry can reattach to its requests once reconnected."""
        self._perform(self._requests.session_closed(self._timers.now(), peer.incarnation))
        self._follower.peer_disconnected(peer.incarnation)

    def message(self, peer: Hello, message: Message) -> None:
        """Pass a message to the catalogue follower or to the request state machine."""
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
        """Do nothing: an agent opens no connections itself."""

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat, which carries the load report."""
        self._heartbeat_sequence += 1
        return Heartbeat(self._heartbeat_sequence, self._follower.revision, load=self.load())

    # Events of executions at the endpoint

    def execution_chunk(self, attempt: AttemptId, data: bytes, tokens: int) -> None:
        """Pass on bytes that the endpoint produced for an attempt."""
        now = self._timers.now()
        self._perform(self._requests.execution_chunk(now, attempt, data, tokens))

    def execution_finished(
        self, attempt: AttemptId, outcome: Result[ExecutionEnd, Failure]
    ) -> None:
        """Pass on the end of an execution, or the failure that ended it."""
        if isinstance(outcome, Err):
            _log.warning("execution failed", attempt=str(attempt), why=str(outcome.err_value))
        now = self._timers.now()
        self._perform(self._requests.execution_finished(now, attempt, outcome))

    def _on_timer(self, now: float) -> None:
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
                    self._dependencies.on_drained()
        self._wakeup.refresh()
