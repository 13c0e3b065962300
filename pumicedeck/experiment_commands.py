"""Commands that measure the decisions in process and under virtual time."""

from pathlib import Path
from typing import Annotated

import typer

from pumicedeck.cli_outputs import finish
from pumicedeck.experiments import run_experiment

experiment_app = typer.Typer(
    help="Measure the decision objects in process, in virtual time.", no_args_is_help=True
)

OutputOption = Annotated[
    Path | None, typer.Option("--output", help="Also write the page or plot to this file.")
]
SeedOption = Annotated[int, typer.Option(help="The seed of every random choice.")]


@experiment_app.command("run")
def run(
    file: Annotated[Path, typer.Argument(help="Policies, loads, faults and seeds, in YAML.")],
    plot: OutputOption = None,
) -> None:
    """Run an experiment file and print its table."""
    report = run_experiment(file)
    finish(report)
    typer.echo(report.ok_value.text())
    if plot is not None:
        plot.write_text(report.ok_value.svg(), encoding="utf-8")
