"""Messages between entries and agents, as frozen data classes.

Durations are in seconds. An attempt is addressed to one agent incarnation and its id is never
reused. `codecs` turns these classes into the thrift structures of the same names.
"""

from dataclasses import dataclass
from enum import IntEnum

from pumicedeck.catalogue_entries import RequestClass


@dataclass(frozen=True, slots=True)
class AttemptId:
    """One dispatch: the entry's incarnation (`vm/number`) and its sequence number."""

    entry: str
    sequence: int


@dataclass(frozen=True, slots=True)
class DraftId:
    """The one place in one step that a draft is generated for."""

    entry_name: str
    trainer: str
    step: int
    group: int
    index: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Entry to agent: run a request. `budget` is a duration; `floor` is the lowest sequence kept.

    `agent` names the agent incarnation that the attempt is addressed to. `path` and `body` are
    what the endpoint gets. `revision` is the entry's catalogue revision.
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
    """Agent to entry: the attempt was not run and never will be."""

    attempt: AttemptId
    code: int
    detail: str = ""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Started:
    """Agent to entry: the attempt was handed to the endpoint after `queue_wait` seconds."""

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
    whole answer. `code` is a ResultCode, whose meaning says whether the attempt ran.
    `versions` are the weight versions that produced it, oldest first; `bracketed` says that they
    are all versions that may have produced it.
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
    """Entry to agent: never run this attempt; answered by `Revoked`."""

    attempt: AttemptId
    agent: str


class RevokeOutcome(IntEnum):
    """What the agent found when it was told to revoke."""

    NEVER_SEEN = 1
    DEQUEUED = 2
    RUNNING = 3
    FINISHED = 4
    UNKNOWN = 5
    ALREADY_REFUSED = 6


@dataclass(frozen=True, slots=True)
class Revoked:
    """Agent to entry: outcome of a revoke; the first two and the last prove "not run"."""

    attempt: AttemptId
    outcome: RevokeOutcome


@dataclass(frozen=True, slots=True)
class Cancel:
    """Entry to agent: nobody waits for the answer any more."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Entry to agent: the answer arrived; the agent may forget it."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Reattach:
    """Entry to agent after a new session: send what follows `offset` of the attempt's answer."""

    attempt: AttemptId
    agent: str
    offset: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one endpoint as its agent sees it; `queued_tokens` and `running_tokens` expected.

    `service_rate` is in tokens per second with all slots busy. `interactive_tokens` are those of
    interactive work among the queued and running ones.
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
    """Both ways: liveness, installed catalogue revision and, from agents, load.

    `interval` is how many seconds the sender wants between heartbeats; 0 leaves it as it was.
    """

    sequence: int
    revision: int
    floor: int = 0
    load: LoadReport | None = None
    interval: float = 0.0


@dataclass(frozen=True, slots=True)
class Leaving:
    """Agent to entry: send no new work; `grace` is how long running work may still take."""

    reason: str
    grace: float


@dataclass(frozen=True, slots=True)
class CatalogueRequest:
    """Either way: send the catalogue if yours is at least `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class CatalogueCopy:
    """Reply to `CatalogueRequest`: the whole catalogue as JSON, gzip-compressed."""

    revision: int
    document: bytes


@dataclass(frozen=True, slots=True)
class VersionNews:
    """Either way: `version` is the newest published version of `model`."""

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
