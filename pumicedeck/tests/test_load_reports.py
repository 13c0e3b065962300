"""Load reports of endpoints, as answers carry them.

Endpoints of some pools send a fourth figure. It was taken for garbage, so the running and waiting
requests were ignored as well, and the busiest endpoint got more than twice the mean of the calls.
"""

import pytest

from pumicedeck.http_messages import HttpResponse
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.platform.headers import LOAD


def decode(text: str) -> tuple[int | None, int | None]:
    response = HttpResponse(200, ((LOAD.lower(), text),), b"")
    head = PlatformEndpointDialect().decode_answer_head(response)
    return head.running, head.waiting


@pytest.mark.parametrize("text", ["3,1,8", " 3, 1 ,8", "3,1,8,100", "3,1,8,942", "3,1,8,250,7"])
def test_running_and_waiting_requests_are_read_from_reports_of_three_figures_or_more(text):
    assert decode(text) == (3, 1)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "3,1",
        "3,,8",
        "3,1,8,",
        "-3,1,8",
        "3.5,1,8",
        "a,b,c",
        "3,1,8,x",
        "³,1,8",
        "9" * 5000,
    ],
)
def test_an_invalid_report_is_ignored(text):
    assert decode(text) == (None, None)


def test_a_report_with_a_very_long_number_is_ignored():
    assert decode(f"{'9' * 5000},1,8") == (None, None)
