"""Runs that receive no events end soon, so that their items go on at other engines.

Guards against an item that stays with an engine that froze, that sends bytes but no events, or that
is silent for this run only, until its step is late.
"""

import pytest

from pumicedeck.scheduling.run_ends import RunContact, RunEnd, RunToEnd, choose_runs_to_end

SILENCE_SECONDS = 1.5
STALL_SECONDS = 0.7


def ends(contacts, now, loading=()):
    return choose_runs_to_end(
        contacts, lambda engine: engine in loading, now, SILENCE_SECONDS, STALL_SECONDS
    )


def run(name, engine, last_event_at, **fields):
    return RunContact(("s", name), engine, last_event_at, **fields)


def test_all_runs_of_an_engine_end_when_none_of_them_has_events():
    contacts = [run("a", "e1", 0.0), run("b", "e1", 0.2), run("c", "e2", 0.9)]
    assert ends(contacts, 0.85) == []
    found = ends(contacts, 1.0)
    assert [each.key[1] for each in found] == ["a", "b"]
    assert all(each.end is RunEnd.BROKEN and each.engine_silent for each in found)


def test_one_run_with_events_keeps_the_others_of_its_engine_for_a_while():
    contacts = [run("quiet", "e1", 0.0), run("busy", "e1", 1.4)]
    assert ends(contacts, 1.45) == []
    (found,) = ends(contacts, 1.6)
    assert found == RunToEnd(("s", "quiet"), RunEnd.BROKEN, engine_failed=True)


def test_an_engine_that_loads_weights_may_pause():
    contacts = [run("a", "e1", 0.0)]
    assert ends(contacts, 1.2, loading={"e1"}) == []
    assert len(ends(contacts, 1.6, loading={"e1"})) == 1


@pytest.mark.parametrize(
    ("fields", "end"),
    [({"is_unreadable": True}, RunEnd.BROKEN), ({"has_wrong_version": True}, RunEnd.WRONG_VERSION)],
)
def test_a_run_that_is_of_no_use_ends_at_once(fields, end):
    (found,) = ends([run("a", "e1", 1.0, **fields)], 1.0)
    assert found.end is end
    assert found.engine_failed == (end is RunEnd.BROKEN)
