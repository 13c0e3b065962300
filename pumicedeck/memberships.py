"""Decides which agents an entry keeps sessions to as VMs come and go; free of I/O."""

from dataclasses import dataclass
from random import Random

from result import Err, Result

from pumicedeck.agent_selections import AgentRanking, SelectionSettings, select_bootstrap_agents
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.results import Failure
from pumicedeck.store_budgets import (
    BreakerSettings,
    BudgetSettings,
    CircuitBreaker,
    StoreBudget,
    TokenBucket,
)
from pumicedeck.world import Vm, VmState

NEVER = float("inf")
POLL_JITTER = 0.25
MIN_WAIT_SECONDS = 0.01
MIN_RESELECT_SECONDS = 2.0
MIN_KEPT_FRACTION = 0.5
MAX_DISTRUSTED_LISTS = 3


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times in seconds.

    The list is polled every `poll_per_vm` seconds for each VM on it, but not more often than
    `min_poll`, so that neither the service nor a node pays more as the fleet grows. A VM with a
    session that is off the list is kept for `absent_grace`. A session that is no longer wanted is
    closed after `surplus_wait`.
    """

    selection: SelectionSettings = SelectionSettings()
    min_poll: float = 3.0
    poll_per_vm: float = 0.06
    start_jitter: float = 4.0
    list_timeout: float = 3.0
    absent_grace: float = 60.0
    surplus_wait: float = 10.0
    opens_per_second: float = 10.0
    open_burst: float = 30.0
    redial: BreakerSettings = BreakerSettings(1.0, 30.0)
    lists: BudgetSettings = BudgetSettings(0.5, 2.0, BreakerSettings(1.0, 30.0))


@dataclass(frozen=True, slots=True)
class ListVms:
    """Read the platform's list."""

    call: int


@dataclass(frozen=True, slots=True)
class OpenSession:
    """Dial an agent."""

    vm: Vm


@dataclass(frozen=True, slots=True)
class CloseSession:
    """Send no new work to an agent and close its session when nothing is outstanding."""

    vm: str


@dataclass(frozen=True, slots=True)
class NotifyLeaving:
    """Tell an agent that the list shows its VM as leaving."""

    vm: str


MembershipAction = ListVms | OpenSession | CloseSession | NotifyLeaving


@dataclass(slots=True)
class _Peer:
    """What is known of one agent.

    `surplus_at` is when its unwanted session may be closed. A leaving agent whose session ended is
    dialed again only after `forgiven_at`, when the VM of that name must be a new one.
    """

    up: bool = False
    opening: bool = False
    leaving: bool = False
    forgiven_at: float = NEVER
    told: bool = False
    accepting: bool = True
    surplus_at: float = NEVER
    redial: CircuitBreaker | None = None

    @property
    def is_held(self) -> bool:
        return self.up or self.opening


class Membership:
    """The agents of one entry; every method returns what is to be done."""

    def __init__(self, own: Vm, rng: Random, settings: MembershipSettings | None = None) -> None:
        """Select for the entry VM `own`."""
        self._own = own
        self._rng = rng
        self._settings = settings or MembershipSettings()
        self._budget = StoreBudget(self._settings.lists, rng)
        self._opens = TokenBucket(self._settings.opens_per_second, self._settings.open_burst)
        self._pools: frozenset[str] | None = None
        self._vms: dict[str, Vm] = {}
        self._absent_since: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        self._wanted: frozenset[str] = frozenset()
        self._ranking: AgentRanking | None = None
        self._stale = True
        self._touched = False
        self._distrusted = 0
        self._calls = 0
        self._call: int | None = None
        self._call_deadline_at = NEVER
        self._list_at = NEVER
        self._dial_at = NEVER
        self._close_at = NEVER
        self._reselect_at = NEVER

    @property
    def selected_agents(self) -> frozenset[str]:
        """Return the names of the agents that sessions are kept to."""
        return self._wanted

    @property
    def poll_seconds(self) -> float:
        """Return the mean time between two readings of the list."""
        settings = self._settings
        return max(settings.min_poll, settings.poll_per_vm * len(self._vms))

    def start(self, now: float) -> list[MembershipAction]:
        """Begin to read the list."""
        self._list_at = now + self._rng.uniform(0.0, self._settings.start_jitter)
        return self._advance(now)

    def on_timer(self, now: float) -> list[MembershipAction]:
        """Do what is due."""
        return self._advance(now)

    def next_wakeup(self) -> float | None:
        """Return the second at which `on_time` is wanted."""
        due = min(self._call_deadline_at, self._list_at, self._dial_at, self._close_at)
        due = min(due, self._reselect_at)
        return None if due == NEVER else due

    def catalogue_installed(self, now: float, catalogue: Catalogue) -> list[MembershipAction]:
        """Take the pools that the catalogue's entries name."""
        pools = frozenset(pool for entry in catalogue.entries for pool in entry.pools)
        if pools != self._pools:
            self._pools = pools
            self._ranking = None
            self._stale = True
        return self._advance(now)

    def vms_listed(
        self, now: float, call: int, read: Result[tuple[Vm, ...], Failure]
    ) -> list[MembershipAction]:
        """Take the platform's list."""
        if call != self._call:
            return []
        self._end_call(now, read.is_ok())
        if isinstance(read, Err) or not self._is_trusted(read.ok_value):
            return self._advance(now)
        self._take_list(now, {vm.name: vm for vm in read.ok_value})
        return self._tell_leaving() + self._advance(now)

    def session_opened(self, now: float, vm: str) -> list[MembershipAction]:
        """Count an agent whose session opened."""
        peer = self._peer(vm)
        self._stale = self._stale or self._is_unreachable(now, peer)
        self._touched = True
        peer.up = True
        peer.opening = False
        peer.leaving = False
        peer.accepting = True
        if peer.redial is not None:
            peer.redial.succeeded()
        return self._tell_leaving() + self._advance(now)

    def session_closed(self, now: float, vm: str) -> list[MembershipAction]:
        """Count an agent whose session ended or could not be opened."""
        peer = self._peer(vm)
        self._touched = True
        self._stale = self._stale or peer.up
        peer.up = False
        peer.opening = False
        peer.told = False
        peer.surplus_at = NEVER
        peer.forgiven_at = now + self._settings.absent_grace
        if peer.redial is None:
            peer.redial = CircuitBreaker(self._settings.redial, self._rng)
        peer.redial.failed(now)
        self._reselect_at = min(self._reselect_at, now + MIN_RESELECT_SECONDS)
        return self._advance(now)

    def agent_leaving(self, now: float, vm: str) -> list[MembershipAction]:
        """Leave out an agent that says that it is leaving."""
        self._peer(vm).leaving = True
        self._stale = True
        return self._advance(now)

    def agent_reported(self, now: float, vm: str, accepting: bool) -> list[MembershipAction]:
        """Take from a load report whether the endpoint accepts work."""
        peer = self._peer(vm)
        if peer.accepting == accepting:
            return []
        peer.accepting = accepting
        self._stale = True
        return self._advance(now)

    def _peer(self, vm: str) -> _Peer:
        peer = self._peers.get(vm)
        if peer is None:
            peer = self._peers[vm] = _Peer()
        return peer

    def _is_unreachable(self, now: float, peer: _Peer) -> bool:
        """Count an agent as unreachable until it may be dialed again."""
        if not peer.accepting:
            return True
        return not peer.is_held and peer.redial is not None and not peer.redial.allows(now)

    def _is_trusted(self, vms: tuple[Vm, ...]) -> bool:
        """Distrust a list that lost most VMs at once, a few times."""
        if len(vms) >= MIN_KEPT_FRACTION * len(self._vms):
            self._distrusted = 0
            return True
        self._distrusted += 1
        return self._distrusted > MAX_DISTRUSTED_LISTS

    def _take_list(self, now: float, listed: dict[str, Vm]) -> None:
        for name, vm in self._vms.items():
            peer = self._peers.get(name)
            if name in listed or peer is None or not peer.up:
                continue
            since = self._absent_since.setdefault(name, now)
            if now - since < self._settings.absent_grace:
                listed[name] = vm
        self._absent_since = {
            name: since for name, since in self._absent_since.items() if name in listed
        }
        self._stale = self._forgive(now) or self._stale
        if listed != self._vms:
            self._vms = listed
            self._ranking = None
            self._stale = True
        self._peers = {
            name: peer for name, peer in self._peers.items() if name in listed or peer.is_held
        }

    def _forgive(self, now: float) -> bool:
        forgiven = [
            peer
            for peer in self._peers.values()
            if peer.leaving and not peer.up and peer.forgiven_at <= now
        ]
        for peer in forgiven:
            peer.leaving = False
        return bool(forgiven)

    def _tell_leaving(self) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        for name, peer in self._peers.items():
            vm = self._vms.get(name)
            if vm is None or vm.state is VmState.LIVE or peer.told or not peer.up:
                continue
            peer.told = True
            actions.append(NotifyLeaving(name))
        return actions

    def _advance(self, now: float) -> list[MembershipAction]:
        if self._call is not None and self._call_deadline_at <= now:
            self._end_call(now, False)
        actions = self._read_list(now)
        if self._stale or self._reselect_at <= now:
            self._select(now)
        if not self._touched and min(self._dial_at, self._close_at) > now:
            return actions
        self._touched = False
        return actions + self._open(now) + self._close(now)

    def _read_list(self, now: float) -> list[MembershipAction]:
        if self._list_at > now:
            return []
        if not self._budget.admit(now):
            self._list_at = max(self._budget.admits_at(now), now + MIN_WAIT_SECONDS)
            return []
        self._calls += 1
        self._call = self._calls
        self._call_deadline_at = now + self._settings.list_timeout
        self._list_at = NEVER
        return [ListVms(self._calls)]

    def _end_call(self, now: float, succeeded: bool) -> None:
        self._call = None
        self._call_deadline_at = NEVER
        if not succeeded:
            self._budget.failed(now)
            self._list_at = self._budget.admits_at(now)
            return
        self._budget.succeeded()
        jitter = self._rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
        self._list_at = now + self.poll_seconds * jitter

    def _select(self, now: float) -> None:
        self._stale = False
        self._touched = True
        leaving = frozenset(name for name, peer in self._peers.items() if peer.leaving)
        unreachable = frozenset(
            name for name, peer in self._peers.items() if self._is_unreachable(now, peer)
        )
        self._reselect_at = self._next_redial(now)
        if self._pools is None:
            vms = tuple(vm for name, vm in self._vms.items() if name not in leaving)
            self._wanted = select_bootstrap_agents(self._own, vms, unreachable)
            return
        if self._ranking is None:
            self._ranking = self._rank(self._pools)
        self._wanted = self._ranking.select(unreachable, leaving)

    def _next_redial(self, now: float) -> float:
        """Return when the next unreachable agent may be dialed; several are taken together."""
        due = [
            peer.redial.retry_at
            for peer in self._peers.values()
            if peer.redial is not None and not peer.is_held and peer.redial.retry_at > now
        ]
        return max(min(due), now + MIN_RESELECT_SECONDS) if due else NEVER

    def _rank(self, pools: frozenset[str]) -> AgentRanking:
        vms = tuple(self._vms.values())
        if self._own.name not in self._vms:
            vms = (*vms, self._own)
        return AgentRanking(self._own, vms, pools, self._settings.selection)

    def _open(self, now: float) -> list[MembershipAction]:
        self._dial_at = NEVER
        actions: list[MembershipAction] = []
        missing = [name for name in self._wanted if not self._peer(name).is_held]
        for name in sorted(missing):
            peer = self._peer(name)
            due = now if peer.redial is None else peer.redial.retry_at
            if due <= now and not self._opens.try_acquire(now):
                due = max(self._opens.available_at(now), now + MIN_WAIT_SECONDS)
            if due > now:
                self._dial_at = min(self._dial_at, due)
                continue
            peer.opening = True
            actions.append(OpenSession(self._vms[name]))
        return actions

    def _close(self, now: float) -> list[MembershipAction]:
        self._close_at = NEVER
        actions: list[MembershipAction] = []
        for name, peer in self._peers.items():
            if not peer.up or name in self._wanted or self._is_draining(name, peer):
                peer.surplus_at = NEVER
                continue
            if peer.surplus_at == NEVER:
                peer.surplus_at = now + self._settings.surplus_wait
            if peer.surplus_at <= now:
                peer.up = False
                actions.append(CloseSession(name))
            else:
                self._close_at = min(self._close_at, peer.surplus_at)
        return actions

    def _is_draining(self, name: str, peer: _Peer) -> bool:
        """A leaving agent closes its session itself once it has drained."""
        vm = self._vms.get(name)
        return vm is not None and (peer.leaving or vm.state is VmState.LEAVING)
