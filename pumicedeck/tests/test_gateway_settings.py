"""Gateway settings: the platform's template, invalid values, a start without a settings file."""

import re
import subprocess
import sys
from pathlib import Path

import yaml

from pumicedeck.gateway_compositions import run_gateway
from pumicedeck.gateway_settings import GatewaySettings
from pumicedeck.results import ResultCode
from pumicedeck.settings_files import parse_settings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.yaml"
VALUES = {
    "node": '"front-1"',
    "zone": '"tn-a"',
    "region": '"south"',
    "zones": '{"tn-a":"south"}',
    "listen.front": '"10.0.0.1:80"',
    "listen.ready": '"10.0.0.1:81"',
    "platform.address": '"10.0.0.9:82"',
    "bounds.grace-s": "8",
    "bounds.status-s": "120",
    "limits.cpu-share": "0.717",
}


CLOUD_VALUES = {
    "cloud.address": '"10.0.0.9:83"',
    "cloud.duties": '["metering"]',
    "bounds.usage-window-s": "5",
    "bounds.usage-late-s": "10",
}


def fill_template(**changes):
    """Fill the template as the platform does: a section only if its value exists."""
    values = {**VALUES, **changes}

    def section(match):
        return match[2] if match[1] in values else ""

    def value(match):
        return values.get(match[1], "3")

    text = TEMPLATE.read_text(encoding="utf-8")
    text = re.sub(r"\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([a-z0-9.-]+)\|json\}\}", value, text)


def test_the_template_gives_valid_settings():
    settings = parse_settings(GatewaySettings, TEMPLATE, fill_template()).unwrap()
    assert settings.vm == "front-1" and settings.callers.port == 80
    assert settings.regions == {"tn-a": "south"}
    assert settings.promises.grace_seconds == 8.0
    assert settings.accounts.max_configuration_age_seconds == 1.5


def test_duties_are_in_the_settings_only_where_the_platform_has_an_api():
    """Guards against another file for deployments without the API, and a section nobody reads."""
    without = fill_template()
    assert "cloud" not in without and without.endswith("  format: json\n")
    assert parse_settings(GatewaySettings, TEMPLATE, without).unwrap().cloud is None
    filled = fill_template(**CLOUD_VALUES)
    cloud = parse_settings(GatewaySettings, TEMPLATE, filled).unwrap().cloud
    assert cloud.asks_for_usage and cloud.address.port == 83
    assert (cloud.duty_per_second, cloud.usage_window_seconds, cloud.usage_late_seconds) == (
        3,
        5,
        10,
    )
    assert filled.startswith(without)


def test_duties_that_are_not_asked_for_and_empty_values_keep_their_defaults():
    filled = fill_template(**{**CLOUD_VALUES, "cloud.duties": "[]", "cloud.duty-per-s": ""})
    cloud = parse_settings(GatewaySettings, TEMPLATE, filled).unwrap().cloud
    assert not cloud.asks_for_usage and cloud.duty_per_second == 10.0


def test_an_invalid_value_is_reported_with_its_key():
    text = fill_template(**{"listen.front": '"nowhere"'})
    failure = parse_settings(GatewaySettings, TEMPLATE, text).unwrap_err()
    assert failure.code is ResultCode.BAD_SETTINGS and "callers" in failure.detail
    document = yaml.safe_load(fill_template())
    document["surprise"] = 1
    failure = parse_settings(GatewaySettings, TEMPLATE, yaml.safe_dump(document)).unwrap_err()
    assert "surprise: unknown key" in failure.detail


def test_a_missing_file_is_reported_as_bad_settings(tmp_path):
    failure = run_gateway(tmp_path / "none.yaml").unwrap_err()
    assert failure.code is ResultCode.BAD_SETTINGS


def test_a_start_without_a_settings_file_reports_bad_settings():
    done = subprocess.run(
        [sys.executable, "-m", "pumicedeck.platform"], capture_output=True, text=True, env={}
    )
    assert done.returncode == ResultCode.BAD_SETTINGS.info.exit_status
    assert done.stderr.startswith("408 BAD_SETTINGS")
