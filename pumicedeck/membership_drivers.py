"""Connects the membership of an entry VM to the VM list, the timers and the sessions."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from result import Ok, Result

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.clocks import TimerQueue
from pumicedeck.memberships import (
    CloseSession,
    ListVms,
    Membership,
    MembershipAction,
    MembershipSettings,
    NotifyLeaving,
    OpenSession,
)
from pumicedeck.platform_interfaces import VmList
from pumicedeck.results import Failure
from pumicedeck.topology import Vm
from pumicedeck.wakeups import Wakeup


def _ignore(*arguments: object) -> None:
    return None


@dataclass(frozen=True, slots=True)
class MembershipHooks:
    """Functions of the process that the membership calls.

    `open_session` dials an agent, `close_session` drains and closes the session to a VM, and
    `notify_leaving` notifies an agent that the VM list shows its VM as leaving. `list_received`
    gets every list that was read.
    """

    open_session: Callable[[Vm], None]
    close_session: Callable[[str], None]
    notify_leaving: Callable[[str], None]
    list_received: Callable[[tuple[Vm, ...]], None] = field(default=_ignore)


class MembershipDriver:
    """Opens and closes the sessions of an entry VM so that they match the selected agents."""

    def __init__(
        self,
        own: Vm,
        vm_list: VmList,
        timers: TimerQueue,
        rng: Random,
        hooks: MembershipHooks,
        settings: MembershipSettings | None = None,
    ) -> None:
        """Create a stopped driver that selects agents from `vm_list` for the entry VM `own`."""
        self._vm_list = vm_list
        self._timers = timers
        self._hooks = hooks
        self._membership = Membership(own, rng, settings)
        self._wakeup = Wakeup(timers, self._membership.next_wakeup, self._on_timer)
        self._running = False

    @property
    def selected_agents(self) -> frozenset[str]:
        """Return the names of the agents to which sessions are kept."""
        return self._membership.selected_agents

    def start(self) -> None:
        """Start reading the VM list and opening sessions."""
        self._running = True
        self._run(self._membership.start(self._timers.now()))

    def close(self) -> None:
        """Stop opening and closing sessions; open sessions stay open."""
        self._running = False
        self._wakeup.close()

    def catalogue_installed(self, catalogue: Catalogue) -> None:
        """Apply the pools of a new catalogue."""
        self._run(self._membership.catalogue_installed(self._timers.now(), catalogue))

    def session_opened(self, vm: str) -> None:
        """Record that the session to a VM opened."""
        self._run(self._membership.session_opened(self._timers.now(), vm))

    def session_closed(self, vm: str) -> None:
        """Record that the session to a VM ended or could not be opened."""
        self._run(self._membership.session_closed(self._timers.now(), vm))

    def agent_leaving(self, vm: str) -> None:
        """Deselect an agent that announced that it is leaving."""
        self._run(self._membership.agent_leaving(self._timers.now(), vm))

    def agent_reported(self, vm: str, accepting: bool) -> None:
        """Record whether an agent's endpoint accepts work."""
        self._run(self._membership.agent_reported(self._timers.now(), vm, accepting))

    def _on_timer(self, now: float) -> None:
        self._run(self._membership.on_timer(now))

    def _run(self, actions: list[MembershipAction]) -> None:
        if not self._running:
            return
        for action in actions:
            self._perform(action)
        self._wakeup.refresh()

    def _perform(self, action: MembershipAction) -> None:
        match action:
            case ListVms(call):
                self._vm_list.list(lambda read: self._listed(call, read))
            case OpenSession(vm):
                self._hooks.open_session(vm)
            case CloseSession(vm):
                self._hooks.close_session(vm)
            case NotifyLeaving(vm):
                self._hooks.notify_leaving(vm)

    def _listed(self, call: int, read: Result[tuple[Vm, ...], Failure]) -> None:
        if self._running:
            if isinstance(read, Ok):
                self._hooks.list_received(read.ok_value)
            self._run(self._membership.vms_listed(self._timers.now(), call, read))
