"""Socket options by which the kernel detects a connection that the network dropped silently."""

import socket

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
