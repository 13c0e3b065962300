"""Options, table output and exit statuses that all commands share."""

from collections.abc import Sequence
from typing import Annotated, Any

import typer
from result import Err, Result

from pumicedeck.results import Failure

UrlOption = Annotated[
    str, typer.Option("--url", envvar="PUMICEDECK_URL", help="The operators' address of a process.")
]
TokenOption = Annotated[
    str, typer.Option("--token", envvar="PUMICEDECK_TOKEN", help="The operator's token.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]


def exit_on_failure(outcome: Result[Any, Failure]) -> None:
    """Do nothing for a success; for a failure, print its number and exit with its exit status."""
    if not isinstance(outcome, Err):
        return
    failure = outcome.err_value
    typer.echo(f"{int(failure.code)} {failure.code.name}: {failure.detail}", err=True)
    raise typer.Exit(failure.code.info.exit_status)


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as a table with aligned columns, the column names first."""
    cells = [list(columns), *([_format_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        typer.echo(line.rstrip())


def _format_cell(value: Any) -> str:
    return f"{value:.4f}" if isinstance(value, float) else str(value)
