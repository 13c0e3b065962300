"""Submissions whose items have header fields that cannot be sent.

Guards against a submission that is accepted although no engine can ever get its items: the header
field raised an exception each time an item was started.
"""

import base64
import json

import pytest
from result import Err, Ok

from pumicedeck.dialects import ForwardedCall
from pumicedeck.platform.caller_calls import PlatformSubmissionDialect
from pumicedeck.results import ResultCode


def decode(headers):
    body = base64.b64encode(b"b").decode()
    document = {"items": [{"id": "i", "path": "/p", "headers": headers, "body": body}]}
    call = ForwardedCall("s", "POST", "/p/", "h", (), json.dumps(document).encode())
    return PlatformSubmissionDialect().decode_submission(call, "r", 0.0, False)


@pytest.mark.parametrize(
    "headers",
    [
        {"X-Key": "secret\r\nX-Other: 1"},
        {"X-Key": "secret\u0142"},
        {"X-Key": " secret"},
        {"X Key": "secret"},
        {"": "secret"},
        {"X-K\u00e9y": "secret"},
    ],
)
def test_an_item_with_a_header_field_that_cannot_be_sent_is_refused(headers):
    decoded = decode(headers)
    assert isinstance(decoded, Err) and decoded.err_value.code is ResultCode.BAD_REQUEST
    assert "secret" not in decoded.err_value.detail


@pytest.mark.parametrize("value", ["", "a", "a\tb c", "caf\u00e9", "\u00a0x", "1,2"])
def test_values_that_can_be_sent_are_kept(value):
    decoded = decode({"X-Key": value})
    assert isinstance(decoded, Ok)
    assert decoded.ok_value.items[0].headers == (("X-Key", value),)
