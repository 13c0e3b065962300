"""Interfaces that translate between a platform's wire format and the gateway's own types.

A dialect encodes and decodes the messages of one deployment platform: calls, answers, submissions
and version orders. The platform's adapter implements it; only the adapter knows header names, paths
and field names.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from pumicedeck.accounts.identities import account_field
from pumicedeck.direct_endpoints import DirectEndpoint, version_in
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.incoming_calls import Headers, IncomingCall
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.results import Failure
from pumicedeck.submissions import Submission


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A caller's request.

    `budget_seconds` is how long the caller waits, None if it gives no limit; `resume_after` is the
    number of the last event that the caller of a stream received, None to start at the first.
    `stream_id` is then the request id of the caller's attempt that received the first event, empty
    if the caller does not name it. `account` names the client account that the request belongs to,
    empty without accounts.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    budget_seconds: float | None = None
    resume_after: int | None = None
    stream_id: str = ""
    account: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]

    @property
    def log_fields(self) -> dict[str, str]:
        """Return the request's id and account as fields of log lines."""
        return {"request": self.request_id, **account_field(self.account)}


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer, decoded.

    `not_run` means that the endpoint states that the request did not and will not run;
    `misdirected` that another endpoint is now at this address. `signature` proves to the caller
    that the answer comes from the endpoint. `version` is the weight version; `running` and
    `waiting` are the endpoint's counts of requests; these three are None if not reported. `leaving`
    means that the endpoint will end soon and must get no further requests. `request_limit` is how
    many requests per second the endpoint accepts from all gateways together, None if it names none.
    """

    status: int
    request_id: str
    not_run: bool
    misdirected: bool
    signature: str
    version: int | None
    running: int | None
    waiting: int | None
    leaving: bool = False
    request_limit: float | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream; `version` is set only on an event where the weights changed."""

    number: int
    data: str
    version: int | None = None


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order to load a weight version; `retain` lets running work continue under the new version.

    An engine refuses the order unless it has accepted `order_sequence` orders so far; `fencing` is
    the fencing number of the lease holder `holder`.
    """

    model: str
    version: int
    retain: bool
    holder: str
    fencing: int
    order_sequence: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's state; `order_sequence` counts the orders that the engine has accepted.

    `incarnation` is that of the process that reports, None if it does not say.
    """

    models: tuple[LoadedModel, ...]
    busy: bool
    order_sequence: int
    incarnation: int | None = None

    def version_of(self, model: str) -> int:
        """Return the weight version of a model, 0 if the engine does not hold it."""
        return version_in(self.models, model)


class EndpointDialect(ABC):
    """Encodes requests to endpoints and decodes their answers."""

    @abstractmethod
    def encode_request(
        self, call: ForwardedCall, endpoint: DirectEndpoint, seconds: float | None
    ) -> HttpRequest:
        """Encode a call; `seconds` is the time left for it, None for no limit."""

    @abstractmethod
    def decode_answer_head(self, response: HttpResponse) -> AnswerHead:
        """Decode the head of an answer."""

    @abstractmethod
    def event(self, block: bytes) -> StreamEvent | None:
        """Decode one event of a stream; return None if it has no event number."""

    @abstractmethod
    def order(self, endpoint: DirectEndpoint, order: VersionOrder) -> HttpRequest:
        """Encode an order to load a weight version."""

    @abstractmethod
    def report_request(self, endpoint: DirectEndpoint) -> HttpRequest:
        """Encode the request for an engine's report."""

    @abstractmethod
    def report(self, response: HttpResponse) -> EngineReport | None:
        """Decode a report; return None if it is invalid."""


class CallerDialect(ABC):
    """Decodes callers' requests and encodes answers to them."""

    @abstractmethod
    def decode_request(self, incoming: IncomingCall) -> ForwardedCall:
        """Decode a request."""

    @abstractmethod
    def account_key(self, call: ForwardedCall) -> str:
        """Return the key of a client account that a request carries, empty if it has none."""

    @abstractmethod
    def with_account(self, call: ForwardedCall, account: str) -> ForwardedCall:
        """Return a request of `account` without the key and the account that its caller sent."""

    @abstractmethod
    def relayed_headers(self, call: ForwardedCall, response: HttpResponse) -> Headers:
        """Return the headers of an endpoint's answer that are relayed to the caller."""

    @abstractmethod
    def encode_failure(
        self, call: ForwardedCall, failure: Failure, retry_after: float | None
    ) -> tuple[int, Headers, bytes]:
        """Encode a failure as status, headers and body; `retry_after` is in seconds."""


@dataclass(frozen=True, slots=True)
class ReadResults:
    """Request for the results of a submission from position `after` on.

    The answer waits up to `wait` seconds for the next result.
    """

    submission_id: str
    after: int
    wait: float


@dataclass(frozen=True, slots=True)
class ReadItem:
    """Request for the body of an item."""

    submission_id: str
    item_id: str


@dataclass(frozen=True, slots=True)
class EndSubmission:
    """Request to end a submission."""

    submission_id: str


SubmissionRequest = ReadResults | ReadItem | EndSubmission


class SubmissionDialect(ABC):
    """Decodes trainers' requests about submissions and encodes results."""

    @abstractmethod
    def decode_submission_request(self, incoming: IncomingCall) -> SubmissionRequest | None:
        """Decode a request about a submission; return None for any other request."""

    @abstractmethod
    def decode_submission(
        self, call: ForwardedCall, route: str, accepted: float, has_accounts: bool = False
    ) -> Result[Submission, Failure]:
        """Decode a new submission; `accepted` is its time of acceptance in store seconds.

        If client accounts are configured (`has_accounts`), the items keep no key and no account of
        the submitter. Fails with BAD_REQUEST if the body is invalid.
        """

    @abstractmethod
    def results(self, total: int, after: int, results: list[dict]) -> bytes:
        """Encode a page of results; `total` is the number of items, `after` the first position."""
