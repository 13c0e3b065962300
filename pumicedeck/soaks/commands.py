"""The command that soaks gateways: one seed or several, a plan again, or its smallest part."""

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

VIOLATED_STATUS = 1
SERVICES = 3
ENGINES = 3


def soak(
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, help="How many seeds, one after the other.")] = 1,
    seconds: Annotated[float, typer.Option(min=4.0, help="Load of each seed, in seconds.")] = 20.0,
    processes: Annotated[int, typer.Option(min=2, max=200, help="Gateways.")] = 4,
    folder: Annotated[Path | None, typer.Option(help="Where plans and logs are kept.")] = None,
    replay: Annotated[Path | None, typer.Option(help="A plan to play instead.")] = None,
    shrink: Annotated[bool, typer.Option(help="Look for a smaller plan that fails.")] = False,
) -> None:
    """Run real gateways under faults from outside and check what callers and endpoints see."""
    # The other commands would wait for the gateway's imports.
    from pumicedeck.soaks.runs import SoakRun

    logger.remove()
    kept = folder or Path(tempfile.mkdtemp(prefix="pumicedeck-soak-"))
    if replay is not None:
        plans = [_read_plan(replay)]
    else:
        plans = [
            draw_plan(each, seconds, processes, ENGINES, SERVICES)
            for each in range(seed, seed + seeds)
        ]
    typer.echo(f"plans, logs and verdicts: {kept}")
    typer.echo(f"{'seed':>6} {'faults':>6} {'calls':>6} {'items':>6} {'settled':>8} violations")
    failed = 0
    for plan in plans:
        verdict = SoakRun(plan, kept / f"seed-{plan.seed}").run()
        if verdict.interrupted:
            typer.echo(f"{verdict.seed:>6} interrupted; not judged")
            raise typer.Abort
        _print(verdict)
        if verdict.violations:
            failed += 1
            if shrink:
                _shrink(plan, kept, lambda each, place: SoakRun(each, place).run())
    raise typer.Exit(VIOLATED_STATUS if failed else 0)


def _read_plan(path: Path) -> SoakPlan:
    try:
        return decode_plan(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, KeyError, TypeError) as error:
        failure = Failure(ResultCode.BAD_SETTINGS, f"{path}: no plan of a soak: {error!r}")
        typer.echo(f"{int(failure.code)} {failure.code.name}: {failure.detail}", err=True)
        raise typer.Exit(failure.code.info.exit_status) from error


def _print(verdict: "Verdict") -> None:
    calls = sum(count for name, count in verdict.counts.items() if name.startswith("status"))
    typer.echo(
        f"{verdict.seed:>6} {verdict.faults:>6} {calls:>6} {verdict.counts.get('items', 0):>6} "
        f"{'yes' if verdict.settled else 'no':>8} {len(verdict.violations)}"
    )
    for violation in verdict.violations:
        typer.echo(f"       {violation.promise}: {violation.detail}")


def _shrink(plan: SoakPlan, folder: Path, play: Callable[[SoakPlan, Path], "Verdict"]) -> None:
    """Leave faults out as long as the rest still fails, and name the plan that is left."""
    attempt, smallest = 0, plan
    found = True
    while found:
        found = False
        for smaller in reduced_plans(smallest):
            attempt += 1
            place = folder / f"seed-{plan.seed}-smaller-{attempt}"
            if play(smaller, place).violations:
                smallest, found = smaller, True
                break
    typer.echo(f"       smallest plan that failed: {len(smallest.faults)} of {len(plan.faults)}")
    path = folder / f"seed-{plan.seed}-smallest.json"
    path.write_text(smallest.encode(), encoding="utf-8")
    typer.echo(f"       {path}")
