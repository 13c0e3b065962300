"""JSON encoding of the arguments, results and failures of HTTP calls."""

import json
from dataclasses import dataclass
from typing import Any

from pydantic import ConfigDict, TypeAdapter, ValidationError
from result import Err, Ok, Result

from pumicedeck.results import Execution, Failure, ResultCode

JSON_TYPE = "application/json"
_BYTES_AS_BASE64 = ConfigDict(ser_json_bytes="base64", val_json_bytes="base64", extra="forbid")


class Document:
    """A JSON array of values with fixed types; bytes are encoded as URL-safe base64."""

    def __init__(self, *types: Any) -> None:
        """Create the document of values with `types`, in this order."""
        self._adapter = TypeAdapter(tuple[types], config=_BYTES_AS_BASE64)

    def encode(self, *values: Any) -> bytes:
        """Encode the values as JSON."""
        return self._adapter.dump_json(values)

    def decode(self, data: bytes) -> Result[tuple, Failure]:
        """Decode the values; BAD_REQUEST if their number or types do not match."""
        try:
            return Ok(self._adapter.validate_json(data))
        except ValidationError as error:
            detail = f"{error.error_count()} invalid fields, first: {error.errors()[0]['msg']}"
            return Err(Failure(ResultCode.BAD_REQUEST, detail, proven_not_run=True))


@dataclass(frozen=True, slots=True)
class Operation:
    """One call of an interface over HTTP.

    A transport failure is reported as `not_run_code` if the call is proven to have had no effect,
    and as `outcome_unknown_code` otherwise. `idempotent` allows the client to send it again.
    """

    path: str
    arguments: Document
    result: Document
    not_run_code: ResultCode
    outcome_unknown_code: ResultCode
    idempotent: bool = False


def encode_failure(failure: Failure) -> bytes:
    """Encode a failure as the JSON object in the body of every error response."""
    fields = {
        "code": int(failure.code),
        "name": failure.code.name,
        "execution": failure.execution.value,
        "detail": failure.detail,
    }
    if failure.retry_after is not None:
        fields["retry_after"] = failure.retry_after
    return json.dumps(fields).encode()


def decode_failure(data: bytes) -> Failure | None:
    """Decode a failure encoded by `encode_failure`; None if the data is not one."""
    try:
        fields = json.loads(data)
        code = ResultCode(fields["code"])
        execution = Execution(fields["execution"])
        retry_after = fields.get("retry_after")
        retry_after = None if retry_after is None else float(retry_after)
        detail = str(fields.get("detail", ""))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return Failure(code, detail, retry_after, execution is Execution.NOT_RUN)
