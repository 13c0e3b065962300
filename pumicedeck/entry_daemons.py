"""The entry daemon: passes events between callers, the request state machine and the agents."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger
from result import Err

from pumicedeck.actions import (
    Action,
    CallerAnswer,
    CallerRequest,
    DeliverAnswer,
    DeliverChunk,
    DeliverFailure,
    Drained,
    RecordOutcome,
    SendMessage,
    WriteClaim,
)
from pumicedeck.agent_dialers import AgentDialer
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_followers import CatalogueFollower
from pumicedeck.claim_outcomes import ClaimOutcome
from pumicedeck.clocks import TimerQueue
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.handshakes import Hello
from pumicedeck.histograms import Histograms, Measure, Series
from pumicedeck.limiters import EntryLimiter
from pumicedeck.membership_drivers import MembershipDriver
from pumicedeck.messages import (
    CatalogueCopy,
    CatalogueRequest,
    Heartbeat,
    Leaving,
    Message,
)
from pumicedeck.peers import Peers
from pumicedeck.results import Failure
from pumicedeck.routers import Candidate, Router
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain, Vm, VmRole, VmState
from pumicedeck.wakeups import Wakeup

_log = logger.bind(module="entry")

FIRST_SESSION_WAIT_SECONDS = 10.0
OPEN_DRAW_POLL_SECONDS = 0.25


class AnswerSink(Protocol):
    """Receives the outcome of a submitted request."""

    def chunk(self, data: bytes) -> None:
        """Deliver the next bytes of a streamed answer."""

    def answer(self, answer: CallerAnswer) -> None:
        """Deliver the complete answer."""

    def failure(self, failure: Failure) -> None:
        """Deliver the failure."""


class ClaimWriter(Protocol):
    """Writes the claims of non-idempotent requests and their outcomes."""

    def claim(self, write: WriteClaim) -> None:
        """Insert a claim row; the outcome is passed to the daemon's `claim_answered`."""

    def record(self, outcome: RecordOutcome) -> None:
        """Write the outcome into a claim row."""

    def flush(self, done: Callable[[], None]) -> None:
        """Write the batched rows now and call `done` afterwards."""


@dataclass(frozen=True, slots=True)
class EntryDependencies:
    """Dependencies of an entry, built by the composition root.

    `drain_grace` is the longest time in seconds that a drain waits for open draws; `on_drained` is
    called once the drain has finished.
    """

    vm: str
    incarnation: str
    timers: TimerQueue
    requests: EntryRequests
    router: Router
    limiter: EntryLimiter
    histograms: Histograms
    drain_grace: float
    on_drained: Callable[[], None]


@dataclass(slots=True)
class _OpenRequest:
    request: CallerRequest
    sink: AnswerSink
    submitted_at: float
    first_chunk_delivered: bool = False


class EntryDaemon:
    """One entry process: sends callers' requests to agents and delivers the answers."""

    def __init__(self, dependencies: EntryDependencies) -> None:
        """Create a daemon without sessions; `bind` must be called before `start`."""
        self._dependencies = dependencies
        self._requests = dependencies.requests
        self._timers = dependencies.timers
        self._peers = Peers(self)
        self._open_requests: dict[str, _OpenRequest] = {}
        self._heartbeat_sequence = 0
        self._agent_revisions: dict[str, int] = {}
        self._follower: CatalogueFollower | None = None
        self._dialer: AgentDialer | None = None
        self._claim_writer: ClaimWriter | None = None
        self._membership: MembershipDriver | None = None
        self._entry_vm_names: frozenset[str] = frozenset()
        self._count_open_draws: Callable[[], int] = lambda: 0
        self._is_draining = False
        self._started_at = 0.0
        self._wakeup = Wakeup(
            dependencies.timers, dependencies.requests.next_wakeup, self._on_timer
        )

    @property
    def peers(self) -> Peers:
        """Return the open sessions with agents."""
        return self._peers

    @property
    def requests(self) -> EntryRequests:
        """Return the request state machine."""
        return self._requests

    @property
    def catalogue(self) -> Catalogue:
        """Return the installed catalogue, or an empty one if none is installed yet."""
        return self._follower.catalogue or Catalogue()

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this entry.

        A new entry is not ready until its first session opens, because it would refuse every
        request without one; after FIRST_SESSION_WAIT_SECONDS it is ready without a session too.
        """
        if self._is_draining or not self._follower.ready or self.catalogue.revision <= 0:
            return False
        waited_seconds = self._timers.now() - self._started_at
        return bool(self._peers.incarnations) or waited_seconds >= FIRST_SESSION_WAIT_SECONDS

    @property
    def is_draining(self) -> bool:
        """Return whether a drain has started."""
        return self._is_draining

    @property
    def revision(self) -> int:
        """Return the revision of the installed catalogue, -1 if there is none."""
        return self._follower.revision

    @property
    def agent_revisions(self) -> dict[str, int]:
        """Return the last reported catalogue revision of each connected agent incarnation."""
        return dict(self._agent_revisions)

    @property
    def paid_bytes(self) -> dict[str, int]:
        """Return the bytes sent over paid links, by firm."""
        return self._dependencies.router.paid_bytes

    def bind(
        self,
        follower: CatalogueFollower,
        dialer: AgentDialer,
        claim_writer: ClaimWriter,
        membership: MembershipDriver,
        count_open_draws: Callable[[], int],
    ) -> None:
        """Set the components that need the daemon; `count_open_draws` counts unfinished draws."""
        self._count_open_draws = count_open_draws
        self._membership = membership
        self._claim_writer = claim_writer
        self._follower = follower
        self._dialer = dialer

    def start(self) -> None:
        """Start following the catalogue and the list of VMs."""
        self._started_at = self._timers.now()
        self._follower.start()
        self._membership.start()
        _log.info("entry started", incarnation=self._dependencies.incarnation)

    def close(self) -> None:
        """Stop everything that `start` started."""
        self._wakeup.close()
        self._membership.close()
        self._follower.close()
        self._dialer.close()

    def drain(self) -> None:
        """Fail the readiness check, wait for open draws, serve for the notice time, then stop."""
        if self._is_draining:
            return
        _log.info("drain started", draws=self._count_open_draws())
        self._is_draining = True
        self._drain_after_draws(self._timers.now() + self._dependencies.drain_grace)

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a newly installed catalogue to the limits and the choice of agents."""
        _log.info("catalogue installed", revision=catalogue.revision)
        self._dependencies.limiter.configure(self._timers.now(), catalogue)
        self._membership.catalogue_installed(catalogue)

    def broadcast_heartbeat(self, revision: int) -> None:
        """Send every agent a heartbeat now, because it carries the new catalogue revision."""
        self._peers.send_to_all(self.heartbeat())

    def apply_vm_list(self, vms: tuple[Vm, ...]) -> None:
        """Share limits among the listed entry VMs, and drain if this VM is listed as leaving."""
        entry_vm_names = frozenset(
            listed_vm.name for listed_vm in vms if listed_vm.role is VmRole.ENTRY
        )
        if entry_vm_names != self._entry_vm_names:
            self._entry_vm_names = entry_vm_names
            self._dependencies.limiter.set_members(self._timers.now(), entry_vm_names)
        own_vm = next(
            (listed_vm for listed_vm in vms if listed_vm.name == self._dependencies.vm), None
        )
        if own_vm is not None and own_vm.state is VmState.LEAVING:
            self.drain()

    def is_live(self, incarnation: str) -> bool:
        """Return whether the VM of an entry incarnation is listed; True if no list was read."""
        return not self._entry_vm_names or _vm_of(incarnation) in self._entry_vm_names

    def outstanding(self, vm: str) -> int:
        """Return how many attempts still wait for an answer from a VM."""
        return sum(
            self._requests.outstanding(incarnation) for incarnation in self._incarnations_of(vm)
        )

    def close_session(self, vm: str) -> None:
        """Send no new requests to a VM and close its session once no attempt is outstanding."""
        for incarnation in self._incarnations_of(vm):
            self._dependencies.router.remove(self._timers.now(), incarnation)
        self._dialer.close_when_idle(vm)

    def notify_leaving(self, vm: str) -> None:
        """Notify an agent that its VM is listed as leaving, and send it no new requests."""
        notice = Leaving("listed as leaving", 0.0)
        for incarnation in self._incarnations_of(vm):
            self._peers.send(incarnation, notice)
            self._perform(self._requests.message(self._timers.now(), incarnation, notice))

    def _incarnations_of(self, vm: str) -> list[str]:
        return [
            incarnation for incarnation in self._peers.incarnations if _vm_of(incarnation) == vm
        ]

    def submit(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Submit a checked request, or fail it if its entry's limits do not admit it."""
        now = self._timers.now()
        admission = self._dependencies.limiter.admit(now, request.entry, request.expected_tokens)
        if isinstance(admission, Err):
            sink.failure(admission.err_value)
            return
        self._open_requests[request.handle] = _OpenRequest(request, sink, now)
        self._perform(self._requests.submit(now, request))

    def caller_disconnected(self, handle: str) -> None:
        """Cancel a request whose caller disconnected."""
        self._perform(self._requests.caller_disconnected(self._timers.now(), handle))

    # Events of sessions with agents

    def session_opened(self, peer: Hello) -> None:
        """Add an agent to the candidates for routing."""
        self._membership.session_opened(_vm_of(peer.incarnation))
        endpoint = Endpoint(peer.endpoint, peer.pool, EndpointKind(peer.kind), peer.slots)
        candidate = Candidate(
            peer.incarnation, endpoint, FailureDomain(peer.failure_domain, peer.region)
        )
        now = self._timers.now()
        self._perform(self._requests.session_opened(now, peer.incarnation, candidate))
        self._follower.peer_connected(peer.incarnation)

    def session_closed(self, peer: Hello) -> None:
        """Remove an agent from the candidates for routing."""
        self._perform(self._requests.session_closed(self._timers.now(), peer.incarnation))
        self._agent_revisions.pop(peer.incarnation, None)
        self._follower.peer_disconnected(peer.incarnation)

    def message(self, peer: Hello, message: Message) -> None:
        """Pass a message to the catalogue follower, the membership or the state machine."""
        if isinstance(message, CatalogueRequest | CatalogueCopy):
            self._follower.message(peer.incarnation, message)
            return
        if isinstance(message, Heartbeat):
            self._agent_revisions[peer.incarnation] = message.revision
            self._follower.revision_announced(peer.incarnation, message.revision)
            if message.load is not None:
                vm = _vm_of(peer.incarnation)
                self._membership.agent_reported(vm, message.load.accepting)
        if isinstance(message, Leaving):
            self._membership.agent_leaving(_vm_of(peer.incarnation))
        now = self._timers.now()
        self._perform(self._requests.message(now, peer.incarnation, message))

    def connection_ended(self, connection: int) -> None:
        """Report an ended connection to the membership, which decides whether to dial again."""
        vm = self._dialer.remove_connection(connection)
        if vm is not None:
            self._membership.session_closed(vm)

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat, which carries the lowest sequence of an open attempt."""
        self._heartbeat_sequence += 1
        revision = self._follower.revision
        return Heartbeat(self._heartbeat_sequence, revision, floor=self._requests.floor)

    def _drain_after_draws(self, deadline: float) -> None:
        # The state machine must not drain yet: an open draw still submits drafts, which a draining
        # state machine would refuse.
        if self._count_open_draws() and self._timers.now() < deadline:
            self._timers.call_later(
                OPEN_DRAW_POLL_SECONDS, lambda: self._drain_after_draws(deadline)
            )
            return
        self._perform(self._requests.begin_drain(self._timers.now()))

    def _on_timer(self, now: float) -> None:
        self._perform(self._requests.on_timer(now))

    def claim_answered(self, handle: str, outcome: ClaimOutcome) -> None:
        """Pass the outcome of a claim to the state machine."""
        now = self._timers.now()
        self._perform(self._requests.claim_answered(now, handle, outcome))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(peer, message):
                    self._peers.send(peer, message)
                case DeliverChunk(handle, data):
                    self._deliver_chunk(handle, data)
                case DeliverAnswer(handle, answer):
                    self._deliver_answer(handle, answer)
                case DeliverFailure(handle, failure):
                    self._deliver_failure(handle, failure)
                case WriteClaim():
                    self._claim_writer.claim(action)
                case RecordOutcome():
                    self._claim_writer.record(action)
                case Drained():
                    _log.info("drain finished")
                    self._claim_writer.flush(self._dependencies.on_drained)
        self._wakeup.refresh()

    def _deliver_chunk(self, handle: str, data: bytes) -> None:
        open_request = self._open_requests.get(handle)
        if open_request is None:
            return
        if not open_request.first_chunk_delivered:
            open_request.first_chunk_delivered = True
            self._record(
                open_request, Measure.FIRST_TOKEN, self._timers.now() - open_request.submitted_at
            )
        open_request.sink.chunk(data)

    def _deliver_answer(self, handle: str, answer: CallerAnswer) -> None:
        open_request = self._close_request(handle, answer.tokens)
        if open_request is None:
            return
        self._record(open_request, Measure.QUEUE_WAIT, answer.queue_wait)
        self._record(
            open_request, Measure.WHOLE_ANSWER, self._timers.now() - open_request.submitted_at
        )
        open_request.sink.answer(answer)

    def _deliver_failure(self, handle: str, failure: Failure) -> None:
        open_request = self._close_request(handle, 0)
        if open_request is None:
            return
        _log.info(
            "request failed",
            request_id=open_request.request.request_id,
            entry=open_request.request.entry.name,
            code=int(failure.code),
            execution=str(failure.execution),
        )
        open_request.sink.failure(failure)

    def _close_request(self, handle: str, tokens: int) -> _OpenRequest | None:
        open_request = self._open_requests.pop(handle, None)
        if open_request is not None:
            now = self._timers.now()
            expected_tokens = open_request.request.expected_tokens
            self._dependencies.limiter.finished(
                now, open_request.request.entry, expected_tokens, tokens
            )
        return open_request

    def _record(self, open_request: _OpenRequest, measure: Measure, value: float) -> None:
        entry = open_request.request.entry
        self._dependencies.histograms.record(
            Series(entry.firm, entry.request_class, measure), value
        )


def _vm_of(incarnation: str) -> str:
    return incarnation.partition("/")[0]
