"""circuits' EPoll poller and servers for many sockets."""

from collections.abc import Iterator
from typing import Any

from circuits.core.pollers import EPoll
from circuits.net.sockets import Server


class SocketSet:
    """Stands in for a list of sockets and finds one without a walk through all of them."""

    def __init__(self, members: Any = ()) -> None:
        """Begin with `members`."""
        self._members = dict.fromkeys(members)

    def __contains__(self, member: object) -> bool:
        """Tell whether a socket is a member."""
        return member in self._members

    def __iter__(self) -> Iterator[Any]:
        """Walk through the members in the order of their adding."""
        return iter(self._members)

    def __len__(self) -> int:
        """Return how many members there are."""
        return len(self._members)

    def __getitem__(self, index: slice) -> list[Any]:
        """Return a slice of the members as a list."""
        return list(self._members)[index]

    def append(self, member: Any) -> None:
        """Add a member; adding it again changes nothing."""
        self._members[member] = None

    def remove(self, member: Any) -> None:
        """Take a member out."""
        del self._members[member]


class ManySocketsPoller(EPoll):
    """An EPoll poller whose cost for an event does not grow with the number of sockets."""

    def __init__(self) -> None:
        """Begin with what the base class watches already."""
        super().__init__()
        self._read = SocketSet(self._read)
        self._write = SocketSet(self._write)


def index_client_sockets(server: Server) -> None:
    """Let a server find a connection without a walk through all of them."""
    server._clients = SocketSet(server._clients)
