"""Tests of the catalogue follower with simulated stores and peers in virtual time."""

from random import Random

import pytest

from pumicedeck.catalogue_editors import CatalogueEditor
from pumicedeck.catalogue_entries import Pool
from pumicedeck.catalogue_followers import CatalogueFollower, FollowerHooks
from pumicedeck.catalogue_rows import SNAPSHOT_OBJECT
from pumicedeck.catalogue_stores import MAX_CHANGES_PER_READ
from pumicedeck.clocks import VirtualTime
from pumicedeck.edits import make_edit, new_change_id
from pumicedeck.experiment_stores import (
    ExperimentObjectStore,
    ExperimentTableStore,
    StoreFaults,
    StoreService,
)
from pumicedeck.messages import Message
from pumicedeck.topology import EndpointKind

PROPAGATION_TARGET_SECONDS = 16.0


class FollowerSimulation:
    """One store and one editor in virtual time, and followers that exchange messages as peers."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.service = StoreService(self.time, Random(1), StoreFaults())
        self.table = ExperimentTableStore(self.service)
        self.objects = ExperimentObjectStore(self.service)
        self.editor = CatalogueEditor(self.table, self.objects, self.time, Random(2))
        self.followers: dict[str, CatalogueFollower] = {}
        self.installed: dict[str, list[int]] = {}
        self.edits = 0

    def follower(self, name: str) -> CatalogueFollower:
        def send(peer: str, message: Message) -> None:
            self.time.call_later(0.03, lambda: self.followers[peer].message(name, message))

        def announce(revision: int) -> None:
            for peer in self.followers.values():
                if peer is not self.followers[name]:
                    self.time.call_later(
                        0.03, lambda to=peer: to.revision_announced(name, revision)
                    )

        revisions = self.installed.setdefault(name, [])
        hooks = FollowerHooks(send, lambda each: revisions.append(each.revision), announce)
        follower = CatalogueFollower(self.table, self.objects, self.time, Random(name), hooks)
        self.followers[name] = follower
        follower.start()
        return follower

    def edit(self, count: int = 1) -> None:
        for _ in range(count):
            self.edits += 1
            self.editor.read(lambda read_result: self._submit(read_result.unwrap()))
            self.run(1.0)

    def _submit(self, stored: object) -> None:
        pool = Pool(f"p{self.edits:04d}", EndpointKind.SERVICE)
        change_id = new_change_id(stored.revision, f"{self.edits:08d}")
        edit = make_edit(stored, change_id, "ana", "", (pool,))
        self.editor.submit(edit, lambda answer: answer.unwrap())

    def run(self, seconds: float) -> None:
        self.time.run_until(self.time.now() + seconds)


def test_a_follower_installs_each_change_within_the_target() -> None:
    simulation = FollowerSimulation()
    simulation.edit(3)
    follower = simulation.follower("a")
    simulation.run(PROPAGATION_TARGET_SECONDS)
    assert (follower.revision, follower.ready) == (3, True)
    simulation.edit()
    simulation.run(PROPAGATION_TARGET_SECONDS)
    assert follower.catalogue.revision == 4
    assert len(follower.catalogue.pools) == 4
    follower.close()
    simulation.edit()
    simulation.run(60.0)
    assert simulation.installed["a"] == [3, 4]


@pytest.mark.parametrize("snapshot", ["missing", "damaged", "stale", "too old"])
def test_a_bad_snapshot_is_harmless(snapshot: str) -> None:
    simulation = FollowerSimulation()
    simulation.edit()
    first_snapshot = simulation.service.objects[SNAPSHOT_OBJECT]
    simulation.edit(MAX_CHANGES_PER_READ + 1 if snapshot == "too old" else 3)
    if snapshot == "missing":
        del simulation.service.objects[SNAPSHOT_OBJECT]
    else:
        simulation.service.objects[SNAPSHOT_OBJECT] = (
            b"\x1f" if snapshot == "damaged" else first_snapshot
        )
    follower = simulation.follower("a")
    simulation.run(PROPAGATION_TARGET_SECONDS)
    assert follower.revision == simulation.edits
    assert len(follower.catalogue.pools) == simulation.edits


def test_what_one_process_learnt_before_an_outage_reaches_the_others_and_new_ones() -> None:
    simulation = FollowerSimulation()
    simulation.edit()
    followers = [simulation.follower(name) for name in "abc"]
    simulation.run(PROPAGATION_TARGET_SECONDS)
    simulation.edit()
    simulation.run(0.0)
    while all(each.revision < 2 for each in followers):
        simulation.run(0.01)
    simulation.service.down = True
    simulation.run(PROPAGATION_TARGET_SECONDS)
    assert [each.revision for each in followers] == [2, 2, 2]
    late_follower = simulation.follower("d")
    for peer in "abc":
        late_follower.peer_connected(peer)
    simulation.run(PROPAGATION_TARGET_SECONDS)
    assert (late_follower.revision, late_follower.ready) == (2, True)
