"""Measures the CPU time, messages, store calls and memory that requests and claims need."""

import json
import tracemalloc
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from random import Random
from time import perf_counter
from typing import TypeVar

from result import Ok

from pumicedeck.actions import (
    Action,
    CallerAnswer,
    CallerRequest,
    RecordOutcome,
    SendMessage,
    WriteClaim,
)
from pumicedeck.agent_requests import AgentRequests
from pumicedeck.attempts import ExecutionEnd
from pumicedeck.catalogue_entries import CatalogueEntry, Limits, RequestClass
from pumicedeck.claims import Claims, ClaimSettings
from pumicedeck.clocks import VirtualTime
from pumicedeck.entry_requests import EntryRequests
from pumicedeck.messages import AttemptId, Dispatch, Message
from pumicedeck.queues import FirstInFirstOutQueue
from pumicedeck.results import ResultCode
from pumicedeck.routers import Candidate, RoundRobinRouter
from pumicedeck.standin_tables import StandinTableStore, StoreLimits, TableData
from pumicedeck.tombstones import Tombstone, Tombstones, Verdict
from pumicedeck.topology import Endpoint, EndpointKind, FailureDomain

T = TypeVar("T")

MICROSECONDS_PER_SECOND = 1e6
MAX_IN_FLIGHT_REQUESTS = 200
BODY_BYTES = 2048
STORE_LATENCY_SECONDS = 0.002
SERVICE_TIME_SECONDS = 0.5

_AGENT = "agent/1"
_ENTRY = "entry/1"
_DOMAIN = FailureDomain("a", "r")
_CATALOGUE_ENTRY = CatalogueEntry("call", "firm", RequestClass.INTERACTIVE, ("pool",), Limits())


@dataclass(frozen=True, slots=True)
class MachineCosts:
    """CPU time in microseconds and messages, each per request."""

    requests: int
    entry_microseconds: float
    agent_microseconds: float
    messages: float


@dataclass(frozen=True, slots=True)
class ClaimCosts:
    """Store calls and CPU time per non-idempotent request, and transactions per second.

    `claim_microseconds` includes the time spent in the stand-in of the table service.
    """

    entries: int
    requests_per_second: float
    outcome_seconds: float
    transactions: float
    rows: float
    reads: float
    transactions_per_second: float
    claim_microseconds: float


@dataclass(frozen=True, slots=True)
class MemoryCosts:
    """Bytes that an agent stores for each tombstone and for each entry incarnation."""

    tombstone_bytes: float
    entry_bytes: float


def measure_memory(count: int = 20_000) -> MemoryCosts:
    """Measure the memory of `count` tombstones and of `count` entry incarnations."""
    tombstones = Tombstones(600.0, count, count)
    tracemalloc.start()
    for number in range(count):
        attempt = AttemptId(_ENTRY, number)
        tombstones.add(0.0, attempt, Tombstone(Verdict.REFUSED, 200, "queue full", 1.0))
    bytes_of_tombstones = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        tombstones.admit_entry(f"entry-{number:04d}/{number:016x}")
    total_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return MemoryCosts(bytes_of_tombstones / count, (total_bytes - bytes_of_tombstones) / count)


class StateMachineMeter:
    """Passes requests between the state machines of an entry and an agent, and times both."""

    def __init__(self) -> None:
        """Create an entry and an agent with a session between them."""
        self._entry = EntryRequests(_ENTRY, RoundRobinRouter(_DOMAIN))
        self._agent = AgentRequests(_AGENT, FirstInFirstOutQueue(), MAX_IN_FLIGHT_REQUESTS)
        endpoint = Endpoint(_AGENT, "pool", EndpointKind.SERVICE, MAX_IN_FLIGHT_REQUESTS)
        self._entry.session_opened(0.0, _AGENT, Candidate(_AGENT, endpoint, _DOMAIN))
        self._agent.session_opened(0.0, _ENTRY)
        self._entry_seconds = 0.0
        self._agent_seconds = 0.0
        self._messages = 0
        self._running: deque[Dispatch] = deque()

    def measure(self, requests: int) -> MachineCosts:
        """Run `requests` requests with at most 200 in flight and return the costs per request."""
        body = Random(1).randbytes(BODY_BYTES)
        for number in range(requests):
            now = number * 0.001
            handle = f"h{number}"
            request = CallerRequest(
                handle, handle, _CATALOGUE_ENTRY, "/run", body, True, False, 30.0
            )
            self._to_agent(now, self._call_entry(self._entry.submit, now, request))
            if len(self._running) >= MAX_IN_FLIGHT_REQUESTS:
                self._finish(now, self._running.popleft(), body)
        finished = requests - len(self._running)
        return MachineCosts(
            requests,
            self._entry_seconds / finished * MICROSECONDS_PER_SECOND,
            self._agent_seconds / finished * MICROSECONDS_PER_SECOND,
            self._messages / finished,
        )

    def _finish(self, now: float, dispatch: Dispatch, body: bytes) -> None:
        attempt = dispatch.attempt
        end = Ok(ExecutionEnd(200, "text/plain", 64, (1,)))
        self._call_agent(self._agent.execution_chunk, now, attempt, body)
        self._to_entry(now, self._call_agent(self._agent.execution_finished, now, attempt, end))

    def _to_agent(self, now: float, actions: list[Action]) -> None:
        for message in self._sent_messages(actions):
            if isinstance(message, Dispatch):
                self._running.append(message)
            self._to_entry(now, self._call_agent(self._agent.message, now, _ENTRY, message))

    def _to_entry(self, now: float, actions: list[Action]) -> None:
        for message in self._sent_messages(actions):
            self._to_agent(now, self._call_entry(self._entry.message, now, _AGENT, message))

    def _sent_messages(self, actions: list[Action]) -> list[Message]:
        messages = [each.message for each in actions if isinstance(each, SendMessage)]
        self._messages += len(messages)
        return messages

    def _call_entry(self, call: Callable[..., T], *arguments: object) -> T:
        started_at = perf_counter()
        result = call(*arguments)
        self._entry.next_wakeup()
        self._entry_seconds += perf_counter() - started_at
        return result

    def _call_agent(self, call: Callable[..., T], *arguments: object) -> T:
        started_at = perf_counter()
        result = call(*arguments)
        self._agent.next_wakeup()
        self._agent_seconds += perf_counter() - started_at
        return result


def measure_claims(
    entries: int, requests_per_second: float, outcome_seconds: float, seconds: float, seed: int
) -> ClaimCosts:
    """Measure claims made through several entries at random times.

    Outcomes are written at the latest after `outcome_seconds`; `seconds` is virtual time.
    """
    time = VirtualTime()
    store = StandinTableStore(time, None, TableData(), StoreLimits(latency=STORE_LATENCY_SECONDS))
    settings = ClaimSettings(outcome_seconds=outcome_seconds)
    answer = CallerAnswer(200, "text/plain", bytes(256), 256, "")
    claims: list[Claims] = []

    def on_claim_granted(number: int, request_id: str) -> None:
        record = RecordOutcome("firm", request_id, int(ResultCode.OK), answer)
        time.call_later(SERVICE_TIME_SECONDS, lambda: claims[number].record(record))

    for number in range(entries):

        def on_claim_answer(handle: str, outcome: object, number: int = number) -> None:
            on_claim_granted(number, handle)

        name = f"entry{number}/1"
        new_claims = Claims(
            name, store, time, on_claim_answer, lambda holder: True, time.now, settings
        )
        claims.append(new_claims)
    random = Random(seed)
    total = int(requests_per_second * seconds)
    for number in range(total):
        claims_of_entry = claims[random.randrange(entries)]
        write = WriteClaim(f"r{number}", "firm", f"r{number}", "0" * 64)
        time.call_at(
            random.uniform(0.0, seconds), lambda c=claims_of_entry, write=write: c.claim(write)
        )
    started_at = perf_counter()
    time.run_until(seconds + outcome_seconds + SERVICE_TIME_SECONDS + 1.0)
    elapsed_seconds = perf_counter() - started_at
    counters = [each.counters for each in claims]
    transactions = sum(each.transactions for each in counters)
    return ClaimCosts(
        entries,
        requests_per_second,
        outcome_seconds,
        transactions / total,
        sum(each.rows_written for each in counters) / total,
        sum(each.reads for each in counters) / total,
        transactions / seconds,
        elapsed_seconds / total * MICROSECONDS_PER_SECOND,
    )


def request_costs_report(requests: int = 50_000, seconds: float = 60.0, seed: int = 1) -> str:
    """Measure requests, memory and claims; return one JSON document per line."""
    lines: list[MachineCosts | ClaimCosts | MemoryCosts] = [StateMachineMeter().measure(requests)]
    lines.append(measure_memory())
    for entries, rate in ((4, 20.0), (40, 240.0), (380, 240.0)):
        for outcome_seconds in (0.5, 2.0, 5.0):
            lines.append(measure_claims(entries, rate, outcome_seconds, seconds, seed))
    return "\n".join(json.dumps(asdict(each)) for each in lines)
