"""Actions that the request state machines return and their process carries out."""

from dataclasses import dataclass

from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.messages import AttemptId, Dispatch, DraftId, Message
from pumicedeck.results import Failure


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request at the entry; `handle` identifies the open caller connection.

    `budget` is the time budget in seconds. `request_id` comes from the caller or, if the caller
    sent none, from the entry. `has_caller_request_id` is true in the first case: only then may
    the caller send the same id again.
    """

    handle: str
    request_id: str
    entry: CatalogueEntry
    path: str
    body: bytes
    idempotent: bool
    streamed: bool
    budget: float
    expected_tokens: int = 1
    priority: int = 0
    prefix: str = ""
    draft: DraftId | None = None
    has_caller_request_id: bool = True


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """A complete answer for the caller; `body` is empty if its bytes were streamed before.

    `length` (bytes) and `digest` (SHA-256, hexadecimal) cover the complete body. `queue_wait` is
    in seconds. `bracketed` says that some of `versions` may have produced no part of the answer.
    """

    status: int
    content_type: str
    body: bytes
    length: int
    digest: str
    tokens: int = 0
    versions: tuple[int, ...] = ()
    bracketed: bool = False
    queue_wait: float = 0.0
    agent: str = ""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer incarnation; without a session to it the message is dropped."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class DeliverChunk:
    """Write the next bytes of a streamed answer to the caller."""

    handle: str
    data: bytes


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """End the caller's request with a complete answer."""

    handle: str
    answer: CallerAnswer


@dataclass(frozen=True, slots=True)
class DeliverFailure:
    """End the caller's request with a failure and its result code."""

    handle: str
    failure: Failure


@dataclass(frozen=True, slots=True)
class WriteClaim:
    """Insert the claim row of a non-idempotent request before it is dispatched."""

    handle: str
    firm: str
    request_id: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Write the outcome of a claimed request into its claim row."""

    firm: str
    request_id: str
    code: int
    answer: CallerAnswer | None


@dataclass(frozen=True, slots=True)
class StartExecution:
    """Pass a dispatch to the endpoint."""

    dispatch: Dispatch


@dataclass(frozen=True, slots=True)
class CancelExecution:
    """Cancel the execution of an attempt at the endpoint."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Drained:
    """The drain is complete: no request or attempt is left, so the process may stop."""


Action = (
    SendMessage
    | DeliverChunk
    | DeliverAnswer
    | DeliverFailure
    | WriteClaim
    | RecordOutcome
    | StartExecution
    | CancelExecution
    | Drained
)
