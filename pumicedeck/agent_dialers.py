"""Opens and closes connections to agent VMs and knows which connection leads where."""

from collections.abc import Callable

from loguru import logger

from pumicedeck.clocks import TimerQueue
from pumicedeck.topology import Address, Vm

_log = logger.bind(module="agent_dialers")

IDLE_CHECK_SECONDS = 1.0
MAX_IDLE_CHECKS = 600


class AgentDialer:
    """At most one connection a VM; when to dial again is the membership's decision."""

    def __init__(
        self,
        timers: TimerQueue,
        dial: Callable[[Address], int],
        close_connection: Callable[[int], None],
        outstanding: Callable[[str], int],
    ) -> None:
        """Dial with `dial`; `outstanding` counts the attempts that wait for a VM's answers."""
        self._timers = timers
        self._dial = dial
        self._hang_up = close_connection
        self._outstanding = outstanding
        self._connections: dict[str, int] = {}
        self._closing: set[str] = set()

    def open(self, vm: Vm) -> None:
        """Dial a VM unless a connection to it is open already."""
        self._closing.discard(vm.name)
        if vm.name in self._connections:
            return
        self._connections[vm.name] = self._dial(vm.address)
        _log.debug("dialing", peer=vm.name, address=str(vm.address))

    def close_when_idle(self, name: str) -> None:
        """Close the connection to a VM once nothing waits for its answers."""
        if name in self._connections:
            self._closing.add(name)
            self._check_idle(name, MAX_IDLE_CHECKS)

    def remove_connection(self, connection: int) -> str | None:
        """Forget a connection that ended and return its VM."""
        for name, number in self._connections.items():
            if number == connection:
                del self._connections[name]
                self._closing.discard(name)
                return name
        return None

    def close(self) -> None:
        """Close every connection."""
        for number in list(self._connections.values()):
            self._hang_up(number)

    def _check_idle(self, name: str, checks_left: int) -> None:
        if name not in self._closing or name not in self._connections:
            return
        if self._outstanding(name) and checks_left > 0:
            self._timers.call_later(
                IDLE_CHECK_SECONDS, lambda: self._check_idle(name, checks_left - 1)
            )
            return
        self._hang_up(self._connections[name])
