"""circuits.web's server with answers written in one piece and at once."""

import socket

from circuits import handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer

from pumicedeck.world import Address


class PromptServer(TCPServer):
    """Sends at once what the socket takes and leaves only the rest to the poller."""

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes after what waits already."""
        if sock not in self._clients:
            return
        if not self._buffers[sock]:
            data = data[self._send_now(sock, data) :]
        if data:
            self.write(sock, data)

    def _send_now(self, sock: socket.socket, data: bytes) -> int:
        try:
            return sock.send(data)
        except OSError:
            # The poller reports a broken connection; what cannot be sent now is buffered.
            return 0


class PromptHttp(HTTP):
    """Writes the head and body of an answer together; streams stay as they are.

    circuits writes them by an event each, which with their follow-up events is half of the work
    for a small answer.
    """

    @handler("response", override=True)
    def _on_response(self, res):
        """Write an answer, or the head of a streamed one."""
        res.prepare()
        sock = res.request.sock
        parts = [bytes(res), bytes(res.headers)]
        if res.request.method != "HEAD" and not res.stream:
            parts += res.body
        self._server.server.send(sock, b"".join(parts))
        if res.stream:
            return
        if res.close:
            self.fire(close(sock))
        self._clients.pop(sock, None)
        res.done = True


class PromptWebServer(BaseServer):
    """The server without its banner and its own reaction to signals."""

    def __init__(self, listen: Address, channel: str) -> None:
        """Listen at once."""
        super(BaseServer, self).__init__(channel=channel)
        self._display_banner = False
        address = (listen.host, listen.port)
        self.server = PromptServer(address, channel=channel).register(self)
        self.http = PromptHttp(self, channel=channel).register(self)

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Print nothing."""

    @handler("signal", override=True)
    def _on_signal(self, *args, **kwargs):
        """Leave signals to the daemon, which drains first."""
