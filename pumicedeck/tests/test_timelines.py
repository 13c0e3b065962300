"""The timeline of a run's logs names what the last item of each step waited for.

The logs are those of simulated schedulers; what the gateway's HTTP side writes is added by hand.
"""

import csv
import json

import pytest
from loguru import logger
from typer.testing import CliRunner

from pumicedeck.cli import app
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation
from pumicedeck.timelines import (
    build_timeline,
    find_interruptions,
    find_usual_event_seconds,
)

LENGTHS = [[150, 10], [20, 20]]


@pytest.fixture(scope="module")
def log_lines():
    """Return the log of a step whose engine loads weights and whose scheduler is killed."""
    lines = []
    simulation = SchedulerSimulation(engines=1)

    def write(event, **fields):
        document = {"at": round(simulation.timers.now(), 3), "vm": "p", "event": event, **fields}
        lines.append(json.dumps(document))

    def sink(message):
        fields = dict(message.record["extra"])
        fields.pop("module", None)
        write(message.record["message"], **fields)

    number = logger.add(sink, level="INFO")
    write("submission accepted", submission="s0", step=3, items=4, seconds=0.01)
    simulation.submit(simulation.processes[1], LENGTHS, step=3)
    simulation.run(1.0)
    write("model version announced", model="m0", version=3)
    simulation.announced["m0"] = 3
    simulation.run(1.9)
    simulation.processes[0].kill()
    simulation.run(9.0)
    write("submission ended", submission="s0")
    logger.remove(number)
    return lines


def test_a_step_is_told_with_its_takeover_and_its_loads(log_lines):
    timeline = build_timeline(log_lines)
    (submission,) = timeline.submissions
    assert (submission.step, submission.total, len(submission.adoptions)) == (3, 4, 2)
    item = submission.last_completed
    assert (item.item, item.events) == ("0-0", 150)
    assert len(item.runs) == 2 and item.runs[0].end == "taken over"
    causes = {each.cause: each for each in find_interruptions(submission, item, timeline.loads)}
    assert causes["taken over"].seconds > 0.5
    assert 0.0 < causes["weight load"].seconds <= 1.3
    assert timeline.announced[("m0", 3)] == pytest.approx(submission.accepted + 1.1, abs=0.01)


def test_the_command_prints_the_text_and_the_table(log_lines, tmp_path):
    path = tmp_path / "gateway.log"
    path.write_text("\n".join([*log_lines, "{", "no event"]))
    text = CliRunner().invoke(app, ["timeline", str(path)]).stdout
    assert "step 3 of m0, submission s0: 4 items" in text
    assert "last item 0-0 complete, 150 events" in text
    assert "can run it" in text and "taken over" in text
    printed = CliRunner().invoke(app, ["timeline", "--csv", str(path)]).stdout
    (row,) = csv.DictReader(printed.splitlines())
    assert row["adoptions"] == "2" and row["unlisted"] == "0"
    assert float(row["last_item_completed"]) > 6.0


def run_lines(item, engine, started, ended, events):
    common = {"vm": "p", "submission": "s", "item": item}
    return [
        {**common, "at": started, "event": "item started", "engine": engine, "after_event": 0},
        {**common, "at": ended, "event": "item completed", "events": events},
    ]


def load_lines(engine, started, ended):
    common = {"vm": "p", "engine": engine, "version": 2}
    return [
        {**common, "at": started, "event": "weight load ordered"},
        {**common, "at": ended, "event": "weight load ended"},
    ]


def test_a_load_counts_only_for_what_the_run_took_longer():
    """Runs go on during a load: 39 s of a day were counted as lost to loads that cost 2.6 s."""
    accepted = {"event": "submission accepted", "submission": "s", "step": 0, "items": 4}
    documents = [{"at": 0.0, "vm": "p", **accepted}]
    for number in range(3):
        documents += run_lines(f"quick-{number}", f"e{number}", 0.0, 4.0, 100)
    documents += run_lines("last", "e9", 0.0, 6.2, 150)
    documents += load_lines("e9", 1.0, 2.1)
    timeline = build_timeline([json.dumps(each) for each in documents])
    usual = find_usual_event_seconds(timeline)
    assert usual == pytest.approx(0.04)
    (submission,) = timeline.submissions
    (load,) = find_interruptions(submission, submission.last_completed, timeline.loads, usual)
    assert load.cause == "weight load" and load.seconds == pytest.approx(0.2)


def test_logs_without_a_submission_are_an_error(tmp_path):
    path = tmp_path / "gateway.log"
    path.write_text('{"at": 1.0, "vm": "p", "event": "started"}')
    result = CliRunner().invoke(app, ["timeline", str(path)])
    assert result.exit_code != 0 and "no log event accepts a submission" in result.output
