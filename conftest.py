"""Lets CI pass over the tests that KNOWN-RED.txt lists, and prints them."""

from pathlib import Path

import pytest

LIST = Path(__file__).parent / "KNOWN-RED.txt"
MARK = "test: "


def _listed() -> list[str]:
    lines = LIST.read_text(encoding="utf-8").splitlines() if LIST.exists() else []
    return [line.removeprefix(MARK).strip() for line in lines if line.startswith(MARK)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect a listed test to fail; one that passes has to leave the list."""
    listed = set(_listed())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what was passed over."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}")
