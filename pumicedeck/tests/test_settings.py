"""Tests that settings files are read with defaults and units, and that errors name the key."""

from pathlib import Path

import pytest
from result import Ok

from pumicedeck.results import ResultCode
from pumicedeck.settings import EntrySettings
from pumicedeck.settings_files import load_settings, parse_settings
from pumicedeck.topology import Address

PATH = Path("entry.yaml")
VALID_SETTINGS = """
vm: entry-1
failure_domain: tn-a
region: tw-south
secrets: [a-secret-of-sixteen]
callers: 127.0.0.1:8080
operators: 127.0.0.1:8081
platform:
  table_store: {adapter: standin, address: "127.0.0.1:9001"}
  object_store: {adapter: standin, address: "127.0.0.1:9002"}
  weight_store: {adapter: standin, address: "127.0.0.1:9003", rate: 200MiB}
  vm_list: {adapter: standin, address: "127.0.0.1:9004", timeout: 250ms}
"""


def test_a_good_file_is_read_with_units_and_defaults() -> None:
    settings = parse_settings(EntrySettings, PATH, VALID_SETTINGS).unwrap()
    assert settings.callers == Address("127.0.0.1", 8080)
    assert settings.platform.vm_list.timeout == 0.25
    assert settings.platform.weight_store.rate == 200 * 1024**2
    assert settings.times.heartbeat == 1.0


@pytest.mark.parametrize(
    ("old", "new", "named", "expected"),
    [
        ("vm: entry-1", "vmm: entry-1", "vmm", "unknown key"),
        ("vm: entry-1", "", "vm", "is missing"),
        ("127.0.0.1:8080", "localhost:8080", "callers", "IP number and a port"),
        ("127.0.0.1:8080", "127.0.0.999:8080", "callers", "IP number and a port"),
        ("127.0.0.1:8080", "127.0.0.1:99999", "callers", "IP number and a port"),
        ("250ms", "250", "platform.vm_list.timeout", "duration with its unit"),
        ("200MiB", "200MB", "platform.weight_store.rate", "size with its unit"),
        (
            "table_store: {adapter: standin",
            "table_store: {adapter: standing",
            "platform.table_store.adapter",
            "expected one of",
        ),
        ("a-secret-of-sixteen", "short", "secrets.0", "at least 16 characters"),
        ("vm: entry-1", "vm: 7", "vm", "valid string"),
    ],
)
def test_a_wrong_setting_is_named_with_what_is_expected(old, new, named, expected) -> None:
    failure = parse_settings(EntrySettings, PATH, VALID_SETTINGS.replace(old, new)).unwrap_err()
    assert failure.code is ResultCode.BAD_SETTINGS
    assert f"entry.yaml: {named}: " in failure.detail
    assert expected in failure.detail


@pytest.mark.parametrize("text", ["", "- a list", "key: [unclosed", "\x00"])
def test_what_is_not_a_mapping_of_settings_is_refused(text: str) -> None:
    assert parse_settings(EntrySettings, PATH, text).is_err()


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    failure = load_settings(EntrySettings, tmp_path / "none.yaml").unwrap_err()
    assert "none.yaml" in failure.detail


def test_a_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(VALID_SETTINGS, encoding="utf-8")
    assert isinstance(load_settings(EntrySettings, path), Ok)
