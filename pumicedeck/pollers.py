"""circuits' EPoll poller and servers with constant-time socket lookup, for many sockets."""

from collections.abc import Iterator
from typing import Any

from circuits.core.pollers import EPoll
from circuits.net.sockets import Server


class SocketSet:
    """Replaces circuits' lists of sockets; finding or removing a socket takes constant time."""

    def __init__(self, members: Any = ()) -> None:
        """Create a set of `members`, in their order."""
        self._members = dict.fromkeys(members)

    def __contains__(self, member: object) -> bool:
        """Return whether a socket is a member."""
        return member in self._members

    def __iter__(self) -> Iterator[Any]:
        """Iterate over the members in the order in which they were added."""
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
        """Remove a member; raise KeyError if it is not one."""
        del self._members[member]


class ManySocketsPoller(EPoll):
    """An EPoll poller whose cost for an event does not grow with the number of sockets."""

    def __init__(self) -> None:
        """Create a poller and convert the socket lists of the base class."""
        super().__init__()
        self._read = SocketSet(self._read)
        self._write = SocketSet(self._write)


def index_client_sockets(server: Server) -> None:
    """Convert a server's list of connections, so that finding one takes constant time."""
    server._clients = SocketSet(server._clients)
