"""Tests of the stand-in engine in virtual time, checked against its ledger."""

import json

import pytest
from result import Result

from pumicedeck.clocks import VirtualTime
from pumicedeck.faults import Fault
from pumicedeck.platform_interfaces import EngineOrder, Generation, LoadedModel, OrderKind
from pumicedeck.results import ResultCode
from pumicedeck.standin_batches import BatchSettings, body_digest, token_text
from pumicedeck.standin_caches import CacheSettings
from pumicedeck.standin_engines import StandinEngine
from pumicedeck.standin_ledgers import EngineSettings


class Call:
    """Collects the output of a generation; a chunk with a lower offset replaces output."""

    def __init__(self):
        self.data = b""
        self.versions = []
        self.outcome: Result | None = None

    def chunk(self, chunk):
        self.data = self.data[: chunk.offset] + chunk.data
        if chunk.offset == 0:
            self.versions = []
        self.versions += chunk.versions

    def done(self, outcome):
        assert self.outcome is None
        self.outcome = outcome


def body(prompt="hello", tokens=8, **more):
    return json.dumps({"prompt": prompt, "max_tokens": tokens, **more}).encode()


def expected_output(data, versions):
    digest = body_digest(data)
    return b"".join(token_text(digest, i, version) for i, version in enumerate(versions))


def engine(slots=2, **settings):
    timers = VirtualTime()
    batch = BatchSettings(slots=slots, token_seconds=0.1, step_tokens=1)
    return timers, StandinEngine(timers, settings=EngineSettings(batch=batch, **settings))


def start(standin, handle, data, priority=0, streamed=False, offset=0):
    call = Call()
    generation = Generation(handle, "base", "/v1/generate", data, priority, streamed, offset)
    standin.generate(generation, call.chunk, call.done)
    return call


def swap(standin, order_id="o1", fencing=1, version=1, restart=False):
    outcomes = []
    order = EngineOrder(
        order_id, fencing, OrderKind.SWAP_VERSION, "base", version, restart_running=restart
    )
    standin.order(order, outcomes.append)
    return outcomes


def test_priority_decides_who_gets_the_free_slot():
    timers, standin = engine(slots=1)
    calls = [start(standin, f"h{i}", body(f"p{i}"), priority=i) for i in range(3)]
    timers.run_until(1.65)
    assert [call.outcome is not None for call in calls] == [True, False, True]


@pytest.mark.parametrize("restart, versions", [(False, [0, 0, 0, 1, 1]), (True, [1] * 5)])
def test_swap_spans_or_restarts_running_drafts(restart, versions):
    timers, standin = engine()
    call = start(standin, "h", body(tokens=5))
    timers.run_until(0.35)
    outcomes = swap(standin, restart=restart)
    timers.run_until(2.0)
    assert outcomes[0].unwrap().models == (LoadedModel("base", 1),)
    assert call.versions == versions
    assert call.data == expected_output(body(tokens=5), versions)
    assert standin.ledger[0].versions == tuple(versions)


def test_partial_swap_leaves_version_unknown_until_the_next_whole_one():
    timers, standin = engine()
    standin.faults.script(Fault.PARTIAL_SWAP, operation="order")
    first = swap(standin)
    timers.run_until(1.0)
    assert first[0].unwrap_err().code is ResultCode.SWAP_FAILED
    states = []
    standin.state(states.append)
    timers.run_until(2.0)
    assert states[0].unwrap().models == (LoadedModel("base", -1),)
    call = start(standin, "h", body())
    timers.run_until(4.0)
    assert set(call.versions) == {-1}
    swap(standin, "o2", 1, 2)
    timers.run_until(5.0)
    assert standin.orders[-1].order.version == 2


@pytest.mark.parametrize("checks, version", [(True, 2), (False, 1)])
def test_old_fencing_number_is_refused_only_by_engines_that_check(checks, version):
    timers, standin = engine(checks_fencing=checks)
    swap(standin, "new", 7, 2)
    timers.run_until(1.0)
    old = swap(standin, "old", 6, 1)
    timers.run_until(2.0)
    assert old[0].is_err() == checks
    states = []
    standin.state(states.append)
    timers.run_until(3.0)
    assert states[0].unwrap().models[0].version == version
    assert states[0].unwrap().highest_fencing == (7 if checks else 0)


def test_stream_resumes_by_offset_after_its_connection_went_silent():
    timers, standin = engine()
    data = body(tokens=6)
    first = start(standin, "h", data, streamed=True)
    timers.run_until(0.25)
    standin.faults.silence_open()
    timers.run_until(0.45)
    second = start(standin, "h", data, streamed=True, offset=len(first.data))
    timers.run_until(5.0)
    assert first.outcome is None
    assert second.outcome.is_ok()
    assert first.data + second.data == expected_output(data, [0] * 6)
    assert standin.executions(data) == 1


def test_crash_loses_running_work_and_restart_forgets_fencing():
    timers, standin = engine()
    swap(standin, "o", 5, 3)
    call = start(standin, "h", body(tokens=20))
    timers.run_until(0.5)
    standin.crash()
    refused = start(standin, "h2", body())
    timers.run_until(0.6)
    assert call.outcome.unwrap_err().code is ResultCode.ENDPOINT_FAILED
    assert refused.outcome.unwrap_err().proven_not_run
    standin.restart()
    states = []
    standin.state(states.append)
    timers.run_until(1.0)
    state = states[0].unwrap()
    assert (state.models[0].version, state.highest_fencing) == (0, 0)
    assert standin.ledger[0].outcome == "crashed"
    assert standin.ledger[0].incarnation != state.incarnation


def test_cancel_and_kv_move_to_another_engine():
    timers, source = engine()
    target = StandinEngine(timers, name="other")
    data = body(tokens=10)
    call = start(source, "h", data, streamed=True)
    timers.run_until(0.45)
    exported = []
    source.export_kv("h", exported.append)
    timers.run_until(0.5)
    assert call.outcome.unwrap_err().code is ResultCode.CANCELLED
    imported = []
    target.import_kv("moved", exported[0].unwrap(), imported.append)
    timers.run_until(0.6)
    assert imported[0].is_ok()
    moved = start(target, "moved", data, streamed=True, offset=len(call.data))
    timers.run_until(3.0)
    assert call.data + moved.data == expected_output(data, [0] * 10)
    assert moved.outcome.unwrap().length == len(expected_output(data, [0] * 10))


def test_cache_events_come_late_and_with_gaps():
    cache = CacheSettings(capacity_tokens=3, event_lag=5.0, gap_probability=0.3)
    timers, standin = engine(cache=cache)
    for number in range(20):
        start(standin, f"h{number}", body(prefix=f"p{number}", prefix_tokens=1, tokens=1))
    timers.run_until(2.0)
    early, late = [], []
    standin.cache_events(0, early.append)
    timers.run_until(10.0)
    standin.cache_events(0, late.append)
    timers.run_until(11.0)
    assert early[0].unwrap() == ()
    numbers = [event.sequence for event in late[0].unwrap()]
    assert numbers == sorted(set(numbers)) and 0 < len(numbers) < max(numbers)
    assert len(standin.cache.prefixes) == 3


def test_load_report_lags_and_leaving_refuses_with_proof():
    timers, standin = engine(report_lag=1.0)
    call = start(standin, "h", body(tokens=30))
    timers.run_until(0.5)
    reported = []
    standin.state(reported.append)
    timers.run_until(1.5)
    standin.state(reported.append)
    standin.begin_leaving()
    refused = start(standin, "late", body())
    timers.run_until(5.0)
    assert [item.unwrap().running for item in reported] == [0, 1]
    assert refused.outcome.unwrap_err().code is ResultCode.ENDPOINT_LEAVING
    assert refused.outcome.unwrap_err().proven_not_run
    assert call.outcome.is_ok()


def test_raising_callback_stalls_nobody():
    timers, standin = engine()
    first = start(standin, "h1", body("a"))
    first.chunk = first.done = lambda _: [][0]
    generation = Generation("h1", "base", "/v1/generate", body("a"))
    standin.generate(generation, first.chunk, first.done)
    others = [start(standin, f"h{i}", body(f"p{i}")) for i in range(2, 6)]
    raised = 0
    for _ in range(20):
        try:
            timers.run_until(10.0)
        except IndexError:
            raised += 1
    assert raised == 2
    assert all(call.outcome.is_ok() for call in others)
    assert len(standin.ledger) == 5


def test_no_token_is_made_while_any_of_two_installs_runs():
    timers, standin = engine(install_seconds=1.0)
    call = start(standin, "h", body(tokens=20), streamed=True)
    timers.run_until(0.25)
    before = len(call.versions)
    swap(standin, "a", 1, 1)
    timers.run_until(0.75)
    swap(standin, "b", 1, 2)
    timers.run_until(1.7)
    assert len(call.versions) == before
    timers.run_until(9.0)
    assert set(call.versions) == {0, 2}
    assert call.outcome.is_ok()
