"""End-to-end tests in one process, with caller, entry, agent, endpoint and store."""

import json

import pytest
from result import Ok

from pumicedeck.composition import EventLoop
from pumicedeck.demo_firms import CATALOGUE, POOL_PLACEMENTS, QUINTELA, TAINAN, TN_A
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpClientSettings, HttpRequest, HttpResponse
from pumicedeck.platform_interfaces import WeightVersion
from pumicedeck.standin_fleets import StandinFleet
from pumicedeck.tests.loop_harnesses import LoopHarness
from pumicedeck.tokens import Principal

TOKENS = {
    "desk": Principal("desk", TAINAN),
    "portal": Principal("portal", QUINTELA),
    "operator": Principal("operator", "*"),
}
MAX_TURNS = 100_000
PATIENT_CLIENT = HttpClientSettings(silence_seconds=60.0)


class _FleetHarness:
    """A small fleet on one event loop, which a test runs until a condition holds."""

    def __init__(self) -> None:
        self.loop = LoopHarness()
        self.fleet = StandinFleet(EventLoop(self.loop, self.loop.timers), CATALOGUE, TOKENS)
        for placement in POOL_PLACEMENTS:
            self.fleet.add_pool(placement)
        self.entry = self.fleet.add_entry(0, TN_A)
        self.client = HttpClient(self.loop.timers, PATIENT_CLIENT).register(self.loop)
        self.fleet.start()

    def until(self, condition) -> None:
        self.loop.until(condition, MAX_TURNS)

    def settle(self) -> None:
        agents = len(self.fleet.agents)
        self.until(
            lambda: self.entry.daemon.is_ready and self.entry.connections.open_count == agents
        )

    def send(self, path, body=b"{}", token="desk", method="POST", chunk=None, **headers):
        """Send a request and return the list to which its outcome is appended."""
        named = [(name.replace("_", "-"), value) for name, value in headers.items()]
        named.append(("Authorization", f"Bearer {token}"))
        address = self.entry.callers.address
        request = HttpRequest(method, address, path, tuple(named), body)
        outcomes = []
        self.client.send(request, outcomes.append, chunk)
        return outcomes

    def ask(self, *args, **kwargs) -> HttpResponse:
        outcomes = self.send(*args, **kwargs)
        self.until(lambda: outcomes)
        return outcomes[0].unwrap()

    def executions(self, request_id: str) -> int:
        services = [
            agent.endpoint for agent in self.fleet.agents if hasattr(agent.endpoint, "call")
        ]
        return sum(service.executions(request_id) for service in services)


@pytest.fixture(scope="module")
def harness():
    built = _FleetHarness()
    built.settle()
    yield built
    built.fleet.close()
    built.client.close()
    built.loop.stop_and_check()


def test_a_booking_is_answered_whole_and_runs_once_even_if_repeated(harness: _FleetHarness) -> None:
    request_id = "booking-1"
    first = harness.ask("/v1/entries/bookings/call/book", b'{"rig": 7}', X_Request_Id=request_id)
    again = harness.ask("/v1/entries/bookings/call/book", b'{"rig": 7}', X_Request_Id=request_id)
    assert first.status == again.status == 200
    assert first.body == again.body
    assert int(first.header("x-answer-length")) == len(first.body)
    assert harness.executions(request_id) == 1


def test_the_same_id_with_another_body_is_refused_as_not_run(harness: _FleetHarness) -> None:
    harness.ask("/v1/entries/bookings/call/book", b'{"rig": 1}', X_Request_Id="booking-2")
    other = harness.ask("/v1/entries/bookings/call/book", b'{"rig": 2}', X_Request_Id="booking-2")
    document = json.loads(other.body)
    assert (document["code"], document["execution"]) == (409, "not_run")
    assert harness.executions("booking-2") == 1


@pytest.mark.parametrize(
    ("target", "token", "headers", "code"),
    [
        ("/v1/entries/bookings/call/book", "nobody", {}, 401),
        ("/v1/entries/nothing/call/book", "desk", {}, 403),
        ("/v1/entries/previews/call/preview", "desk", {}, 403),
        ("/v1/entries/bookings/call/book", "desk", {"X_Idempotent": "perhaps"}, 400),
        ("/v1/entries/bookings/call/book", "desk", {"X_Budget_Ms": "-5"}, 400),
        ("/v1/entries/bookings/call/book", "desk", {"X_Budget_Ms": "9" * 5000}, 400),
        ("/v1/entries/bookings/call/book", "desk", {"X_Request_Id": "a b"}, 400),
        ("/v1/entries/bookings/draws", "desk", {}, 400),
        ("/v1/elsewhere", "desk", {}, 410),
    ],
)
def test_bad_input_gets_its_number_and_proof(
    harness: _FleetHarness, target, token, headers, code
) -> None:
    answer = harness.ask(target, b'{"x": 1}', token=token, **headers)
    document = json.loads(answer.body)
    assert (document["code"], document["execution"]) == (code, "not_run")


def test_a_stream_has_offsets_and_ends_with_its_length(harness: _FleetHarness) -> None:
    chunks: list[bytes] = []
    body = json.dumps({"prompt": "a hall with a low ceiling", "max_tokens": 40}).encode()
    outcomes = harness.send(
        "/v1/entries/rig-presets/call/v1/generate", body, chunk=chunks.append, X_Stream="true"
    )
    harness.until(lambda: outcomes)
    lines = [json.loads(line) for line in b"".join(chunks).splitlines()]
    text = "".join(line.get("text", "") for line in lines[:-1])
    assert len(lines) > 2
    assert lines[-1]["end"]["length"] == len(text.encode())
    assert [line["offset"] for line in lines[:-1]] == sorted(line["offset"] for line in lines[:-1])


def test_a_draw_delivers_each_group_once_with_its_versions(harness: _FleetHarness) -> None:
    published = []
    harness.fleet.weights.publish(WeightVersion("tuner", 0, 1000), published.append)
    harness.until(lambda: published)
    groups = [
        {"group": number, "body": {"prompt": f"sketch {number}", "max_tokens": 12}, "samples": 4}
        for number in range(3)
    ]
    draw = json.dumps({"trainer": "tuner-1", "step": 1, "groups": groups}).encode()
    chunks: list[bytes] = []
    outcomes = harness.send("/v1/entries/rig-presets/draws", draw, chunk=chunks.append)
    harness.until(lambda: outcomes)
    assert isinstance(outcomes[0], Ok)
    lines = [json.loads(line) for line in b"".join(chunks).splitlines()]
    assert sorted(line["group"] for line in lines[:-1]) == [0, 1, 2]
    assert "end" in lines[-1]
    for line in lines[:-1]:
        assert [draft["index"] for draft in line["drafts"]] == [0, 1, 2, 3]
        assert all(draft["versions"] == [0] for draft in line["drafts"])


def test_a_draw_without_a_known_newest_version_ends_in_a_numbered_error(
    harness: _FleetHarness,
) -> None:
    group = {"group": 0, "body": {"prompt": "lines", "max_tokens": 4}, "samples": 1}
    draw = json.dumps({"trainer": "lines-1", "step": 1, "groups": [group]}).encode()
    chunks: list[bytes] = []
    outcomes = harness.send(
        "/v1/entries/line-drafts/draws", draw, token="portal", chunk=chunks.append
    )
    harness.until(lambda: outcomes)
    assert outcomes[0].is_err()
    (line,) = [json.loads(data) for data in b"".join(chunks).splitlines()]
    assert (line["error"]["code"], line["error"]["execution"]) == (701, "not_run")


def test_status_and_histograms_tell_what_the_entry_did(harness: _FleetHarness) -> None:
    def read(target: str):
        address = harness.entry.operators.address
        outcomes = []
        harness.client.send(HttpRequest("GET", address, target), outcomes.append)
        harness.until(lambda: outcomes)
        return json.loads(outcomes[0].unwrap().body)

    harness.ask("/v1/entries/bookings/call/book", b'{"rig": 9}', X_Request_Id="booking-9")
    status = read("/v1/status")
    assert status["ready"] and status["behind"] == []
    assert status["claims"]["granted"] >= 1
    series = {
        (entry_series["request_class"], entry_series["measure"])
        for entry_series in read("/v1/histograms")["series"]
    }
    assert {("interactive", "whole_answer"), ("rollout", "trainer_idle")} <= series
    assert read("/ready") == {"ready": True}


def test_an_edit_through_the_operators_api_is_in_force_in_every_process(
    harness: _FleetHarness,
) -> None:
    row = {"kind": "entry", "name": "previews", "seen": 1, "document": None}
    body = json.dumps({"change_id": "000000000001-abcdefgh", "rows": [row]}).encode()

    def edit(token: str) -> HttpResponse:
        address = harness.entry.operators.address
        headers = (("Authorization", f"Bearer {token}"),)
        outcomes = []
        request = HttpRequest("POST", address, "/v1/catalogue/edits", headers, body)
        harness.client.send(request, outcomes.append)
        harness.until(lambda: outcomes)
        return outcomes[0].unwrap()

    assert json.loads(edit("desk").body)["code"] == 402
    assert json.loads(edit("operator").body)["revision"] == 2
    daemons = [agent.wired_daemon for agent in harness.fleet.agents] + harness.fleet.entries
    harness.until(lambda: all(wired_daemon.daemon.revision == 2 for wired_daemon in daemons))
    answer = harness.ask("/v1/entries/previews/call/preview", b"{}", token="portal")
    assert json.loads(answer.body)["code"] == 403


def test_an_agent_that_drains_gets_no_new_work_and_others_answer(harness: _FleetHarness) -> None:
    services = [agent for agent in harness.fleet.agents if agent.vm.endpoint.pool == "booking-app"]
    leaving = services[0]
    leaving.wired_daemon.drain()
    harness.until(lambda: leaving.wired_daemon.daemon.requests.draining)
    harness.loop.advance(1.0)
    before = len(leaving.endpoint.ledger)
    for number in range(30):
        answer = harness.ask(
            "/v1/entries/bookings/call/book", b"{}", X_Request_Id=f"drain-{number}"
        )
        assert answer.status == 200
    assert len(leaving.endpoint.ledger) == before


def test_a_query_reaches_the_service_and_tells_requests_apart(harness: _FleetHarness) -> None:
    answer = harness.ask("/v1/entries/stock-checks/call/stock?rig=7", b"{}", X_Request_Id="query-1")
    document = json.loads(answer.body)
    assert (document["path"], document.get("query", "")) in (
        ("/stock?rig=7", ""),
        ("/stock", "rig=7"),
    )


def test_an_entry_that_drains_ends_its_draw_whole_and_takes_no_new_one(
    harness: _FleetHarness,
) -> None:
    def draw(step: int, chunks: list[bytes]):
        groups = [
            {
                "group": number,
                "body": {"prompt": f"hall {number}", "max_tokens": 3000},
                "samples": 6,
            }
            for number in range(40)
        ]
        document = {"trainer": "tuner-2", "step": step, "groups": groups, "newest_version": 0}
        body = json.dumps(document).encode()
        return harness.send("/v1/entries/rig-presets/draws", body, chunk=chunks.append)

    chunks: list[bytes] = []
    outcomes = draw(1, chunks)
    harness.until(lambda: chunks)
    assert not outcomes
    harness.entry.daemon.drain()
    late: list[bytes] = []
    refused = draw(2, late)
    harness.until(lambda: refused)
    assert json.loads(refused[0].unwrap().body)["code"] == 207
    harness.until(lambda: outcomes)
    lines = [json.loads(line) for line in b"".join(chunks).splitlines()]
    assert sorted(line["group"] for line in lines[:-1]) == list(range(40))
    assert "end" in lines[-1]
