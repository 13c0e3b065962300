"""Tests of experiments: files, the fake engine, equal arrivals for all policies, and reports."""

import pytest
import yaml

from pumicedeck.clocks import VirtualTime
from pumicedeck.experiment_engines import EngineJob, FakeEngine
from pumicedeck.experiment_files import parse_experiment
from pumicedeck.experiment_loads import arrivals
from pumicedeck.experiments import measure, run_experiment
from pumicedeck.results import ResultCode

SMALL_EXPERIMENT = """
name: small
seconds: 40
warmup: 5
seeds: [1, 2]
domains: [{name: a, region: south, entries: 2}]
pools: [{name: p, agents: {a: 2}}]
policies: [{name: fair}, {name: base, router: two_choices, queue: fifo}]
loads:
  - {entry: x, firm: f, request_class: interactive, pools: [p], rate: 4, tokens: 40}
"""


def parse_small_experiment(**changes):
    return parse_experiment({**yaml.safe_load(SMALL_EXPERIMENT), **changes})


def test_report_names_every_policy_and_load_and_repeats_itself(tmp_path):
    path = tmp_path / "small.yaml"
    path.write_text(SMALL_EXPERIMENT)
    report, again = run_experiment(path).unwrap(), run_experiment(path).unwrap()
    assert report == again and report.policies == ("fair", "base")
    assert "interactive" in report.text() and report.svg().count("<polyline") == 3
    loads = [run.load("x") for run in report.runs]
    assert all(each.offered == each.whole + each.refused + each.failed for each in loads)
    assert loads[0].offered == loads[2].offered != loads[1].offered


@pytest.mark.parametrize(
    "changes",
    [
        {"unknown": 1},
        {"pools": [{"name": "p", "agents": {"nowhere": 1}}]},
        {"domains": [{"name": "a", "region": "south"}]},
        {"policies": [{"name": "x", "router": "none"}]},
    ],
)
def test_wrong_files_are_refused(changes, tmp_path):
    path = tmp_path / "wrong.yaml"
    path.write_text(yaml.safe_dump({**yaml.safe_load(SMALL_EXPERIMENT), **changes}))
    assert run_experiment(path).unwrap_err().code is ResultCode.BAD_SETTINGS
    assert run_experiment(tmp_path / "none.yaml").is_err()


def test_surges_multiply_the_arrivals():
    surge = {"start": 20, "end": 40, "factor": 3}
    load = {**yaml.safe_load(SMALL_EXPERIMENT)["loads"][0], "rate": 50, "surges": [surge]}
    times = [each.time for each in arrivals(parse_small_experiment(loads=[load]).unwrap(), 1)]
    before = sum(each < 20 for each in times)
    assert 2.7 * before < len(times) - before < 3.3 * before


def make_job(handle, priority=0, tokens=100, prefix=""):
    return EngineJob(handle, priority, tokens, 0, prefix, 1000)


def test_engine_pauses_the_lowest_priority_and_loses_no_work():
    time, ends = VirtualTime(), {}
    engine = FakeEngine(time, 1, 50.0, 4000.0, 1000)
    engine.start(make_job("low"), lambda: ends.update(low=time.now()))
    time.run_until(1.0)
    engine.start(make_job("high", 5), lambda: ends.update(high=time.now()))
    engine.start(make_job("gone", 9), lambda: ends.update(gone=time.now()))
    engine.cancel("gone")
    time.run_until(10.0)
    assert ends == {"high": 3.0, "low": 4.0}


def test_engine_keeps_prefixes_within_its_memory_and_slows_down():
    time, ends = VirtualTime(), {}
    engine = FakeEngine(time, 4, 50.0, 4000.0, 1000)
    for handle, prefix in (("1", "a"), ("2", "a"), ("3", "b"), ("4", "a")):
        engine.start(make_job(handle, prefix=prefix), lambda: None)
    assert (engine.cache.hits, engine.cache.misses) == (1, 3)
    time.run_until(5.0)
    engine.start(make_job("5", tokens=50), lambda: ends.update(end=time.now()))
    engine.set_speed_factor(0.1)
    time.run_until(20.0)
    assert ends == {"end": 15.0}
    assert measure(parse_small_experiment(seeds=[3]).unwrap()).is_ok()
