"""Socket options: how the kernel detects lost connections, and how much it buffers for them."""

import socket
from contextlib import suppress

from pumicedeck.http_messages import KIB

# What the kernel holds for a peer that does not read, once it has acknowledged what it received.
UNSENT_KERNEL_BYTES = 128 * KIB
_MILLISECONDS_PER_SECOND = 1000
_KEEPALIVE_PROBES = 3


def set_acknowledgement_timeout(sock: socket.socket, seconds: float) -> None:
    """Break the connection when the peer acknowledges nothing for about `seconds`.

    This covers written bytes and, by keepalive probes, an idle connection. A slow response does not
    break the connection, because the peer's kernel still acknowledges.
    """
    interval = max(1, round(seconds / (_KEEPALIVE_PROBES + 1)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(seconds * _MILLISECONDS_PER_SECOND)
    )


def limit_unsent_bytes(sock: socket.socket) -> None:
    """Let the kernel hold about UNSENT_KERNEL_BYTES that it has not sent yet.

    Connections inherit this from their listening socket. Without it, the kernel buffers megabytes
    for each peer that does not read.
    """
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_KERNEL_BYTES)


def set_receive_buffer(sock: socket.socket, count: int) -> None:
    """Let the kernel hold about `count` received bytes that are not read yet."""
    with suppress(OSError):
        # Linux doubles the value, for its own bookkeeping.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, count // 2)
