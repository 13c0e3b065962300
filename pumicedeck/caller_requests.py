"""Checks the paths and headers of callers' HTTP requests and builds typed requests from them."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from pumicedeck.actions import CallerRequest
from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, RequestClass
from pumicedeck.results import Failure, ResultCode
from pumicedeck.tokens import Principal

ENTRIES_PATH = "/v1/entries/"
CALL_OPERATION = "call"
DRAWS_OPERATION = "draws"
REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENT_HEADER = "X-Idempotent"
STREAM_HEADER = "X-Stream"
BUDGET_HEADER = "X-Budget-Ms"
EXPECTED_TOKENS_HEADER = "X-Expected-Tokens"
PREFIX_HEADER = "X-Prefix"
PRIORITY_HEADER = "X-Priority"

MILLISECONDS_PER_SECOND = 1000.0
MAX_EXPECTED_TOKENS = 1_000_000
MAX_PRIORITY = 9
MAX_NUMBER_DIGITS = 12
MAX_BUDGET_MILLISECONDS = 3_600_000
DEFAULT_EXPECTED_TOKENS = {
    RequestClass.INTERACTIVE: 64,
    RequestClass.BATCH: 128,
    RequestClass.ROLLOUT: 512,
}

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:\-]{1,128}")
_PREFIX = re.compile(r"[\x21-\x7e]{0,256}")
_BOOLEANS = {"true": True, "false": False}

HeaderLookup = Callable[[str], str]


@dataclass(frozen=True, slots=True)
class EntryPath:
    """The parts of a caller's path; `operation` is `call` or `draws`."""

    entry_name: str
    operation: str
    endpoint_path: str


def _bad_request(detail: str) -> Err[Failure]:
    return Err(Failure(ResultCode.BAD_REQUEST, detail))


def parse_path(path: str) -> Result[EntryPath, Failure]:
    """Split a caller's path; NOT_FOUND if it is not `/v1/entries/NAME/call...` or `.../draws`."""
    if not path.startswith(ENTRIES_PATH):
        return Err(Failure(ResultCode.NOT_FOUND, path))
    name, _, rest = path.removeprefix(ENTRIES_PATH).partition("/")
    operation, _, endpoint_path = rest.partition("/")
    if (
        not name
        or operation not in (CALL_OPERATION, DRAWS_OPERATION)
        or (operation == DRAWS_OPERATION and endpoint_path)
    ):
        return Err(Failure(ResultCode.NOT_FOUND, path))
    return Ok(EntryPath(name, operation, "/" + endpoint_path))


def find_entry(
    catalogue: Catalogue, name: str, principal: Principal
) -> Result[CatalogueEntry, Failure]:
    """Return the entry if the caller's firm owns it.

    An entry of another firm gives the same failure as a missing one, so that a firm cannot find
    out which entries other firms have.
    """
    if catalogue.revision == 0:
        return Err(Failure(ResultCode.CATALOGUE_UNAVAILABLE, "", 1.0))
    entry = catalogue.entry(name)
    if entry is None or entry.firm != principal.firm:
        return Err(Failure(ResultCode.UNKNOWN_ENTRY, name))
    return Ok(entry)


def _parse_boolean(header: HeaderLookup, name: str, default: bool) -> Result[bool, Failure]:
    text = header(name).lower()
    if not text:
        return Ok(default)
    if text not in _BOOLEANS:
        return _bad_request(f"{name}: expected true or false")
    return Ok(_BOOLEANS[text])


def _parse_number(
    header: HeaderLookup, name: str, default: int, maximum: int
) -> Result[int, Failure]:
    text = header(name)
    if not text:
        return Ok(default)
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    if not is_number or int(text) > maximum:
        return _bad_request(f"{name}: expected a whole number up to {maximum}")
    return Ok(int(text))


def _parse_text(header: HeaderLookup, name: str, pattern: re.Pattern[str]) -> Result[str, Failure]:
    text = header(name)
    if text and not pattern.fullmatch(text):
        return _bad_request(f"{name}: expected {pattern.pattern}")
    return Ok(text)


def parse_call(
    handle: str,
    generated_id: str,
    entry: CatalogueEntry,
    endpoint_path: str,
    header: HeaderLookup,
    body: bytes,
) -> Result[CallerRequest, Failure]:
    """Check a call's headers; a BAD_REQUEST failure names the first invalid one.

    `handle` identifies the open request inside the entry process; `generated_id` becomes the
    request id if the caller sends none.
    """
    default_budget_milliseconds = round(entry.limits.deadline_seconds * MILLISECONDS_PER_SECOND)
    parsed_headers: Mapping[str, Result] = {
        REQUEST_ID_HEADER: _parse_text(header, REQUEST_ID_HEADER, _REQUEST_ID),
        IDEMPOTENT_HEADER: _parse_boolean(header, IDEMPOTENT_HEADER, entry.idempotent),
        STREAM_HEADER: _parse_boolean(header, STREAM_HEADER, False),
        BUDGET_HEADER: _parse_number(
            header, BUDGET_HEADER, default_budget_milliseconds, MAX_BUDGET_MILLISECONDS
        ),
        EXPECTED_TOKENS_HEADER: _parse_number(
            header,
            EXPECTED_TOKENS_HEADER,
            DEFAULT_EXPECTED_TOKENS[entry.request_class],
            MAX_EXPECTED_TOKENS,
        ),
        PREFIX_HEADER: _parse_text(header, PREFIX_HEADER, _PREFIX),
        PRIORITY_HEADER: _parse_number(header, PRIORITY_HEADER, 0, MAX_PRIORITY),
    }
    for parsed in parsed_headers.values():
        if isinstance(parsed, Err):
            return parsed
    values = {name: parsed.ok_value for name, parsed in parsed_headers.items()}
    if values[BUDGET_HEADER] == 0:
        return _bad_request(f"{BUDGET_HEADER}: expected a positive number")
    request_id = values[REQUEST_ID_HEADER]
    return Ok(
        CallerRequest(
            handle=handle,
            request_id=request_id or generated_id,
            entry=entry,
            path=endpoint_path,
            body=body,
            idempotent=values[IDEMPOTENT_HEADER],
            streamed=values[STREAM_HEADER],
            budget=min(
                values[BUDGET_HEADER] / MILLISECONDS_PER_SECOND, entry.limits.deadline_seconds
            ),
            expected_tokens=max(1, values[EXPECTED_TOKENS_HEADER]),
            priority=values[PRIORITY_HEADER],
            prefix=values[PREFIX_HEADER],
            has_caller_request_id=bool(request_id),
        )
    )
