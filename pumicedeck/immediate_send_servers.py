"""A TCP server that sends at once what a socket takes."""

import socket

from circuits.net.sockets import TCPServer


class ImmediateSendServer(TCPServer):
    """Leaves only what a socket does not take now to the poller, which saves a loop turn."""

    def unsent_bytes(self, sock: socket.socket) -> int:
        """Return how many bytes wait for a peer that does not read."""
        return sum(map(len, self._buffers.get(sock, ())))

    def send_bytes(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes after what waits already; nothing is sent on a closed socket."""
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
            # The poller reports a broken connection; what cannot be sent now is buffered.
            return 0
