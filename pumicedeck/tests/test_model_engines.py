"""Contract tests of the model engine, in process and over HTTP."""

import json

import pytest

from pumicedeck.faults import Fault
from pumicedeck.http_engines import GENERATION_SILENCE_SECONDS, HttpEngine
from pumicedeck.platform_interfaces import EngineOrder, Generation, LoadedModel, OrderKind
from pumicedeck.results import Execution, ResultCode
from pumicedeck.standin_batches import BatchSettings, body_digest, token_text
from pumicedeck.standin_caches import CacheSettings
from pumicedeck.standin_ledgers import EngineSettings
from pumicedeck.tests.platform_fixtures import (
    KINDS,
    SILENCE_SECONDS,
    PlatformFixture,
    failure_code,
)

FAILED = ResultCode.ENDPOINT_FAILED
REFUSED = ResultCode.ENDPOINT_UNREACHABLE
ORDER_UNKNOWN = ResultCode.ORDER_UNKNOWN
TOKEN_SECONDS = 0.25
SETTINGS = EngineSettings(
    models=(LoadedModel("base", 0),),
    batch=BatchSettings(slots=4, token_seconds=TOKEN_SECONDS, step_tokens=1),
    cache=CacheSettings(event_lag=5.0),
    install_seconds=0.5,
)


@pytest.fixture(params=KINDS)
def platform(request):
    built = PlatformFixture(request.param, "ModelEngine", settings=SETTINGS)
    yield built
    built.close()


@pytest.fixture(params=KINDS)
def lenient_platform(request):
    settings = EngineSettings(checks_fencing=False, reports_versions=False)
    built = PlatformFixture(request.param, "ModelEngine", settings=settings)
    yield built
    built.close()


class Call:
    """One generation with the chunks and outcomes that it reported."""

    def __init__(self, platform, handle="h", body=None, streamed=True, offset=0, model="base"):
        self.chunks = []
        self.outcomes = []
        self.platform = platform
        generation = Generation(
            handle, model, "/v1/generate", body or prompt(), 0, streamed, offset
        )
        platform.subject.generate(generation, self.chunks.append, self.outcomes.append)

    @property
    def data(self):
        data = bytearray()
        start = self.chunks[0].offset if self.chunks else 0
        for chunk in self.chunks:
            assert chunk.offset - start <= len(data)
            data[chunk.offset - start :] = chunk.data
        return bytes(data)

    def outcome(self, seconds=60.0):
        self.platform.loop.holds_within(seconds, lambda: self.outcomes)
        assert len(self.outcomes) <= 1
        return self.outcomes[0] if self.outcomes else None


def prompt(text="a", tokens=6):
    return json.dumps({"prompt": text, "max_tokens": tokens}).encode()


def expected_output(body, versions):
    return b"".join(token_text(body_digest(body), i, v) for i, v in enumerate(versions))


def swap(version, fencing=1, order_id=None, kind=OrderKind.SWAP_VERSION):
    return EngineOrder(order_id or f"o{version}", fencing, kind, "base", version)


def loaded_version(platform):
    return platform.call_subject("state").unwrap().models[0].version


@pytest.mark.parametrize("streamed", [True, False])
def test_each_caller_gets_its_own_whole_answer(platform, streamed):
    bodies = [prompt(f"p{number}", 3 + number) for number in range(9)]
    calls = [Call(platform, f"h{i}", body, streamed) for i, body in enumerate(bodies)]
    for number, call in enumerate(calls):
        end = call.outcome().unwrap()
        expected = expected_output(bodies[number], [0] * (3 + number))
        assert call.data == expected
        assert (end.length, end.tokens) == (len(expected), 3 + number)
        assert sum((chunk.versions for chunk in call.chunks), ()) == (0,) * (3 + number)
        assert (len(call.chunks) > 1) == streamed


def test_long_generation_outlives_the_silence_time(platform):
    body = prompt(tokens=round(4 * SILENCE_SECONDS / TOKEN_SECONDS))
    assert Call(platform, body=body, streamed=False).outcome(10 * SILENCE_SECONDS).is_ok()


# fault, failure code in process, failure code over HTTP, executions
FAULTS = [
    ("slow", None, None, 1),
    ("down", REFUSED, REFUSED, 0),
    ("crashed", REFUSED, REFUSED, 0),
    ("lose_reply", FAILED, FAILED, 1),
    ("silent", "silent", FAILED, 1),
    (Fault.LOSE_REQUEST, FAILED, FAILED, 0),
    (Fault.LOSE_REPLY, FAILED, FAILED, 1),
    (Fault.CRASH, FAILED, FAILED, 1),
]


@pytest.mark.parametrize("streamed", [True, False])
@pytest.mark.parametrize("fault, in_process, over_http, executions", FAULTS)
def test_generation_under_faults(platform, fault, in_process, over_http, executions, streamed):
    platform.call_subject("state")
    platform.set_fault(fault)
    outcome = Call(platform, streamed=streamed).outcome()
    assert failure_code(outcome) == (over_http if platform.over_http else in_process)
    if failure_code(outcome) in (REFUSED, FAILED):
        proven = outcome.unwrap_err().execution is Execution.NOT_RUN
        assert proven == (failure_code(outcome) is REFUSED)
    platform.loop.advance(10.0)
    assert platform.standin.executions(prompt()) == executions
    platform.clear_faults()
    assert Call(platform, "next", prompt("next")).outcome().is_ok()


def test_silent_stream_is_resumed_by_offset_and_runs_once(platform):
    body = prompt(tokens=80)
    first = Call(platform, body=body)
    platform.loop.advance(4 * TOKEN_SECONDS)
    platform.standin.faults.silence_open()
    assert failure_code(first.outcome(2 * SILENCE_SECONDS)) == (
        FAILED if platform.over_http else "silent"
    )
    received = first.data
    second = Call(platform, body=body, offset=len(received))
    assert second.outcome().is_ok()
    assert received + second.data == expected_output(body, [0] * 80)
    assert platform.standin.executions(body) == 1


def test_silent_engine_is_noticed_however_long_the_adapter_waits_for_orders(platform):
    if platform.over_http:
        platform.subject = HttpEngine(
            platform.client, platform.server.address, 100 * SILENCE_SECONDS
        )
    platform.standin.faults.silent = True
    call = Call(platform, body=prompt(tokens=1000))
    assert failure_code(call.outcome(2 * GENERATION_SILENCE_SECONDS)) == (
        FAILED if platform.over_http else "silent"
    )


def test_stream_broken_by_the_network_is_resumed(platform):
    body = prompt(tokens=20)
    platform.standin.faults.script(Fault.LOSE_REPLY, operation="generate")
    first = Call(platform, body=body)
    assert failure_code(first.outcome()) is FAILED
    second = Call(platform, body=body, offset=len(first.data))
    assert second.outcome().is_ok()
    assert first.data + second.data == expected_output(body, [0] * 20)
    assert platform.standin.executions(body) == 1


def test_resuming_an_unknown_generation_is_not_proven_not_run(platform):
    failure = Call(platform, "unknown", offset=5).outcome().unwrap_err()
    assert failure.code is FAILED
    assert failure.execution is Execution.MAY_HAVE_RUN


@pytest.mark.parametrize("after", [0.0, 2 * TOKEN_SECONDS])
def test_cancel_is_reported_by_the_generation(platform, after):
    call = Call(platform, body=prompt(tokens=50))
    platform.loop.advance(after)
    platform.subject.cancel("h")
    assert failure_code(call.outcome()) is ResultCode.CANCELLED
    assert platform.call_subject("state").unwrap().running == 0


@pytest.mark.parametrize(
    "body, model, code",
    [
        (b"not json", "base", ResultCode.BAD_REQUEST),
        (b"[1]", "base", ResultCode.BAD_REQUEST),
        (prompt(), "missing", ResultCode.NOT_FOUND),
    ],
)
def test_wrong_generation_is_refused_with_proof(platform, body, model, code):
    failure = Call(platform, body=body, model=model).outcome().unwrap_err()
    assert failure.code is code
    assert failure.execution is Execution.NOT_RUN


def test_leaving_engine_refuses_with_proof_and_finishes_what_runs(platform):
    running = Call(platform, "old")
    platform.loop.advance(TOKEN_SECONDS)
    platform.standin.begin_leaving()
    refused = Call(platform, "new", prompt("b")).outcome().unwrap_err()
    assert refused.code is ResultCode.ENDPOINT_LEAVING
    assert refused.execution is Execution.NOT_RUN
    assert platform.call_subject("state").unwrap().leaving
    assert running.outcome().is_ok()


# fault, failure code in process, failure code over HTTP, version afterwards
ORDER_FAULTS = [
    (None, None, None, 5),
    ("slow", None, None, 5),
    ("down", REFUSED, REFUSED, 0),
    ("lose_reply", ORDER_UNKNOWN, ORDER_UNKNOWN, 5),
    ("silent", "silent", ORDER_UNKNOWN, 5),
    (Fault.LOSE_REQUEST, ORDER_UNKNOWN, ORDER_UNKNOWN, 0),
    (Fault.PARTIAL_SWAP, ResultCode.SWAP_FAILED, ResultCode.SWAP_FAILED, -1),
    (Fault.CRASH, ORDER_UNKNOWN, ORDER_UNKNOWN, 0),
]


@pytest.mark.parametrize("fault, in_process, over_http, version", ORDER_FAULTS)
def test_order_under_faults_is_settled_by_reading_the_state(
    platform, fault, in_process, over_http, version
):
    platform.call_subject("state")
    platform.set_fault(fault)
    outcome = platform.call_subject("order", swap(5))
    assert failure_code(outcome) == (over_http if platform.over_http else in_process)
    if platform.standin.faults.down:
        platform.clear_faults()
    platform.standin.faults.silent = platform.standin.faults.lose_reply = False
    assert loaded_version(platform) == version
    partial = [item.partial for item in platform.standin.orders]
    assert partial == ([] if version == 0 else [version == -1])


def test_repeated_order_takes_effect_once(platform):
    first = platform.call_subject("order", swap(5, order_id="same")).unwrap()
    again = platform.call_subject("order", swap(5, order_id="same")).unwrap()
    assert first.last_order == again.last_order == "same"
    assert len(platform.standin.orders) == 1


def test_old_fencing_number_is_refused(platform):
    platform.call_subject("order", swap(5, fencing=9))
    assert failure_code(platform.call_subject("order", swap(4, fencing=8))) is ResultCode.FENCED
    assert platform.call_subject("state").unwrap().highest_fencing == 9
    assert loaded_version(platform) == 5


def test_engine_that_ignores_fencing_takes_an_old_order_and_says_no_versions(lenient_platform):
    lenient_platform.call_subject("order", swap(5, fencing=9))
    assert lenient_platform.call_subject("order", swap(4, fencing=8)).is_ok()
    assert lenient_platform.call_subject("state").unwrap().highest_fencing == 0
    assert loaded_version(lenient_platform) == 4
    call = Call(lenient_platform)
    assert call.outcome().is_ok()
    assert {chunk.versions for chunk in call.chunks} == {()}
    assert lenient_platform.standin.ledger[0].versions == (4,) * 6


@pytest.mark.parametrize("restart", [False, True])
def test_swap_spans_or_restarts_a_stream(platform, restart):
    body = prompt(tokens=12)
    call = Call(platform, body=body)
    platform.loop.advance(4 * TOKEN_SECONDS)
    order = EngineOrder("o", 1, OrderKind.SWAP_VERSION, "base", 1, restart_running=restart)
    platform.call_subject("order", order)
    assert call.outcome().is_ok()
    versions = platform.standin.ledger[0].versions
    assert call.data == expected_output(body, versions)
    assert set(versions) == ({1} if restart else {0, 1})


def test_cache_events_come_late_and_after_a_number(platform):
    Call(platform).outcome()
    assert platform.call_subject("cache_events", 0).unwrap() == ()
    platform.loop.advance(5.0)
    events = platform.call_subject("cache_events", 0).unwrap()
    assert [event.cached for event in events] == [True]
    assert platform.call_subject("cache_events", events[0].sequence).unwrap() == ()


def test_generation_moves_by_its_kv_cache(platform):
    body = prompt(tokens=16)
    call = Call(platform, body=body)
    platform.loop.advance(3 * TOKEN_SECONDS)
    exported = platform.call_subject("export_kv", "h").unwrap()
    assert failure_code(call.outcome()) is ResultCode.CANCELLED
    assert platform.call_subject("export_kv", "h").unwrap_err().code is ResultCode.NOT_FOUND
    assert failure_code(platform.call_subject("import_kv", "x", b"junk")) is ResultCode.BAD_REQUEST
    platform.call_subject("import_kv", "moved", exported).unwrap()
    moved = Call(platform, "moved", body, offset=len(call.data))
    assert moved.outcome().is_ok()
    assert call.data + moved.data == expected_output(body, [0] * 16)


def test_restarted_engine_has_a_new_incarnation(platform):
    before = platform.call_subject("state").unwrap().incarnation
    platform.call_subject("order", swap(5))
    platform.standin.crash()
    platform.loop.settle()
    assert failure_code(platform.call_subject("state")) is REFUSED
    platform.clear_faults()
    state = platform.call_subject("state").unwrap()
    assert state.incarnation != before
    assert state.models == (LoadedModel("base", 0),)
