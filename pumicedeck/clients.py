"""Client library for callers and trainers.

Retries a call under the same request id while that is safe, checks that an answer is complete, and
repeats a draw that broke until every group of the step has arrived.
"""

import json
import time
from base64 import b64decode
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from hashlib import sha256
from random import SystemRandom
from typing import Any

import httpx
from result import Err, Ok, Result

from pumicedeck.backoffs import doubled_seconds
from pumicedeck.operator_clients import decode_failure
from pumicedeck.request_ids import make_request_id
from pumicedeck.results import Execution, Failure, ResultCode

CONNECT_TIMEOUT_SECONDS = 2.0
TIMEOUT_MARGIN_SECONDS = 5.0
MAX_ATTEMPTS = 6
MIN_RETRY_DELAY_SECONDS = 0.2
MAX_RETRY_DELAY_SECONDS = 10.0
MILLISECONDS_PER_SECOND = 1000
MAX_DRAWS_WITHOUT_PROGRESS = 10
_RETRYABLE_CODES = (ResultCode.IN_PROGRESS, ResultCode.CLAIM_LOST)


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer; a call with the same `request_id` returns it again."""

    request_id: str
    status: int
    content_type: str
    body: bytes
    versions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Sample:
    """One draft of a group.

    `versions` are the weight versions that produced it, oldest first. If `bracketed`, some of them
    may have produced no token, because the exact versions are not known.
    """

    index: int
    data: bytes
    tokens: int
    versions: tuple[int, ...]
    bracketed: bool


@dataclass(frozen=True, slots=True)
class SampleGroup:
    """A complete group; `newest` is the weight version that its staleness was checked against."""

    group: int
    newest: int
    samples: tuple[Sample, ...]


@dataclass(frozen=True, slots=True)
class WantedGroup:
    """A group to draw: `samples` drafts of the engine's JSON request `body`."""

    group: int
    body: dict[str, Any]
    samples: int
    path: str = "/v1/generate"
    expected_tokens: int = 0
    prefix: str = ""


class Client:
    """Sends calls and draws to the URL of a load balancer, or to several entries in turn."""

    def __init__(
        self,
        urls: Iterable[str],
        token: str,
        pause: Callable[[float], None] = time.sleep,
        wall_clock: Callable[[], float] = time.time,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        """Authenticate with `token`; `pause` sleeps for the given seconds between attempts."""
        self._urls = tuple(urls)
        self._url_index = 0
        self._sleep = pause
        self._wall_clock = wall_clock
        self._random = SystemRandom()
        self._http = httpx.Client(
            headers={"Authorization": f"Bearer {token}"}, transport=transport, timeout=None
        )

    def close(self) -> None:
        """Release the connections."""
        self._http.close()

    def new_request_id(self) -> str:
        """Return a request id that is never reused."""
        return make_request_id(self._wall_clock(), self._random.getrandbits)

    def call(
        self,
        entry: str,
        path: str,
        body: bytes,
        budget: float,
        idempotent: bool | None = None,
        request_id: str = "",
    ) -> Result[Reply, Failure]:
        """Make a call and repeat it under its request id while that is safe.

        `budget` is in seconds. A failure says that the request was not run only if that is proven
        for every attempt; otherwise it is OUTCOME_UNKNOWN.
        """
        request_id = request_id or self.new_request_id()
        headers = _call_headers(request_id, budget, idempotent)
        may_have_run = False
        for attempt in range(MAX_ATTEMPTS):
            outcome = self._attempt_call(entry, path, body, headers, budget)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            may_have_run |= failure.execution is not Execution.NOT_RUN
            if not _is_retryable(failure) or attempt + 1 == MAX_ATTEMPTS:
                break
            self._sleep(self._retry_delay_seconds(attempt, failure))
        if may_have_run and failure.execution is Execution.NOT_RUN:
            return Err(
                Failure(
                    ResultCode.OUTCOME_UNKNOWN,
                    f"an attempt may have run; last failure: {failure.code.name}",
                )
            )
        return Err(failure)

    def draw(
        self,
        entry: str,
        trainer: str,
        step: int,
        groups: Iterable[WantedGroup],
        newest_version: int | Callable[[], int] = -1,
        held: Iterable[int] = (),
        budget: float = 960.0,
    ) -> Iterator[SampleGroup]:
        """Yield each group of a step once, as it completes.

        `held` are the numbers of groups that the trainer already has. A draw that breaks is
        repeated through the next entry for the missing groups. Raises `DrawError` if a failure is
        final, a later draw took the step over, or MAX_DRAWS_WITHOUT_PROGRESS draws in a row bring
        no group. A callable `newest_version` is called for each repetition, so that a version
        published in the meantime counts. `budget` is in seconds.
        """
        requested = {group.group: group for group in groups}
        held_groups = set(held)
        draws_without_progress = 0
        while missing := [
            group for number, group in requested.items() if number not in held_groups
        ]:
            held_before = len(held_groups)
            current_newest_version = (
                newest_version() if callable(newest_version) else newest_version
            )
            draw = _draw_document(
                trainer, step, missing, held_groups, current_newest_version, budget
            )
            failure = None
            for line in self._stream_draw(entry, draw, budget):
                if isinstance(line, Failure):
                    failure = line
                elif line.group not in held_groups:
                    held_groups.add(line.group)
                    yield line
            draws_without_progress = (
                0 if len(held_groups) > held_before else draws_without_progress + 1
            )
            self._raise_or_pause(failure, draws_without_progress)

    def _raise_or_pause(self, failure: Failure | None, draws_without_progress: int) -> None:
        if failure is None and draws_without_progress == 0:
            return
        # Exit status 2 marks errors in the request itself, which a repetition cannot change.
        is_final = failure is not None and failure.code.info.exit_status == 2
        is_taken_over = failure is not None and failure.code is ResultCode.DRAW_TAKEN_OVER
        if is_final or is_taken_over or draws_without_progress >= MAX_DRAWS_WITHOUT_PROGRESS:
            raise DrawError(
                failure
                or Failure(ResultCode.DRAW_INCOMPLETE, "several draws in a row brought no group")
            )
        self._sleep(self._retry_delay_seconds(draws_without_progress, failure))

    def _next_url(self) -> str:
        self._url_index += 1
        return self._urls[self._url_index % len(self._urls)]

    def _retry_delay_seconds(self, attempt: int, failure: Failure | None) -> float:
        max_delay_seconds = doubled_seconds(
            MIN_RETRY_DELAY_SECONDS, attempt, MAX_RETRY_DELAY_SECONDS
        )
        requested_delay_seconds = failure.retry_after if failure is not None else None
        return max(
            requested_delay_seconds or 0.0,
            self._random.uniform(max_delay_seconds / 2, max_delay_seconds),
        )

    def _attempt_call(
        self, entry: str, path: str, body: bytes, headers: dict[str, str], budget: float
    ) -> Result[Reply, Failure]:
        timeout = httpx.Timeout(budget + TIMEOUT_MARGIN_SECONDS, connect=CONNECT_TIMEOUT_SECONDS)
        url = f"{self._next_url()}/v1/entries/{entry}/call{path}"
        try:
            response = self._http.post(url, content=body, headers=headers, timeout=timeout)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Err(Failure(ResultCode.ENDPOINT_UNREACHABLE, str(error), proven_not_run=True))
        except httpx.HTTPError as error:
            return Err(Failure(ResultCode.OUTCOME_UNKNOWN, type(error).__name__))
        return _decode_reply(headers["X-Request-Id"], response)

    def _stream_draw(
        self, entry: str, draw: dict[str, Any], budget: float
    ) -> Iterator[SampleGroup | Failure]:
        timeout = httpx.Timeout(budget + TIMEOUT_MARGIN_SECONDS, connect=CONNECT_TIMEOUT_SECONDS)
        url = f"{self._next_url()}/v1/entries/{entry}/draws"
        try:
            with self._http.stream("POST", url, json=draw, timeout=timeout) as response:
                if not response.is_success:
                    response.read()
                    yield decode_failure(_decode_json(response), response.status_code)
                    return
                for line in response.iter_lines():
                    yield from _decode_line(line)
        except httpx.HTTPError as error:
            yield Failure(ResultCode.DRAW_INCOMPLETE, type(error).__name__)


class DrawError(Exception):
    """A draw cannot be completed; `failure` holds the result code and the reason."""

    def __init__(self, failure: Failure) -> None:
        """Create the error with the number, name and detail of `failure` as its message."""
        super().__init__(f"{int(failure.code)} {failure.code.name}: {failure.detail}")
        self.failure = failure


def _call_headers(request_id: str, budget: float, idempotent: bool | None) -> dict[str, str]:
    headers = {
        "X-Request-Id": request_id,
        "X-Budget-Ms": str(max(1, round(budget * MILLISECONDS_PER_SECOND))),
    }
    if idempotent is not None:
        headers["X-Idempotent"] = str(idempotent).lower()
    return headers


def _is_retryable(failure: Failure) -> bool:
    if failure.code in _RETRYABLE_CODES:
        return True
    if failure.code is ResultCode.OUTCOME_UNKNOWN:
        # Repeating under the same id is safe: a request that is claimed already is not run again.
        return True
    # Exit status 3 marks conditions that can pass, such as an overload.
    return failure.execution is Execution.NOT_RUN and failure.code.info.exit_status == 3


def _decode_json(response: httpx.Response) -> Any:
    try:
        return response.json()
    except ValueError:
        return None


def _decode_reply(request_id: str, response: httpx.Response) -> Result[Reply, Failure]:
    digest = response.headers.get("X-Answer-Digest")
    if digest is None:
        return Err(decode_failure(_decode_json(response), response.status_code))
    length = int(response.headers["X-Answer-Length"])
    body = response.content
    if len(body) != length or sha256(body).hexdigest() != digest:
        return Err(Failure(ResultCode.OUTCOME_UNKNOWN, "answer truncated or its digest differs"))
    versions_header = response.headers.get("X-Weight-Versions", "")
    versions = tuple(int(text) for text in versions_header.split(",") if text)
    content_type = response.headers.get("Content-Type", "")
    return Ok(Reply(request_id, response.status_code, content_type, body, versions))


def _draw_document(
    trainer: str,
    step: int,
    missing: list[WantedGroup],
    held_groups: set[int],
    newest_version: int,
    budget: float,
) -> dict[str, Any]:
    groups = [
        {
            "group": group.group,
            "path": group.path,
            "body": group.body,
            "samples": group.samples,
            "expected_tokens": group.expected_tokens,
            "prefix": group.prefix,
        }
        for group in missing
    ]
    return {
        "trainer": trainer,
        "step": step,
        "groups": groups,
        "held": sorted(held_groups),
        "newest_version": newest_version,
        "budget_seconds": budget,
    }


def _decode_line(line: str) -> Iterator[SampleGroup | Failure]:
    document = json.loads(line)
    if "error" in document:
        yield decode_failure(document["error"], 0)
    elif "group" in document:
        samples = tuple(_decode_sample(draft) for draft in document["drafts"])
        yield SampleGroup(document["group"], document["newest"], samples)


def _decode_sample(document: dict[str, Any]) -> Sample:
    data = document["text"].encode() if "text" in document else b64decode(document["base64"])
    return Sample(
        document["index"],
        data,
        document["tokens"],
        tuple(document["versions"]),
        document["bracketed"],
    )
