"""Benchmarks the HTTP client and server over loopback in one process, with and without the guard.

Run as `python -m pumicedeck.http_experiments [requests]`.
"""

import sys
import time
from dataclasses import dataclass

from circuits import BaseComponent
from circuits.core.events import started
from result import Result

from pumicedeck.http_clients import HttpClient
from pumicedeck.http_guards import HttpGuard
from pumicedeck.http_messages import HttpClientSettings, HttpRequest, HttpResponse
from pumicedeck.http_servers import HttpExchange, HttpServer
from pumicedeck.loops import LoopTimers
from pumicedeck.pollers import ManySocketsPoller
from pumicedeck.results import Failure
from pumicedeck.topology import Address

_DEFAULT_REQUESTS = 1000
_CONCURRENCIES = (1, 32, 256)
_ROUNDS = 5
_TICK_SECONDS = 0.05
_WARM_UP_REQUESTS = 300
_BODY = b'{"rig": "line array"}'


@dataclass(frozen=True, slots=True)
class HttpMeasurement:
    """Results of one run; `p50`, `p99` and `processor` (CPU time per request) in milliseconds."""

    guarded: bool
    concurrency: int
    requests_per_second: float
    p50: float
    p99: float
    processor: float


class _Experiment:
    """Keeps `concurrency` requests in flight until the requested number is answered."""

    def __init__(self, guarded: bool, concurrency: int) -> None:
        self._guarded = guarded
        self._concurrency = concurrency
        self._root = BaseComponent()
        ManySocketsPoller().register(self._root)
        timers = LoopTimers().register(self._root).timers
        settings = HttpClientSettings(connections_per_address=concurrency)
        self._client = HttpClient(timers, settings).register(self._root)
        guard = (lambda channel: HttpGuard(channel, timers)) if guarded else None
        self._server = HttpServer(Address("127.0.0.1", 0), "experiment", _echo, guard)
        self._server.register(self._root)
        self._unsent = 0
        self._latencies: list[float] = []

    def run(self, requests: int) -> HttpMeasurement:
        self._root._running = True
        self._root.fire(started(self._root))
        self._root.tick(0)
        self._run_requests(_WARM_UP_REQUESTS)
        self._latencies = []
        started_at, processor = time.perf_counter(), time.process_time()
        self._run_requests(requests)
        seconds = time.perf_counter() - started_at
        processor = time.process_time() - processor
        self._client.close()
        ordered = sorted(self._latencies)
        return HttpMeasurement(
            guarded=self._guarded,
            concurrency=self._concurrency,
            requests_per_second=requests / seconds,
            p50=1000 * ordered[len(ordered) // 2],
            p99=1000 * ordered[len(ordered) * 99 // 100],
            processor=1000 * processor / requests,
        )

    def _run_requests(self, requests: int) -> None:
        self._unsent = requests
        target_count = len(self._latencies) + requests
        for _ in range(min(self._concurrency, requests)):
            self._send_request()
        while len(self._latencies) < target_count:
            self._root.tick(_TICK_SECONDS)

    def _send_request(self) -> None:
        self._unsent -= 1
        sent_at = time.perf_counter()

        def on_response(outcome: Result[HttpResponse, Failure]) -> None:
            outcome.unwrap()
            self._latencies.append(time.perf_counter() - sent_at)
            if self._unsent > 0:
                self._send_request()

        self._client.send(HttpRequest("POST", self._server.address, "/a", body=_BODY), on_response)


def _echo(exchange: HttpExchange) -> None:
    exchange.answer(200, "application/json", exchange.body)


def main() -> None:
    """Run interleaved rounds and print the one with the median CPU time."""
    requests = int(sys.argv[1]) if len(sys.argv) > 1 else _DEFAULT_REQUESTS
    print("guard  in flight  requests/s   p50 ms   p99 ms  processor ms/request")
    for concurrency in _CONCURRENCIES:
        rounds = [
            [_Experiment(guarded, concurrency).run(requests) for guarded in (False, True)]
            for _ in range(_ROUNDS)
        ]
        for runs in zip(*rounds, strict=True):
            row = sorted(runs, key=lambda run: run.processor)[_ROUNDS // 2]
            print(
                f"{'on' if row.guarded else 'off':>5} {row.concurrency:>10}"
                f" {row.requests_per_second:>11.0f} {row.p50:>8.2f} {row.p99:>8.2f}"
                f" {row.processor:>21.3f}"
            )


if __name__ == "__main__":
    main()
