"""Decodes requests of callers and trainers on the deployment platform; encodes answers."""

import base64
import hashlib
import json
import re
from dataclasses import replace
from urllib.parse import parse_qs

from result import Err, Result

from pumicedeck.dialects import (
    CallerDialect,
    EndSubmission,
    ForwardedCall,
    ReadItem,
    ReadResults,
    SubmissionDialect,
    SubmissionRequest,
)
from pumicedeck.http_messages import HttpResponse
from pumicedeck.incoming_calls import Headers, IncomingCall
from pumicedeck.json_documents import (
    MAX_INTEGER,
    InvalidFieldError,
    decode_document,
    parse_whole_number,
    read_text,
)
from pumicedeck.platform.headers import (
    AUTHORIZATION,
    DEADLINE,
    LAST_EVENT,
    LENGTH_HINT,
    REQUEST_ID,
    RESUMES,
    WAIT,
    without_hop_by_hop_headers,
    without_identity_headers,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.submissions import Item, RewardCall, Submission, SubmissionHead, encode_items

_MILLISECONDS_PER_SECOND = 1000.0
_MAX_WAIT_MILLISECONDS = 1000
_RESULTS_PREFIX = "/lots/"
_ITEMS_PREFIX = "/items/"
_KEY_SCHEME = "bearer"
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# As the HTTP client allows them: no line breaks, and no white space at the ends.
_HEADER_VALUE = re.compile(rb"([^\x00\s\x7f]([^\x00\r\n\x0b\x0c\x7f]*[^\x00\s\x7f])?)?")


class PlatformCallerDialect(CallerDialect):
    """Decodes and encodes the headers of callers' requests and answers."""

    def decode_request(self, incoming: IncomingCall) -> ForwardedCall:
        """Decode a request."""
        deadline_ms = parse_whole_number(incoming.header(DEADLINE.lower()))
        return ForwardedCall(
            request_id=incoming.header(REQUEST_ID.lower()),
            method=incoming.method,
            target=incoming.target,
            host=incoming.header("host"),
            headers=without_hop_by_hop_headers(incoming.headers),
            body=incoming.body,
            budget_seconds=(
                deadline_ms / _MILLISECONDS_PER_SECOND if deadline_ms is not None else None
            ),
            resume_after=parse_whole_number(incoming.header(LAST_EVENT.lower())),
            stream_id=incoming.header(RESUMES.lower()),
        )

    def account_key(self, call: ForwardedCall) -> str:
        """Return the key of a client account that a request carries, empty if it has none."""
        name = AUTHORIZATION.lower()
        value = next((value for key, value in call.headers if key.lower() == name), "")
        scheme, _, key = value.strip().partition(" ")
        return key.strip() if scheme.lower() == _KEY_SCHEME else ""

    def with_account(self, call: ForwardedCall, account: str) -> ForwardedCall:
        """Return a request of `account` without the key and the account that its caller sent."""
        return replace(call, headers=without_identity_headers(call.headers), account=account)

    def relayed_headers(self, call: ForwardedCall, response: HttpResponse) -> Headers:
        """Return the headers of an endpoint's answer that are relayed to the caller."""
        return without_hop_by_hop_headers(response.headers)

    def encode_failure(
        self, call: ForwardedCall, failure: Failure, retry_after: float | None
    ) -> tuple[int, Headers, bytes]:
        """Encode a failure as status, headers and body; `retry_after` is in seconds."""
        headers = [("Content-Type", "application/json")]
        if call.request_id:
            headers.append((REQUEST_ID, call.request_id))
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after:.3f}"))
        document = {
            "code": int(failure.code),
            "name": failure.code.name,
            "detail": failure.detail,
        }
        return failure.code.info.http_status, tuple(headers), json.dumps(document).encode()


class PlatformSubmissionDialect(SubmissionDialect):
    """Decodes requests about submissions and encodes results."""

    def decode_submission_request(self, incoming: IncomingCall) -> SubmissionRequest | None:
        """Decode a request about a submission; return None for any other request."""
        path, _, query = incoming.target.partition("?")
        arguments = parse_qs(query)
        if path.startswith(_RESULTS_PREFIX):
            name = path.removeprefix(_RESULTS_PREFIX)
            if incoming.method == "DELETE":
                return EndSubmission(name)
            if incoming.method == "GET":
                position = parse_whole_number(arguments.get("after", ["0"])[0]) or 0
                wait = parse_whole_number(incoming.header(WAIT.lower())) or 0
                wait_seconds = min(_MAX_WAIT_MILLISECONDS, wait) / _MILLISECONDS_PER_SECOND
                return ReadResults(name, position, wait_seconds)
        if path.startswith(_ITEMS_PREFIX) and incoming.method == "GET":
            item = arguments.get("id", [""])[0]
            return ReadItem(path.removeprefix(_ITEMS_PREFIX), item)
        return None

    def decode_submission(
        self, call: ForwardedCall, route: str, accepted: float, has_accounts: bool = False
    ) -> Result[Submission, Failure]:
        """Decode a new submission; fail with BAD_REQUEST if it is invalid."""

        def build(document) -> Submission:
            items = _decode_items(document["items"], has_accounts)
            head = SubmissionHead(
                submission_id=call.request_id,
                route=route,
                host=call.host,
                model=str(document.get("model", "")),
                step=_read_optional_integer(document, "step"),
                min_version=_read_optional_integer(document, "min-version"),
                # How many groups the trainer waits for before it ends the submission.
                wanted_groups=_read_optional_integer(document, "group-target"),
                total=len(items),
                chunks=len(encode_items(items)),
                digest=hashlib.sha256(call.body).hexdigest()[:16],
                accepted=accepted,
                account=call.account,
            )
            return Submission(head, items)

        decoded = decode_document(call.body, build)
        if isinstance(decoded, Err):
            detail = f"invalid submission: {decoded.err_value}"
            return Err(Failure(ResultCode.BAD_REQUEST, detail))
        if not call.request_id or not decoded.ok_value.items:
            return Err(
                Failure(
                    ResultCode.BAD_REQUEST,
                    "invalid submission: it needs a request id and at least one item",
                )
            )
        return decoded

    def results(self, total: int, after: int, results: list[dict]) -> bytes:
        """Encode a page of results; `after` is the position of the first one."""
        documents = [
            {
                "id": each["item_id"],
                "state": "completed" if each["completed"] else "down",
                "text": each["text"],
                "versions": each["versions"],
                "score": each["score"],
            }
            for each in results
        ]
        document = {"total": total, "next": after + len(documents), "results": documents}
        return json.dumps(document, ensure_ascii=False).encode()


def _decode_items(documents: list, has_accounts: bool) -> tuple[Item, ...]:
    """Decode items and remove their documents, so that bodies are held only once."""
    documents.reverse()
    items = []
    while documents:
        items.append(_decode_item(documents.pop(), has_accounts))
    return tuple(items)


def _decode_item(document: dict, has_accounts: bool) -> Item:
    headers = tuple((str(name), str(value)) for name, value in document["headers"].items())
    if not all(_is_header_field(name, value) for name, value in headers):
        # Neither is shown: a submitter may have put a key there.
        raise InvalidFieldError("an item has a header field that HTTP does not allow")
    if has_accounts:
        headers = without_identity_headers(headers)
    lowered = {name.lower(): value for name, value in headers}
    hint = lowered.get(LENGTH_HINT.lower(), "")
    scorer = document.get("scorer")
    return Item(
        item_id=read_text(document, "id"),
        path=read_text(document, "path"),
        headers=headers,
        body=base64.b64decode(document["body"]),
        group=str(document.get("group", document["id"])),
        expected_length=_decode_length(hint),
        reward=_decode_reward_call(scorer) if scorer else None,
    )


def _is_header_field(name: str, value: str) -> bool:
    """Return whether a header field can be sent."""
    try:
        encoded = value.encode("latin-1")
    except UnicodeEncodeError:
        return False
    return bool(_HEADER_NAME.fullmatch(name) and _HEADER_VALUE.fullmatch(encoded))


def _decode_reward_call(document: dict) -> RewardCall:
    return RewardCall(
        read_text(document, "id"),
        read_text(document, "host"),
        read_text(document, "path"),
        base64.b64decode(document["body"]),
    )


def _decode_length(hint: str) -> float:
    """Return an estimated length, 0 for unknown if the text is not a decimal number."""
    whole, point, fraction = hint.partition(".")
    if parse_whole_number(whole or "0") is None or parse_whole_number(fraction or "0") is None:
        return 0.0
    return float(hint) if whole or fraction else 0.0


def _read_optional_integer(document: dict, name: str) -> int:
    """Return an integer field, 0 without it; raises InvalidFieldError if it is out of range."""
    number = int(document.get(name, 0))
    if abs(number) > MAX_INTEGER:
        raise InvalidFieldError(f"{name} is not an integer of at most {MAX_INTEGER}")
    return number
