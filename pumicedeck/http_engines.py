"""Model engine over HTTP; an engine answers a generation with a stream of JSON lines."""

from collections.abc import Callable

from result import Err, Ok, Result

from pumicedeck.http_adapters import HttpAdapter, failure_from_response, transport_failure
from pumicedeck.http_messages import HttpResponse
from pumicedeck.http_operations import (
    CACHE_EVENTS,
    CANCEL,
    EXPORT_KV,
    GENERATE,
    GENERATION_LINE,
    IMPORT_KV,
    ORDER,
    STATE,
)
from pumicedeck.platform_interfaces import (
    CacheEvent,
    EngineOrder,
    EngineState,
    Generation,
    GenerationEnd,
    ModelEngine,
    ResultCallback,
    TokenChunk,
    adapter,
)
from pumicedeck.results import Failure, ResultCode

GENERATION_SILENCE_SECONDS = 10.0
_HTTP_OK = 200


class _GenerationReader:
    """Decodes the JSON lines of one generation into token chunks and an outcome."""

    def __init__(self, chunk: Callable[[TokenChunk], None], offset: int) -> None:
        self._chunk = chunk
        self._partial_line = b""
        self._end_offset = offset
        self._outcome: Result[GenerationEnd, Failure] | None = None

    @property
    def outcome(self) -> Result[GenerationEnd, Failure]:
        """Return how the generation ended; ENDPOINT_FAILED if its body has no end line."""
        return self._outcome or Err(
            Failure(ResultCode.ENDPOINT_FAILED, "generation stream closed without an end line")
        )

    def feed(self, data: bytes) -> None:
        """Decode bytes of the body; an empty line only keeps the connection alive."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if line and self._outcome is None:
                self._handle_line(line)

    def _handle_line(self, line: bytes) -> None:
        decoded = GENERATION_LINE.decode(line)
        if decoded.is_err():
            self._outcome = Err(
                Failure(ResultCode.ENDPOINT_FAILED, "generation stream holds an invalid line")
            )
            return
        content = decoded.unwrap()[0]
        if content.chunk is not None:
            self._end_offset = content.chunk.offset + len(content.chunk.data)
            self._chunk(content.chunk)
        elif content.failure is not None:
            failure = content.failure
            code, reported_not_run = failure.code, failure.proven_not_run
            self._outcome = Err(Failure(code, failure.detail, proven_not_run=reported_not_run))
        elif content.end is not None:
            self._outcome = self._check_length(content.end)

    def _check_length(self, end: GenerationEnd) -> Result[GenerationEnd, Failure]:
        if end.length != self._end_offset:
            detail = (
                f"{self._end_offset} of {end.length} bytes received; the generation is truncated"
            )
            return Err(Failure(ResultCode.ENDPOINT_FAILED, detail))
        return Ok(end)


@adapter("ModelEngine", "http")
class HttpEngine(HttpAdapter, ModelEngine):
    """A model engine at one address."""

    def generate(
        self,
        generation: Generation,
        chunk: Callable[[TokenChunk], None],
        done: ResultCallback[GenerationEnd],
    ) -> None:
        """Start a generation or, with `resume_offset`, resume the one with the same handle."""
        reader = _GenerationReader(chunk, generation.resume_offset)
        # The engine sends empty lines during a long generation, so a silent one has failed.
        silence = min(
            self._silence_seconds or GENERATION_SILENCE_SECONDS, GENERATION_SILENCE_SECONDS
        )

        def report(http_result: Result[HttpResponse, Failure]) -> None:
            if http_result.is_err():
                done(Err(transport_failure(GENERATE, http_result.unwrap_err())))
            elif http_result.unwrap().status != _HTTP_OK:
                done(Err(failure_from_response(GENERATE, http_result.unwrap())))
            else:
                done(reader.outcome)

        self._client.send(
            self._request(GENERATE, (generation,)),
            report,
            chunk=reader.feed,
            silence_seconds=silence,
        )

    def cancel(self, handle: str) -> None:
        """Stop a generation; its `done` reports CANCELLED."""
        self._call(CANCEL, (handle,), lambda outcome: None)

    def order(self, order: EngineOrder, done: ResultCallback[EngineState]) -> None:
        """Execute an order; FENCED, SWAP_FAILED or ORDER_UNKNOWN on failure."""
        self._call(ORDER, (order,), done)

    def state(self, done: ResultCallback[EngineState]) -> None:
        """Read the engine's state."""
        self._call(STATE, (), done)

    def cache_events(self, since: int, done: ResultCallback[tuple[CacheEvent, ...]]) -> None:
        """Read the cache events after sequence number `since`."""
        self._call(CACHE_EVENTS, (since,), done)

    def export_kv(self, handle: str, done: ResultCallback[bytes]) -> None:
        """Export the KV cache of a running generation and stop it there."""
        self._call(EXPORT_KV, (handle,), done)

    def import_kv(self, handle: str, data: bytes, done: ResultCallback[None]) -> None:
        """Import a KV cache so that `generate` can resume under `handle`."""
        self._call(IMPORT_KV, (handle, data), done)
