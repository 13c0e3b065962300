"""Paths, documents and failure codes of the calls from HTTP adapters to stand-in servers."""

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

_STORE_UNAVAILABLE = ResultCode.STORE_UNAVAILABLE
_STORE_OUTCOME_UNKNOWN = ResultCode.STORE_OUTCOME_UNKNOWN
_ENDPOINT_UNREACHABLE = ResultCode.ENDPOINT_UNREACHABLE
_ENDPOINT_FAILED = ResultCode.ENDPOINT_FAILED
_NO_RESULT = Document(type(None))

READ_ROWS = Operation(
    "/v1/tables/read",
    Document(tuple[StoreKey, ...]),
    Document(tuple[Row, ...]),
    _STORE_UNAVAILABLE,
    _STORE_UNAVAILABLE,
    idempotent=True,
)
SCAN_ROWS = Operation(
    "/v1/tables/scan",
    Document(str, str, int),
    Document(tuple[Row, ...]),
    _STORE_UNAVAILABLE,
    _STORE_UNAVAILABLE,
    idempotent=True,
)
COMMIT = Operation(
    "/v1/tables/commit",
    Document(Transaction),
    Document(Committed),
    _STORE_UNAVAILABLE,
    _STORE_OUTCOME_UNKNOWN,
)

GET_OBJECT = Operation(
    "/v1/objects/get",
    Document(str),
    Document(bytes),
    _STORE_UNAVAILABLE,
    _STORE_UNAVAILABLE,
    idempotent=True,
)
PUT_OBJECT = Operation(
    "/v1/objects/put", Document(str, bytes), _NO_RESULT, _STORE_UNAVAILABLE, _STORE_OUTCOME_UNKNOWN
)

PUBLISH_WEIGHTS = Operation(
    "/v1/weights/publish",
    Document(WeightVersion),
    _NO_RESULT,
    _STORE_UNAVAILABLE,
    _STORE_OUTCOME_UNKNOWN,
)
NEWEST_WEIGHTS = Operation(
    "/v1/weights/newest",
    Document(str),
    Document(WeightVersion),
    _STORE_UNAVAILABLE,
    _STORE_UNAVAILABLE,
    idempotent=True,
)

LIST_VMS = Operation(
    "/v1/vms/list",
    Document(),
    Document(tuple[Vm, ...]),
    _STORE_UNAVAILABLE,
    _STORE_UNAVAILABLE,
    idempotent=True,
)

GENERATE = Operation(
    "/v1/generate", Document(Generation), _NO_RESULT, _ENDPOINT_UNREACHABLE, _ENDPOINT_FAILED
)
CANCEL = Operation(
    "/v1/cancel",
    Document(str),
    _NO_RESULT,
    _ENDPOINT_UNREACHABLE,
    _ENDPOINT_FAILED,
    idempotent=True,
)
ORDER = Operation(
    "/v1/order",
    Document(EngineOrder),
    Document(EngineState),
    _ENDPOINT_UNREACHABLE,
    ResultCode.ORDER_UNKNOWN,
)
STATE = Operation(
    "/v1/state",
    Document(),
    Document(EngineState),
    _ENDPOINT_UNREACHABLE,
    _ENDPOINT_FAILED,
    idempotent=True,
)
CACHE_EVENTS = Operation(
    "/v1/cache_events",
    Document(int),
    Document(tuple[CacheEvent, ...]),
    _ENDPOINT_UNREACHABLE,
    _ENDPOINT_FAILED,
    idempotent=True,
)
EXPORT_KV = Operation(
    "/v1/export_kv", Document(str), Document(bytes), _ENDPOINT_UNREACHABLE, _ENDPOINT_FAILED
)
IMPORT_KV = Operation(
    "/v1/import_kv", Document(str, bytes), _NO_RESULT, _ENDPOINT_UNREACHABLE, _ENDPOINT_FAILED
)


@dataclass(frozen=True, slots=True)
class FailureLine:
    """A failure reported within a stream, after its head was sent."""

    code: ResultCode
    detail: str = ""
    proven_not_run: bool = False


@dataclass(frozen=True, slots=True)
class GenerationLine:
    """One line of the streamed response to GENERATE; exactly one of its fields is set."""

    chunk: TokenChunk | None = None
    end: GenerationEnd | None = None
    failure: FailureLine | None = None


GENERATION_LINE = Document(GenerationLine)
