"""Tests of a process that hosts stand-ins, and of its control port."""

import io
import json
import os
import signal

import pytest

import pumicedeck.standin_hosts as hosts
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_engines import HttpEngine
from pumicedeck.http_messages import HttpRequest
from pumicedeck.http_services import HttpService
from pumicedeck.http_weights import HttpWeightStore
from pumicedeck.platform_interfaces import EngineOrder, OrderKind, ServiceCall, WeightVersion
from pumicedeck.results import ResultCode
from pumicedeck.tests.loop_harnesses import LoopHarness
from pumicedeck.tests.platform_fixtures import failure_code

SETTINGS = hosts.StandinHostSettings(
    (
        hosts.TableSettings("tables"),
        hosts.ObjectSettings("objects"),
        hosts.WeightSettings("weights", bytes_per_second=100.0),
        hosts.VmListSettings("vms"),
        hosts.ModelSettings("s1", weights="weights"),
        hosts.ServiceSettings("desk", service_seconds=0.5),
    )
)


class HostHarness:
    """A stand-in host and an HTTP client on a test loop."""

    def __init__(self):
        self.loop = LoopHarness()
        self.client = HttpClient(self.loop.timers).register(self.loop)
        self.host = hosts.StandinHost(SETTINGS, self.loop.timers).register(self.loop)
        self.loop.settle()

    def control(self, path, body=b"", method="POST"):
        address = self.host.address(hosts.CONTROL_NAME)
        return self.wait(self.client.send, HttpRequest(method, address, path, body=body)).unwrap()

    def wait(self, call, *arguments):
        outcomes = []
        call(*arguments, outcomes.append)
        assert self.loop.holds_within(60.0, lambda: outcomes)
        return outcomes[0]


@pytest.fixture
def harness():
    built = HostHarness()
    yield built
    built.client.close()
    built.loop.stop_and_check()


def test_every_standin_has_its_own_port(harness):
    ports = {item.address.port for item in harness.host.bound}
    assert len(ports) == len(SETTINGS.standins) + 1
    assert 0 not in ports


def test_engine_fetches_from_the_hosted_weight_store_at_its_rate(harness):
    weights = HttpWeightStore(harness.client, harness.host.address("weights"))
    engine = HttpEngine(harness.client, harness.host.address("s1"))
    harness.wait(weights.publish, WeightVersion("base", 3, 500)).unwrap()
    before = harness.loop.timers.now()
    order = EngineOrder("o", 1, OrderKind.SWAP_VERSION, "base", 3)
    assert harness.wait(engine.order, order).unwrap().models[0].version == 3
    assert harness.loop.timers.now() - before >= 5.0
    missing = EngineOrder("p", 1, OrderKind.SWAP_VERSION, "base", 9)
    assert failure_code(harness.wait(engine.order, missing)) is ResultCode.SWAP_FAILED


def test_faults_are_set_over_the_control_port(harness):
    service = HttpService(harness.client, harness.host.address("desk"))
    call = ServiceCall("h", "r", "/book", b"x")
    scripted = {"script": [{"fault": "lose_reply", "nth": 2, "operation": "call"}]}
    assert harness.control("/faults/desk", json.dumps(scripted).encode()).status == 200
    codes = [failure_code(harness.wait(service.call, call)) for _ in range(3)]
    assert codes == [None, ResultCode.ENDPOINT_FAILED, None]
    harness.control("/faults/desk", b'{"crash": true}')
    assert failure_code(harness.wait(service.call, call)) is ResultCode.ENDPOINT_UNREACHABLE
    harness.control("/faults/desk", b'{"restart": true}')
    assert harness.wait(service.call, call).is_ok()
    ledger = json.loads(harness.control("/ledger/desk?after=1", method="GET").body)
    assert [item["call"]["request_id"] for item in ledger[0]] == ["r"] * 3


def test_leaving_is_set_over_the_control_port(harness):
    service = HttpService(harness.client, harness.host.address("desk"))
    harness.control("/leaving/desk")
    assert harness.wait(service.healthy).unwrap() is False


@pytest.mark.parametrize(
    "path, body",
    [
        ("/faults/none", b"{}"),
        ("/faults/desk", b'{"dwon": true}'),
        ("/faults/desk", b"junk"),
        ("/faults/desk", b'{"script": [{"fault": "fire", "nth": 1}]}'),
        ("/ledger/tables", b""),
        ("/vms/desk", b"[]"),
        ("/", b""),
    ],
)
def test_wrong_control_request_is_refused(harness, path, body):
    response = harness.control(path, body)
    assert 400 <= response.status < 500
    assert json.loads(response.body)["execution"] == "not_run"


def test_process_announces_its_ports_and_stops_on_a_signal(monkeypatch):
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    out = io.StringIO()
    run = hosts.StandinApplication.run

    def run_and_stop(application):
        application.timers.call_later(0.0, lambda: os.kill(os.getpid(), signal.SIGTERM))
        run(application)

    monkeypatch.setattr(hosts.StandinApplication, "run", run_and_stop)
    try:
        hosts.run_standins(SETTINGS, out)
    finally:
        for number, previous_handler in before.items():
            signal.signal(number, previous_handler)
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    assert [line["name"] for line in lines][-1] == hosts.CONTROL_NAME
    assert all(not line["address"].endswith(":0") for line in lines)
