"""The calls that the HTTP adapters make and the stand-in servers answer."""

from dataclasses import dataclass

from pumicedeck.http_documents import Document, Operation
from pumicedeck.platform_interfaces import (
    CacheEvent,
    Committed,
    EngineOrder,
    EngineState,
    Generation,
    GenerationEnd,
    Row,
    StoreKey,
    TokenChunk,
    Transaction,
    WeightVersion,
)
from pumicedeck.results import ResultCode
from pumicedeck.topology import Vm

_DOWN = ResultCode.STORE_UNAVAILABLE
_UNKNOWN = ResultCode.STORE_OUTCOME_UNKNOWN
_REFUSED = ResultCode.ENDPOINT_UNREACHABLE
_FAILED = ResultCode.ENDPOINT_FAILED
_NOTHING = Document(type(None))

READ_ROWS = Operation(
    "/v1/tables/read",
    Document(tuple[StoreKey, ...]),
    Document(tuple[Row, ...]),
    _DOWN,
    _DOWN,
    idempotent=True,
)
SCAN_ROWS = Operation(
    "/v1/tables/scan",
    Document(str, str, int),
    Document(tuple[Row, ...]),
    _DOWN,
    _DOWN,
    idempotent=True,
)
COMMIT = Operation("/v1/tables/commit", Document(Transaction), Document(Committed), _DOWN, _UNKNOWN)

GET_OBJECT = Operation(
    "/v1/objects/get", Document(str), Document(bytes), _DOWN, _DOWN, idempotent=True
)
PUT_OBJECT = Operation("/v1/objects/put", Document(str, bytes), _NOTHING, _DOWN, _UNKNOWN)

PUBLISH_WEIGHTS = Operation(
    "/v1/weights/publish", Document(WeightVersion), _NOTHING, _DOWN, _UNKNOWN
)
NEWEST_WEIGHTS = Operation(
    "/v1/weights/newest", Document(str), Document(WeightVersion), _DOWN, _DOWN, idempotent=True
)

LIST_VMS = Operation(
    "/v1/vms/list", Document(), Document(tuple[Vm, ...]), _DOWN, _DOWN, idempotent=True
)

GENERATE = Operation("/v1/generate", Document(Generation), _NOTHING, _REFUSED, _FAILED)
CANCEL = Operation("/v1/cancel", Document(str), _NOTHING, _REFUSED, _FAILED, idempotent=True)
ORDER = Operation(
    "/v1/order",
    Document(EngineOrder),
    Document(EngineState),
    _REFUSED,
    ResultCode.ORDER_UNKNOWN,
)
STATE = Operation(
    "/v1/state", Document(), Document(EngineState), _REFUSED, _FAILED, idempotent=True
)
CACHE_EVENTS = Operation(
    "/v1/cache_events",
    Document(int),
    Document(tuple[CacheEvent, ...]),
    _REFUSED,
    _FAILED,
    idempotent=True,
)
EXPORT_KV = Operation("/v1/export_kv", Document(str), Document(bytes), _REFUSED, _FAILED)
IMPORT_KV = Operation("/v1/import_kv", Document(str, bytes), _NOTHING, _REFUSED, _FAILED)


@dataclass(frozen=True, slots=True)
class FailureLine:
    """A failure within a stream."""

    code: ResultCode
    detail: str = ""
    proven_not_run: bool = False


@dataclass(frozen=True, slots=True)
class GenerationLine:
    """One line of the answer to a generation; exactly one of its fields is set."""

    chunk: TokenChunk | None = None
    end: GenerationEnd | None = None
    failure: FailureLine | None = None


GENERATION_LINE = Document(GenerationLine)
