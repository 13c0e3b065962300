"""HTTP API of an entry for callers and trainers.

Authenticates and checks each request, submits it to the entry daemon and writes the answer.
"""

from collections.abc import Callable

from result import Err, Result

from pumicedeck.actions import CallerAnswer
from pumicedeck.caller_requests import (
    DRAWS_OPERATION,
    EntryPath,
    find_entry,
    parse_call,
    parse_path,
)
from pumicedeck.catalogue_entries import CatalogueEntry, RequestClass
from pumicedeck.draw_documents import parse_draw, payload_document
from pumicedeck.draw_sessions import DrawSessions
from pumicedeck.entry_daemons import EntryDaemon
from pumicedeck.http_servers import HttpExchange
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tokens import Principal, TokenChecker

LENGTH_HEADER = "X-Answer-Length"
DIGEST_HEADER = "X-Answer-Digest"
VERSIONS_HEADER = "X-Weight-Versions"
ID_HEADER = "X-Request-Id"


class HttpAnswerSink:
    """Writes the outcome of a call to the HTTP exchange of its caller."""

    def __init__(self, exchange: HttpExchange, request_id: str) -> None:
        """Write to `exchange`; `request_id` is returned in the answer's headers."""
        self._exchange = exchange
        self._request_id = request_id
        self._offset = 0

    def chunk(self, data: bytes) -> None:
        """Write one line of a streamed answer."""
        self._exchange.begin_stream()
        self._exchange.write_line({"offset": self._offset, **payload_document(data)})
        self._offset += len(data)

    def answer(self, answer: CallerAnswer) -> None:
        """Write the complete answer, or the last line of a streamed one."""
        if self._exchange.is_streaming:
            self._exchange.write_line({"end": _end_document(answer)})
            self._exchange.end_stream()
            return
        headers = {
            ID_HEADER: self._request_id,
            LENGTH_HEADER: str(answer.length),
            DIGEST_HEADER: answer.digest,
        }
        if answer.versions:
            headers[VERSIONS_HEADER] = ",".join(str(version) for version in answer.versions)
        self._exchange.answer(answer.status, answer.content_type, answer.body, headers)

    def failure(self, failure: Failure) -> None:
        """Write the failure as an error answer."""
        self._exchange.fail(failure)


def _end_document(answer: CallerAnswer) -> dict[str, object]:
    return {
        "status": answer.status,
        "length": answer.length,
        "digest": answer.digest,
        "tokens": answer.tokens,
        "versions": list(answer.versions),
    }


class CallerApi:
    """Handles the requests at the address of an entry that callers and trainers use."""

    def __init__(
        self,
        daemon: EntryDaemon,
        token_checker: TokenChecker,
        draws: DrawSessions,
        generate_id: Callable[[], str],
    ) -> None:
        """Submit calls to `daemon`; `generate_id` returns ids that are never reused."""
        self._daemon = daemon
        self._token_checker = token_checker
        self._draws = draws
        self._make_id = generate_id

    def handle(self, exchange: HttpExchange) -> None:
        """Route a call or a draw after its path, method and token are checked."""
        path = parse_path(exchange.path)
        if isinstance(path, Err):
            exchange.fail(path.err_value)
            return
        if exchange.method != "POST":
            exchange.fail(Failure(ResultCode.BAD_REQUEST, "expected the method POST"))
            return
        self._token_checker.check(
            exchange.header("Authorization"),
            lambda principal: self._handle_authenticated(exchange, path.ok_value, principal),
        )

    def _handle_authenticated(
        self, exchange: HttpExchange, path: EntryPath, principal: Result[Principal, Failure]
    ) -> None:
        entry = principal.and_then(
            lambda caller: find_entry(self._daemon.catalogue, path.entry_name, caller)
        )
        if isinstance(entry, Err):
            exchange.fail(entry.err_value)
        elif path.operation == DRAWS_OPERATION:
            self._start_draw(exchange, entry.ok_value)
        else:
            query = f"?{exchange.query}" if exchange.query else ""
            self._start_call(exchange, entry.ok_value, path.endpoint_path + query)

    def _start_call(self, exchange: HttpExchange, entry: CatalogueEntry, path: str) -> None:
        handle = self._make_id()
        request = parse_call(handle, handle, entry, path, exchange.header, exchange.body)
        if isinstance(request, Err):
            exchange.fail(request.err_value)
            return
        exchange.on_caller_disconnected = lambda: self._daemon.caller_disconnected(handle)
        sink = HttpAnswerSink(exchange, request.ok_value.request_id)
        self._daemon.submit(request.ok_value, sink)

    def _start_draw(self, exchange: HttpExchange, entry: CatalogueEntry) -> None:
        if entry.request_class is not RequestClass.ROLLOUT:
            exchange.fail(Failure(ResultCode.BAD_REQUEST, f"{entry.name} is not a rollout entry"))
            return
        if self._daemon.is_draining:
            exchange.fail(
                Failure(ResultCode.NOT_READY, "the entry is draining and starts no new draws", 1.0)
            )
            return
        handle = self._make_id()
        scorer = self._daemon.catalogue.entry(entry.scorer) if entry.scorer else None
        request = parse_draw(handle, entry, exchange.body, scorer)
        if isinstance(request, Err):
            exchange.fail(request.err_value)
            return
        exchange.on_caller_disconnected = lambda: self._draws.caller_disconnected(handle)
        self._draws.start(request.ok_value, exchange)
