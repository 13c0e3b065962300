"""Every store fault at every step of an edit, a start and a fetch, alone and twice."""

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
TARGET_SECONDS = 16.0


class Bench:
    """A table and object store whose faults are scripted by call."""

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
    bench = Bench()
    edit = bench.edit(1)
    bench.switches.script(first, step)
    if second is not None:
        bench.switches.script(second, step + 1)
    answer = bench.call(bench.editor.submit, edit)
    if answer.is_err() and answer.unwrap_err().code is ResultCode.EDIT_UNKNOWN:
        answer = bench.call(bench.editor.resolve, edit.change_id)
    assert answer.unwrap().revision == 1
    history = bench.call(bench.editor.history, 10).unwrap()
    assert [change.change_id for change in history.changes] == [edit.change_id]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_refusal_fences_whatever_call_fails(fault: Fault, step: int) -> None:
    bench = Bench()
    edit = bench.edit(1)
    bench.switches.script(fault, step)
    assert bench.call(bench.editor.resolve, edit.change_id).is_err()
    assert bench.call(bench.editor.submit, edit).is_err()
    assert bench.call(bench.editor.read).unwrap().revision == 0


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_process_starts_and_follows_whatever_call_fails(fault: Fault, step: int) -> None:
    bench = Bench()
    for number in range(3):
        bench.call(bench.editor.submit, bench.edit(number)).unwrap()
    bench.follower_switches.script(fault, step)
    follower = bench.follower()
    bench.time.run_until(bench.time.now() + TARGET_SECONDS)
    assert (follower.revision, follower.ready) == (3, True)
    edit = bench.edit(3)
    accepted: list[Any] = []
    bench.editor.submit(edit, accepted.append)
    while not accepted:
        bench.time.run_until(bench.time.now() + 0.001)
    bench.follower_switches.script(fault, step)
    bench.time.run_until(bench.time.now() + TARGET_SECONDS)
    assert follower.revision == 4
