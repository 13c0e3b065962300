"""Tests of the client library of callers and trainers against scripted HTTP answers."""

import json
from hashlib import sha256

import httpx
import pytest

from pumicedeck.claim_rows import request_id_unix_second
from pumicedeck.clients import Client, DrawError, WantedGroup
from pumicedeck.request_ids import make_request_id
from pumicedeck.results import Execution, ResultCode

BODY = b'{"booked": true}'
COMPLETE_ANSWER_HEADERS = {
    "X-Answer-Length": str(len(BODY)),
    "X-Answer-Digest": sha256(BODY).hexdigest(),
}
GROUPS = [WantedGroup(number, {"prompt": str(number)}, 1) for number in range(3)]


class _ScriptedServer:
    """Answers requests from a list and records them; an exception in the list is raised."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.requests: list[httpx.Request] = []
        self.pauses: list[float] = []
        self.client = Client(
            ["http://entry-0", "http://entry-1"],
            "token",
            self.pauses.append,
            lambda: 1_800_000_000.0,
            httpx.MockTransport(self._handle),
        )

    def _handle(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def _failure_response(code: ResultCode, retry_after: float | None = None) -> httpx.Response:
    document = {"code": int(code), "execution": str(code.info.execution), "detail": ""}
    if retry_after is not None:
        document["retry_after"] = retry_after
    return httpx.Response(code.info.http_status, json=document)


def _stream_response(*documents) -> httpx.Response:
    return httpx.Response(200, text="".join(json.dumps(document) + "\n" for document in documents))


def _group_document(number: int) -> dict:
    draft = {"index": 0, "versions": [4], "bracketed": False, "tokens": 1, "text": "x"}
    return {"group": number, "newest": 4, "drafts": [draft]}


def test_a_request_id_carries_its_time() -> None:
    request_id = make_request_id(1_800_000_000.5, lambda bits: (1 << bits) - 1)
    assert request_id_unix_second(request_id) == 1_800_000_000


def test_a_try_that_did_not_run_is_repeated_with_its_id_through_another_entry() -> None:
    server = _ScriptedServer(
        _failure_response(ResultCode.OVERLOADED, 3.0),
        httpx.ReadError("reset"),
        httpx.Response(200, content=BODY, headers=COMPLETE_ANSWER_HEADERS),
    )
    reply = server.client.call("bookings", "/book", b"{}", 5.0).unwrap()
    assert reply.body == BODY
    assert len({request.headers["X-Request-Id"] for request in server.requests}) == 1
    assert {request.url.host for request in server.requests} == {"entry-0", "entry-1"}
    assert server.pauses[0] >= 3.0


def test_not_run_after_an_attempt_that_may_have_run_is_reported_as_unknown() -> None:
    refusals = [_failure_response(ResultCode.STORE_UNAVAILABLE) for _ in range(5)]
    server = _ScriptedServer(httpx.ReadError("reset"), *refusals)
    failure = server.client.call("bookings", "/book", b"{}", 5.0).unwrap_err()
    assert failure.code is ResultCode.OUTCOME_UNKNOWN
    assert failure.execution is Execution.MAY_HAVE_RUN


def test_only_attempts_proven_not_run_are_reported_as_not_run() -> None:
    server = _ScriptedServer(*[httpx.ConnectError("refused") for _ in range(6)])
    failure = server.client.call("bookings", "/book", b"{}", 5.0).unwrap_err()
    assert failure.execution is Execution.NOT_RUN


@pytest.mark.parametrize("code", [ResultCode.FORBIDDEN, ResultCode.ENDPOINT_FAILED])
def test_a_final_failure_is_not_repeated(code: ResultCode) -> None:
    server = _ScriptedServer(_failure_response(code))
    assert server.client.call("bookings", "/book", b"{}", 5.0).unwrap_err().code is code
    assert server.pauses == []


def test_a_truncated_answer_is_requested_again() -> None:
    truncated_response = httpx.Response(200, content=BODY[:-1], headers=COMPLETE_ANSWER_HEADERS)
    server = _ScriptedServer(
        truncated_response, httpx.Response(200, content=BODY, headers=COMPLETE_ANSWER_HEADERS)
    )
    assert server.client.call("bookings", "/book", b"{}", 5.0).unwrap().body == BODY


def test_a_broken_draw_is_repeated_and_names_what_is_held() -> None:
    server = _ScriptedServer(
        _stream_response(_group_document(1)),
        httpx.ReadError("reset"),
        _stream_response(_group_document(1), _group_document(0), _group_document(2), {"end": {}}),
    )
    groups = list(server.client.draw("rig-presets", "t", 7, GROUPS, newest_version=4))
    assert [group.group for group in groups] == [1, 0, 2]
    assert json.loads(server.requests[-1].content)["held"] == [1]


def test_a_draw_that_was_taken_over_ends() -> None:
    takeover_error = {"code": int(ResultCode.DRAW_TAKEN_OVER), "detail": "later draw"}
    server = _ScriptedServer(_stream_response(_group_document(0), {"error": takeover_error}))
    with pytest.raises(DrawError, match="DRAW_TAKEN_OVER"):
        list(server.client.draw("rig-presets", "t", 7, GROUPS))


def test_a_repeated_draw_names_the_version_that_is_newest_by_then() -> None:
    server = _ScriptedServer(
        _stream_response(_group_document(1)),
        _stream_response(_group_document(0), _group_document(2), {"end": {}}),
    )
    published = iter((4, 5))
    list(server.client.draw("rig-presets", "t", 7, GROUPS, lambda: next(published)))
    announced_versions = [
        json.loads(request.content)["newest_version"] for request in server.requests
    ]
    assert announced_versions == [4, 5]
