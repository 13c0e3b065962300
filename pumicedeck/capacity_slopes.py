"""Measures how CPU time, memory and message bytes of request handling grow with size.

Each figure is measured at four sizes, counted in sessions, pending requests, queued dispatches or
catalogue entries.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok

from pumicedeck.actions import CallerRequest, StartExecution
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.attempts import ExecutionEnd
from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, RequestClass
from pumicedeck.codecs import encode
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.fair_queues import FairQueue
from pumicedeck.limiters import EntryLimiter
from pumicedeck.load_routers import ExpectedWaitRouter
from pumicedeck.messages import Acknowledge, Answer, AttemptId, Dispatch, Heartbeat, LoadReport
from pumicedeck.routers import Candidate
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain

MICROSECONDS_PER_SECOND = 1_000_000
AGENT_SIZES = (8, 16, 32, 64)
PENDING_SIZES = (500, 1000, 2000, 4000)
QUEUE_SIZES = (100, 200, 400, 800)
ENTRY_SIZES = (125, 250, 500, 1000)
REQUESTS_TIMED = 2000
REQUEST_BODY = b"x" * 1000
_DOMAIN = FailureDomain("a", "south")
_ENTRY = CatalogueEntry("drafts", "firm", RequestClass.ROLLOUT, ("p",))
_EMPTY_BODY_SHA256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"


@dataclass(frozen=True, slots=True)
class Slope:
    """One figure, measured at several sizes and in the given unit."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def per_item(self) -> float:
        """Return the slope of the least-squares line: the growth of the figure per item."""
        mean_size = sum(self.sizes) / len(self.sizes)
        mean_value = sum(self.values) / len(self.values)
        pairs = zip(self.sizes, self.values, strict=True)
        covariance = sum((size - mean_size) * (value - mean_value) for size, value in pairs)
        return covariance / sum((size - mean_size) ** 2 for size in self.sizes)

    def text(self) -> str:
        """Return the values and the slope as one line of text."""
        pairs = zip(self.sizes, self.values, strict=True)
        values = ", ".join(f"{size}: {value:.1f}" for size, value in pairs)
        return f"{self.name} [{self.unit}]: {values}; slope {self.per_item:.3f} a piece"


def measure_capacity() -> tuple[Slope, ...]:
    """Measure all figures; this takes about half a minute."""
    return (
        _measure_slope("entry: request over sessions", "µs", AGENT_SIZES, _measure_entry_request),
        _measure_slope("entry: load report over sessions", "µs", AGENT_SIZES, _measure_load_report),
        _measure_slope(
            "entry: memory over pending requests", "KiB", PENDING_SIZES, _measure_entry_memory
        ),
        _measure_slope(
            "entry: limit exchange over catalogue entries",
            "µs",
            ENTRY_SIZES,
            _measure_limit_exchange,
        ),
        _measure_slope(
            "agent: dispatch over queued dispatches", "µs", QUEUE_SIZES, _measure_agent_dispatch
        ),
        _measure_slope(
            "agent: memory over queued dispatches", "KiB", QUEUE_SIZES, _measure_agent_memory
        ),
        _measure_slope(
            "agent: new catalogue over entries", "µs", ENTRY_SIZES, _measure_agent_configure
        ),
        _measure_slope(
            "session: bytes of heartbeats over sessions", "B", AGENT_SIZES, _measure_heartbeat_bytes
        ),
    )


def _measure_slope(
    name: str, unit: str, sizes: tuple[int, ...], measure: Callable[[int], float]
) -> Slope:
    return Slope(name, unit, sizes, tuple(measure(size) for size in sizes))


def _mean_microseconds(count: int, run: Callable[[int], None]) -> float:
    gc.collect()
    start = time.process_time()
    for number in range(count):
        run(number)
    return (time.process_time() - start) / count * MICROSECONDS_PER_SECOND


def _allocated_kibibytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    built = build()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return used / 1024


def _agent_name(number: int) -> str:
    return f"g{number}/1"


def _build_router(agents: int) -> ExpectedWaitRouter:
    load_router = ExpectedWaitRouter(_DOMAIN, 1)
    for number in range(agents):
        endpoint = Endpoint(f"g{number}", "p", EndpointKind.MODEL, 8)
        load_router.add(0.0, Candidate(_agent_name(number), endpoint, _DOMAIN))
    return load_router


def _build_entry(agents: int) -> EntryRequests:
    return EntryRequests("e/1", _build_router(agents))


def _build_request(number: int) -> CallerRequest:
    return CallerRequest(
        handle=str(number),
        request_id=str(number),
        entry=_ENTRY,
        path="/",
        body=REQUEST_BODY,
        idempotent=True,
        streamed=False,
        budget=60.0,
        expected_tokens=100,
        prefix=f"prefix-{number % 50}",
    )


def _measure_entry_request(agents: int) -> float:
    requests = _build_entry(agents)

    def run(number: int) -> None:
        sent = requests.submit(number / 100, _build_request(number))[0]
        answer = Answer(sent.message.attempt, 100, 200, "", b"", 0, _EMPTY_BODY_SHA256)
        requests.message(number / 100, sent.peer, answer)

    return _mean_microseconds(REQUESTS_TIMED, run)


def _measure_load_report(agents: int) -> float:
    router = _build_router(agents)
    report = LoadReport(3, 8, 8, 300, 800, 400.0)

    def run(number: int) -> None:
        router.reported(number / 10, _agent_name(number % agents), report)

    return _mean_microseconds(REQUESTS_TIMED, run)


def _measure_entry_memory(pending: int) -> float:
    def build() -> EntryRequests:
        requests = _build_entry(24)
        for number in range(pending):
            requests.submit(0.0, _build_request(number))
        return requests

    return _allocated_kibibytes(build)


def _build_catalogue(entries: int) -> Catalogue:
    return Catalogue(
        1,
        tuple(
            CatalogueEntry(f"entry-{number}", f"firm-{number % 20}", RequestClass.BATCH, ("p",))
            for number in range(entries)
        ),
    )


def _measure_limit_exchange(entries: int) -> float:
    limiter = EntryLimiter("e")
    catalogue = _build_catalogue(entries)
    limiter.configure(0.0, catalogue)
    limiter.set_members(0.0, [f"e{number}" for number in range(12)])
    for entry in catalogue.entries:
        limiter.admit(0.0, entry, 10)

    def run(number: int) -> None:
        limiter.publish(float(number))

    return _mean_microseconds(50, run)


def _build_dispatch(number: int) -> Dispatch:
    return Dispatch(
        attempt=AttemptId("e/1", number),
        agent="g/1",
        request_id=str(number),
        entry_name=f"entry-{number % 40}",
        firm=f"firm-{number % 20}",
        request_class=RequestClass.ROLLOUT,
        idempotent=True,
        streamed=False,
        path="/",
        body=bytes(REQUEST_BODY),
        budget=600.0,
        queue_budget=600.0,
        expected_tokens=100,
        floor=max(0, number - 5000),
    )


def _build_agent(queued: int) -> AgentRequests:
    requests = AgentRequests("g/1", FairQueue(8, express=8), 8)
    requests.session_opened(0.0, "e/1")
    for number in range(queued):
        requests.message(0.0, "e/1", _build_dispatch(number))
    return requests


def _measure_agent_dispatch(queued: int) -> float:
    requests = AgentRequests("g/1", FairQueue(8, express=8), 8)
    requests.session_opened(0.0, "e/1")
    running: list[AttemptId] = []

    def add_dispatch(number: int) -> None:
        actions = requests.message(number / 100, "e/1", _build_dispatch(number))
        running.extend(
            each.dispatch.attempt for each in actions if isinstance(each, StartExecution)
        )

    def run(number: int) -> None:
        add_dispatch(queued + number)
        attempt = running.pop(0)
        now = (queued + number) / 100
        requests.execution_chunk(now, attempt, b"answer", 100)
        actions = requests.execution_finished(now, attempt, Ok(ExecutionEnd(200, "", 100)))
        running.extend(
            each.dispatch.attempt for each in actions if isinstance(each, StartExecution)
        )
        requests.message(now, "e/1", Acknowledge(attempt))

    for number in range(queued):
        add_dispatch(number)
    return _mean_microseconds(REQUESTS_TIMED, run)


def _measure_agent_memory(queued: int) -> float:
    return _allocated_kibibytes(lambda: _build_agent(queued))


def _measure_agent_configure(entries: int) -> float:
    requests = AgentRequests("g/1", FairQueue(8, express=8), 8)
    catalogue = _build_catalogue(entries)
    return _mean_microseconds(
        50, lambda number: requests.configure(float(number), catalogue) and None
    )


def _measure_heartbeat_bytes(sessions: int) -> float:
    load = LoadReport(12, 8, 8, 3600, 2400, 400.0, 7, True, 300)
    return float(sessions * len(encode(Heartbeat(100_000, 100_000, 1_000_000, load))))
