"""The library for callers and trainers: retries with the same id, whole answers, draws."""

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

from pumicedeck.operator_clients import decode_failure
from pumicedeck.request_ids import make_request_id
from pumicedeck.results import Execution, Failure, ResultCode

CONNECT_SECONDS = 2.0
MARGIN_SECONDS = 5.0
MAX_TRIES = 6
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 10.0
MILLISECONDS = 1000
MAX_IDLE_DRAWS = 10
_REPEATED_CODES = (ResultCode.IN_PROGRESS, ResultCode.CLAIM_LOST)


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer with the id under which it may be asked for again."""

    request_id: str
    status: int
    content_type: str
    body: bytes
    versions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Sample:
    """One draft; `versions` are the weight versions that produced it, oldest first."""

    index: int
    data: bytes
    tokens: int
    versions: tuple[int, ...]
    bracketed: bool


@dataclass(frozen=True, slots=True)
class SampleGroup:
    """A whole group; `newest` is the weight version that its staleness was checked against."""

    group: int
    newest: int
    samples: tuple[Sample, ...]


@dataclass(frozen=True, slots=True)
class WantedGroup:
    """A group to draw; `body` is the engine's JSON request."""

    group: int
    body: dict[str, Any]
    samples: int
    path: str = "/v1/generate"
    expected_tokens: int = 0
    prefix: str = ""


class Client:
    """Talks to the balancer's address, or to several entries in turn."""

    def __init__(
        self,
        urls: Iterable[str],
        token: str,
        pause: Callable[[float], None] = time.sleep,
        wall_clock: Callable[[], float] = time.time,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        """Authenticate with `token`; `pause` waits between tries."""
        self._urls = tuple(urls)
        self._turn = 0
        self._pause = pause
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
        """Make a call and repeat it under its id while that is safe.

        `budget` is in seconds. "Not run" is final only if every try was proven not to have run.
        """
        request_id = request_id or self.new_request_id()
        headers = _call_headers(request_id, budget, idempotent)
        unproven = False
        for attempt in range(MAX_TRIES):
            outcome = self._try(entry, path, body, headers, budget)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            unproven |= failure.execution is not Execution.NOT_RUN
            if not _is_worth_repeating(failure) or attempt + 1 == MAX_TRIES:
                break
            self._pause(self._delay(attempt, failure))
        if unproven and failure.execution is Execution.NOT_RUN:
            return Err(Failure(ResultCode.OUTCOME_UNKNOWN, f"last: {failure.code.name}"))
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

        A draw that breaks is repeated through the next entry and names what is held. `DrawError`
        is raised when a failure is final or nothing came for several draws. A callable
        `newest_version` is asked at each repetition, so that a version published meanwhile counts.
        """
        wanted = {each.group: each for each in groups}
        have = set(held)
        idle = 0
        while missing := [each for number, each in wanted.items() if number not in have]:
            before = len(have)
            named = newest_version() if callable(newest_version) else newest_version
            draw = _draw_document(trainer, step, missing, have, named, budget)
            failure = None
            for line in self._draw_lines(entry, draw, budget):
                if isinstance(line, Failure):
                    failure = line
                elif line.group not in have:
                    have.add(line.group)
                    yield line
            idle = 0 if len(have) > before else idle + 1
            self._check_draw(failure, idle)

    def _check_draw(self, failure: Failure | None, idle: int) -> None:
        if failure is None and idle == 0:
            return
        final = failure is not None and failure.code.info.exit_status == 2
        taken_over = failure is not None and failure.code is ResultCode.DRAW_TAKEN_OVER
        if final or taken_over or idle >= MAX_IDLE_DRAWS:
            raise DrawError(failure or Failure(ResultCode.DRAW_INCOMPLETE, "nothing arrives"))
        self._pause(self._delay(idle, failure))

    def _url(self) -> str:
        self._turn += 1
        return self._urls[self._turn % len(self._urls)]

    def _delay(self, attempt: int, failure: Failure | None) -> float:
        longest = min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2**attempt)
        told = failure.retry_after if failure is not None else None
        return max(told or 0.0, self._random.uniform(longest / 2, longest))

    def _try(
        self, entry: str, path: str, body: bytes, headers: dict[str, str], budget: float
    ) -> Result[Reply, Failure]:
        timeout = httpx.Timeout(budget + MARGIN_SECONDS, connect=CONNECT_SECONDS)
        url = f"{self._url()}/v1/entries/{entry}/call{path}"
        try:
            response = self._http.post(url, content=body, headers=headers, timeout=timeout)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Err(Failure(ResultCode.ENDPOINT_UNREACHABLE, str(error), proven_not_run=True))
        except httpx.HTTPError as error:
            return Err(Failure(ResultCode.OUTCOME_UNKNOWN, type(error).__name__))
        return _read_reply(headers["X-Request-Id"], response)

    def _draw_lines(
        self, entry: str, draw: dict[str, Any], budget: float
    ) -> Iterator[SampleGroup | Failure]:
        timeout = httpx.Timeout(budget + MARGIN_SECONDS, connect=CONNECT_SECONDS)
        url = f"{self._url()}/v1/entries/{entry}/draws"
        try:
            with self._http.stream("POST", url, json=draw, timeout=timeout) as response:
                if not response.is_success:
                    response.read()
                    yield decode_failure(_json(response), response.status_code)
                    return
                for line in response.iter_lines():
                    yield from _read_line(line)
        except httpx.HTTPError as error:
            yield Failure(ResultCode.DRAW_INCOMPLETE, type(error).__name__)


class DrawError(Exception):
    """A draw cannot go on; `failure` says why."""

    def __init__(self, failure: Failure) -> None:
        """Carry the numbered failure."""
        super().__init__(f"{int(failure.code)} {failure.code.name}: {failure.detail}")
        self.failure = failure


def _call_headers(request_id: str, budget: float, idempotent: bool | None) -> dict[str, str]:
    headers = {
        "X-Request-Id": request_id,
        "X-Budget-Ms": str(max(1, round(budget * MILLISECONDS))),
    }
    if idempotent is not None:
        headers["X-Idempotent"] = str(idempotent).lower()
    return headers


def _is_worth_repeating(failure: Failure) -> bool:
    if failure.code in _REPEATED_CODES:
        return True
    if failure.code is ResultCode.OUTCOME_UNKNOWN:
        # The id makes the repetition safe: a claimed request is never run again.
        return True
    return failure.execution is Execution.NOT_RUN and failure.code.info.exit_status == 3


def _json(response: httpx.Response) -> Any:
    try:
        return response.json()
    except ValueError:
        return None


def _read_reply(request_id: str, response: httpx.Response) -> Result[Reply, Failure]:
    digest = response.headers.get("X-Answer-Digest")
    if digest is None:
        return Err(decode_failure(_json(response), response.status_code))
    length = int(response.headers["X-Answer-Length"])
    body = response.content
    if len(body) != length or sha256(body).hexdigest() != digest:
        return Err(Failure(ResultCode.OUTCOME_UNKNOWN, "the answer is not whole"))
    named = response.headers.get("X-Weight-Versions", "")
    versions = tuple(int(each) for each in named.split(",") if each)
    content_type = response.headers.get("Content-Type", "")
    return Ok(Reply(request_id, response.status_code, content_type, body, versions))


def _draw_document(
    trainer: str,
    step: int,
    missing: list[WantedGroup],
    have: set[int],
    newest_version: int,
    budget: float,
) -> dict[str, Any]:
    groups = [
        {
            "group": each.group,
            "path": each.path,
            "body": each.body,
            "samples": each.samples,
            "expected_tokens": each.expected_tokens,
            "prefix": each.prefix,
        }
        for each in missing
    ]
    return {
        "trainer": trainer,
        "step": step,
        "groups": groups,
        "held": sorted(have),
        "newest_version": newest_version,
        "budget_seconds": budget,
    }


def _read_line(line: str) -> Iterator[SampleGroup | Failure]:
    document = json.loads(line)
    if "error" in document:
        yield decode_failure(document["error"], 0)
    elif "group" in document:
        samples = tuple(_sample(each) for each in document["drafts"])
        yield SampleGroup(document["group"], document["newest"], samples)


def _sample(document: dict[str, Any]) -> Sample:
    data = document["text"].encode() if "text" in document else b64decode(document["base64"])
    return Sample(
        document["index"],
        data,
        document["tokens"],
        tuple(document["versions"]),
        document["bracketed"],
    )
