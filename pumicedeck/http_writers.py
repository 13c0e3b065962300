"""circuits.web's server, changed to send each response in one write, without write events."""

from circuits import handler
from circuits.net.events import close
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer

from pumicedeck.immediate_send_servers import ImmediateSendServer
from pumicedeck.topology import Address


class SingleWriteHttp(HTTP):
    """Writes the head and body of a response together; streamed bodies are written as in circuits.

    circuits writes head and body in a separate event each. These events and the ones that follow
    them take half of the processing time of a small response.
    """

    @handler("response", override=True)
    def _on_response(self, res):
        """Write a complete response, or the head of a streamed one."""
        res.prepare()
        sock = res.request.sock
        parts = [bytes(res), bytes(res.headers)]
        if res.request.method != "HEAD" and not res.stream:
            parts += res.body
        self._server.server.send_bytes(sock, b"".join(parts))
        if res.stream:
            return
        if res.close:
            self.fire(close(sock))
        self._clients.pop(sock, None)
        res.done = True


class SingleWriteWebServer(BaseServer):
    """circuits.web's server without its banner and signal handling."""

    def __init__(self, listen_address: Address, channel: str) -> None:
        """Start listening on `listen`."""
        super(BaseServer, self).__init__(channel=channel)
        self._display_banner = False
        address = (listen_address.host, listen_address.port)
        self.server = ImmediateSendServer(address, channel=channel).register(self)
        self.http = SingleWriteHttp(self, channel=channel).register(self)

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Print no banner."""

    @handler("signal", override=True)
    def _on_signal(self, *args, **kwargs):
        """Ignore signals: the daemon handles them and drains before it stops."""
