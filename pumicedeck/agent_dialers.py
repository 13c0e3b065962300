"""Opens and closes an entry VM's connections to agent VMs, at most one to each VM."""

from collections.abc import Callable

from loguru import logger

from pumicedeck.clocks import TimerQueue
from pumicedeck.topology import Address, Vm

_log = logger.bind(module="agent_dialers")

IDLE_CHECK_INTERVAL_SECONDS = 1.0
MAX_IDLE_CHECKS = 600


class AgentDialer:
    """Holds the connection number of each dialed VM; it never dials again by itself.

    The membership decides when a VM is dialed again.
    """

    def __init__(
        self,
        timers: TimerQueue,
        dial: Callable[[Address], int],
        close_connection: Callable[[int], None],
        count_outstanding: Callable[[str], int],
    ) -> None:
        """Dial with `dial`, which returns a connection number.

        `count_outstanding` returns how many attempts wait for an answer of the named VM.
        """
        self._timers = timers
        self._dial = dial
        self._close_connection = close_connection
        self._count_outstanding = count_outstanding
        self._connection_numbers: dict[str, int] = {}
        self._closing_when_idle: set[str] = set()

    def open(self, vm: Vm) -> None:
        """Dial a VM unless it has a connection, and withdraw a pending `close_when_idle`."""
        self._closing_when_idle.discard(vm.name)
        if vm.name in self._connection_numbers:
            return
        self._connection_numbers[vm.name] = self._dial(vm.address)
        _log.debug("dialing", peer=vm.name, address=str(vm.address))

    def close_when_idle(self, name: str) -> None:
        """Close the connection to a VM once no attempt waits for its answer.

        It is closed in any case after MAX_IDLE_CHECKS checks.
        """
        if name in self._connection_numbers:
            self._closing_when_idle.add(name)
            self._check_idle(name, MAX_IDLE_CHECKS)

    def remove_connection(self, connection_number: int) -> str | None:
        """Remove a connection that ended and return the name of its VM; None if it is unknown."""
        for name, number in self._connection_numbers.items():
            if number == connection_number:
                del self._connection_numbers[name]
                self._closing_when_idle.discard(name)
                return name
        return None

    def close(self) -> None:
        """Close every connection."""
        for number in list(self._connection_numbers.values()):
            self._close_connection(number)

    def _check_idle(self, name: str, checks_left: int) -> None:
        if name not in self._closing_when_idle or name not in self._connection_numbers:
            return
        if self._count_outstanding(name) and checks_left > 0:
            self._timers.call_later(
                IDLE_CHECK_INTERVAL_SECONDS, lambda: self._check_idle(name, checks_left - 1)
            )
            return
        self._close_connection(self._connection_numbers[name])
