"""What the gateway needs of a wire format: calls, answers, submissions and orders.

The adapter of a platform implements these interfaces; nothing else knows names of headers, paths
or fields.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from pumicedeck.direct_endpoints import DirectEndpoint, version_in
from pumicedeck.http_listeners import Headers, IncomingCall
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.results import Failure
from pumicedeck.submissions import Submission


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A caller's request; `budget` is the seconds that its sender waits, if it says so."""

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    budget: float | None = None
    resume_after: int | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of an endpoint's answer says.

    `not_run` is the endpoint's word that the request did not and will not run, `misdirected` that
    another endpoint has the address. `signature` proves the answer to the caller.
    """

    status: int
    request_id: str
    not_run: bool
    misdirected: bool
    signature: str
    version: int | None
    running: int | None
    waiting: int | None

    @property
    def succeeded(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream; `version` is there only if the weights changed with it."""

    number: int
    data: str
    version: int | None = None


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Move a model to a weight version; `retain` lets running work go on under the new one."""

    model: str
    version: int
    retain: bool
    holder: str
    fencing: int
    order_sequence: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of itself; `order_sequence` counts the orders that it took."""

    models: tuple[LoadedModel, ...]
    busy: bool
    order_sequence: int

    def version_of(self, model: str) -> int:
        """Return the weight version of a model, 0 if it is not there."""
        return version_in(self.models, model)


class EndpointDialect(ABC):
    """How endpoints are spoken to."""

    @abstractmethod
    def request(
        self, call: ForwardedCall, endpoint: DirectEndpoint, seconds: float | None
    ) -> HttpRequest:
        """Return the request that carries a call with the time left."""

    @abstractmethod
    def answer(self, response: HttpResponse) -> AnswerHead:
        """Read the head of an answer."""

    @abstractmethod
    def event(self, block: bytes) -> StreamEvent | None:
        """Read one event of a stream; None if it is none."""

    @abstractmethod
    def order(self, endpoint: DirectEndpoint, order: VersionOrder) -> HttpRequest:
        """Return the request that carries an order."""

    @abstractmethod
    def report_request(self, endpoint: DirectEndpoint) -> HttpRequest:
        """Return the request for a report."""

    @abstractmethod
    def report(self, response: HttpResponse) -> EngineReport | None:
        """Read a report; None if it cannot be read."""


class CallerDialect(ABC):
    """How callers speak to the gateway."""

    @abstractmethod
    def call(self, incoming: IncomingCall) -> ForwardedCall:
        """Read a request."""

    @abstractmethod
    def relayed_headers(self, call: ForwardedCall, response: HttpResponse) -> Headers:
        """Return the headers of an endpoint's answer that go on to the caller."""

    @abstractmethod
    def failure(
        self, call: ForwardedCall, failure: Failure, retry_after: float | None
    ) -> tuple[int, Headers, bytes]:
        """Return an answer of the gateway's own; `retry_after` in seconds."""


@dataclass(frozen=True, slots=True)
class ReadResults:
    """Asks for results of a submission from a position on, waiting up to `wait` seconds."""

    submission_id: str
    after: int
    wait: float


@dataclass(frozen=True, slots=True)
class ReadItem:
    """Asks for the body of an item."""

    submission_id: str
    item_id: str


@dataclass(frozen=True, slots=True)
class EndSubmission:
    """Asks to end a submission."""

    submission_id: str


SubmissionRequest = ReadResults | ReadItem | EndSubmission


class SubmissionDialect(ABC):
    """How trainers speak of submissions."""

    @abstractmethod
    def verb(self, incoming: IncomingCall) -> SubmissionRequest | None:
        """Return what is asked of a submission, None if the request is of another kind."""

    @abstractmethod
    def submission(
        self, call: ForwardedCall, route: str, accepted: float
    ) -> Result[Submission, Failure]:
        """Read a new submission."""

    @abstractmethod
    def results(self, total: int, after: int, results: list[dict]) -> bytes:
        """Write results."""
