"""Benchmarks calls over loopback: latency, rate, and the CPU time and memory of daemons."""

import time
from dataclasses import dataclass

import httpx
from hdrh.histogram import HdrHistogram

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpClientSettings, HttpRequest
from pumicedeck.processes import Process
from pumicedeck.topology import Address

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3
WARM_UP_SECONDS = 1.0
MAX_CONNECTIONS = 512


@dataclass(frozen=True, slots=True)
class PathTarget:
    """The address, path and headers of the calls."""

    address: Address
    path: str
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class PathFigures:
    """Results of one load; latencies in seconds, `rate` in requests per second."""

    callers: int
    requests: int
    failed: int
    rate: float
    p50: float
    p99: float


class ClosedLoop:
    """Callers with one request in flight each, in a closed loop or at a fixed total rate."""

    def __init__(self, target: PathTarget, callers: int, rate: float = 0.0) -> None:
        """Call `target`; a `rate` above 0 is the requests per second of all callers together."""
        self._target = target
        self._callers = callers
        self._request_interval_seconds = callers / rate if rate else 0.0
        self._process = Process()
        settings = HttpClientSettings(connections_per_address=MAX_CONNECTIONS)
        self._client = HttpClient(self._process.timers, settings).register(self._process)
        self._histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
        self._failed = 0
        self._recording = False

    def run(self, seconds: float) -> PathFigures:
        """Warm up, record for `seconds` and return the results."""
        timers = self._process.timers
        for number in range(self._callers):
            delay = self._request_interval_seconds * number / self._callers
            timers.call_later(delay, self._send_request)
        timers.call_later(WARM_UP_SECONDS, self._start_recording)
        timers.call_later(WARM_UP_SECONDS + seconds, self._process.stop)
        self._process.run()
        count = self._histogram.get_total_count()
        return PathFigures(
            self._callers,
            count,
            self._failed,
            count / seconds,
            self._latency_seconds(50),
            self._latency_seconds(99),
        )

    def _latency_seconds(self, percentile: float) -> float:
        return self._histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND

    def _start_recording(self) -> None:
        self._recording = True

    def _send_request(self) -> None:
        started_at = self._process.timers.now()
        request = HttpRequest(
            "POST", self._target.address, self._target.path, self._target.headers, b'{"rig": 1}'
        )
        self._client.send(request, lambda outcome: self._on_answer(started_at, outcome))

    def _on_answer(self, started_at: float, outcome) -> None:
        now = self._process.timers.now()
        if self._recording:
            succeeded = outcome.is_ok() and outcome.ok_value.status == 200
            self._failed += not succeeded
            self._histogram.record_value(
                max(1, round((now - started_at) * MICROSECONDS_PER_SECOND))
            )
        self._process.timers.call_later(
            max(0.0, started_at + self._request_interval_seconds - now), self._send_request
        )


@dataclass(frozen=True, slots=True)
class ProcessUse:
    """CPU time and resident memory that a daemon reports; `at` is the time of the query."""

    cpu_seconds: float
    resident_bytes: int
    at: float


def read_use(url: str) -> ProcessUse:
    """Query the CPU time and memory of a daemon at the URL of its operators' address."""
    document = httpx.get(f"{url}/v1/status", timeout=5.0).json()["process"]
    return ProcessUse(document["cpu_seconds"], document["resident_bytes"], time.monotonic())
