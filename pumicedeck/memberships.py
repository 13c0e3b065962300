"""Decides to which agents an entry VM keeps sessions as the VM list changes; free of I/O."""

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
from pumicedeck.topology import Vm, VmState

NEVER = float("inf")
POLL_JITTER = 0.25
MIN_WAIT_SECONDS = 0.01
MIN_RESELECT_SECONDS = 2.0
MIN_LIST_FRACTION = 0.5
MAX_REJECTED_LISTS = 3


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times in seconds and rates per second.

    The poll interval of the VM list is `poll_per_vm` times the number of VMs, at least `min_poll`,
    so that the load on the list service and on each node does not grow with the fleet. A VM that
    has a session but is missing from the list is kept for `absent_grace`. The session to an agent
    that is no longer selected is closed after `surplus_wait`.
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
    """Read the platform's VM list; `call` identifies the call in its result."""

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
    """Notify an agent that the VM list shows its VM as leaving."""

    vm: str


MembershipAction = ListVms | OpenSession | CloseSession | NotifyLeaving


@dataclass(slots=True)
class _Peer:
    """State of one agent.

    `announced_leaving` is whether the agent announced that it is leaving; the VM list may show its
    VM as leaving independently. After its session has closed, such an agent is dialed again only
    from `leaving_expires_at`, when the VM of that name must be a new one. `surplus_at` is when the
    session of a deselected agent may be closed.
    """

    has_session: bool = False
    opening: bool = False
    announced_leaving: bool = False
    leaving_expires_at: float = NEVER
    leaving_notified: bool = False
    accepting: bool = True
    surplus_at: float = NEVER
    redial: CircuitBreaker | None = None

    @property
    def has_session_or_opening(self) -> bool:
        return self.has_session or self.opening


class Membership:
    """Selected agents of one entry VM; the methods for events return the actions to perform.

    Each `_..._at` is the time, in seconds on the clock of `now`, at which an action is scheduled.
    """

    def __init__(self, own: Vm, rng: Random, settings: MembershipSettings | None = None) -> None:
        """Create a membership without agents for the entry VM `own`."""
        self._own = own
        self._rng = rng
        self._settings = settings or MembershipSettings()
        self._budget = StoreBudget(self._settings.lists, rng)
        self._open_budget = TokenBucket(self._settings.opens_per_second, self._settings.open_burst)
        self._pools: frozenset[str] | None = None
        self._vms: dict[str, Vm] = {}
        self._absent_since: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        self._selected: frozenset[str] = frozenset()
        self._ranking: AgentRanking | None = None
        self._selection_outdated = True
        self._sessions_changed = False
        self._rejected_lists = 0
        self._last_call_id = 0
        self._pending_call_id: int | None = None
        self._call_deadline_at = NEVER
        self._list_at = NEVER
        self._dial_at = NEVER
        self._close_at = NEVER
        self._reselect_at = NEVER

    @property
    def selected_agents(self) -> frozenset[str]:
        """Return the names of the agents to which sessions are kept."""
        return self._selected

    @property
    def poll_seconds(self) -> float:
        """Return the mean number of seconds between two reads of the VM list."""
        settings = self._settings
        return max(settings.min_poll, settings.poll_per_vm * len(self._vms))

    def start(self, now: float) -> list[MembershipAction]:
        """Schedule the first read of the VM list after a random delay."""
        self._list_at = now + self._rng.uniform(0.0, self._settings.start_jitter)
        return self._advance(now)

    def on_timer(self, now: float) -> list[MembershipAction]:
        """Return the actions that are scheduled up to `now`."""
        return self._advance(now)

    def next_wakeup(self) -> float | None:
        """Return the time at which `on_timer` must be called; None if nothing is scheduled."""
        wakeup_at = min(self._call_deadline_at, self._list_at, self._dial_at, self._close_at)
        wakeup_at = min(wakeup_at, self._reselect_at)
        return None if wakeup_at == NEVER else wakeup_at

    def catalogue_installed(self, now: float, catalogue: Catalogue) -> list[MembershipAction]:
        """Apply the pools that the catalogue entries use."""
        pools = frozenset(pool for entry in catalogue.entries for pool in entry.pools)
        if pools != self._pools:
            self._pools = pools
            self._ranking = None
            self._selection_outdated = True
        return self._advance(now)

    def vms_listed(
        self, now: float, call: int, read: Result[tuple[Vm, ...], Failure]
    ) -> list[MembershipAction]:
        """Apply the result of reading the VM list; results of other calls are ignored."""
        if call != self._pending_call_id:
            return []
        self._end_call(now, read.is_ok())
        if isinstance(read, Err) or not self._accepts_list(read.ok_value):
            return self._advance(now)
        self._apply_list(now, {vm.name: vm for vm in read.ok_value})
        return self._notify_leaving() + self._advance(now)

    def session_opened(self, now: float, vm: str) -> list[MembershipAction]:
        """Record that the session to an agent opened."""
        peer = self._peer(vm)
        self._selection_outdated = self._selection_outdated or self._is_unreachable(now, peer)
        self._sessions_changed = True
        peer.has_session = True
        peer.opening = False
        peer.announced_leaving = False
        peer.accepting = True
        if peer.redial is not None:
            peer.redial.succeeded()
        return self._notify_leaving() + self._advance(now)

    def session_closed(self, now: float, vm: str) -> list[MembershipAction]:
        """Record that the session to an agent ended or could not be opened."""
        peer = self._peer(vm)
        self._sessions_changed = True
        self._selection_outdated = self._selection_outdated or peer.has_session
        peer.has_session = False
        peer.opening = False
        peer.leaving_notified = False
        peer.surplus_at = NEVER
        peer.leaving_expires_at = now + self._settings.absent_grace
        if peer.redial is None:
            peer.redial = CircuitBreaker(self._settings.redial, self._rng)
        peer.redial.failed(now)
        self._reselect_at = min(self._reselect_at, now + MIN_RESELECT_SECONDS)
        return self._advance(now)

    def agent_leaving(self, now: float, vm: str) -> list[MembershipAction]:
        """Deselect an agent that announced that it is leaving."""
        self._peer(vm).announced_leaving = True
        self._selection_outdated = True
        return self._advance(now)

    def agent_reported(self, now: float, vm: str, accepting: bool) -> list[MembershipAction]:
        """Record whether an agent's endpoint accepts work, as its load report says."""
        peer = self._peer(vm)
        if peer.accepting == accepting:
            return []
        peer.accepting = accepting
        self._selection_outdated = True
        return self._advance(now)

    def _peer(self, vm: str) -> _Peer:
        peer = self._peers.get(vm)
        if peer is None:
            peer = self._peers[vm] = _Peer()
        return peer

    def _is_unreachable(self, now: float, peer: _Peer) -> bool:
        """Return whether an agent accepts no work or may not be dialed again yet."""
        if not peer.accepting:
            return True
        return (
            not peer.has_session_or_opening
            and peer.redial is not None
            and not peer.redial.allows(now)
        )

    def _accepts_list(self, vms: tuple[Vm, ...]) -> bool:
        """Return whether to apply a list.

        A list with less than half of the previous VMs is rejected up to MAX_REJECTED_LISTS times in
        a row, since it may be incomplete.
        """
        if len(vms) >= MIN_LIST_FRACTION * len(self._vms):
            self._rejected_lists = 0
            return True
        self._rejected_lists += 1
        return self._rejected_lists > MAX_REJECTED_LISTS

    def _apply_list(self, now: float, listed: dict[str, Vm]) -> None:
        for name, vm in self._vms.items():
            peer = self._peers.get(name)
            if name in listed or peer is None or not peer.has_session:
                continue
            since = self._absent_since.setdefault(name, now)
            if now - since < self._settings.absent_grace:
                listed[name] = vm
        self._absent_since = {
            name: since for name, since in self._absent_since.items() if name in listed
        }
        self._selection_outdated = self._clear_expired_leaving(now) or self._selection_outdated
        if listed != self._vms:
            self._vms = listed
            self._ranking = None
            self._selection_outdated = True
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if name in listed or peer.has_session_or_opening
        }

    def _clear_expired_leaving(self, now: float) -> bool:
        """Let agents be selected again whose leaving has expired; return whether there are any."""
        cleared = [
            peer
            for peer in self._peers.values()
            if peer.announced_leaving and not peer.has_session and peer.leaving_expires_at <= now
        ]
        for peer in cleared:
            peer.announced_leaving = False
        return bool(cleared)

    def _notify_leaving(self) -> list[MembershipAction]:
        """Notify each agent whose VM is listed as leaving, once per session."""
        actions: list[MembershipAction] = []
        for name, peer in self._peers.items():
            vm = self._vms.get(name)
            if (
                vm is None
                or vm.state is VmState.LIVE
                or peer.leaving_notified
                or not peer.has_session
            ):
                continue
            peer.leaving_notified = True
            actions.append(NotifyLeaving(name))
        return actions

    def _advance(self, now: float) -> list[MembershipAction]:
        if self._pending_call_id is not None and self._call_deadline_at <= now:
            self._end_call(now, False)
        actions = self._read_list(now)
        if self._selection_outdated or self._reselect_at <= now:
            self._select(now)
        if not self._sessions_changed and min(self._dial_at, self._close_at) > now:
            return actions
        self._sessions_changed = False
        return actions + self._open(now) + self._close(now)

    def _read_list(self, now: float) -> list[MembershipAction]:
        if self._list_at > now:
            return []
        if not self._budget.admit(now):
            self._list_at = max(self._budget.admits_at(now), now + MIN_WAIT_SECONDS)
            return []
        self._last_call_id += 1
        self._pending_call_id = self._last_call_id
        self._call_deadline_at = now + self._settings.list_timeout
        self._list_at = NEVER
        return [ListVms(self._last_call_id)]

    def _end_call(self, now: float, succeeded: bool) -> None:
        self._pending_call_id = None
        self._call_deadline_at = NEVER
        if not succeeded:
            self._budget.failed(now)
            self._list_at = self._budget.admits_at(now)
            return
        self._budget.succeeded()
        jitter = self._rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
        self._list_at = now + self.poll_seconds * jitter

    def _select(self, now: float) -> None:
        self._selection_outdated = False
        self._sessions_changed = True
        leaving = frozenset(name for name, peer in self._peers.items() if peer.announced_leaving)
        unreachable = frozenset(
            name for name, peer in self._peers.items() if self._is_unreachable(now, peer)
        )
        self._reselect_at = self._next_redial(now)
        if self._pools is None:
            vms = tuple(vm for name, vm in self._vms.items() if name not in leaving)
            self._selected = select_bootstrap_agents(self._own, vms, unreachable)
            return
        if self._ranking is None:
            self._ranking = self._rank(self._pools)
        self._selected = self._ranking.select(unreachable, leaving)

    def _next_redial(self, now: float) -> float:
        """Return when an unreachable agent may next be dialed.

        It is at least MIN_RESELECT_SECONDS away, so that several agents are reselected together.
        """
        retry_times = [
            peer.redial.retry_at
            for peer in self._peers.values()
            if peer.redial is not None
            and not peer.has_session_or_opening
            and peer.redial.retry_at > now
        ]
        return max(min(retry_times), now + MIN_RESELECT_SECONDS) if retry_times else NEVER

    def _rank(self, pools: frozenset[str]) -> AgentRanking:
        vms = tuple(self._vms.values())
        if self._own.name not in self._vms:
            vms = (*vms, self._own)
        return AgentRanking(self._own, vms, pools, self._settings.selection)

    def _open(self, now: float) -> list[MembershipAction]:
        self._dial_at = NEVER
        actions: list[MembershipAction] = []
        missing = [name for name in self._selected if not self._peer(name).has_session_or_opening]
        for name in sorted(missing):
            peer = self._peer(name)
            dial_at = now if peer.redial is None else peer.redial.retry_at
            if dial_at <= now and not self._open_budget.try_acquire(now):
                dial_at = max(self._open_budget.available_at(now), now + MIN_WAIT_SECONDS)
            if dial_at > now:
                self._dial_at = min(self._dial_at, dial_at)
                continue
            peer.opening = True
            actions.append(OpenSession(self._vms[name]))
        return actions

    def _close(self, now: float) -> list[MembershipAction]:
        self._close_at = NEVER
        actions: list[MembershipAction] = []
        for name, peer in self._peers.items():
            if not peer.has_session or name in self._selected or self._is_draining(name, peer):
                peer.surplus_at = NEVER
                continue
            if peer.surplus_at == NEVER:
                peer.surplus_at = now + self._settings.surplus_wait
            if peer.surplus_at <= now:
                peer.has_session = False
                actions.append(CloseSession(name))
            else:
                self._close_at = min(self._close_at, peer.surplus_at)
        return actions

    def _is_draining(self, name: str, peer: _Peer) -> bool:
        """Return whether an agent is leaving; it closes its session itself once it has drained."""
        vm = self._vms.get(name)
        return vm is not None and (peer.announced_leaving or vm.state is VmState.LEAVING)
