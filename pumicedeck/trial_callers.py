"""Callers of a trial, which repeat each request under its id until the outcome is final."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import sha256
from random import Random

from result import Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import Address

HTTP_OK = 200
MAX_TRIES = 8
MIN_RETRY_DELAY_SECONDS = 0.5
MAX_SILENCE_SECONDS = 20.0
_RETRYABLE_CODES = (ResultCode.IN_PROGRESS,)


class TryOutcome(StrEnum):
    """What one try told its caller about execution; NOTHING if the connection failed."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    NOTHING = "nothing"


@dataclass(slots=True)
class TrialRequest:
    """One request with the outcome and the result code of each try."""

    request_id: str
    body: bytes
    outcomes: list[TryOutcome] = field(default_factory=list)
    codes: list[int] = field(default_factory=list)
    wrong_answer: bool = False
    final: bool = False

    @property
    def is_reported_not_run(self) -> bool:
        """Return whether every try was reported as not run."""
        return bool(self.outcomes) and all(each is TryOutcome.NOT_RUN for each in self.outcomes)


class RandomArrivals(ABC):
    """Makes requests at random times, `rate` per second on average."""

    def __init__(self, rate: float, timers: TimerQueue, rng: Random) -> None:
        """Create a source that makes no request before `start`."""
        self._rate = rate
        self._timers = timers
        self._rng = rng
        self._stopped = False

    def start(self) -> None:
        """Schedule the next request."""
        if not self._stopped:
            self._timers.call_later(self._rng.expovariate(self._rate), self._make_request)

    def stop(self) -> None:
        """Make no more requests."""
        self._stopped = True

    @abstractmethod
    def _make_request(self) -> None:
        """Make a request and call `start` to schedule the next one."""


class TrialCaller(RandomArrivals):
    """Calls a service and repeats requests whose outcome is not final."""

    def __init__(
        self,
        entry_name: str,
        token: str,
        rate: float,
        client: HttpClient,
        targets: tuple[Address, ...],
        timers: TimerQueue,
        rng: Random,
    ) -> None:
        """Call `entry_name` through random `targets`, as a load balancer would."""
        super().__init__(rate, timers, rng)
        self._entry_name = entry_name
        self._token = token
        self._client = client
        self._targets = targets
        self.requests: list[TrialRequest] = []

    @property
    def name(self) -> str:
        """Return the name of the catalogue entry that is called."""
        return self._entry_name

    @property
    def open_count(self) -> int:
        """Return the number of requests without a final outcome."""
        return sum(not each.final for each in self.requests)

    def _make_request(self) -> None:
        self.start()
        number = len(self.requests)
        request_id = f"{self._entry_name}-{self._rng.getrandbits(64):016x}"
        request = TrialRequest(request_id, json.dumps({"number": number}).encode())
        self.requests.append(request)
        self._send_try(request)

    def _send_try(self, request: TrialRequest) -> None:
        headers = (
            ("Authorization", f"Bearer {self._token}"),
            ("X-Request-Id", request.request_id),
            ("X-Budget-Ms", "10000"),
        )
        call = HttpRequest(
            "POST",
            self._rng.choice(self._targets),
            f"/v1/entries/{self._entry_name}/call/act",
            headers,
            request.body,
        )
        self._client.send(
            call,
            lambda outcome: self._on_answer(request, outcome),
            silence_seconds=MAX_SILENCE_SECONDS,
        )

    def _on_answer(self, request: TrialRequest, outcome: Result[HttpResponse, Failure]) -> None:
        if not isinstance(outcome, Ok):
            refused = outcome.err_value.proven_not_run
            self._record_try(request, TryOutcome.NOT_RUN if refused else TryOutcome.NOTHING, 0)
        elif outcome.ok_value.status == HTTP_OK:
            self._check_answer(request, outcome.ok_value)
            self._record_try(request, TryOutcome.ANSWERED, int(ResultCode.OK))
        else:
            document = json.loads(outcome.ok_value.body)
            not_run = document["execution"] == "not_run"
            try_outcome = TryOutcome.NOT_RUN if not_run else TryOutcome.MAY_HAVE_RUN
            self._record_try(request, try_outcome, document["code"])

    def _check_answer(self, request: TrialRequest, answer: HttpResponse) -> None:
        document = json.loads(answer.body)
        complete = int(answer.header("x-answer-length")) == len(answer.body)
        complete = complete and answer.header("x-answer-digest") == sha256(answer.body).hexdigest()
        is_own = document["request_id"] == request.request_id
        is_own = is_own and document["body_sha256"] == sha256(request.body).hexdigest()
        request.wrong_answer |= not (complete and is_own)

    def _record_try(self, request: TrialRequest, try_outcome: TryOutcome, code: int) -> None:
        request.outcomes.append(try_outcome)
        request.codes.append(code)
        is_retryable = (
            try_outcome in (TryOutcome.NOT_RUN, TryOutcome.NOTHING) or code in _RETRYABLE_CODES
        )
        if not is_retryable or len(request.outcomes) >= MAX_TRIES:
            request.final = True
            return
        delay = MIN_RETRY_DELAY_SECONDS * (1.0 + self._rng.random())
        self._timers.call_later(delay, lambda: self._send_try(request))


@dataclass(slots=True)
class StreamCounts:
    """Counts of streamed requests by outcome.

    `truncated` streams ended cleanly but incomplete. `mismatched_answers` counts those complete
    streams that answer another request.
    """

    sent: int = 0
    complete: int = 0
    failed: int = 0
    truncated: int = 0
    mismatched_answers: int = 0


class StreamCaller(RandomArrivals):
    """Streams completions and checks that a cleanly ended one is complete and the caller's own."""

    def __init__(
        self,
        entry_name: str,
        token: str,
        rate: float,
        client: HttpClient,
        target: Callable[[], Address],
        timers: TimerQueue,
        rng: Random,
    ) -> None:
        """Stream from `entry_name` through the address that `target` returns."""
        super().__init__(rate, timers, rng)
        self._entry_name = entry_name
        self._token = token
        self._client = client
        self._target = target
        self.counts = StreamCounts()

    @property
    def open_count(self) -> int:
        """Return the number of streams that have not ended."""
        return self.counts.sent - self.counts.complete - self.counts.failed - self.counts.truncated

    def _make_request(self) -> None:
        self.start()
        self.counts.sent += 1
        prompt = f"hall {self._rng.getrandbits(64):016x}"
        body = json.dumps({"prompt": prompt, "max_tokens": 200}).encode()
        call = HttpRequest(
            "POST",
            self._target(),
            f"/v1/entries/{self._entry_name}/call/v1/generate",
            (("Authorization", f"Bearer {self._token}"), ("X-Stream", "true")),
            body,
        )
        received: list[bytes] = []
        self._client.send(
            call,
            lambda outcome: self._on_stream_end(body, received, outcome),
            received.append,
            MAX_SILENCE_SECONDS,
        )

    def _on_stream_end(
        self, body: bytes, received: list[bytes], outcome: Result[HttpResponse, Failure]
    ) -> None:
        if not isinstance(outcome, Ok) or outcome.ok_value.status != HTTP_OK:
            self.counts.failed += 1
            return
        lines = [json.loads(line) for line in b"".join(received).splitlines()]
        text = "".join(line.get("text", "") for line in lines).encode()
        end = lines[-1].get("end") if lines else None
        if end is None or end["length"] != len(text) or end["digest"] != _sha256_hex(text):
            self.counts.truncated += 1
            return
        own_prefix = sha256(body).hexdigest()[:8].encode()
        self.counts.mismatched_answers += not all(
            word.startswith(own_prefix) for word in text.split()
        )
        self.counts.complete += 1


def _sha256_hex(data: bytes) -> str:
    return sha256(data).hexdigest()
