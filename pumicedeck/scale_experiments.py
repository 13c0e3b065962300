"""Measures catalogue propagation, store load and control traffic at several deployment sizes."""

import json
import time as clock
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from itertools import pairwise

from pumicedeck.heartbeat_intervals import heartbeat_interval
from pumicedeck.memberships import MembershipSettings
from pumicedeck.scale_deployments import REGIONS, Commit, DeploymentSize, SimulatedDeployment
from pumicedeck.scale_processes import (
    ClusterProcess,
    heartbeat_processor_seconds,
    session_bytes_per_second,
)
from pumicedeck.sessions import SessionSettings
from pumicedeck.topology import VmRole

SIZES = (
    DeploymentSize(95, 150),
    DeploymentSize(190, 300),
    DeploymentSize(285, 450),
    DeploymentSize(380, 600),
)
SECONDS_PER_DAY = 86_400.0
CHANGES_PER_DAY = 1900
PROPAGATION_TARGET_SECONDS = 16.0
SETTLE_SECONDS = 60.0
POLL_STEP_SECONDS = 0.001
STORE_CALL_BYTES = 1000


@dataclass(frozen=True, slots=True)
class ScaleDurations:
    """Durations of the scenarios in seconds."""

    steady: float = 600.0
    outage: float = 3600.0
    split: float = 3600.0


@dataclass(frozen=True, slots=True)
class ScaleFigures:
    """Results of one scenario.

    `slowest` is the longest time in seconds from the acceptance of a change to its installation in
    a process that can be reached; `missed` counts the changes that a process never installed. Reads
    include those refused while the store is down. Bytes are per second and node, sent and received;
    `processor` is the CPU time per node as a fraction of one core.
    """

    size: DeploymentSize
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
    sizes: tuple[DeploymentSize, ...] = SIZES,
    seed: int = 1,
    durations: ScaleDurations | None = None,
) -> tuple[ScaleFigures, ...]:
    """Run all scenarios at each size and return their results."""
    results = []
    for size in sizes:
        run = _ScaleRun(size, seed, durations or ScaleDurations())
        results += run.run_scenarios()
    return tuple(results)


def render_scale(figures: tuple[ScaleFigures, ...]) -> str:
    """Return the results as a Markdown table."""
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
    """Runs the scenarios one after the other in one deployment."""

    def __init__(self, size: DeploymentSize, seed: int, durations: ScaleDurations) -> None:
        self._size = size
        self._durations = durations
        self._deployment = SimulatedDeployment(size, seed)
        self._cluster = self._deployment.cluster
        self._heartbeat_processor_seconds = heartbeat_processor_seconds()
        self._edit_interval_seconds = SECONDS_PER_DAY / CHANGES_PER_DAY

    def run_scenarios(self) -> list[ScaleFigures]:
        return [
            self._measure_scenario("start", self._start_all),
            self._measure_scenario("steady", self._run_steady),
            self._measure_scenario("outage after commit", self._run_store_outage),
            self._measure_scenario("failure domain lost", self._kill_failure_domain),
            self._measure_scenario("regions split", self._split_regions),
            self._measure_scenario("all restarted", self._restart_all),
        ]

    def _start_all(self) -> list[float]:
        since = self._deployment.time.now()
        self._cluster.start()
        self._deployment.run(SETTLE_SECONDS)
        return self._ready_delays(since)

    def _run_steady(self) -> list[float]:
        first_commit_index = len(self._deployment.commits)
        self._deployment.run_with_edits(self._durations.steady, self._edit_interval_seconds)
        return self._propagation_delays(first_commit_index, self._cluster.live())

    def _run_store_outage(self) -> list[float]:
        """Stop the store once one process has installed a change; start it after the outage."""
        first_commit_index = len(self._deployment.commits)
        self._deployment.edit()
        while not self._is_change_installed(first_commit_index):
            self._deployment.run(POLL_STEP_SECONDS)
        self._deployment.service.down = True
        self._deployment.run(self._durations.outage)
        delays = self._propagation_delays(first_commit_index, self._cluster.live())
        self._deployment.service.down = False
        second_commit_index = len(self._deployment.commits)
        self._deployment.edit()
        self._deployment.run(SETTLE_SECONDS)
        return delays + self._propagation_delays(second_commit_index, self._cluster.live())

    def _is_change_installed(self, first_commit_index: int) -> bool:
        commits = self._deployment.commits[first_commit_index:]
        if not commits:
            return False
        revision = commits[0].revision
        return any(each.follower.revision >= revision for each in self._cluster.live())

    def _kill_failure_domain(self) -> list[float]:
        name = self._deployment.vms[1].failure_domain.name
        victims = [each for each in self._cluster.live() if each.vm.failure_domain.name == name]
        first_commit_index = len(self._deployment.commits)
        self._cluster.kill(victims)
        self._deployment.run_with_edits(2 * SETTLE_SECONDS, self._edit_interval_seconds)
        survivors = self._cluster.live()
        delays = self._propagation_delays(first_commit_index, survivors)
        since = self._deployment.time.now()
        self._cluster.restart(victims)
        self._deployment.run(SETTLE_SECONDS)
        return delays + self._ready_delays(since)

    def _split_regions(self) -> list[float]:
        """Split off the region without the store; it must catch up after the regions rejoin."""
        first_commit_index = len(self._deployment.commits)
        self._cluster.split_regions(*REGIONS)
        self._deployment.run_with_edits(self._durations.split, self._edit_interval_seconds)
        store_region_processes = [
            each for each in self._cluster.live() if each.region == REGIONS[0]
        ]
        other_region_processes = [
            each for each in self._cluster.live() if each.region == REGIONS[1]
        ]
        self._deployment.run(PROPAGATION_TARGET_SECONDS)
        delays = self._propagation_delays(first_commit_index, store_region_processes)
        rejoined_at = self._deployment.time.now()
        self._cluster.rejoin_regions()
        self._deployment.run(SETTLE_SECONDS)
        newest = Commit(self._deployment.newest_revision, rejoined_at)
        return delays + [_propagation_delay(process, newest) for process in other_region_processes]

    def _restart_all(self) -> list[float]:
        victims = self._cluster.live()
        self._cluster.kill(victims)
        since = self._deployment.time.now()
        self._cluster.restart(victims)
        self._deployment.run(SETTLE_SECONDS)
        return self._ready_delays(since)

    def _ready_delays(self, since: float) -> list[float]:
        started = [
            each for each in self._cluster.live() if each.ready_at is None or each.ready_at >= since
        ]
        return [
            float("inf") if each.ready_at is None else each.ready_at - since for each in started
        ]

    def _propagation_delays(
        self, first_commit_index: int, processes: list[ClusterProcess]
    ) -> list[float]:
        return [
            _propagation_delay(process, commit)
            for commit in self._deployment.commits[first_commit_index:]
            for process in processes
        ]

    def _measure_scenario(self, scenario: str, run: Callable[[], list[float]]) -> ScaleFigures:
        deployment = self._deployment
        service = deployment.service
        service.reads.clear()
        service.writes.clear()
        service.refused.clear()
        started_at = deployment.time.now()
        changes = len(deployment.commits)
        bytes_before = {name: each.bytes for name, each in self._cluster.processes.items()}
        processor = clock.process_time()
        delays = run()
        processor = clock.process_time() - processor
        seconds = deployment.time.now() - started_at
        counts = self._cluster.session_counts()
        attempts = service.reads + service.refused
        store_calls_per_second = attempts.total() / self._size.processes / seconds
        heartbeat_processor = max(
            count / _heartbeat_interval_seconds(count) * self._heartbeat_processor_seconds
            for count in counts.values()
        )
        finite_delays = [delay for delay in delays if delay != float("inf")]
        return ScaleFigures(
            size=self._size,
            scenario=scenario,
            changes=len(deployment.commits) - changes,
            slowest=max(finite_delays, default=0.0),
            missed=len(delays) - len(finite_delays),
            reverts=count_reverts(deployment.processes()),
            reads_mean=attempts.total() / seconds,
            reads_peak=max(attempts.values(), default=0),
            writes_peak=max(service.writes.values(), default=0),
            entry_sessions=counts[VmRole.ENTRY],
            agent_sessions=counts[VmRole.AGENT],
            entry_bytes=self._busiest_node_bytes_per_second(
                VmRole.ENTRY, bytes_before, seconds, store_calls_per_second, counts
            ),
            agent_bytes=self._busiest_node_bytes_per_second(
                VmRole.AGENT, bytes_before, seconds, store_calls_per_second, counts
            ),
            processor=processor / seconds / self._size.processes + heartbeat_processor,
        )

    def _busiest_node_bytes_per_second(
        self,
        role: VmRole,
        bytes_before: dict[str, int],
        seconds: float,
        store_calls_per_second: float,
        counts: Counter[VmRole],
    ) -> float:
        """Return the bytes per second of the busiest node with a role.

        They are those of messages, heartbeats, store calls and, for an entry, the list of VMs.
        `bytes_before` holds the bytes that each VM's process had sent and received at the start of
        the scenario, which took `seconds`.
        """
        messages = max(
            (each.bytes - bytes_before.get(name, 0)) / seconds
            for name, each in self._cluster.processes.items()
            if each.vm.role is role
        )
        heartbeats = counts[role] * session_bytes_per_second(
            _heartbeat_interval_seconds(counts[role])
        )
        lists = self._vm_list_bytes_per_second() if role is VmRole.ENTRY else 0.0
        return messages + heartbeats + store_calls_per_second * STORE_CALL_BYTES + lists

    def _vm_list_bytes_per_second(self) -> float:
        settings = MembershipSettings()
        size = sum(
            len(json.dumps(asdict(vm), separators=(",", ":"))) for vm in self._deployment.vms
        )
        poll_interval_seconds = max(
            settings.min_poll, settings.poll_per_vm * len(self._deployment.vms)
        )
        return size / poll_interval_seconds


def count_reverts(processes: list[ClusterProcess]) -> int:
    """Count steps back to an older catalogue.

    These are installations in a process of a revision that is not newer than the one before, and
    processes that get ready with an older revision than the previous process on their VM had.
    """
    reverts = 0
    newest: dict[str, int] = {}
    for process in processes:
        revisions = [each.revision for each in process.installations]
        reverts += sum(after <= before for before, after in pairwise(revisions))
        if process.ready_at is not None:
            reverts += process.ready_revision < newest.get(process.vm.name, 0)
        newest[process.vm.name] = process.follower.revision
    return reverts


def _heartbeat_interval_seconds(sessions: int) -> float:
    return max(SessionSettings().heartbeat, heartbeat_interval(sessions))


def _propagation_delay(process: ClusterProcess, commit: Commit) -> float:
    for installation in process.installations:
        if installation.revision >= commit.revision:
            return max(0.0, installation.time - commit.time)
    return float("inf")
