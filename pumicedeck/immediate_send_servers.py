"""A TCP server that writes to a socket immediately and buffers only what the socket rejects."""

import socket

from circuits.net.sockets import TCPServer


class ImmediateSendServer(TCPServer):
    """Sends data without waiting for the poller, which saves a turn of the event loop."""

    def unsent_bytes(self, sock: socket.socket) -> int:
        """Return how many bytes are buffered because the peer does not read them."""
        return sum(map(len, self._buffers.get(sock, ())))

    def send_bytes(self, sock: socket.socket, data: bytes) -> None:
        """Send `data` after the bytes already buffered; on a closed socket, discard it."""
        if sock not in self._clients or sock.fileno() < 0:
            return
        if not self._buffers.get(sock):
            data = data[self._send_now(sock, data) :]
        if data:
            self.write(sock, data)

    def _send_now(self, sock: socket.socket, data: bytes) -> int:
        try:
            return sock.send(data)
        except OSError:
            # The data is buffered instead; the poller reports a broken connection.
            return 0
