"""The command line: runs daemons, experiments and the demo, and is a client for operators."""

import json
import os
import sys
from collections.abc import Iterator
from csv import writer as csv_writer
from math import inf
from pathlib import Path
from typing import Annotated, Any

import typer
from result import Err, Result

from pumicedeck.catalogue_commands import catalogue_app
from pumicedeck.cli_outputs import JsonOption, UrlOption, exit_on_failure, print_table
from pumicedeck.experiment_commands import experiment_app
from pumicedeck.operator_clients import OperatorClient
from pumicedeck.results import Failure, ResultCode, result_code_table
from pumicedeck.soaks.commands import soak

app = typer.Typer(
    help="A rollout service for reinforcement learning: daemons and the operators' client.",
    pretty_exceptions_enable=False,
    no_args_is_help=True,
)
app.add_typer(catalogue_app, name="catalogue")
app.add_typer(experiment_app, name="experiment")
app.command()(soak)

LogFilesArgument = Annotated[
    list[Path], typer.Argument(help="Log files of gateways, packed (.gz) or not, or folders.")
]
SinceOption = Annotated[float, typer.Option(help="First time `at` to read, in Unix seconds.")]
UntilOption = Annotated[float, typer.Option(help="Last time `at` to read, in Unix seconds.")]
SettingsArgument = Annotated[Path, typer.Argument(help="The settings file, in YAML.")]


@app.command()
def entry(settings: SettingsArgument) -> None:
    """Run an entry: serves HTTP to callers, trainers and operators."""
    from pumicedeck.daemon_commands import run_entry

    exit_on_failure(run_entry(settings))


@app.command()
def agent(settings: SettingsArgument) -> None:
    """Run the agent of one endpoint."""
    from pumicedeck.daemon_commands import run_agent

    exit_on_failure(run_agent(settings))


@app.command()
def gateway(settings: SettingsArgument) -> None:
    """Run a gateway between callers and trainers and the endpoints and the store."""
    from pumicedeck.gateway_compositions import run_gateway

    exit_on_failure(run_gateway(settings))


@app.command()
def standins(settings: SettingsArgument) -> None:
    """Run stand-ins for the platform's services and for endpoints, for trials on one machine."""
    from pumicedeck.daemon_commands import run_standin_servers

    exit_on_failure(run_standin_servers(settings))


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(help="How long to run the load, in seconds.")] = 20.0,
) -> None:
    """Run a load with stand-ins in one process and print how often each promise was violated."""
    from pumicedeck.demos import run_demo

    raise typer.Exit(run_demo(seconds))


@app.command("local-files")
def local_files(
    folder: Annotated[Path, typer.Argument(help="The folder to write the files into.")],
    agents: Annotated[
        list[str], typer.Option("--agents", help="POOL=COUNT, with a pool of the demo.")
    ] = ("booking-app=1", "tuner-gen=1", "redator=1", "balcao=1"),
    entries: Annotated[int, typer.Option(help="The number of entries.")] = 1,
    base_port: Annotated[int, typer.Option(help="The first of the 400 ports in use.")] = 18000,
    log_level: Annotated[str, typer.Option(help="DEBUG, INFO, WARNING or ERROR.")] = "INFO",
) -> None:
    """Write the settings files of a deployment with stand-ins on this machine."""
    from pumicedeck.local_files import write_local_files

    exit_on_failure(write_local_files(folder, tuple(agents), entries, base_port, log_level))


@app.command()
def status(url: UrlOption = "http://127.0.0.1:8081", as_json: JsonOption = False) -> None:
    """Show a process's state, its catalogue revision and the agents with an older revision."""
    document = _fetch(url, "/v1/status")
    if as_json:
        typer.echo(json.dumps(document, indent=2))
        return
    for key, value in document.items():
        typer.echo(f"{key}: {json.dumps(value)}")


@app.command()
def stats(url: UrlOption = "http://127.0.0.1:8081", as_json: JsonOption = False) -> None:
    """Show the histograms by firm, request class and measure."""
    document = _fetch(url, "/v1/histograms")
    if as_json:
        typer.echo(json.dumps(document, indent=2))
        return
    columns = ("firm", "request_class", "measure", "count", "mean", "p50", "p90", "p99", "highest")
    print_table(columns, [[series[name] for name in columns] for series in document["series"]])


@app.command()
def explain(
    identity: Annotated[str, typer.Argument(help="The id of a request, submission or item.")],
    files: LogFilesArgument,
    since: SinceOption = -inf,
    until: UntilOption = inf,
) -> None:
    """Show the log events that name an id, with the cause of its failure first."""
    from pumicedeck.explanations import explain as explain_identity

    explanation = explain_identity(identity, _read_logs(files, since, until))
    if explanation.cause is not None:
        typer.echo(f"cause: {explanation.cause.text()}")
    if explanation.account:
        typer.echo(f"account: {explanation.account}")
    for line in explanation.lines:
        typer.echo(line.text())
    if explanation.unreadable:
        noun = "line" if explanation.unreadable == 1 else "lines"
        typer.echo(f"{explanation.unreadable} {noun} could not be read")
    if not explanation.lines:
        exit_on_failure(Err(Failure(ResultCode.NOT_FOUND, f"no log event names the id {identity}")))


@app.command()
def timeline(
    files: LogFilesArgument,
    since: SinceOption = -inf,
    until: UntilOption = inf,
    csv: Annotated[bool, typer.Option("--csv", help="Print a row per submission as CSV.")] = False,
) -> None:
    """Show for each step what its last item waited for, from the logs of all gateways."""
    from pumicedeck.timeline_reports import COLUMNS, timeline_rows, timeline_text
    from pumicedeck.timelines import build_timeline

    built = build_timeline(_read_logs(files, since, until))
    if not built.submissions:
        exit_on_failure(Err(Failure(ResultCode.NOT_FOUND, "no log event accepts a submission")))
    if csv:
        writer = csv_writer(sys.stdout)
        writer.writerow(COLUMNS)
        writer.writerows(timeline_rows(built))
    else:
        for line in timeline_text(built):
            typer.echo(line)
    if built.unreadable:
        typer.echo(f"{built.unreadable} lines could not be read", err=True)


def _read_logs(paths: list[Path], since: float, until: float) -> Iterator[str]:
    """Return the lines of log files in a window; end the command if a file does not exist."""
    from pumicedeck.log_files import TimeWindow, read_lines

    missing = [path for path in paths if not path.exists()]
    if missing:
        exit_on_failure(Err(Failure(ResultCode.BAD_REQUEST, f"{missing[0]}: cannot be read")))
    return read_lines(paths, TimeWindow(since, until))


@app.command("result-codes")
def result_codes() -> None:
    """Print the table of result codes."""
    typer.echo(result_code_table())


def _fetch(url: str, path: str) -> Any:
    client = OperatorClient(url)
    answer: Result[Any, Failure] = client.get(path)
    client.close()
    if isinstance(answer, Err):
        exit_on_failure(answer)
    return answer.ok_value


def main() -> None:
    """Run the command line."""
    os.environ.setdefault("TERMINAL_WIDTH", "100")
    app()
