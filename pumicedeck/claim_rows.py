"""Claim rows in the table service: keys, encoding and the time in request ids.

A request id that is a UUID of version 7 contains its creation time. The key of its row begins
with the hour of that time, so that a scan finds the oldest rows first. The age of any other id is
unknown, so its row is never deleted.
"""

import base64
import json
from dataclasses import dataclass, replace
from uuid import UUID

from pumicedeck.actions import CallerAnswer
from pumicedeck.results import Execution, ResultCode

CLAIMS_TABLE = "claims"
WATERMARK_KEY = "watermark"
TIMED_PREFIX = "t/"
OPAQUE_PREFIX = "o/"
BUCKET_SECONDS = 3600

_UUID_TEXT_LENGTH = 36
_UUID_VERSION = 7
_UUID_TIME_SHIFT_BITS = 80
_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """The claim of a request by the entry incarnation `holder`.

    `nonce` distinguishes the claims of one incarnation. `digest` covers path and body of the
    request. `code` is None until the holder records the outcome.
    """

    holder: str
    nonce: int
    digest: str
    code: int | None = None
    answer: CallerAnswer | None = None

    @property
    def is_proven_not_run(self) -> bool:
        """Return whether the holder recorded that the request did not run."""
        if self.code is None:
            return False
        return ResultCode(self.code).info.execution is Execution.NOT_RUN

    def finished(self, code: int, answer: CallerAnswer | None, max_bytes: int) -> "ClaimRow":
        """Return the row with its outcome.

        An answer with a body above `max_bytes`, or one that was streamed without its bytes being
        recorded, is left out.
        """
        recorded = answer
        if answer and (len(answer.body) > max_bytes or len(answer.body) != answer.length):
            recorded = None
        return replace(self, code=code, answer=recorded)


def request_id_unix_second(request_id: str) -> int | None:
    """Return the Unix second in a UUID of version 7; None for any other request id."""
    if len(request_id) != _UUID_TEXT_LENGTH:
        return None
    try:
        parsed = UUID(request_id)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return (parsed.int >> _UUID_TIME_SHIFT_BITS) // _MILLISECONDS_PER_SECOND


def claim_key(firm: str, request_id: str) -> str:
    """Return the key of the claim row of a request id."""
    second = request_id_unix_second(request_id)
    if second is None:
        return f"{OPAQUE_PREFIX}{firm}/{request_id}"
    return f"{TIMED_PREFIX}{second // BUCKET_SECONDS:010d}/{firm}/{request_id}"


def bucket_end(key: str) -> int:
    """Return the Unix second at which the hour in a key with TIMED_PREFIX ends."""
    bucket = key.removeprefix(TIMED_PREFIX).partition("/")[0]
    return (int(bucket) + 1) * BUCKET_SECONDS


def encode_row(row: ClaimRow) -> bytes:
    """Encode a claim row as JSON."""
    document = {
        "holder": row.holder,
        "nonce": row.nonce,
        "digest": row.digest,
        "code": row.code,
        "answer": _encode_answer(row.answer) if row.answer else None,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_row(value: bytes) -> ClaimRow:
    """Decode a claim row that `encode_row` produced."""
    document = json.loads(value)
    answer = document["answer"]
    return ClaimRow(
        document["holder"],
        document["nonce"],
        document["digest"],
        document["code"],
        _decode_answer(answer) if answer else None,
    )


def _encode_answer(answer: CallerAnswer) -> dict[str, object]:
    return {
        "status": answer.status,
        "content_type": answer.content_type,
        "body": base64.b64encode(answer.body).decode(),
        "digest": answer.digest,
        "tokens": answer.tokens,
        "versions": answer.versions,
        "bracketed": answer.bracketed,
        "agent": answer.agent,
    }


def _decode_answer(document: dict) -> CallerAnswer:
    body = base64.b64decode(document["body"])
    return CallerAnswer(
        status=document["status"],
        content_type=document["content_type"],
        body=body,
        length=len(body),
        digest=document["digest"],
        tokens=document["tokens"],
        versions=tuple(document["versions"]),
        bracketed=document["bracketed"],
        agent=document["agent"],
    )
