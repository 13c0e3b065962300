"""Runs a mixed load on running daemons and checks it against what the stand-ins executed."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

import httpx

from pumicedeck.demo_callers import DemoTrainer, TrainerPlan
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpClientSettings, HttpRequest
from pumicedeck.processes import Process
from pumicedeck.topology import Address
from pumicedeck.trial_callers import StreamCaller, TrialCaller, TrialRequest, TryOutcome

PUBLISH_INTERVAL_SECONDS = 20.0
WEIGHT_BYTES = 20_000_000
MAX_SETTLE_SECONDS = 40.0
LEDGER_PAGE = 1000
CONNECT_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class TrialPlan:
    """Addresses of daemons and stand-ins, `seconds` of load, and requests per second by kind."""

    entries: tuple[Address, ...]
    control: str
    weight_store: Address
    services: tuple[str, ...]
    seconds: float
    seed: int
    bookings: float = 10.0
    stock_checks: float = 10.0
    streams: float = 3.0


@dataclass(frozen=True, slots=True)
class TrialReport:
    """Counts of requests, executions, reported outcomes and violations of promises."""

    requests: int
    executions: int
    tries: int
    told: dict[str, int]
    codes: dict[int, int]
    streams: int
    streams_whole: int
    streams_failed: int
    drafts: int
    steps: int
    broken_draws: int
    unanswered: int
    violations: dict[str, int]


class Trial:
    """Runs the load and compares the answers with the ledgers of the stand-ins."""

    def __init__(self, plan: TrialPlan) -> None:
        """Create the callers of a plan."""
        self._plan = plan
        self._process = Process()
        self._rng = Random(plan.seed)
        settings = HttpClientSettings(connect_seconds=CONNECT_TIMEOUT_SECONDS)
        timers = self._process.timers
        self._client = HttpClient(timers, settings).register(self._process)
        self._versions = {"tuner": 0}
        self._bookings = self._create_caller("bookings", plan.bookings)
        self._checks = self._create_caller("stock-checks", plan.stock_checks)
        self._streams = StreamCaller(
            "rig-presets",
            "desk-token",
            plan.streams,
            self._client,
            self._random_entry_address,
            timers,
            self._rng,
        )
        self._trainer = DemoTrainer(
            TrainerPlan("rig-presets", "desk-token", "tuner-1", 6, 4, 150, 1.0),
            self._client,
            self._random_entry_address,
            timers,
            lambda: self._versions["tuner"],
            1,
        )

    def run(self) -> TrialReport:
        """Run the load, wait up to 40 s for the last answers and return the report."""
        timers = self._process.timers
        timers.call_later(0.0, self._publish_weights)
        for each in (self._bookings, self._checks, self._streams, self._trainer):
            timers.call_later(1.0, each.start)
        timers.call_later(self._plan.seconds, self._stop_load)
        self._process.run()
        return self._build_report()

    def _create_caller(self, name: str, rate: float) -> TrialCaller:
        return TrialCaller(
            name,
            "desk-token",
            rate,
            self._client,
            self._plan.entries,
            self._process.timers,
            self._rng,
        )

    def _random_entry_address(self) -> Address:
        return self._rng.choice(self._plan.entries)

    def _publish_weights(self) -> None:
        self._versions["tuner"] += 1
        body = (
            f'[{{"model": "tuner", "version": {self._versions["tuner"]}, "size": {WEIGHT_BYTES}}}]'
        )
        request = HttpRequest(
            "POST", self._plan.weight_store, "/v1/weights/publish", (), body.encode()
        )
        self._client.send(request, lambda _: None)
        self._process.timers.call_later(PUBLISH_INTERVAL_SECONDS, self._publish_weights)

    def _stop_load(self) -> None:
        for each in (self._bookings, self._checks, self._streams, self._trainer):
            each.stop()
        self._wait_for_answers(MAX_SETTLE_SECONDS)

    def _wait_for_answers(self, seconds: float) -> None:
        waiting = self._bookings.open_count + self._checks.open_count + self._streams.open_count
        if waiting and seconds > 0.0:
            self._process.timers.call_later(1.0, lambda: self._wait_for_answers(seconds - 1.0))
        else:
            self._process.finish()

    def _build_report(self) -> TrialReport:
        executions = Counter(self._executed_request_ids())
        requests = self._bookings.requests + self._checks.requests
        streams = self._streams.counts
        trainer = self._trainer.counts
        return TrialReport(
            requests=len(requests),
            executions=executions.total(),
            tries=sum(len(each.outcomes) for each in requests),
            told=dict(Counter(str(outcome) for each in requests for outcome in each.outcomes)),
            codes=dict(Counter(code for each in requests for code in each.codes)),
            streams=streams.sent,
            streams_whole=streams.complete,
            streams_failed=streams.failed,
            drafts=trainer.drafts,
            steps=trainer.steps,
            broken_draws=trainer.failed_draws,
            unanswered=sum(not each.final for each in requests) + self._streams.open_count,
            violations={
                "bookings run twice": _count_repeated(self._bookings.requests, executions),
                "false not run": _count_executed_refusals(requests, executions),
                "answered without a run": _count_unexecuted_answers(requests, executions),
                "answer not whole or not the own": sum(each.wrong_answer for each in requests),
                "stream truncated at a clean end": streams.truncated,
                "stream of another request": streams.mismatched_answers,
                "draft doubled": trainer.duplicates,
                "draft over its bound": trainer.over_staleness_bound,
            },
        )

    def _executed_request_ids(self) -> Iterator[str]:
        for name in self._plan.services:
            after = 0
            while page := self._read_ledger(name, after):
                yield from (each["call"]["request_id"] for each in page)
                after += len(page)

    def _read_ledger(self, name: str, after: int) -> list[dict]:
        url = f"{self._plan.control}/ledger/{name}?after={after}"
        return httpx.get(url, timeout=10.0).json()[0]


def _count_repeated(requests: list[TrialRequest], executions: Counter[str]) -> int:
    return sum(executions[each.request_id] > 1 for each in requests)


def _count_executed_refusals(requests: list[TrialRequest], executions: Counter[str]) -> int:
    return sum(each.is_reported_not_run and executions[each.request_id] > 0 for each in requests)


def _count_unexecuted_answers(requests: list[TrialRequest], executions: Counter[str]) -> int:
    return sum(
        TryOutcome.ANSWERED in each.outcomes and not executions[each.request_id]
        for each in requests
    )
