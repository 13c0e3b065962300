"""Store faults, single or two in a row, at each store call of an edit, a start and a fetch."""

from itertools import product
from random import Random
from typing import Any

import pytest

from pumicedeck.catalogue_editors import CatalogueEditor
from pumicedeck.catalogue_entries import Pool
from pumicedeck.catalogue_followers import CatalogueFollower, FollowerHooks
from pumicedeck.clocks import VirtualTime
from pumicedeck.edits import make_edit, new_change_id
from pumicedeck.faults import Fault, FaultSwitches
from pumicedeck.results import ResultCode
from pumicedeck.standin_objects import StandinObjectStore
from pumicedeck.standin_tables import StandinTableStore, TableData
from pumicedeck.topology import EndpointKind

FAULTS = (Fault.DOWN, Fault.LOSE_REQUEST, Fault.LOSE_REPLY, Fault.SILENT)
STEPS = range(1, 6)
PROPAGATION_TARGET_SECONDS = 16.0


class CatalogueHarness:
    """A catalogue editor and followers on stores whose faults are scripted by call."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.switches = FaultSwitches()
        self.data = TableData()
        self.table = StandinTableStore(self.time, self.switches, self.data)
        self.objects = StandinObjectStore(self.time, self.switches)
        self.follower_switches = FaultSwitches()
        self.editor = CatalogueEditor(self.table, self.objects, self.time, Random(1))

    def call(self, method: Any, *arguments: Any) -> Any:
        results: list[Any] = []
        method(*arguments, results.append)
        self.time.run_until(self.time.now() + 120.0)
        assert len(results) == 1
        return results[0]

    def edit(self, number: int) -> Any:
        stored = self.call(self.editor.read).unwrap()
        change_id = new_change_id(stored.revision, f"{number:08d}")
        pool = Pool(f"p{number}", EndpointKind.SERVICE)
        return make_edit(stored, change_id, "ana", "noon", (pool,))

    def follower(self) -> CatalogueFollower:
        hooks = FollowerHooks(lambda peer, message: None, lambda catalogue: None)
        table = StandinTableStore(self.time, self.follower_switches, self.data)
        objects = StandinObjectStore(self.time, self.follower_switches, self.objects.objects)
        follower = CatalogueFollower(table, objects, self.time, Random(2), hooks)
        follower.start()
        return follower


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(("first", "second"), tuple(product(FAULTS, (None, *FAULTS))))
def test_an_edit_is_made_once_whatever_call_fails(
    first: Fault, second: Fault | None, step: int
) -> None:
    harness = CatalogueHarness()
    edit = harness.edit(1)
    harness.switches.script(first, step)
    if second is not None:
        harness.switches.script(second, step + 1)
    answer = harness.call(harness.editor.submit, edit)
    if answer.is_err() and answer.unwrap_err().code is ResultCode.EDIT_UNKNOWN:
        answer = harness.call(harness.editor.resolve, edit.change_id)
    assert answer.unwrap().revision == 1
    history = harness.call(harness.editor.history, 10).unwrap()
    assert [change.change_id for change in history.changes] == [edit.change_id]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_refusal_fences_whatever_call_fails(fault: Fault, step: int) -> None:
    harness = CatalogueHarness()
    edit = harness.edit(1)
    harness.switches.script(fault, step)
    assert harness.call(harness.editor.resolve, edit.change_id).is_err()
    assert harness.call(harness.editor.submit, edit).is_err()
    assert harness.call(harness.editor.read).unwrap().revision == 0


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_process_starts_and_follows_whatever_call_fails(fault: Fault, step: int) -> None:
    harness = CatalogueHarness()
    for number in range(3):
        harness.call(harness.editor.submit, harness.edit(number)).unwrap()
    harness.follower_switches.script(fault, step)
    follower = harness.follower()
    harness.time.run_until(harness.time.now() + PROPAGATION_TARGET_SECONDS)
    assert (follower.revision, follower.ready) == (3, True)
    edit = harness.edit(3)
    accepted: list[Any] = []
    harness.editor.submit(edit, accepted.append)
    while not accepted:
        harness.time.run_until(harness.time.now() + 0.001)
    harness.follower_switches.script(fault, step)
    harness.time.run_until(harness.time.now() + PROPAGATION_TARGET_SECONDS)
    assert follower.revision == 4
