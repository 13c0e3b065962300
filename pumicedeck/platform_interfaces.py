"""Interfaces to the hosting platform and to endpoints, and the registry of their adapters.

Every call returns at once and passes its result to a callback on the event loop's thread. The
callback runs exactly once, or never if the other side stops responding, so callers have to set
time-outs. Times are in seconds.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeVar

from result import Result

from pumicedeck.results import Failure
from pumicedeck.topology import Vm

T = TypeVar("T")
ResultCallback = Callable[[Result[T, Failure]], None]

_ADAPTERS: dict[tuple[str, str], type] = {}


def adapter(interface: str, name: str) -> Callable[[type], type]:
    """Return a decorator that registers a class as the adapter `name` of an interface."""

    def register(cls: type) -> type:
        _ADAPTERS[(interface, name)] = cls
        return cls

    return register


def adapter_names(interface: str) -> tuple[str, ...]:
    """Return the names of the adapters registered for an interface, sorted."""
    return tuple(sorted(name for kind, name in _ADAPTERS if kind == interface))


def find_adapter(interface: str, name: str) -> type[Any] | None:
    """Return the adapter class registered under `name`, or None."""
    return _ADAPTERS.get((interface, name))


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; `revision` grows with every write, 0 means that it is absent."""

    table: str
    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Condition:
    """A condition of a transaction: the row is at `revision`; 0 means that it is absent."""

    table: str
    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A write of a row; the value None deletes the row."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if every condition holds, and otherwise not at all."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Revisions of the written rows, in the order of the writes."""

    revisions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StoreKey:
    """Identifies one row."""

    table: str
    key: str


class TableStore(ABC):
    """The platform's transactional table service.

    Failures: STORE_UNAVAILABLE (nothing was written), STORE_OUTCOME_UNKNOWN (a commit may have
    taken effect), STORE_CONFLICT (a condition did not hold, nothing was written).
    """

    @abstractmethod
    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows as of one moment; an absent row has revision 0 and an empty value."""

    @abstractmethod
    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read up to `limit` rows whose key starts with `prefix`, in key order."""

    @abstractmethod
    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction; the result holds the new revisions of its rows."""

    def close(self) -> None:
        """Close the connections of this adapter."""


class ObjectStore(ABC):
    """The platform's object store; a put replaces the whole object."""

    @abstractmethod
    def get(self, name: str, done: ResultCallback[bytes]) -> None:
        """Read an object; fails with NOT_FOUND if it does not exist."""

    @abstractmethod
    def put(self, name: str, data: bytes, done: ResultCallback[None]) -> None:
        """Write an object."""

    def close(self) -> None:
        """Close the connections of this adapter."""


@dataclass(frozen=True, slots=True)
class WeightVersion:
    """A published version of a model's weights; `size` is in bytes."""

    model: str
    version: int
    size: int


class WeightStore(ABC):
    """The platform's rate-limited weight store, from which engines read weights directly."""

    @abstractmethod
    def publish(self, weights: WeightVersion, done: ResultCallback[None]) -> None:
        """Publish a version; the version numbers of a model only increase."""

    @abstractmethod
    def newest(self, model: str, done: ResultCallback[WeightVersion]) -> None:
        """Read the newest published version; fails with NOT_FOUND if there is none."""

    def close(self) -> None:
        """Close the connections of this adapter."""


class VmList(ABC):
    """The platform's list of live and leaving VMs; it shows changes late."""

    @abstractmethod
    def list(self, done: ResultCallback[tuple[Vm, ...]]) -> None:
        """Read the VMs that the platform lists now."""

    def close(self) -> None:
        """Close the connections of this adapter."""


@dataclass(frozen=True, slots=True)
class Generation:
    """A generation request to a model engine; `handle` is unique for the engine's lifetime.

    `resume_offset` is the offset in bytes of the first output byte to send.
    """

    handle: str
    model: str
    path: str
    body: bytes
    priority: int = 0
    streamed: bool = False
    resume_offset: int = 0


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Output bytes at `offset` and the weight version that generated each of their tokens.

    `versions` is empty if the engine does not report versions.
    """

    offset: int
    data: bytes
    tokens: int
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class GenerationEnd:
    """End of a generation that the engine reports as complete; `length` is in bytes."""

    status: int
    content_type: str
    length: int
    tokens: int


class OrderKind(StrEnum):
    """Kinds of orders to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SWAP_VERSION = "swap_version"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine; `fencing` is the fencing number of the sender's lease.

    Some engines do not check `fencing`; `version` is -1 if the order names none.
    """

    order_id: str
    fencing: int
    kind: OrderKind
    model: str
    version: int = -1
    role: str = ""
    restart_running: bool = False


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A loaded model and the version that the engine reports; -1 after a partial swap."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """State reported by an engine; `highest_fencing` is 0 if it does not check fencing numbers."""

    models: tuple[LoadedModel, ...]
    role: str
    running: int
    queued: int
    highest_fencing: int
    last_order: str = ""
    leaving: bool = False
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was added to or evicted from the engine's cache.

    A gap in the sequence numbers shows that events were missed.
    """

    sequence: int
    prefix: str
    cached: bool
    tokens: int


class ModelEngine(ABC):
    """The model engine of an agent.

    `generate` fails with ENDPOINT_UNREACHABLE, which proves that the request did not run, only if
    no byte of the request was written, and otherwise with ENDPOINT_FAILED.
    """

    @abstractmethod
    def generate(
        self,
        generation: Generation,
        chunk: Callable[[TokenChunk], None],
        done: ResultCallback[GenerationEnd],
    ) -> None:
        """Start a generation or, with `resume_offset`, resume the one with the same handle.

        `chunk` is called with each part of the output, `done` once with the end.
        """

    @abstractmethod
    def cancel(self, handle: str) -> None:
        """Stop a generation; its `done` callback gets the failure CANCELLED."""

    @abstractmethod
    def order(self, order: EngineOrder, done: ResultCallback[EngineState]) -> None:
        """Execute an order; fails with FENCED, SWAP_FAILED or ORDER_UNKNOWN."""

    @abstractmethod
    def state(self, done: ResultCallback[EngineState]) -> None:
        """Read the engine's state."""

    @abstractmethod
    def cache_events(self, since: int, done: ResultCallback[tuple[CacheEvent, ...]]) -> None:
        """Read the cache events after sequence number `since`."""

    @abstractmethod
    def export_kv(self, handle: str, done: ResultCallback[bytes]) -> None:
        """Export the KV cache of a running generation and stop that generation."""

    @abstractmethod
    def import_kv(self, handle: str, data: bytes, done: ResultCallback[None]) -> None:
        """Import a KV cache so that `generate` can resume under `handle`."""

    def close(self) -> None:
        """Close the connections of this adapter."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service; `request_id` is sent in a header."""

    handle: str
    request_id: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """The complete reply of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(ABC):
    """The plain service of an agent; `call` fails with the same codes as `ModelEngine.generate`."""

    @abstractmethod
    def call(self, call: ServiceCall, done: ResultCallback[ServiceReply]) -> None:
        """Send one call; the adapter never sends it again."""

    @abstractmethod
    def healthy(self, done: ResultCallback[bool]) -> None:
        """Ask whether the service accepts calls; False means that it is leaving."""

    def close(self) -> None:
        """Close the connections of this adapter."""
