"""circuits.web's server with answers written in one piece and at once."""

from circuits import handler
from circuits.net.events import close
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer

from pumicedeck.immediate_send_servers import ImmediateSendServer
from pumicedeck.topology import Address


class SingleWriteHttp(HTTP):
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
        self._server.server.send_bytes(sock, b"".join(parts))
        if res.stream:
            return
        if res.close:
            self.fire(close(sock))
        self._clients.pop(sock, None)
        res.done = True


class SingleWriteWebServer(BaseServer):
    """The server without its banner and its own reaction to signals."""

    def __init__(self, listen: Address, channel: str) -> None:
        """Listen at once."""
        super(BaseServer, self).__init__(channel=channel)
        self._display_banner = False
        address = (listen.host, listen.port)
        self.server = ImmediateSendServer(address, channel=channel).register(self)
        self.http = SingleWriteHttp(self, channel=channel).register(self)

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Print nothing."""

    @handler("signal", override=True)
    def _on_signal(self, *args, **kwargs):
        """Leave signals to the daemon, which drains first."""
