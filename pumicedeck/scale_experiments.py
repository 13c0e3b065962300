"""Measures the spread of the catalogue, the store's load and control costs at several sizes."""

import json
import time as wall
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from itertools import pairwise

from pumicedeck.heartbeat_intervals import heartbeat_interval
from pumicedeck.memberships import MembershipSettings
from pumicedeck.scale_deployments import REGIONS, Commit, ScaleDeployment, ScaleSize
from pumicedeck.scale_processes import (
    ScaleProcess,
    heartbeat_processor_seconds,
    session_bytes_per_second,
)
from pumicedeck.sessions import SessionSettings
from pumicedeck.topology import VmRole

SIZES = (
    ScaleSize(95, 150),
    ScaleSize(190, 300),
    ScaleSize(285, 450),
    ScaleSize(380, 600),
)
SECONDS_PER_DAY = 86_400.0
CHANGES_PER_DAY = 1900
TARGET_SECONDS = 16.0
SETTLE_SECONDS = 60.0
STEP_SECONDS = 0.001
STORE_CALL_BYTES = 1000


@dataclass(frozen=True, slots=True)
class ScaleDurations:
    """How long each scenario lasts, in seconds."""

    steady: float = 600.0
    outage: float = 3600.0
    split: float = 3600.0


@dataclass(frozen=True, slots=True)
class ScaleFigures:
    """What one scenario showed.

    `slowest` is the longest time in seconds from an accepted change to its being in force in a
    process that could learn of it; `missed` counts processes in which it never was. Reads include
    those that a store that is down refuses. Bytes are a second and a node, on the wire both ways;
    `processor` is the share of one core a node.
    """

    size: ScaleSize
    scenario: str
    changes: int
    slowest: float
    missed: int
    reverts: int
    reads_mean: float
    reads_peak: int
    writes_peak: int
    entry_sessions: int
    agent_sessions: int
    entry_bytes: float
    agent_bytes: float
    processor: float


def run_scale(
    sizes: tuple[ScaleSize, ...] = SIZES,
    seed: int = 1,
    durations: ScaleDurations | None = None,
) -> tuple[ScaleFigures, ...]:
    """Run all scenarios at each size."""
    found = []
    for size in sizes:
        run = _ScaleRun(size, seed, durations or ScaleDurations())
        found += run.all()
    return tuple(found)


def render_scale(figures: tuple[ScaleFigures, ...]) -> str:
    """Render the figures as a table."""
    lines = [
        "| entries | agents | scenario | changes | slowest s | missed | reverts | reads/s mean "
        "| reads/s peak | writes/s peak | sessions entry | sessions agent | B/s entry "
        "| B/s agent | core % |",
        "|" + "---|" * 15,
    ]
    for each in figures:
        cells = (
            each.size.entries,
            each.size.agents,
            each.scenario,
            each.changes,
            f"{each.slowest:.2f}",
            each.missed,
            each.reverts,
            f"{each.reads_mean:.1f}",
            each.reads_peak,
            each.writes_peak,
            each.entry_sessions,
            each.agent_sessions,
            f"{each.entry_bytes:.0f}",
            f"{each.agent_bytes:.0f}",
            f"{100.0 * each.processor:.3f}",
        )
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines)


class _ScaleRun:
    """The scenarios of one size, one after the other in one deployment."""

    def __init__(self, size: ScaleSize, seed: int, durations: ScaleDurations) -> None:
        self._size = size
        self._durations = durations
        self._world = ScaleDeployment(size, seed)
        self._cluster = self._world.cluster
        self._beat_processor = heartbeat_processor_seconds()
        self._every = SECONDS_PER_DAY / CHANGES_PER_DAY

    def all(self) -> list[ScaleFigures]:
        return [
            self._measure("start", self._start),
            self._measure("steady", self._steady),
            self._measure("outage after commit", self._outage),
            self._measure("failure domain lost", self._lose_domain),
            self._measure("regions split", self._split),
            self._measure("all restarted", self._restart_all),
        ]

    def _start(self) -> list[float]:
        since = self._world.time.now()
        self._cluster.start()
        self._world.run(SETTLE_SECONDS)
        return self._ready_delays(since)

    def _steady(self) -> list[float]:
        first = len(self._world.commits)
        self._world.run_with_edits(self._durations.steady, self._every)
        return self._spreads(first, self._cluster.live())

    def _outage(self) -> list[float]:
        """Stop the store as soon as one process has learnt of a change, and start it again."""
        first = len(self._world.commits)
        self._world.edit()
        while not self._learnt(first):
            self._world.run(STEP_SECONDS)
        self._world.service.down = True
        self._world.run(self._durations.outage)
        delays = self._spreads(first, self._cluster.live())
        self._world.service.down = False
        second = len(self._world.commits)
        self._world.edit()
        self._world.run(SETTLE_SECONDS)
        return delays + self._spreads(second, self._cluster.live())

    def _learnt(self, first: int) -> bool:
        commits = self._world.commits[first:]
        if not commits:
            return False
        revision = commits[0].revision
        return any(each.follower.revision >= revision for each in self._cluster.live())

    def _lose_domain(self) -> list[float]:
        name = self._world.vms[1].failure_domain.name
        doomed = [each for each in self._cluster.live() if each.vm.failure_domain.name == name]
        first = len(self._world.commits)
        self._cluster.kill(doomed)
        self._world.run_with_edits(2 * SETTLE_SECONDS, self._every)
        survivors = self._cluster.live()
        delays = self._spreads(first, survivors)
        since = self._world.time.now()
        self._cluster.restart(doomed)
        self._world.run(SETTLE_SECONDS)
        return delays + self._ready_delays(since)

    def _split(self) -> list[float]:
        """Cut the region without the store off; it has to catch up once they are joined."""
        first = len(self._world.commits)
        self._cluster.split(*REGIONS)
        self._world.run_with_edits(self._durations.split, self._every)
        near = [each for each in self._cluster.live() if each.region == REGIONS[0]]
        far = [each for each in self._cluster.live() if each.region == REGIONS[1]]
        self._world.run(TARGET_SECONDS)
        delays = self._spreads(first, near)
        joined = self._world.time.now()
        self._cluster.join()
        self._world.run(SETTLE_SECONDS)
        newest = Commit(self._world.newest_revision, joined)
        return delays + [_delay(process, newest) for process in far]

    def _restart_all(self) -> list[float]:
        doomed = self._cluster.live()
        self._cluster.kill(doomed)
        since = self._world.time.now()
        self._cluster.restart(doomed)
        self._world.run(SETTLE_SECONDS)
        return self._ready_delays(since)

    def _ready_delays(self, since: float) -> list[float]:
        fresh = [
            each for each in self._cluster.live() if each.ready_at is None or each.ready_at >= since
        ]
        return [float("inf") if each.ready_at is None else each.ready_at - since for each in fresh]

    def _spreads(self, first: int, processes: list[ScaleProcess]) -> list[float]:
        return [
            _delay(process, commit)
            for commit in self._world.commits[first:]
            for process in processes
        ]

    def _measure(self, scenario: str, run: Callable[[], list[float]]) -> ScaleFigures:
        world = self._world
        service = world.service
        service.reads.clear()
        service.writes.clear()
        service.refused.clear()
        began = world.time.now()
        changes = len(world.commits)
        sent = {name: each.bytes for name, each in self._cluster.processes.items()}
        processor = wall.process_time()
        delays = run()
        processor = wall.process_time() - processor
        seconds = world.time.now() - began
        counts = self._cluster.session_counts()
        attempts = service.reads + service.refused
        calls = attempts.total() / self._size.processes / seconds
        beats = max(
            count / _beat_seconds(count) * self._beat_processor for count in counts.values()
        )
        known = [delay for delay in delays if delay != float("inf")]
        return ScaleFigures(
            size=self._size,
            scenario=scenario,
            changes=len(world.commits) - changes,
            slowest=max(known, default=0.0),
            missed=len(delays) - len(known),
            reverts=count_reverts(world.processes()),
            reads_mean=attempts.total() / seconds,
            reads_peak=max(attempts.values(), default=0),
            writes_peak=max(service.writes.values(), default=0),
            entry_sessions=counts[VmRole.ENTRY],
            agent_sessions=counts[VmRole.AGENT],
            entry_bytes=self._bytes(VmRole.ENTRY, sent, seconds, calls, counts),
            agent_bytes=self._bytes(VmRole.AGENT, sent, seconds, calls, counts),
            processor=processor / seconds / self._size.processes + beats,
        )

    def _bytes(
        self,
        role: VmRole,
        sent: dict[str, int],
        seconds: float,
        calls: float,
        counts: Counter[VmRole],
    ) -> float:
        """Return the bytes of the busiest node: messages, heartbeats, store calls and the list."""
        messages = max(
            (each.bytes - sent.get(name, 0)) / seconds
            for name, each in self._cluster.processes.items()
            if each.vm.role is role
        )
        beats = counts[role] * session_bytes_per_second(_beat_seconds(counts[role]))
        lists = self._list_bytes() if role is VmRole.ENTRY else 0.0
        return messages + beats + calls * STORE_CALL_BYTES + lists

    def _list_bytes(self) -> float:
        settings = MembershipSettings()
        size = sum(len(json.dumps(asdict(vm), separators=(",", ":"))) for vm in self._world.vms)
        every = max(settings.min_poll, settings.poll_per_vm * len(self._world.vms))
        return size / every


def count_reverts(processes: list[ScaleProcess]) -> int:
    """Count steps back: within a process, or from one process of a VM to the next one."""
    reverts = 0
    newest: dict[str, int] = {}
    for process in processes:
        revisions = [each.revision for each in process.installations]
        reverts += sum(after <= before for before, after in pairwise(revisions))
        if process.ready_at is not None:
            reverts += process.ready_revision < newest.get(process.vm.name, 0)
        newest[process.vm.name] = process.follower.revision
    return reverts


def _beat_seconds(sessions: int) -> float:
    return max(SessionSettings().heartbeat, heartbeat_interval(sessions))


def _delay(process: ScaleProcess, commit: Commit) -> float:
    for installation in process.installations:
        if installation.revision >= commit.revision:
            return max(0.0, installation.time - commit.time)
    return float("inf")
