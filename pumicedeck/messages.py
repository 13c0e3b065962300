"""Messages between entries and agents, as frozen data classes.

Durations are in seconds. An attempt is addressed to one agent incarnation and its id is never
reused. `codecs` converts these classes to and from the thrift structures of the same names.
"""

from dataclasses import dataclass
from enum import IntEnum

from pumicedeck.catalogue_entries import RequestClass


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Id of an attempt: the entry incarnation (`vm/number`) and a sequence number in it."""

    entry: str
    sequence: int


@dataclass(frozen=True, slots=True)
class DraftId:
    """Id of a draft: its step of a trainer and its index in a group of that step."""

    entry_name: str
    trainer: str
    step: int
    group: int
    index: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Entry to agent: run a request.

    `agent` is the agent incarnation that the attempt is addressed to. `path` and `body` are passed
    to the endpoint. `budget` and `queue_budget` are the remaining seconds for the request and for
    its time in queues. `floor` is the entry's lowest open sequence and `revision` its catalogue
    revision.
    """

    attempt: AttemptId
    agent: str
    request_id: str
    entry_name: str
    firm: str
    request_class: RequestClass
    idempotent: bool
    streamed: bool
    path: str
    body: bytes
    budget: float
    queue_budget: float
    expected_tokens: int
    priority: int = 0
    prefix: str = ""
    model: str = ""
    draft: DraftId | None = None
    resume_offset: int = 0
    floor: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Refused:
    """Agent to entry: the attempt did not run and never will."""

    attempt: AttemptId
    code: int
    detail: str = ""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Started:
    """Agent to entry: the attempt was passed to the endpoint after `queue_wait` seconds."""

    attempt: AttemptId
    queue_wait: float


@dataclass(frozen=True, slots=True)
class Chunk:
    """Agent to entry: bytes of a streamed answer at `offset`."""

    attempt: AttemptId
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """Agent to entry: the end of an attempt that ran.

    `body` is empty for a streamed answer. `length` and `digest` (SHA-256, hexadecimal) cover the
    complete answer. `code` is a ResultCode, which says whether the attempt ran. `versions` are the
    weight versions that produced the answer, oldest first; `bracketed` says that they are all
    versions that may have produced it.
    """

    attempt: AttemptId
    code: int
    status: int
    content_type: str
    body: bytes
    length: int
    digest: str
    detail: str = ""
    tokens: int = 0
    versions: tuple[int, ...] = ()
    bracketed: bool = False
    queue_wait: float = 0.0
    service_time: float = 0.0


@dataclass(frozen=True, slots=True)
class Revoke:
    """Entry to agent: do not start this attempt; the agent replies with `Revoked`."""

    attempt: AttemptId
    agent: str


class RevokeOutcome(IntEnum):
    """State of an attempt at the agent when `Revoke` arrived."""

    NEVER_SEEN = 1
    DEQUEUED = 2
    RUNNING = 3
    FINISHED = 4
    UNKNOWN = 5
    ALREADY_REFUSED = 6


@dataclass(frozen=True, slots=True)
class Revoked:
    """Agent to entry: what a revoke, or a message about an unknown attempt, found.

    NEVER_SEEN, DEQUEUED and ALREADY_REFUSED prove that the attempt did not run and never will.
    """

    attempt: AttemptId
    outcome: RevokeOutcome


@dataclass(frozen=True, slots=True)
class Cancel:
    """Entry to agent: the answer is no longer needed."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Entry to agent: the answer was received; the agent may drop it."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Reattach:
    """Entry to agent: send the state of an attempt and its output from byte `offset` on."""

    attempt: AttemptId
    agent: str
    offset: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint as measured by its agent.

    `queued_tokens` and `running_tokens` are expected values; `interactive_tokens` is the part of
    both that belongs to interactive requests. `service_rate` is in tokens per second with all
    slots busy, 0 if unknown.
    """

    queued: int = 0
    running: int = 0
    slots: int = 0
    queued_tokens: int = 0
    running_tokens: int = 0
    service_rate: float = 0.0
    version: int = -1
    accepting: bool = True
    interactive_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Both directions: liveness, installed catalogue revision and, from agents, load.

    `interval` is the number of seconds that the sender requests between heartbeats; 0 leaves the
    interval unchanged. `floor` is the entry's lowest open sequence.
    """

    sequence: int
    revision: int
    floor: int = 0
    load: LoadReport | None = None
    interval: float = 0.0


@dataclass(frozen=True, slots=True)
class Leaving:
    """Agent to entry: send no new attempts; running ones may take `grace` seconds."""

    reason: str
    grace: float


@dataclass(frozen=True, slots=True)
class CatalogueRequest:
    """Either direction: send the catalogue if its revision is at least `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class CatalogueCopy:
    """Reply to `CatalogueRequest`: the complete catalogue as gzip-compressed JSON."""

    revision: int
    document: bytes


@dataclass(frozen=True, slots=True)
class VersionNews:
    """Either direction: `version` is the newest published weight version of `model`."""

    model: str
    version: int


Message = (
    Dispatch
    | Refused
    | Started
    | Chunk
    | Answer
    | Revoke
    | Revoked
    | Cancel
    | Acknowledge
    | Reattach
    | Heartbeat
    | Leaving
    | CatalogueRequest
    | CatalogueCopy
    | VersionNews
)
