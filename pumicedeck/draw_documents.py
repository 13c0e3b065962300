"""Parses the JSON draws that trainers send and builds the JSON of drafts sent back."""

import base64
import json
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from pumicedeck.catalogue_entries import CatalogueEntry
from pumicedeck.drafts import Draft, DrawRequest, GroupRequest, Score
from pumicedeck.results import Failure, ResultCode

MAX_GROUPS = 4096
MAX_SAMPLES = 256
MAX_BUDGET_SECONDS = 3600.0

Count = Annotated[int, Field(ge=0)]


class _Document(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class GroupDocument(_Document):
    """A group to draw; `body` is sent to the engine as JSON with the draft's seed added."""

    group: Count
    body: dict[str, Any]
    samples: int = Field(ge=1, le=MAX_SAMPLES)
    path: str = Field("/v1/generate", pattern="^/")
    expected_tokens: Count = 0
    prefix: str = ""


class DrawDocument(_Document):
    """A draw of groups of one step, with the fields of `DrawRequest`."""

    trainer: str = Field(min_length=1, max_length=100)
    step: Count
    groups: list[GroupDocument] = Field(max_length=MAX_GROUPS)
    held: list[Count] = []
    newest_version: int = Field(-1, ge=-1)
    budget_seconds: float = Field(960.0, gt=0.0, le=MAX_BUDGET_SECONDS)


def parse_draw(
    handle: str, entry: CatalogueEntry, body: bytes, scorer: CatalogueEntry | None = None
) -> Result[DrawRequest, Failure]:
    """Validate the JSON body of a draw; `scorer` is the catalogue entry that scores its samples.

    Returns BAD_REQUEST with the first invalid field.
    """
    try:
        document = DrawDocument.model_validate_json(body)
    except ValidationError as error:
        first_error = error.errors()[0]
        path = ".".join(str(part) for part in first_error["loc"]) or "(top)"
        return Err(Failure(ResultCode.BAD_REQUEST, f"{path}: {first_error['msg']}"))
    numbers = [group.group for group in document.groups]
    if len(set(numbers)) != len(numbers):
        return Err(Failure(ResultCode.BAD_REQUEST, "groups: a group number occurs more than once"))
    return Ok(
        DrawRequest(
            handle=handle,
            entry=entry,
            trainer=document.trainer,
            step=document.step,
            groups=tuple(_build_group_request(group) for group in document.groups),
            held=tuple(document.held),
            newest_version=document.newest_version,
            budget=document.budget_seconds,
            scorer=scorer,
        )
    )


def _build_group_request(document: GroupDocument) -> GroupRequest:
    return GroupRequest(
        group=document.group,
        path=document.path,
        body=json.dumps(document.body).encode(),
        samples=document.samples,
        expected_tokens=document.expected_tokens,
        prefix=document.prefix,
    )


def payload_document(data: bytes) -> dict[str, str]:
    """Return the data under the key `text`, or `base64` if it is not valid UTF-8."""
    try:
        return {"text": data.decode()}
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(data).decode()}


def draft_document(draft: Draft) -> dict[str, Any]:
    """Return the JSON form of one draft."""
    return {
        "index": draft.draft_id.index,
        "versions": list(draft.answer.versions),
        "bracketed": draft.answer.bracketed,
        "tokens": draft.answer.tokens,
        "digest": draft.answer.digest,
        **payload_document(draft.answer.body),
        **_build_score_document(draft.score),
    }


def _build_score_document(score: Score | Failure | None) -> dict[str, Any]:
    match score:
        case None:
            return {}
        case Failure(code, detail):
            return {"score_error": {"code": int(code), "detail": detail}}
        case Score(status, content_type, body):
            score_document = {
                "status": status,
                "content_type": content_type,
                **payload_document(body),
            }
            return {"score": score_document}
