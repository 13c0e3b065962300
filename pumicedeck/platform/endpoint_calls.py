"""Encodes requests to endpoints of the deployment platform; decodes answers and events."""

import json
from collections.abc import Callable
from math import isfinite

from pumicedeck.dialects import (
    AnswerHead,
    EndpointDialect,
    EngineReport,
    ForwardedCall,
    StreamEvent,
    VersionOrder,
)
from pumicedeck.direct_endpoints import DirectEndpoint
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.json_documents import decode_document, parse_whole_number, read_integer
from pumicedeck.platform.headers import (
    ACCOUNT,
    DEADLINE,
    EXPECT_INSTANCE,
    LAST_EVENT,
    LEAVING,
    LIMIT,
    LOAD,
    NOT_RUN,
    REQUEST_ID,
    SIGNATURE,
    VERSIONS,
    without_hop_by_hop_headers,
    without_identity_headers,
)
from pumicedeck.platform.registrations import decode_models

_MILLISECONDS_PER_SECOND = 1000.0
_MISDIRECTED_STATUS = 421
_IS_LEAVING = "1"
_JSON_TYPE = ("Content-Type", "application/json")
_EVENT_VERSION = f"{VERSIONS.lower()}:"
_LOAD_FIGURES = 3
# Longer texts are no counts of requests.
_MAX_LOAD_DIGITS = 9


class PlatformEndpointDialect(EndpointDialect):
    """Encodes calls, version orders and report requests and decodes what endpoints answer."""

    def __init__(self, has_accounts: Callable[[], bool] = lambda: False) -> None:
        """Create a dialect; `has_accounts` returns whether client accounts are configured."""
        self._has_accounts = has_accounts

    def encode_request(
        self, call: ForwardedCall, endpoint: DirectEndpoint, seconds: float | None
    ) -> HttpRequest:
        """Encode a call; `seconds` is the time left for it, None for no limit."""
        replaced_names = {
            DEADLINE.lower(),
            EXPECT_INSTANCE.lower(),
            LAST_EVENT.lower(),
            REQUEST_ID.lower(),
        }
        # Removed first: a hop-by-hop header of an item could name the headers that are set here.
        kept = without_hop_by_hop_headers(call.headers)
        # Items that were accepted before accounts were configured still have both headers.
        if call.account or self._has_accounts():
            kept = without_identity_headers(kept)
        headers = [pair for pair in kept if pair[0].lower() not in replaced_names]
        if call.account:
            # Sent as UTF-8; the characters of a header field stand for its bytes.
            headers.append((ACCOUNT, call.account.encode().decode("latin-1")))
        headers.append((REQUEST_ID, call.request_id))
        headers.append((EXPECT_INSTANCE, endpoint.name))
        if seconds is not None:
            headers.append((DEADLINE, str(max(1, int(seconds * _MILLISECONDS_PER_SECOND)))))
        if call.resume_after is not None:
            headers.append((LAST_EVENT, str(call.resume_after)))
        return HttpRequest(
            call.method,
            endpoint.address,
            call.target,
            tuple(headers),
            call.body,
            host=call.host,
        )

    def decode_answer_head(self, response: HttpResponse) -> AnswerHead:
        """Decode the head of an answer."""
        running, waiting = _decode_load(response.header(LOAD.lower()))
        misdirected = response.status == _MISDIRECTED_STATUS
        return AnswerHead(
            status=response.status,
            request_id=response.header(REQUEST_ID.lower()),
            not_run=misdirected or bool(response.header(NOT_RUN.lower())),
            misdirected=misdirected,
            signature=response.header(SIGNATURE.lower()),
            version=parse_whole_number(response.header(VERSIONS.lower())),
            running=running,
            waiting=waiting,
            leaving=response.header(LEAVING.lower()) == _IS_LEAVING,
            request_limit=_decode_limit(response.header(LIMIT.lower())),
        )

    def event(self, block: bytes) -> StreamEvent | None:
        """Decode one event of a stream; return None if it has no event number."""
        number, version, data = None, None, []
        for line in block.decode("utf-8", "replace").split("\n"):
            if line.startswith("data:"):
                data.append(line[5:].removeprefix(" "))
            elif line.startswith("id:"):
                number = parse_whole_number(line[3:].strip())
            elif line.lower().startswith(_EVENT_VERSION):
                version = parse_whole_number(line[len(_EVENT_VERSION) :].strip())
        return None if number is None else StreamEvent(number, "\n".join(data), version)

    def order(self, endpoint: DirectEndpoint, order: VersionOrder) -> HttpRequest:
        """Encode an order to load a weight version."""
        document = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": "retain" if order.retain else "wait",
            "holder": order.holder,
            "fence": order.fencing,
            "expected": order.order_sequence,
        }
        headers = (_JSON_TYPE, (EXPECT_INSTANCE, endpoint.name))
        body = json.dumps(document).encode()
        return HttpRequest("POST", endpoint.address, "/order", headers, body)

    def report_request(self, endpoint: DirectEndpoint) -> HttpRequest:
        """Encode the request for an engine's report."""
        headers = ((EXPECT_INSTANCE, endpoint.name),)
        return HttpRequest("GET", endpoint.address, "/report", headers, idempotent=True)

    def report(self, response: HttpResponse) -> EngineReport | None:
        """Decode a report; return None if it is invalid."""
        if response.status != 200:
            return None
        return decode_document(response.body, _build_report).unwrap_or(None)


def _build_report(document) -> EngineReport:
    born = document.get("born")
    return EngineReport(
        decode_models(document["models"]),
        bool(document["busy"]),
        read_integer(document, "seq"),
        born if type(born) is int else None,
    )


def _decode_limit(text: str) -> float | None:
    """Return the requests per second from a limit header, None if it is missing or invalid."""
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if isfinite(limit) and limit >= 0 else None


def _decode_load(text: str) -> tuple[int | None, int | None]:
    """Return the running and waiting requests from a load header, None for each if it is invalid.

    The header has three whole numbers or more. The third, the slots, is not used: the registration
    states it. A fourth says how long work takes at the moment, in percent of the usual time; the
    smoothed latency of the endpoint's own answers stands for it. Later ones are ignored.
    """
    parts = [part.strip() for part in text.split(",")]
    figures = [parse_whole_number(part, _MAX_LOAD_DIGITS) for part in parts]
    if len(figures) < _LOAD_FIGURES or None in figures:
        return None, None
    return figures[0], figures[1]
