"""The `soak` command: runs drawn plans, replays a plan, or reduces a plan that fails."""

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from loguru import logger

from pumicedeck.results import Failure, ResultCode
from pumicedeck.soaks.plans import SoakPlan, decode_plan, draw_plan, reduced_plans

if TYPE_CHECKING:
    from pumicedeck.soaks.runs import Verdict

VIOLATION_EXIT_STATUS = 1
SERVICE_COUNT = 3
ENGINE_COUNT = 3


def soak(
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds, run one by one.")] = 1,
    seconds: Annotated[float, typer.Option(min=4.0, help="Seconds of load for each seed.")] = 20.0,
    processes: Annotated[int, typer.Option(min=2, max=200, help="Gateways.")] = 4,
    folder: Annotated[Path | None, typer.Option(help="Folder of plans and logs.")] = None,
    replay: Annotated[Path | None, typer.Option(help="A plan file to run instead.")] = None,
    shrink: Annotated[bool, typer.Option(help="Reduce each plan that fails.")] = False,
) -> None:
    """Run real gateways under external faults and check what callers and endpoints observe."""
    # Imported here, so that other commands do not load the gateway's modules.
    from pumicedeck.soaks.runs import SoakRun

    logger.remove()
    output_folder = folder or Path(tempfile.mkdtemp(prefix="pumicedeck-soak-"))
    if replay is not None:
        plans = [_read_plan(replay)]
    else:
        plans = [
            draw_plan(drawn_seed, seconds, processes, ENGINE_COUNT, SERVICE_COUNT)
            for drawn_seed in range(seed, seed + seeds)
        ]
    typer.echo(f"plans, logs and verdicts: {output_folder}")
    typer.echo(f"{'seed':>6} {'faults':>6} {'calls':>6} {'items':>6} {'settled':>8} violations")
    failed = 0
    for plan in plans:
        verdict = SoakRun(plan, output_folder / f"seed-{plan.seed}").run()
        if verdict.interrupted:
            typer.echo(f"{verdict.seed:>6} interrupted; not evaluated")
            raise typer.Abort
        _print_verdict(verdict)
        if verdict.violations:
            failed += 1
            if shrink:
                _shrink(
                    plan,
                    output_folder,
                    lambda reduced_plan, run_folder: SoakRun(reduced_plan, run_folder).run(),
                )
    raise typer.Exit(VIOLATION_EXIT_STATUS if failed else 0)


def _read_plan(path: Path) -> SoakPlan:
    try:
        return decode_plan(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, KeyError, TypeError) as error:
        failure = Failure(ResultCode.BAD_SETTINGS, f"{path}: not a soak plan: {error!r}")
        typer.echo(f"{int(failure.code)} {failure.code.name}: {failure.detail}", err=True)
        raise typer.Exit(failure.code.info.exit_status) from error


def _print_verdict(verdict: "Verdict") -> None:
    calls = sum(count for name, count in verdict.counts.items() if name.startswith("status"))
    typer.echo(
        f"{verdict.seed:>6} {verdict.faults:>6} {calls:>6} {verdict.counts.get('items', 0):>6} "
        f"{'yes' if verdict.settled else 'no':>8} {len(verdict.violations)}"
    )
    for violation in verdict.violations:
        typer.echo(f"       {violation.promise}: {violation.detail}")


def _shrink(plan: SoakPlan, folder: Path, run_plan: Callable[[SoakPlan, Path], "Verdict"]) -> None:
    """Remove faults while the plan still fails, then write the smallest plan and print its path."""
    attempts, smallest = 0, plan
    found = True
    while found:
        found = False
        for smaller in reduced_plans(smallest):
            attempts += 1
            run_folder = folder / f"seed-{plan.seed}-smaller-{attempts}"
            if run_plan(smaller, run_folder).violations:
                smallest, found = smaller, True
                break
    typer.echo(f"       smallest plan that failed: {len(smallest.faults)} of {len(plan.faults)}")
    path = folder / f"seed-{plan.seed}-smallest.json"
    path.write_text(smallest.encode(), encoding="utf-8")
    typer.echo(f"       {path}")
