"""The entry: carries events between callers, the request state machine and the agents."""

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

FIRST_SESSION_SECONDS = 10.0
DRAW_CHECK_SECONDS = 0.25


class AnswerSink(Protocol):
    """Where the outcome of a submitted request goes."""

    def chunk(self, data: bytes) -> None:
        """Take the next bytes of a streamed answer."""

    def answer(self, answer: CallerAnswer) -> None:
        """Take the whole answer."""

    def failure(self, failure: Failure) -> None:
        """Take the failure."""


class ClaimWriter(Protocol):
    """Writes the claims of non-idempotent requests and their outcomes."""

    def claim(self, write: WriteClaim) -> None:
        """Insert a claim row; the daemon's `claim_answered` hears of it."""

    def record(self, outcome: RecordOutcome) -> None:
        """Write the outcome into a claim row."""

    def flush(self, done: Callable[[], None]) -> None:
        """Write now what waits for company."""


@dataclass(frozen=True, slots=True)
class EntryParts:
    """What the composition root gives to an entry."""

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
class _Submitted:
    request: CallerRequest
    sink: AnswerSink
    at: float
    seen_first: bool = False


class EntryDaemon:
    """One entry process: requests come in, answers go out, sessions lead to agents."""

    def __init__(self, parts: EntryParts) -> None:
        """Take the parts; `bind` completes the wiring before `start`."""
        self._parts = parts
        self._requests = parts.requests
        self._timers = parts.timers
        self._peers = Peers(self)
        self._submitted: dict[str, _Submitted] = {}
        self._beats = 0
        self._revisions: dict[str, int] = {}
        self._follower: CatalogueFollower | None = None
        self._dialer: AgentDialer | None = None
        self._claims: ClaimWriter | None = None
        self._membership: MembershipDriver | None = None
        self._entries: frozenset[str] = frozenset()
        self._open_draws: Callable[[], int] = lambda: 0
        self._is_draining = False
        self._started_at = 0.0
        self._wakeup = Wakeup(parts.timers, parts.requests.next_wakeup, self._on_time)

    @property
    def peers(self) -> Peers:
        """Return the sessions to agents."""
        return self._peers

    @property
    def requests(self) -> EntryRequests:
        """Return the request state machine."""
        return self._requests

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue in force, an empty one at first."""
        return self._follower.catalogue or Catalogue()

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here.

        A new entry waits a while for its first session: without one it would only refuse.
        """
        if self._is_draining or not self._follower.ready or self.catalogue.revision <= 0:
            return False
        waited = self._timers.now() - self._started_at
        return bool(self._peers.incarnations) or waited >= FIRST_SESSION_SECONDS

    @property
    def is_draining(self) -> bool:
        """Return whether the process is leaving."""
        return self._is_draining

    @property
    def revision(self) -> int:
        """Return the catalogue revision in force, -1 if none."""
        return self._follower.revision

    @property
    def agent_revisions(self) -> dict[str, int]:
        """Return the catalogue revision that each reachable agent reported last."""
        return dict(self._revisions)

    @property
    def paid_bytes(self) -> dict[str, int]:
        """Return the bytes sent over paid links, by firm."""
        return self._parts.router.paid_bytes

    def bind(
        self,
        follower: CatalogueFollower,
        dialer: AgentDialer,
        claims: ClaimWriter,
        membership: MembershipDriver,
        open_draws: Callable[[], int],
    ) -> None:
        """Complete the wiring; `open_draws` counts the draws that have not ended."""
        self._open_draws = open_draws
        self._membership = membership
        self._claims = claims
        self._follower = follower
        self._dialer = dialer

    def start(self) -> None:
        """Begin to follow the catalogue and the list of VMs."""
        self._started_at = self._timers.now()
        self._follower.start()
        self._membership.start()
        _log.info("entry started", incarnation=self._parts.incarnation)

    def close(self) -> None:
        """Stop everything that `start` began."""
        self._wakeup.close()
        self._membership.close()
        self._follower.close()
        self._dialer.close()

    def drain(self) -> None:
        """Fail the readiness check, let open draws end, serve for the notice time, then stop."""
        if self._is_draining:
            return
        _log.info("drain started", draws=self._open_draws())
        self._is_draining = True
        self._drain_after_draws(self._timers.now() + self._parts.drain_grace)

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Put a newly installed catalogue in force."""
        _log.info("catalogue installed", revision=catalogue.revision)
        self._parts.limiter.configure(self._timers.now(), catalogue)
        self._membership.catalogue_installed(catalogue)

    def broadcast_heartbeat(self, revision: int) -> None:
        """Tell every agent at once which catalogue revision is in force here."""
        self._peers.send_to_all(self.heartbeat())

    def apply_vm_list(self, vms: tuple[Vm, ...]) -> None:
        """Take the platform's list: who is live, and whether this VM is leaving."""
        entries = frozenset(each.name for each in vms if each.role is VmRole.ENTRY)
        if entries != self._entries:
            self._entries = entries
            self._parts.limiter.set_members(self._timers.now(), entries)
        own = next((each for each in vms if each.name == self._parts.vm), None)
        if own is not None and own.state is VmState.LEAVING:
            self.drain()

    def is_live(self, incarnation: str) -> bool:
        """Tell whether the VM of an entry incarnation is still listed."""
        return not self._entries or _vm_of(incarnation) in self._entries

    def outstanding(self, vm: str) -> int:
        """Return how many attempts wait for answers of a VM."""
        return sum(self._requests.outstanding(each) for each in self._incarnations_of(vm))

    def close_session(self, vm: str) -> None:
        """Send no new work to a VM and close the session when nothing is outstanding."""
        for incarnation in self._incarnations_of(vm):
            self._parts.router.remove(self._timers.now(), incarnation)
        self._dialer.close_when_idle(vm)

    def notify_leaving(self, vm: str) -> None:
        """Tell an agent that the list shows its VM as leaving, and send it nothing new."""
        notice = Leaving("listed as leaving", 0.0)
        for incarnation in self._incarnations_of(vm):
            self._peers.send(incarnation, notice)
            self._perform(self._requests.message(self._timers.now(), incarnation, notice))

    def _incarnations_of(self, vm: str) -> list[str]:
        return [each for each in self._peers.incarnations if _vm_of(each) == vm]

    def submit(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Admit a checked request under its entry's limits."""
        now = self._timers.now()
        admitted = self._parts.limiter.admit(now, request.entry, request.expected_tokens)
        if isinstance(admitted, Err):
            sink.failure(admitted.err_value)
            return
        self._submitted[request.handle] = _Submitted(request, sink, now)
        self._perform(self._requests.submit(now, request))

    def caller_disconnected(self, handle: str) -> None:
        """Give up a request that nobody waits for."""
        self._perform(self._requests.caller_disconnected(self._timers.now(), handle))

    # What the sessions report

    def session_opened(self, peer: Hello) -> None:
        """Take an agent into the choice."""
        self._membership.session_opened(_vm_of(peer.incarnation))
        endpoint = Endpoint(peer.endpoint, peer.pool, EndpointKind(peer.kind), peer.slots)
        candidate = Candidate(
            peer.incarnation, endpoint, FailureDomain(peer.failure_domain, peer.region)
        )
        now = self._timers.now()
        self._perform(self._requests.session_opened(now, peer.incarnation, candidate))
        self._follower.peer_connected(peer.incarnation)

    def session_closed(self, peer: Hello) -> None:
        """Take an agent out of the choice."""
        self._perform(self._requests.session_closed(self._timers.now(), peer.incarnation))
        self._revisions.pop(peer.incarnation, None)
        self._follower.peer_disconnected(peer.incarnation)

    def message(self, peer: Hello, message: Message) -> None:
        """Pass a message to whom it concerns."""
        if isinstance(message, CatalogueRequest | CatalogueCopy):
            self._follower.message(peer.incarnation, message)
            return
        if isinstance(message, Heartbeat):
            self._revisions[peer.incarnation] = message.revision
            self._follower.revision_announced(peer.incarnation, message.revision)
            if message.load is not None:
                vm = _vm_of(peer.incarnation)
                self._membership.agent_reported(vm, message.load.accepting)
        if isinstance(message, Leaving):
            self._membership.agent_leaving(_vm_of(peer.incarnation))
        now = self._timers.now()
        self._perform(self._requests.message(now, peer.incarnation, message))

    def connection_ended(self, connection: int) -> None:
        """Have the membership decide whether to dial again."""
        vm = self._dialer.remove_connection(connection)
        if vm is not None:
            self._membership.session_closed(vm)

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat with the lowest sequence that is not settled."""
        self._beats += 1
        revision = self._follower.revision
        return Heartbeat(self._beats, revision, floor=self._requests.floor)

    def _drain_after_draws(self, deadline: float) -> None:
        # A draw goes on submitting drafts, which a draining state machine would refuse.
        if self._open_draws() and self._timers.now() < deadline:
            self._timers.call_later(DRAW_CHECK_SECONDS, lambda: self._drain_after_draws(deadline))
            return
        self._perform(self._requests.begin_drain(self._timers.now()))

    def _on_time(self, now: float) -> None:
        self._perform(self._requests.on_timer(now))

    def claim_answered(self, handle: str, outcome: ClaimOutcome) -> None:
        """Take the outcome of a claim."""
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
                    self._claims.claim(action)
                case RecordOutcome():
                    self._claims.record(action)
                case Drained():
                    _log.info("drain finished")
                    self._claims.flush(self._parts.on_drained)
        self._wakeup.refresh()

    def _deliver_chunk(self, handle: str, data: bytes) -> None:
        held = self._submitted.get(handle)
        if held is None:
            return
        if not held.seen_first:
            held.seen_first = True
            self._record(held, Measure.FIRST_TOKEN, self._timers.now() - held.at)
        held.sink.chunk(data)

    def _deliver_answer(self, handle: str, answer: CallerAnswer) -> None:
        held = self._finish(handle, answer.tokens)
        if held is None:
            return
        self._record(held, Measure.QUEUE_WAIT, answer.queue_wait)
        self._record(held, Measure.WHOLE_ANSWER, self._timers.now() - held.at)
        held.sink.answer(answer)

    def _deliver_failure(self, handle: str, failure: Failure) -> None:
        held = self._finish(handle, 0)
        if held is None:
            return
        _log.info(
            "request failed",
            request_id=held.request.request_id,
            entry=held.request.entry.name,
            code=int(failure.code),
            execution=str(failure.execution),
        )
        held.sink.failure(failure)

    def _finish(self, handle: str, tokens: int) -> _Submitted | None:
        held = self._submitted.pop(handle, None)
        if held is not None:
            now = self._timers.now()
            expected = held.request.expected_tokens
            self._parts.limiter.finished(now, held.request.entry, expected, tokens)
        return held

    def _record(self, held: _Submitted, measure: Measure, value: float) -> None:
        entry = held.request.entry
        self._parts.histograms.record(Series(entry.firm, entry.request_class, measure), value)


def _vm_of(incarnation: str) -> str:
    return incarnation.partition("/")[0]
