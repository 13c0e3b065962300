"""Numbered result codes and the failure type that all modules return."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class Execution(StrEnum):
    """Whether a request ran at its endpoint, as far as is known."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


@dataclass(frozen=True, slots=True)
class CodeInfo:
    """Fixed properties of a result code; `exit_status` is that of the command line."""

    execution: Execution
    http_status: int
    exit_status: int
    meaning: str


class ResultCode(IntEnum):
    """Result codes that callers, operators and scripts see; their numbers never change."""

    OK = 100

    OVERLOADED = 200
    NO_ENDPOINT = 201
    ENDPOINT_LEAVING = 202
    QUEUE_TIMEOUT = 203
    RATE_LIMITED = 204
    REVOKED = 205
    STORE_UNAVAILABLE = 206
    NOT_READY = 207
    CANCELLED = 208
    ENDPOINT_UNREACHABLE = 209
    CLAIM_LOST = 210
    ENDPOINT_REFUSED = 211
    NO_ROUTE = 212
    QUARANTINED = 213
    STREAM_VERSION_GONE = 214
    STREAM_VERSION_UNKNOWN = 215
    KEY_UNVERIFIED = 216

    OUTCOME_UNKNOWN = 300
    STREAM_BROKEN = 301
    IN_PROGRESS = 302
    DEADLINE_EXCEEDED = 303
    ENDPOINT_FAILED = 304
    ANSWER_EXPIRED = 305

    BAD_REQUEST = 400
    UNAUTHENTICATED = 401
    FORBIDDEN = 402
    UNKNOWN_ENTRY = 403
    TOO_LARGE = 404
    REQUEST_TIMEOUT = 405
    REQUEST_ID_EXPIRED = 406
    BAD_FRAMING = 407
    BAD_SETTINGS = 408
    REQUEST_ID_REUSED = 409
    NOT_FOUND = 410
    KEY_REJECTED = 411

    BAD_CATALOGUE = 500
    EDIT_CONFLICT = 501
    EDIT_UNKNOWN = 502
    CATALOGUE_UNAVAILABLE = 503

    LEASE_NOT_HELD = 600
    FENCED = 601
    ORDER_UNKNOWN = 602
    SWAP_FAILED = 603
    VERSION_UNKNOWN = 604

    DRAFT_STALE = 700
    NEWEST_UNKNOWN = 701
    DRAW_TAKEN_OVER = 702
    DRAW_INCOMPLETE = 703

    PEER_REJECTED = 800
    SESSION_LOST = 801
    BAD_MESSAGE = 802

    STORE_CONFLICT = 900
    STORE_OUTCOME_UNKNOWN = 901
    HISTORY_GONE = 902
    INTERNAL_ERROR = 999

    @property
    def info(self) -> CodeInfo:
        """Return the fixed properties of this code."""
        return _INFO[self]


_NOT = Execution.NOT_RUN
_RAN = Execution.RAN
_MAY = Execution.MAY_HAVE_RUN

_INFO = {
    ResultCode.OK: CodeInfo(_RAN, 200, 0, "The request ran and the answer is whole."),
    ResultCode.OVERLOADED: CodeInfo(_NOT, 503, 3, "Refused early because of load."),
    ResultCode.NO_ENDPOINT: CodeInfo(_NOT, 503, 3, "No endpoint can take the request now."),
    ResultCode.ENDPOINT_LEAVING: CodeInfo(_NOT, 503, 3, "The endpoint is draining."),
    ResultCode.QUEUE_TIMEOUT: CodeInfo(_NOT, 503, 3, "The longest queue time was exceeded."),
    ResultCode.RATE_LIMITED: CodeInfo(_NOT, 429, 3, "A limit of the catalogue entry binds."),
    ResultCode.REVOKED: CodeInfo(_NOT, 503, 3, "The attempt was revoked before it ran."),
    ResultCode.STORE_UNAVAILABLE: CodeInfo(_NOT, 503, 3, "The table service did not answer."),
    ResultCode.NOT_READY: CodeInfo(_NOT, 503, 3, "The process is starting or stopping."),
    ResultCode.CANCELLED: CodeInfo(_NOT, 499, 3, "The caller left before the request ran."),
    ResultCode.ENDPOINT_UNREACHABLE: CodeInfo(
        _NOT, 503, 3, "The endpoint refused the connection before the first byte."
    ),
    ResultCode.CLAIM_LOST: CodeInfo(_NOT, 409, 3, "Another entry VM holds this request id."),
    ResultCode.ENDPOINT_REFUSED: CodeInfo(_NOT, 503, 3, "The endpoint did not take the request."),
    ResultCode.NO_ROUTE: CodeInfo(_NOT, 404, 3, "No route of the configuration fits the request."),
    ResultCode.QUARANTINED: CodeInfo(
        _NOT, 503, 3, "Several endpoints ended while they ran this request."
    ),
    ResultCode.STREAM_VERSION_GONE: CodeInfo(
        _NOT, 503, 3, "No endpoint is known to run the version that began the stream; begin anew."
    ),
    ResultCode.STREAM_VERSION_UNKNOWN: CodeInfo(
        _NOT, 503, 3, "The software version that began the stream cannot be read now."
    ),
    ResultCode.KEY_UNVERIFIED: CodeInfo(
        _NOT, 503, 3, "The key is unknown here, and cannot be checked with the store now."
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(_MAY, 502, 4, "The outcome of the attempt is unknown."),
    ResultCode.STREAM_BROKEN: CodeInfo(_MAY, 502, 4, "The stream ended before it was whole."),
    ResultCode.IN_PROGRESS: CodeInfo(_MAY, 409, 4, "The same request id is being worked on."),
    ResultCode.DEADLINE_EXCEEDED: CodeInfo(_MAY, 504, 4, "The time budget ran out."),
    ResultCode.ENDPOINT_FAILED: CodeInfo(_MAY, 502, 4, "The endpoint failed after the hand-over."),
    ResultCode.ANSWER_EXPIRED: CodeInfo(_RAN, 410, 4, "It ran; the kept answer has expired."),
    ResultCode.BAD_REQUEST: CodeInfo(_NOT, 400, 2, "The request is malformed."),
    ResultCode.UNAUTHENTICATED: CodeInfo(_NOT, 401, 2, "The token is missing or wrong."),
    ResultCode.FORBIDDEN: CodeInfo(_NOT, 403, 2, "The entry belongs to another firm."),
    ResultCode.UNKNOWN_ENTRY: CodeInfo(_NOT, 404, 2, "No such catalogue entry."),
    ResultCode.TOO_LARGE: CodeInfo(_NOT, 413, 2, "Header or body exceeds its bound."),
    ResultCode.REQUEST_TIMEOUT: CodeInfo(_NOT, 408, 2, "The request was not sent in time."),
    ResultCode.REQUEST_ID_EXPIRED: CodeInfo(_NOT, 409, 2, "The request id is too old to retry."),
    ResultCode.BAD_FRAMING: CodeInfo(_NOT, 400, 2, "Body length and framing disagree."),
    ResultCode.BAD_SETTINGS: CodeInfo(_NOT, 500, 2, "The settings file is wrong."),
    ResultCode.REQUEST_ID_REUSED: CodeInfo(
        _NOT, 409, 2, "The request id was used with another body."
    ),
    ResultCode.NOT_FOUND: CodeInfo(_NOT, 404, 2, "No such resource."),
    ResultCode.KEY_REJECTED: CodeInfo(_NOT, 401, 2, "The account's key is missing or unknown."),
    ResultCode.BAD_CATALOGUE: CodeInfo(_NOT, 422, 2, "The catalogue would not be valid."),
    ResultCode.EDIT_CONFLICT: CodeInfo(_NOT, 409, 5, "The row changed since it was read."),
    ResultCode.EDIT_UNKNOWN: CodeInfo(_MAY, 504, 6, "Unknown; ask again with the change id."),
    ResultCode.CATALOGUE_UNAVAILABLE: CodeInfo(_NOT, 503, 3, "No catalogue is installed."),
    ResultCode.LEASE_NOT_HELD: CodeInfo(_NOT, 409, 3, "The lease is not held."),
    ResultCode.FENCED: CodeInfo(_NOT, 409, 3, "The engine refused an old fencing number."),
    ResultCode.ORDER_UNKNOWN: CodeInfo(_MAY, 504, 4, "The reply to an order was lost."),
    ResultCode.SWAP_FAILED: CodeInfo(_MAY, 502, 4, "The engine failed while it swapped."),
    ResultCode.VERSION_UNKNOWN: CodeInfo(_NOT, 503, 3, "The engine's version is unknown."),
    ResultCode.DRAFT_STALE: CodeInfo(_RAN, 409, 4, "The draft exceeds its staleness bound."),
    ResultCode.NEWEST_UNKNOWN: CodeInfo(_NOT, 503, 3, "The newest weight version is unknown."),
    ResultCode.DRAW_TAKEN_OVER: CodeInfo(_RAN, 409, 4, "A later draw took the group over."),
    ResultCode.DRAW_INCOMPLETE: CodeInfo(_MAY, 504, 4, "The draw ended before it was whole."),
    ResultCode.PEER_REJECTED: CodeInfo(_NOT, 403, 2, "The peer failed the handshake."),
    ResultCode.SESSION_LOST: CodeInfo(_MAY, 502, 4, "The session to the agent was lost."),
    ResultCode.BAD_MESSAGE: CodeInfo(_NOT, 400, 2, "A session message could not be decoded."),
    ResultCode.STORE_CONFLICT: CodeInfo(_NOT, 409, 5, "A condition of a transaction failed."),
    ResultCode.STORE_OUTCOME_UNKNOWN: CodeInfo(_MAY, 504, 6, "A commit's reply was lost."),
    ResultCode.HISTORY_GONE: CodeInfo(_NOT, 503, 6, "The store dropped the changes asked for."),
    ResultCode.INTERNAL_ERROR: CodeInfo(_MAY, 500, 1, "A fault in pumicedeck itself."),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """An error of one result code; `retry_after` is in seconds, None if no time is known.

    `proven_not_run` overrides what the code says about execution. `connection_lost` means that the
    other side closed or reset the connection after at least a part of the request was sent.
    """

    code: ResultCode
    detail: str = ""
    retry_after: float | None = None
    proven_not_run: bool = False
    connection_lost: bool = False

    @property
    def execution(self) -> Execution:
        """Return whether the request ran, as far as is known."""
        if self.proven_not_run:
            return Execution.NOT_RUN
        return self.code.info.execution


def result_code_table() -> str:
    """Return a Markdown table of all result codes."""
    lines = [
        "| number | name | execution | HTTP status | exit status | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for code in ResultCode:
        info = code.info
        cells = (
            str(int(code)),
            code.name,
            str(info.execution),
            str(info.http_status),
            str(info.exit_status),
            info.meaning,
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)
