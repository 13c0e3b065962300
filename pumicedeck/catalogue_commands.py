"""Command-line commands with which operators read and edit the catalogue."""

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
REVISION_COMMENT_PREFIX = "# revision: "

catalogue_app = typer.Typer(help="Read and edit the catalogue.", no_args_is_help=True)

FileArgument = Annotated[
    Path, typer.Argument(help="YAML file of entries and pools to create or replace.")
]
DeleteOption = Annotated[
    list[str], typer.Option("--delete", help="Delete a row: entry/NAME or pool/NAME.")
]


@contextmanager
def _open_client(url: str, token: str) -> Iterator[OperatorClient]:
    client = OperatorClient(url, token)
    try:
        yield client
    finally:
        client.close()


def _value_or_exit(outcome: Result[Any, Failure]) -> Any:
    exit_on_failure(outcome)
    return outcome.ok_value


@catalogue_app.command("get")
def get_catalogue(
    url: UrlOption = DEFAULT_URL, token: TokenOption = "", as_json: JsonOption = False
) -> None:
    """Print the catalogue with its revision, which `apply` uses to detect conflicting edits."""
    with _open_client(url, token) as client:
        document = _value_or_exit(client.get("/v1/catalogue"))
    if as_json:
        typer.echo(json.dumps(document, indent=2))
        return
    typer.echo(f"{REVISION_COMMENT_PREFIX}{document['revision']}")
    typer.echo(render_yaml(document["catalogue"]))


@catalogue_app.command("list")
def list_rows(url: UrlOption = DEFAULT_URL, token: TokenOption = "") -> None:
    """List the rows with their firms, request classes and revisions."""
    with _open_client(url, token) as client:
        document = _value_or_exit(client.get("/v1/catalogue"))
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
    """Show the most recent accepted changes with their diffs."""
    with _open_client(url, token) as client:
        document = _value_or_exit(client.get("/v1/catalogue/history"))
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
    """Check an edit against the stored catalogue and print its diff without applying it."""
    with _open_client(url, token) as client:
        edit = _value_or_exit(_read_edit(client, file, tuple(delete)))
        path = "/v1/catalogue/edits?dry_run=true"
        planned = _value_or_exit(client.post(path, edit_document(edit)))
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
    """Create or replace the entries and pools of a file; refused if a row changed since `get`."""
    with _open_client(url, token) as client:
        edit = _value_or_exit(_read_edit(client, file, tuple(delete)))
        accepted = _value_or_exit(client.submit(edit.change_id, edit_document(edit)))
    if as_json:
        typer.echo(json.dumps(accepted))
        return
    typer.echo(f"accepted at revision {accepted['revision']} ({accepted['change_id']})")


@catalogue_app.command("change")
def change(
    change_id: Annotated[str, typer.Argument(help="The change id that `apply` printed.")],
    url: UrlOption = DEFAULT_URL,
    token: TokenOption = "",
) -> None:
    """Query whether a change with unknown outcome was accepted; refuse it for good if not."""
    with _open_client(url, token) as client:
        accepted = _value_or_exit(client.get(f"/v1/catalogue/changes?id={change_id}"))
    typer.echo(f"accepted at revision {accepted['revision']}")


def _read_edit(
    client: OperatorClient, file: Path, deletes: tuple[str, ...]
) -> Result[Edit, Failure]:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(Failure(ResultCode.BAD_CATALOGUE, f"{file} cannot be read: {error}"))
    names_result = _parse_row_names(deletes)
    requested_result = parse_fragment(text)
    stored_result = client.get("/v1/catalogue")
    for result in (names_result, requested_result, stored_result):
        if isinstance(result, Err):
            return result
    return _build_edit(
        text, requested_result.ok_value, stored_result.ok_value, names_result.ok_value
    )


def _build_edit(
    text: str, requested: Catalogue, stored: dict[str, Any], deletes: tuple[RowName, ...]
) -> Result[Edit, Failure]:
    current_result = parse_catalogue(json.dumps(stored["catalogue"]), stored["revision"])
    if isinstance(current_result, Err):
        return current_result
    match = re.search(rf"^{REVISION_COMMENT_PREFIX}(\d+)", text, re.MULTILINE)
    read_revision = int(match[1]) if match else stored["revision"]
    rows = make_row_edits(
        requested, current_result.ok_value, stored["rows"], read_revision, deletes
    )
    if not rows:
        return Err(Failure(ResultCode.BAD_REQUEST, "the edit changes nothing"))
    return Ok(Edit(new_change_id(stored["revision"], uuid4().hex), "", "", rows))


def _parse_row_names(texts: tuple[str, ...]) -> Result[tuple[RowName, ...], Failure]:
    deleted_names = []
    for text in texts:
        kind, _, name = text.partition("/")
        if kind not in set(RowKind) or not name:
            return Err(Failure(ResultCode.BAD_REQUEST, f"{text}: expected entry/NAME or pool/NAME"))
        deleted_names.append(RowName(RowKind(kind), name))
    return Ok(tuple(deleted_names))
