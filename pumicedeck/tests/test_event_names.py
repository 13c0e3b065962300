"""The page of events lists every log event that the gateway's modules write."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = (ROOT.parent / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
MODULES = (
    "call_attempts",
    "call_forwarders",
    "endpoint_callers",
    "endpoint_lists",
    "gateway_compositions",
    "gateways",
    "peer_questions",
    "store_feeds",
    "store_relays",
    "stream_records",
    "stream_relays",
    "submission_answers",
    "submission_intakes",
    *(f"duties/{path.stem}" for path in sorted((ROOT / "duties").glob("*.py"))),
    *(f"scheduling/{path.stem}" for path in sorted((ROOT / "scheduling").glob("*.py"))),
)
EVENT = re.compile(r"_log\.(?:info|warning|error)\(\s*\"([^\"]+)\"")


@pytest.mark.parametrize("module", MODULES)
def test_every_event_is_on_the_page(module):
    text = (ROOT / f"{module}.py").read_text(encoding="utf-8")
    missing = [name for name in EVENT.findall(text) if name not in PAGE]
    assert missing == []
