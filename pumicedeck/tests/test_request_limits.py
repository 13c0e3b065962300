"""An endpoint in need names how many requests per second it accepts from all gateways together."""

import pytest

from pumicedeck.http_messages import HttpResponse
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect


@pytest.mark.parametrize(
    ("text", "limit"),
    [("2.1", 2.1), ("0", 0.0), (" 4 ", 4.0), ("", None), ("x", None), ("nan", None), ("-1", None)],
)
def test_the_limit_header_is_a_decimal_number(text, limit):
    headers = (("server-limit", text),) if text else ()
    response = HttpResponse(200, headers, b"")
    assert PlatformEndpointDialect().decode_answer_head(response).request_limit == limit
