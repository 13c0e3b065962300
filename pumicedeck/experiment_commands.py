"""Command line of the measurements: experiments in virtual time, benchmarks and trials."""

import json
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger

from pumicedeck.capacity_slopes import measure_capacity
from pumicedeck.cli_outputs import exit_on_failure, print_table
from pumicedeck.draft_experiments import STEPS, draft_table, measure_drafts
from pumicedeck.draft_policies import SCENES
from pumicedeck.edit_experiments import run_edit_races
from pumicedeck.experiments import run_experiment
from pumicedeck.fault_matrices import write_matrix
from pumicedeck.path_benchmarks import ClosedLoop, PathTarget, ProcessUse, read_use
from pumicedeck.request_costs import request_costs_report
from pumicedeck.scale_deployments import DeploymentSize
from pumicedeck.scale_experiments import ScaleDurations, render_scale, run_scale
from pumicedeck.scale_memories import membership_memory
from pumicedeck.swap_experiments import SwapScene, lowest_rate, measure_swaps, swap_table
from pumicedeck.topology import Address
from pumicedeck.trials import Trial, TrialPlan

OPERATOR_URLS = ("http://127.0.0.1:18081", "http://127.0.0.1:19201")
CALLERS = (1, 32, 256)
SCALE_SIZES = ("95x150", "190x300", "285x450", "380x600")

experiment_app = typer.Typer(
    help="Measure scheduling and request handling, mostly in virtual time.", no_args_is_help=True
)


@experiment_app.callback()
def silence_logs() -> None:
    """Measure scheduling and request handling, mostly in virtual time."""
    logger.remove()


OutputOption = Annotated[
    Path | None, typer.Option("--output", help="Also write the page or plot to this file.")
]
SeedOption = Annotated[int, typer.Option(help="Seed of all random choices.")]


@experiment_app.command("run")
def run(
    file: Annotated[Path, typer.Argument(help="Policies, loads, faults and seeds, in YAML.")],
    plot: OutputOption = None,
) -> None:
    """Run an experiment file and print the table of its results."""
    report = run_experiment(file)
    exit_on_failure(report)
    typer.echo(report.ok_value.text())
    if plot is not None:
        plot.write_text(report.ok_value.svg(), encoding="utf-8")


def _address(text: str) -> Address:
    host, _, port = text.partition(":")
    return Address(host, int(port))


@experiment_app.command("path")
def path(
    entry: Annotated[str, typer.Option(help="The callers' address.")] = "127.0.0.1:18080",
    direct: Annotated[str, typer.Option(help="The endpoint's address.")] = "127.0.0.1:19301",
    operators: Annotated[
        list[str],
        typer.Option(help="Operators' addresses of the daemons whose CPU time is counted."),
    ] = OPERATOR_URLS,
    name: Annotated[str, typer.Option(help="The catalogue entry called.")] = "stock-checks",
    token: Annotated[str, typer.Option(help="The caller's token.")] = "desk-token",
    callers: Annotated[list[int], typer.Option(help="Numbers of callers.")] = CALLERS,
    rate: Annotated[
        float, typer.Option(help="Requests per second of all callers; 0 for a closed loop.")
    ] = 0.0,
    seconds: Annotated[float, typer.Option(help="Seconds for which each load is recorded.")] = 5.0,
) -> None:
    """Compare calls through running daemons with direct calls of the endpoint."""
    daemon_target = PathTarget(
        _address(entry),
        f"/v1/entries/{name}/call/stock",
        (("Authorization", f"Bearer {token}"),),
    )
    direct_target = PathTarget(_address(direct), "/stock", (("X-Request-Id", "direct"),))
    rows = []
    for label, target in (("direct", direct_target), ("through", daemon_target)):
        for number in callers:
            before = [read_use(url) for url in operators]
            figures = ClosedLoop(target, number, rate).run(seconds)
            after = [read_use(url) for url in operators]
            rows.append(
                [
                    label,
                    number,
                    round(figures.rate),
                    figures.failed,
                    figures.p50 * 1000.0,
                    figures.p99 * 1000.0,
                    *_cpu_milliseconds_per_request(before, after, figures.requests),
                ]
            )
    columns = ("call", "callers", "requests/s", "failed", "p50 ms", "p99 ms")
    used = [f"cpu ms/request {index}" for index in range(len(operators))]
    print_table((*columns, *used), rows)


def _cpu_milliseconds_per_request(
    before: list[ProcessUse], after: list[ProcessUse], requests: int
) -> list[float]:
    pairs = zip(before, after, strict=True)
    return [
        1000.0 * (last.cpu_seconds - first.cpu_seconds) / max(1, requests) for first, last in pairs
    ]


@experiment_app.command("trial")
def trial(
    entries: Annotated[
        list[str], typer.Option("--entry", help="Callers' addresses of the entries.")
    ],
    control: Annotated[str, typer.Option(help="The stand-ins' control address, as a URL.")],
    weight_store: Annotated[str, typer.Option(help="The weight store's address.")],
    services: Annotated[
        list[str], typer.Option("--service", help="Stand-in services whose ledgers are compared.")
    ],
    seconds: Annotated[float, typer.Option(help="Duration of the load in seconds.")] = 300.0,
    seed: SeedOption = 1,
) -> None:
    """Run a mixed load on running daemons and check it against the ledgers of the stand-ins."""
    plan = TrialPlan(
        tuple(_address(each) for each in entries),
        control,
        _address(weight_store),
        tuple(services),
        seconds,
        seed,
    )
    report = Trial(plan).run()
    typer.echo(json.dumps(asdict(report), indent=2))
    raise typer.Exit(int(any(report.violations.values())))


@experiment_app.command("matrix")
def matrix(
    output: Annotated[Path, typer.Option("--output", help="The page to write.")] = Path(
        "docs/FAULT-MATRIX.md"
    ),
    seed: SeedOption = 1,
    pairs: Annotated[int, typer.Option(help="Number of fault pairs in the seeded sample.")] = 3000,
) -> None:
    """Inject every fault at every step, then sampled pairs, and write the page of results."""
    violations = write_matrix(output, seed, pairs)
    typer.echo(f"{violations} violations, written to {output}")
    raise typer.Exit(int(violations > 0))


@experiment_app.command("request-costs")
def request_costs(
    requests: Annotated[
        int, typer.Option(help="Requests through the state machines of entry and agent.")
    ] = 50_000,
    seconds: Annotated[
        float, typer.Option(help="Virtual seconds during which requests are claimed.")
    ] = 60.0,
    seed: SeedOption = 1,
) -> None:
    """Measure the CPU time, store calls and memory that requests need."""
    typer.echo(request_costs_report(requests, seconds, seed))


@experiment_app.command("scale")
def scale(
    size: Annotated[
        list[str],
        typer.Option(help="Numbers of entries and agents, such as 380x600; may be repeated."),
    ] = SCALE_SIZES,
    seed: SeedOption = 1,
    hour: Annotated[
        float, typer.Option(help="Seconds of the store outage and of the region split.")
    ] = 3600.0,
) -> None:
    """Measure in virtual time how catalogue changes propagate and print a table."""
    sizes = tuple(DeploymentSize(*map(int, each.split("x"))) for each in size)
    durations = ScaleDurations(outage=hour, split=hour)
    for each in sizes:
        typer.echo(render_scale(run_scale((each,), seed, durations)))
        typer.echo(f"memory of an entry's membership: {membership_memory(each)} bytes")


@experiment_app.command("races")
def races(
    schedules: Annotated[int, typer.Option(help="How many seeded schedules.")] = 3000,
    seed: SeedOption = 1,
) -> None:
    """Run concurrent catalogue edits of 8 clients over a store that loses replies."""
    typer.echo(str(run_edit_races(schedules, seed)))


@experiment_app.command("drafts")
def drafts(
    scene: Annotated[str, typer.Option(help=f"One of: {', '.join(SCENES)}.")] = "undisturbed",
    seeds: Annotated[int, typer.Option(min=1, help="How many seeds.")] = 10,
    steps: Annotated[int, typer.Option(min=2, help="Number of training steps.")] = STEPS,
) -> None:
    """Measure trainer idle time and staleness of each policy."""
    if scene not in SCENES:
        raise typer.BadParameter(f"one of {', '.join(SCENES)}", param_hint="--scene")
    workloads, policies = SCENES[scene]
    typer.echo(draft_table(measure_drafts(seeds, steps, workloads, policies)))


@experiment_app.command("swaps")
def swaps(
    samplers: Annotated[int, typer.Option(min=1, help="How many samplers.")] = 600,
    size: Annotated[int, typer.Option(help="Size of the weights in bytes.")] = 10**9,
    rate: Annotated[
        float, typer.Option(help="Rate of the weight store in bytes per second.")
    ] = 60e9,
    seeds: Annotated[int, typer.Option(min=1, help="How many seeds.")] = 3,
    lowest: Annotated[
        bool, typer.Option(help="Also search for the lowest rate that meets the target.")
    ] = False,
) -> None:
    """Measure how long it takes until all samplers use newly published weights."""
    scene = SwapScene(samplers=samplers, size=size, rate=rate)
    typer.echo(swap_table(scene, measure_swaps(scene, seeds)))
    if lowest:
        typer.echo(f"lowest rate found: {lowest_rate(scene):.3g} bytes/s")


@experiment_app.command("capacity")
def capacity() -> None:
    """Measure the slopes of CPU time, memory and messages that docs/CAPACITY.md uses."""
    for slope in measure_capacity():
        typer.echo(slope.text())
