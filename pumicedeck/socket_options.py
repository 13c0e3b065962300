"""Socket options that let the kernel notice a connection that something in between dropped."""

import socket

_MILLISECONDS_PER_SECOND = 1000
_KEEPALIVE_PROBES = 3


def set_acknowledgement_timeout(sock: socket.socket, seconds: float) -> None:
    """Break the connection when the other side acknowledges nothing for about `seconds`.

    It holds for written bytes and, by probes, for an idle connection. A slow answer is no silence.
    """
    interval = max(1, round(seconds / (_KEEPALIVE_PROBES + 1)))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(seconds * _MILLISECONDS_PER_SECOND)
    )
