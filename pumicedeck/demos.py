"""Runs the demo, two firms on stand-ins in one process; prints figures and broken guarantees."""

import time
from dataclasses import dataclass, replace
from random import Random

import typer
from loguru import logger

from pumicedeck.cli_outputs import print_table
from pumicedeck.composition import EventLoop
from pumicedeck.demo_callers import CallPlan, DemoCaller, DemoTrainer, TrainerPlan
from pumicedeck.demo_firms import (
    CATALOGUE,
    LISBOA_A,
    POOL_PLACEMENTS,
    QUINTELA,
    TAINAN,
    TN_A,
)
from pumicedeck.edits import make_edit, new_change_id
from pumicedeck.http_clients import HttpClient
from pumicedeck.platform_interfaces import WeightVersion
from pumicedeck.processes import Process
from pumicedeck.standin_fleets import StandinFleet
from pumicedeck.standin_services import StandinService
from pumicedeck.tokens import Principal
from pumicedeck.topology import Address

DESK_TOKEN = "desk-token"
PORTAL_TOKEN = "portal-token"
TOKENS = {
    DESK_TOKEN: Principal("desk", TAINAN),
    PORTAL_TOKEN: Principal("portal", QUINTELA),
    "operator-token": Principal("operator", "*"),
}
CALLS = (
    CallPlan("bookings", DESK_TOKEN, "/book", 20.0),
    CallPlan("stock-checks", DESK_TOKEN, "/stock", 20.0),
    CallPlan("previews", PORTAL_TOKEN, "/preview", 20.0),
    CallPlan("tax-checks", PORTAL_TOKEN, "/tax", 10.0),
)
TRAINERS = (
    TrainerPlan("rig-presets", DESK_TOKEN, "tuner-1", 8, 4, 200, 1.0),
    TrainerPlan("line-drafts", PORTAL_TOKEN, "redator-1", 8, 4, 100, 1.0),
)
MODELS = ("tuner", "redator")
WEIGHT_BYTES = 20_000_000
MAX_ANSWER_WAIT_SECONDS = 10.0
PUBLICATIONS = 4
DRAIN_AT_FRACTION = 0.4
EDIT_AT_FRACTION = 0.6
EDITED_QUEUE_SECONDS = 45.0
SEED = 7


@dataclass(frozen=True, slots=True)
class Guarantee:
    """A guarantee of the service and how many times the run violated it."""

    text: str
    violations: int


class Demo:
    """The fleet of stand-ins, its load and the events during the run.

    The events are publications of weights, the drain of one agent and one catalogue edit.
    """

    def __init__(self, seconds: float) -> None:
        """Create the fleet and the load, which `run` applies for `seconds`."""
        self._seconds = seconds
        self._process = Process()
        self._timers = self._process.timers
        self._fleet = StandinFleet(EventLoop(self._process, self._timers), CATALOGUE, TOKENS)
        for placement in POOL_PLACEMENTS:
            self._fleet.add_pool(placement)
        self._entries = [self._fleet.add_entry(0, TN_A), self._fleet.add_entry(1, LISBOA_A)]
        self._client = HttpClient(self._timers).register(self._process)
        self._rng = Random(SEED)
        self._published_versions = dict.fromkeys(MODELS, 0)
        self._callers = [self._make_caller(plan) for plan in CALLS]
        self._trainers = [self._make_trainer(plan) for plan in TRAINERS]
        self._accepted_revision = 0
        self._drained_agent = self._fleet.agents[0]

    def run(self) -> int:
        """Run the demo and return its exit status."""
        self._timers.call_later(0.0, self._fleet.start)
        self._timers.call_later(0.0, self._publish)
        self._timers.call_later(0.5, self._start_load_when_ready)
        self._process.run()
        return self._print_report()

    def _random_entry_address(self) -> Address:
        return self._rng.choice(self._entries).callers.address

    def _make_caller(self, plan: CallPlan) -> DemoCaller:
        return DemoCaller(plan, self._client, self._random_entry_address, self._timers, self._rng)

    def _make_trainer(self, plan: TrainerPlan) -> DemoTrainer:
        entry = CATALOGUE.entry(plan.entry_name)
        return DemoTrainer(
            plan,
            self._client,
            self._random_entry_address,
            self._timers,
            lambda: self._published_versions[entry.model],
            entry.staleness_bound,
        )

    def _start_load_when_ready(self) -> None:
        ready = all(entry.daemon.is_ready for entry in self._entries)
        connected = all(entry.connections.open_count for entry in self._entries)
        if not (ready and connected):
            self._timers.call_later(0.5, self._start_load_when_ready)
            return
        typer.echo(f"{len(self._fleet.agents)} agents and {len(self._entries)} entries are up")
        for source in (*self._callers, *self._trainers):
            source.start()
        for number in range(1, PUBLICATIONS + 1):
            delay_seconds = self._seconds * number / (PUBLICATIONS + 1)
            self._timers.call_later(delay_seconds, self._publish_next)
        self._timers.call_later(self._seconds * DRAIN_AT_FRACTION, self._drain_agent)
        self._timers.call_later(self._seconds * EDIT_AT_FRACTION, self._start_edit)
        self._timers.call_later(self._seconds, self._stop_load)

    def _publish(self) -> None:
        for model, version in self._published_versions.items():
            weights = WeightVersion(model, version, WEIGHT_BYTES)
            self._fleet.weights.publish(weights, lambda _: None)

    def _publish_next(self) -> None:
        for model in MODELS:
            self._published_versions[model] += 1
        self._publish()
        typer.echo(f"published weight versions {self._published_versions}")

    def _drain_agent(self) -> None:
        typer.echo(f"{self._drained_agent.vm.name} is leaving")
        self._drained_agent.wired_daemon.drain()

    def _start_edit(self) -> None:
        editor = self._entries[0].editor
        editor.read(lambda read: self._submit_edit(read.unwrap()))

    def _submit_edit(self, stored) -> None:
        entry = stored.catalogue.entry("stock-checks")
        entry = replace(entry, limits=replace(entry.limits, queue_seconds=EDITED_QUEUE_SECONDS))
        change_id = new_change_id(stored.revision, "demoedit1")
        edit = make_edit(stored, change_id, "demo", "during the demo", (entry,))
        self._entries[0].editor.submit(edit, self._on_edit_accepted)

    def _on_edit_accepted(self, outcome) -> None:
        self._accepted_revision = outcome.unwrap().revision
        typer.echo(f"catalogue edit accepted at revision {self._accepted_revision}")

    def _stop_load(self) -> None:
        for source in (*self._callers, *self._trainers):
            source.stop()
        self._timers.call_later(0.0, lambda: self._wait_for_answers(MAX_ANSWER_WAIT_SECONDS))

    def _wait_for_answers(self, seconds: float) -> None:
        if seconds > 0.0 and any(caller.open_calls for caller in self._callers):
            self._timers.call_later(0.5, lambda: self._wait_for_answers(seconds - 0.5))
            return
        self._fleet.close()
        self._process.finish()

    def _print_report(self) -> int:
        self._print_calls()
        self._print_steps()
        self._print_histograms()
        guarantees = self._check_guarantees()
        print_table(
            ("promise", "violations"),
            [[guarantee.text, guarantee.violations] for guarantee in guarantees],
        )
        return int(any(guarantee.violations for guarantee in guarantees))

    def _print_calls(self) -> None:
        rows = []
        for caller in self._callers:
            counts = caller.counts
            rows.append(
                [caller.name, counts.sent, counts.answered, counts.refused_not_run, counts.other]
            )
        print_table(("calls of", "sent", "answered", "refused not run", "other"), rows)
        typer.echo()

    def _print_steps(self) -> None:
        rows = []
        for trainer in self._trainers:
            counts = trainer.counts
            idle = counts.idle_seconds / self._seconds
            rows.append([trainer.name, counts.steps, counts.drafts, idle, counts.failed_draws])
        print_table(("trainer", "steps", "drafts", "idle share", "broken draws"), rows)
        typer.echo()

    def _print_histograms(self) -> None:
        rows = []
        for number, entry in enumerate(self._entries):
            for summary in entry.histograms.summaries():
                series = summary.series
                rows.append(
                    [
                        number,
                        series.firm,
                        series.request_class,
                        series.measure,
                        summary.count,
                        summary.p50,
                        summary.p99,
                    ]
                )
        print_table(("entry", "firm", "class", "measure", "count", "p50", "p99"), rows)
        typer.echo()

    def _check_guarantees(self) -> tuple[Guarantee, ...]:
        return (
            Guarantee("a booking ran at most once", self._count_repeated_bookings()),
            Guarantee("what was refused as not run did not run", self._count_false_refusals()),
            Guarantee(
                "every caller got the answer to its own request",
                sum(caller.mismatched_answers for caller in self._callers),
            ),
            Guarantee(
                "every call was answered or refused as proven not run",
                sum(caller.counts.other + caller.open_calls for caller in self._callers),
            ),
            Guarantee(
                "each draft reached its trainer once",
                sum(trainer.counts.duplicates for trainer in self._trainers),
            ),
            Guarantee(
                "no draft was older than its bound",
                sum(trainer.counts.over_staleness_bound for trainer in self._trainers),
            ),
            Guarantee("the edit is in force in every process", self._count_outdated_processes()),
        )

    def _count_executions(self, request_id: str) -> int:
        services = [agent.endpoint for agent in self._fleet.agents]
        return sum(
            service.executions(request_id)
            for service in services
            if isinstance(service, StandinService)
        )

    def _count_repeated_bookings(self) -> int:
        bookings = next(caller for caller in self._callers if caller.name == "bookings")
        return sum(self._count_executions(request_id) > 1 for request_id in bookings.request_ids)

    def _count_false_refusals(self) -> int:
        reported = [
            request_id for caller in self._callers for request_id in caller.reported_not_run
        ]
        return sum(self._count_executions(request_id) > 0 for request_id in reported)

    def _count_outdated_processes(self) -> int:
        daemons = [agent.wired_daemon for agent in self._fleet.agents] + self._entries
        return sum(
            wired_daemon.daemon.revision < self._accepted_revision for wired_daemon in daemons
        )


def run_demo(seconds: float) -> int:
    """Run the demo with `seconds` of load; return 1 if a guarantee was violated, else 0."""
    logger.remove()
    started_at = time.monotonic()
    status = Demo(seconds).run()
    typer.echo(f"took {time.monotonic() - started_at:.0f} s")
    return status
