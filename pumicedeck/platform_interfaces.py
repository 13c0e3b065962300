"""Interfaces to the platform and the endpoints, and the registry of their adapters.

Every call returns at once and reports through a callback, on the loop's thread, exactly once or,
where the other side went silent, not at all: callers own their time-outs. Times are in seconds.
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
    """Register a class as the adapter `name` of an interface."""

    def register(cls: type) -> type:
        _ADAPTERS[(interface, name)] = cls
        return cls

    return register


def adapter_names(interface: str) -> tuple[str, ...]:
    """Return the adapter names known for an interface."""
    return tuple(sorted(name for kind, name in _ADAPTERS if kind == interface))


def find_adapter(interface: str, name: str) -> type[Any] | None:
    """Return the adapter class registered under `name`."""
    return _ADAPTERS.get((interface, name))


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; `revision` grows with every write, 0 means absent."""

    table: str
    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Condition:
    """The transaction commits only if the row is at `revision`; 0 means it must be absent."""

    table: str
    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """Put a value, or delete the row when `value` is None."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """All writes take effect, or none does."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Revisions of the written rows, in the order of the writes."""

    revisions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StoreKey:
    """Names one row."""

    table: str
    key: str


class TableStore(ABC):
    """The platform's transactional table service.

    Failures: STORE_UNAVAILABLE (proven without effect), STORE_OUTCOME_UNKNOWN (a commit may have
    taken effect), STORE_CONFLICT (a condition failed, nothing written).
    """

    @abstractmethod
    def read(self, keys: tuple[StoreKey, ...], done: ResultCallback[tuple[Row, ...]]) -> None:
        """Read rows as of one moment; an absent row comes back with revision 0 and no value."""

    @abstractmethod
    def scan(
        self, table: str, prefix: str, limit: int, done: ResultCallback[tuple[Row, ...]]
    ) -> None:
        """Read up to `limit` rows whose key starts with `prefix`, in key order."""

    @abstractmethod
    def commit(self, transaction: Transaction, done: ResultCallback[Committed]) -> None:
        """Commit a transaction."""

    def close(self) -> None:
        """Release connections."""


class ObjectStore(ABC):
    """The platform's object store; a put replaces the object whole."""

    @abstractmethod
    def get(self, name: str, done: ResultCallback[bytes]) -> None:
        """Read an object; NOT_FOUND if there is none."""

    @abstractmethod
    def put(self, name: str, data: bytes, done: ResultCallback[None]) -> None:
        """Write an object."""

    def close(self) -> None:
        """Release connections."""


@dataclass(frozen=True, slots=True)
class WeightVersion:
    """A published version of a model's weights."""

    model: str
    version: int
    size: int


class WeightStore(ABC):
    """The rate-limited weight store; engines read weights from it themselves."""

    @abstractmethod
    def publish(self, weights: WeightVersion, done: ResultCallback[None]) -> None:
        """Publish a version; versions of a model only grow."""

    @abstractmethod
    def newest(self, model: str, done: ResultCallback[WeightVersion]) -> None:
        """Read the newest published version; NOT_FOUND if none."""

    def close(self) -> None:
        """Release connections."""


class VmList(ABC):
    """The platform's lagging list of live and leaving VMs."""

    @abstractmethod
    def list(self, done: ResultCallback[tuple[Vm, ...]]) -> None:
        """Read the list as the platform shows it now."""

    def close(self) -> None:
        """Release connections."""


@dataclass(frozen=True, slots=True)
class Generation:
    """A request to a model engine; `handle` is unique for the engine's lifetime."""

    handle: str
    model: str
    path: str
    body: bytes
    priority: int = 0
    streamed: bool = False
    resume_offset: int = 0


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Bytes of output at `offset` with the weight version that produced each token.

    `versions` is empty when the engine cannot say.
    """

    offset: int
    data: bytes
    tokens: int
    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class GenerationEnd:
    """End of a generation that the engine declares whole."""

    status: int
    content_type: str
    length: int
    tokens: int


class OrderKind(StrEnum):
    """What an engine can be ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SWAP_VERSION = "swap_version"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order; `fencing` is the holder's fencing number, which some engines ignore."""

    order_id: str
    fencing: int
    kind: OrderKind
    model: str
    version: int = -1
    role: str = ""
    restart_running: bool = False


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model and the version that the engine reports; -1 after a partial swap."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine reports of itself; `highest_fencing` is 0 for one that ignores it."""

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
    """A prefix entered or left the engine's cache; sequence numbers show gaps."""

    sequence: int
    prefix: str
    cached: bool
    tokens: int


class ModelEngine(ABC):
    """A model engine beside an agent.

    A failure of `generate` is proven "not run" (ENDPOINT_UNREACHABLE) only if no byte of the
    request was written; else ENDPOINT_FAILED.
    """

    @abstractmethod
    def generate(
        self,
        generation: Generation,
        chunk: Callable[[TokenChunk], None],
        done: ResultCallback[GenerationEnd],
    ) -> None:
        """Start a generation or, with `resume_offset`, resume the one with the same handle."""

    @abstractmethod
    def cancel(self, handle: str) -> None:
        """Stop a generation; its `done` reports CANCELLED."""

    @abstractmethod
    def order(self, order: EngineOrder, done: ResultCallback[EngineState]) -> None:
        """Carry out an order; FENCED, SWAP_FAILED or ORDER_UNKNOWN on failure."""

    @abstractmethod
    def state(self, done: ResultCallback[EngineState]) -> None:
        """Read what the engine reports of itself."""

    @abstractmethod
    def cache_events(self, since: int, done: ResultCallback[tuple[CacheEvent, ...]]) -> None:
        """Read cache events after sequence `since`."""

    @abstractmethod
    def export_kv(self, handle: str, done: ResultCallback[bytes]) -> None:
        """Export the KV cache of a running generation and stop it there."""

    @abstractmethod
    def import_kv(self, handle: str, data: bytes, done: ResultCallback[None]) -> None:
        """Import a KV cache so that `generate` can resume under `handle`."""

    def close(self) -> None:
        """Release connections."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service; the request id is passed on in a header."""

    handle: str
    request_id: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """The whole reply of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(ABC):
    """A plain service beside an agent; failures as for `ModelEngine.generate`."""

    @abstractmethod
    def call(self, call: ServiceCall, done: ResultCallback[ServiceReply]) -> None:
        """Make one call, never repeated by the adapter."""

    @abstractmethod
    def healthy(self, done: ResultCallback[bool]) -> None:
        """Ask whether the service takes calls; False means it is leaving."""

    def close(self) -> None:
        """Release connections."""
