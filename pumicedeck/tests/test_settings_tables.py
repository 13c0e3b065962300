"""Tests that the settings page holds the table that is rendered from the code."""

from pathlib import Path

import pytest

from pumicedeck.settings import AgentSettings, EntrySettings
from pumicedeck.settings_tables import setting_rows, settings_table

PAGE = Path(__file__).parents[2] / "docs" / "SETTINGS.md"


@pytest.mark.parametrize("cls", [EntrySettings, AgentSettings])
def test_the_page_holds_the_table_of_the_code(cls) -> None:
    assert settings_table(cls) in PAGE.read_text(encoding="utf-8")


def test_rows_show_kinds_and_defaults() -> None:
    rows = {row.path: row for row in setting_rows(AgentSettings)}
    assert rows["times.heartbeat"].default == "1s"
    assert rows["endpoint.kind"].kind == "one of model, service"
    assert rows["platform.table_store.address"].default == "required"
