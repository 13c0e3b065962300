"""Tests that commands report errors with the result code's number and exit status."""

import socket
from pathlib import Path

import pytest
from typer.testing import CliRunner

from pumicedeck.cli import app

CLI_RUNNER = CliRunner()


@pytest.fixture
def settings_folder(tmp_path: Path) -> Path:
    written = CLI_RUNNER.invoke(app, ["local-files", str(tmp_path), "--agents", "booking-app=1"])
    assert written.exit_code == 0
    return tmp_path


def test_wrong_settings_end_a_daemon_with_the_key_and_its_number(settings_folder: Path) -> None:
    path = settings_folder / "entry-0.yaml"
    path.write_text(path.read_text().replace("callers:", "callerz:"), encoding="utf-8")
    result = CLI_RUNNER.invoke(app, ["entry", str(path)])
    assert result.exit_code == 2
    assert "408 BAD_SETTINGS" in result.output
    assert "callerz: unknown key" in result.output


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_an_in_process_adapter_is_refused_by_a_daemon(settings_folder: Path, role: str) -> None:
    path = next(settings_folder.glob(f"{role}-*.yaml"))
    text = path.read_text().replace("table_store:\n", "table_store:\n    adapter: standin\n")
    path.write_text(text, encoding="utf-8")
    result = CLI_RUNNER.invoke(app, [role, str(path)])
    assert result.exit_code == 2
    assert "platform.table_store.adapter" in result.output


def test_a_port_in_use_is_reported_without_a_traceback(settings_folder: Path) -> None:
    path = settings_folder / "entry-0.yaml"
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        text = path.read_text().replace("callers: 127.0.0.1:18020", f"callers: {address}")
        path.write_text(text, encoding="utf-8")
        result = CLI_RUNNER.invoke(app, ["entry", str(path)])
    assert result.exit_code == 2
    assert "cannot listen" in result.output


def test_a_process_that_cannot_be_reached_is_reported() -> None:
    with socket.create_server(("127.0.0.1", 0)) as closed_listener:
        url = f"http://127.0.0.1:{closed_listener.getsockname()[1]}"
    result = CLI_RUNNER.invoke(app, ["status", "--url", url])
    assert result.exit_code == 3
    assert "207 NOT_READY" in result.output


def test_unknown_pools_are_named(tmp_path: Path) -> None:
    result = CLI_RUNNER.invoke(app, ["local-files", str(tmp_path), "--agents", "nothing=1"])
    assert result.exit_code == 2
    assert "booking-app" in result.output


def test_every_command_explains_itself() -> None:
    for command in ("entry", "agent", "standins", "demo", "status", "stats", "catalogue"):
        shown = CLI_RUNNER.invoke(app, [command, "--help"])
        assert shown.exit_code == 0
        assert "Usage" in shown.output
