"""Operators' commands that read and edit the catalogue."""

import json
import re
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any
from uuid import uuid4

import typer
from result import Err, Ok, Result

from pumicedeck.catalogue_documents import parse_catalogue, parse_fragment, render_yaml
from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_rows import RowKind, RowName
from pumicedeck.cli_outputs import JsonOption, TokenOption, UrlOption, exit_on_failure, print_table
from pumicedeck.edit_documents import edit_document, make_row_edits
from pumicedeck.edits import Edit, new_change_id
from pumicedeck.operator_clients import OperatorClient
from pumicedeck.results import Failure, ResultCode

DEFAULT_URL = "http://127.0.0.1:8081"
REVISION_COMMENT = "# revision: "

catalogue_app = typer.Typer(help="Read and edit the catalogue.", no_args_is_help=True)

FileArgument = Annotated[Path, typer.Argument(help="Entries and pools to put, in YAML.")]
DeleteOption = Annotated[
    list[str], typer.Option("--delete", help="Delete a row: entry/NAME or pool/NAME.")
]


@contextmanager
def _client(url: str, token: str) -> Iterator[OperatorClient]:
    client = OperatorClient(url, token)
    try:
        yield client
    finally:
        client.close()


def _wanted(outcome: Result[Any, Failure]) -> Any:
    exit_on_failure(outcome)
    return outcome.ok_value


@catalogue_app.command("get")
def get_catalogue(
    url: UrlOption = DEFAULT_URL, token: TokenOption = "", as_json: JsonOption = False
) -> None:
    """Print the catalogue with the revision that an edit of it will be checked against."""
    with _client(url, token) as client:
        document = _wanted(client.get("/v1/catalogue"))
    if as_json:
        typer.echo(json.dumps(document, indent=2))
        return
    typer.echo(f"{REVISION_COMMENT}{document['revision']}")
    typer.echo(render_yaml(document["catalogue"]))


@catalogue_app.command("list")
def list_rows(url: UrlOption = DEFAULT_URL, token: TokenOption = "") -> None:
    """List the rows with their owners, classes and revisions."""
    with _client(url, token) as client:
        document = _wanted(client.get("/v1/catalogue"))
    entries = document["catalogue"].get("entries", {})
    rows = []
    for key, revision in sorted(document["rows"].items()):
        entry = entries.get(key.removeprefix("entry/"), {}) if key.startswith("entry/") else {}
        rows.append([key, entry.get("firm", ""), entry.get("request_class", ""), revision])
    print_table(("row", "firm", "class", "revision"), rows)


@catalogue_app.command("history")
def history(
    url: UrlOption = DEFAULT_URL, token: TokenOption = "", as_json: JsonOption = False
) -> None:
    """Show the last accepted changes."""
    with _client(url, token) as client:
        document = _wanted(client.get("/v1/catalogue/history"))
    if as_json:
        typer.echo(json.dumps(document, indent=2))
        return
    for change in document["changes"]:
        typer.echo(
            f"revision {change['revision']} by {change['operator']} at {change['time']}"
            f" ({change['change_id']})"
        )
        for line in change["diff"]:
            typer.echo(f"  {line}")


@catalogue_app.command("diff")
def diff(
    file: FileArgument,
    url: UrlOption = DEFAULT_URL,
    token: TokenOption = "",
    delete: DeleteOption = [],  # noqa: B006
) -> None:
    """Check an edit against the whole catalogue and show what it would change."""
    with _client(url, token) as client:
        edit = _wanted(_read_edit(client, file, tuple(delete)))
        path = "/v1/catalogue/edits?dry_run=true"
        planned = _wanted(client.post(path, edit_document(edit)))
    for line in planned["change"]["diff"]:
        typer.echo(line)


@catalogue_app.command("apply")
def apply(
    file: FileArgument,
    url: UrlOption = DEFAULT_URL,
    token: TokenOption = "",
    delete: DeleteOption = [],  # noqa: B006
    as_json: JsonOption = False,
) -> None:
    """Put the entries and pools of a file; a row that changed since `get` is refused."""
    with _client(url, token) as client:
        edit = _wanted(_read_edit(client, file, tuple(delete)))
        accepted = _wanted(client.submit(edit.change_id, edit_document(edit)))
    if as_json:
        typer.echo(json.dumps(accepted))
        return
    typer.echo(f"accepted at revision {accepted['revision']} ({accepted['change_id']})")


@catalogue_app.command("change")
def change(
    change_id: Annotated[str, typer.Argument(help="The id that `apply` printed.")],
    url: UrlOption = DEFAULT_URL,
    token: TokenOption = "",
) -> None:
    """Find out what became of a change whose outcome was unknown."""
    with _client(url, token) as client:
        accepted = _wanted(client.get(f"/v1/catalogue/changes?id={change_id}"))
    typer.echo(f"accepted at revision {accepted['revision']}")


def _read_edit(
    client: OperatorClient, file: Path, deletes: tuple[str, ...]
) -> Result[Edit, Failure]:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.BAD_CATALOGUE, f"{file}: {error}"))
    names = _row_names(deletes)
    wanted = parse_fragment(text)
    stored = client.get("/v1/catalogue")
    for outcome in (names, wanted, stored):
        if isinstance(outcome, Err):
            return outcome
    return _edit(text, wanted.ok_value, stored.ok_value, names.ok_value)


def _edit(
    text: str, wanted: Catalogue, stored: dict[str, Any], deletes: tuple[RowName, ...]
) -> Result[Edit, Failure]:
    current = parse_catalogue(json.dumps(stored["catalogue"]), stored["revision"])
    if isinstance(current, Err):
        return current
    match = re.search(rf"^{REVISION_COMMENT}(\d+)", text, re.MULTILINE)
    read_revision = int(match[1]) if match else stored["revision"]
    rows = make_row_edits(wanted, current.ok_value, stored["rows"], read_revision, deletes)
    if not rows:
        return Err(Failure(ResultCode.BAD_REQUEST, "the edit changes nothing"))
    return Ok(Edit(new_change_id(stored["revision"], uuid4().hex), "", "", rows))


def _row_names(texts: tuple[str, ...]) -> Result[tuple[RowName, ...], Failure]:
    names = []
    for text in texts:
        kind, _, name = text.partition("/")
        if kind not in set(RowKind) or not name:
            return Err(Failure(ResultCode.BAD_REQUEST, f"{text}: expected entry/NAME or pool/NAME"))
        names.append(RowName(RowKind(kind), name))
    return Ok(tuple(names))
