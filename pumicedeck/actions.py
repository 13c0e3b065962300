"""What the request state machines ask their process to do, as frozen data classes."""

from dataclasses import dataclass

from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.messages import AttemptId, Dispatch, DraftId, Message
from pumicedeck.results import Failure


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A checked request as the entry accepted it; `handle` names the open caller connection.

    `budget` is in seconds. `request_id` is the caller's or was made by the entry VM; `repeatable`
    says that it is the caller's, so the same id may come again.
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
    """A whole answer for the caller; `body` is empty if it was streamed."""

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
    """Send a message to a peer incarnation; dropped if there is no session."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class DeliverChunk:
    """Write the next bytes of a streamed answer to the caller."""

    handle: str
    data: bytes


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """End the caller's request with a whole answer."""

    handle: str
    answer: CallerAnswer


@dataclass(frozen=True, slots=True)
class DeliverFailure:
    """End the caller's request with a numbered failure."""

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
    """Hand a dispatch over to the endpoint."""

    dispatch: Dispatch


@dataclass(frozen=True, slots=True)
class CancelExecution:
    """Cancel what the endpoint runs for an attempt."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Drained:
    """Nothing is queued, running or unacknowledged any more."""


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
