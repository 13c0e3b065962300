"""Holds an answer back until it is known which incarnation of its endpoint sends it.

Handles endpoints that restart under their names with other software during a release, and accept
requests before their new registration is known.
"""

from collections.abc import Callable

from result import Err, Result

from pumicedeck.http_messages import MIB, HttpResponse
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tasks import Promise

# A question to the endpoint takes milliseconds; an answer that brings more meanwhile fails.
MAX_HELD_BYTES = MIB


class HeldAnswer:
    """Passes the parts of an answer on, or holds them between `hold` and `release`."""

    def __init__(self, on_chunk: Callable[[bytes], None] | None) -> None:
        """Pass the pieces of the body on to `on_chunk`."""
        self._on_chunk = on_chunk
        self._pass_head: Callable[[], None] | None = None
        self._body = bytearray()
        self._released: Promise[bool] = Promise()
        self._failed: Promise[Result[HttpResponse, Failure]] = Promise()

    @property
    def failed(self) -> Promise[Result[HttpResponse, Failure]]:
        """Return the promise that is resolved with ENDPOINT_FAILED once the answer is refused."""
        return self._failed

    def hold(self, pass_head: Callable[[], None]) -> None:
        """Hold the answer, whose head `pass_head` passes on."""
        self._pass_head = pass_head

    def on_chunk(self, data: bytes) -> None:
        """Pass a piece of the body on, or hold it."""
        if self._pass_head is None:
            self._on_chunk(data)
            return
        self._body += data
        if len(self._body) > MAX_HELD_BYTES:
            self.refuse("too much of an answer arrived before its endpoint was known")

    def release(self) -> None:
        """Pass on what is held, and all that follows."""
        if self._pass_head is None:
            return
        pass_head, self._pass_head = self._pass_head, None
        pass_head()
        if self._body and self._on_chunk is not None:
            self._on_chunk(bytes(self._body))
        self._body.clear()
        self._released.resolve(True)

    def refuse(self, detail: str) -> None:
        """Fail the answer; nothing of it is passed on."""
        self._failed.resolve(Err(Failure(ResultCode.ENDPOINT_FAILED, detail)))
        self._released.resolve(False)

    def drop(self) -> None:
        """Discard what is held once the call has ended."""
        self._pass_head = None
        self._body.clear()
        self._released.resolve(False)

    async def decide(self, outcome: Result[HttpResponse, Failure]) -> Result[HttpResponse, Failure]:
        """Return the outcome of an answer that is complete, once it is passed on or refused."""
        if self._pass_head is None or await self._released:
            return outcome
        return Err(Failure(ResultCode.ENDPOINT_FAILED, "the endpoint has restarted"))
