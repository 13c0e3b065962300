"""Finding the events and the cause of a failure for an id in logs."""

import gzip
import json

from typer.testing import CliRunner

from pumicedeck.cli import app
from pumicedeck.explanations import explain
from pumicedeck.log_files import TimeWindow

LINES = [
    '{"at": 2.0, "vm": "f2", "level": "INFO", "module": "m", "event": "run ended early", '
    '"submission": "s1", "item": "i1", "engine": "e1", "end": "broken"}',
    '  1.0 f1 {"at": 1.0, "vm": "f1", "event": "item started", "submission": "s1", "item": "i1"}',
    '{"at": 1.5, "vm": "f1", "event": "item started", "submission": "s1", "item": "i10"}',
    '{"at": 3.0, "vm": "f2", "event": "item given up", "item": "i1", "reason": "no score"}',
    '{"at": 3.0, "vm": "f2", "event": "item giv',
    "built in 0.1 s",
]


def test_the_events_of_an_id_are_in_order_of_time_with_the_cause():
    explanation = explain("i1", LINES)
    assert [line.event for line in explanation.lines] == [
        "item started",
        "run ended early",
        "item given up",
    ]
    assert explanation.cause.fields["reason"] == "no score"
    assert explanation.unreadable == 1


def test_an_id_that_no_event_names_has_no_cause():
    explanation = explain("zz", LINES)
    assert explanation.cause is None and explanation.lines == ()


def test_the_command_reads_several_files(tmp_path):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(LINES[:2]))
    second.write_text("\n".join(LINES[2:]))
    result = CliRunner().invoke(app, ["explain", "i1", str(first), str(second)])
    assert result.exit_code == 0
    assert result.output.startswith("cause: 3.000 f2 item given up")
    assert "1 line could not be read" in result.output
    missing = CliRunner().invoke(app, ["explain", "i1", str(tmp_path / "none.log")])
    assert missing.exit_code != 0
    unknown = CliRunner().invoke(app, ["explain", "zz", str(first)])
    assert unknown.exit_code != 0


def write_logs(folder, count=3):
    """Write a file for each process, every second one packed; each names one request."""
    folder.mkdir()
    for number in range(count):
        event = {"at": 100.0 + number, "vm": f"v{number}", "event": "refused", "request": "r7"}
        line = json.dumps(event) + "\n"
        path = folder / f"v{number}.log"
        if number % 2:
            with gzip.open(f"{path}.gz", "wt", encoding="utf-8") as file:
                file.write(line)
        else:
            path.write_text(line, encoding="utf-8")


def test_a_folder_of_logs_is_read_whole_with_its_packed_files(tmp_path):
    write_logs(tmp_path / "logs")
    result = CliRunner().invoke(app, ["explain", "r7", str(tmp_path / "logs")])
    assert result.exit_code == 0
    assert [line[:10] for line in result.stdout.splitlines()[1:]] == [
        "100.000 v0",
        "101.000 v1",
        "102.000 v2",
    ]


def test_only_the_lines_of_a_time_window_are_read(tmp_path):
    write_logs(tmp_path / "logs")
    window = ["--since", "101", "--until", "101.5"]
    result = CliRunner().invoke(app, ["explain", "r7", str(tmp_path / "logs"), *window])
    assert result.stdout.splitlines()[1:] == ["101.000 v1 refused: request=r7"]
    assert TimeWindow(0.0, 1.0).admits("a line without a time")


def test_an_endpoint_in_a_list_of_names_is_found():
    line = json.dumps({"at": 1.0, "vm": "v", "event": "e", "removed_names": ["e1", "e2"]})
    assert len(explain("e2", [line]).lines) == 1


def test_the_account_of_an_id_is_named_and_is_no_id_itself(tmp_path):
    lines = [
        '{"at": 1.0, "vm": "f1", "event": "caller left", "request": "r1", "account": "acme"}',
        '{"at": 2.0, "vm": "f1", "event": "refused", "request": "r1", "code": "NO_ENDPOINT"}',
        '{"at": 3.0, "vm": "f1", "event": "refused", "request": "acme", "code": "KEY_REJECTED"}',
    ]
    assert explain("r1", lines).account == "acme" and explain("i1", LINES).account == ""
    assert [line.at for line in explain("acme", lines).lines] == [3.0]
    path = tmp_path / "a.log"
    path.write_text("\n".join(lines))
    output = CliRunner().invoke(app, ["explain", "r1", str(path)]).output
    assert "account: acme" in output.splitlines()
