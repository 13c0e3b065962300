"""Simulates processes, sessions and links around the real catalogue and membership logic."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from time import process_time

from pumicedeck.catalogue_entries import Catalogue
from pumicedeck.catalogue_followers import CatalogueFollower, FollowerHooks
from pumicedeck.catalogue_propagations import NO_REVISION
from pumicedeck.clocks import VirtualTime
from pumicedeck.codecs import LENGTH_BYTES, decode, encode
from pumicedeck.experiment_stores import (
    ExperimentObjectStore,
    ExperimentTableStore,
    ExperimentVmList,
    StoreService,
)
from pumicedeck.membership_drivers import MembershipDriver, MembershipHooks
from pumicedeck.messages import Heartbeat, LoadReport, Message
from pumicedeck.sessions import SessionSettings
from pumicedeck.topology import Vm, VmRole

SEGMENT_OVERHEAD_BYTES = 52
LOCAL_DELAY_SECONDS = 0.0015
REMOTE_DELAY_SECONDS = 0.030
DIAL_TIMEOUT_SECONDS = 5.0
TIMED_HEARTBEATS = 2000

_SESSION_SETTINGS = SessionSettings()
_SAMPLE_LOAD = LoadReport(12, 8, 8, 4000, 3000, 2500.0, 777, True)


def message_bytes(message: Message) -> int:
    """Return the bytes on the wire of a message and its TCP acknowledgement."""
    return len(encode(message)) + 2 * SEGMENT_OVERHEAD_BYTES


def heartbeat_processor_seconds() -> float:
    """Measure the CPU seconds for encoding one heartbeat and decoding another."""
    heartbeat = Heartbeat(100_000, 190_000, load=_SAMPLE_LOAD)
    started_at = process_time()
    for _ in range(TIMED_HEARTBEATS):
        decode(encode(heartbeat)[LENGTH_BYTES:])
    return (process_time() - started_at) / TIMED_HEARTBEATS


def session_bytes_per_second(heartbeat_seconds: float) -> float:
    """Return the bytes per second that the heartbeats of one session cost each of its two nodes."""
    entry = message_bytes(Heartbeat(100_000, 190_000, floor=100_000))
    agent = message_bytes(Heartbeat(100_000, 190_000, load=_SAMPLE_LOAD))
    return (entry + agent) / heartbeat_seconds


@dataclass(slots=True)
class Links:
    """Records which pairs of regions are cut off from each other."""

    disconnected_pairs: set[frozenset[str]] = field(default_factory=set)

    def are_connected(self, first: str, second: str) -> bool:
        """Return whether packets pass between two regions."""
        return frozenset((first, second)) not in self.disconnected_pairs


@dataclass(frozen=True, slots=True)
class Installation:
    """The installation of a catalogue revision in a process at second `time`."""

    time: float
    revision: int


class ClusterProcess:
    """One incarnation of an entry or agent process; both ends of a session record it."""

    def __init__(self, cluster: "SimulatedCluster", vm: Vm, rng: Random) -> None:
        """Create the process of `vm`; `start` starts it."""
        self.vm = vm
        self.alive = True
        self.ready_at: float | None = None
        self.ready_revision = NO_REVISION
        self.installations: list[Installation] = []
        self.sessions: dict[str, ClusterProcess] = {}
        self.bytes = 0
        self._cluster = cluster
        self._time = cluster.time
        hooks = FollowerHooks(
            self._send, self._on_catalogue_installed, self._announce_revision, self._report_ready
        )
        table = ExperimentTableStore(cluster.service, self._reaches_store)
        objects = ExperimentObjectStore(cluster.service, self._reaches_store)
        self.follower = CatalogueFollower(table, objects, self._time, rng, hooks)
        self.membership: MembershipDriver | None = None
        if vm.role is VmRole.ENTRY:
            vm_list = ExperimentVmList(cluster.service, cluster.list_vms, self._reaches_store)
            dials = MembershipHooks(self._connect, self._close_connection, lambda name: None)
            self.membership = MembershipDriver(vm, vm_list, self._time, rng, dials)

    @property
    def region(self) -> str:
        """Return the region of the VM."""
        return self.vm.failure_domain.region

    def start(self) -> None:
        """Start the process."""
        self.follower.start()
        if self.membership is not None:
            self.membership.start()

    def kill(self) -> None:
        """Kill the process; its peers close their sessions after the silence limit."""
        self.alive = False
        self.follower.close()
        if self.membership is not None:
            self.membership.close()
        for peer in list(self.sessions.values()):
            self._time.call_later(
                _SESSION_SETTINGS.max_silence_seconds, lambda peer=peer: peer.close_session(self)
            )

    def close_session(self, peer: "ClusterProcess") -> None:
        """Close the session with a peer."""
        if self.sessions.get(peer.vm.name) is not peer:
            return
        del self.sessions[peer.vm.name]
        if not self.alive:
            return
        self.follower.peer_disconnected(peer.vm.name)
        if self.membership is not None:
            self.membership.session_closed(peer.vm.name)

    def reaches(self, peer: "ClusterProcess") -> bool:
        """Return whether a packet to `peer` would arrive."""
        return peer.alive and self._cluster.links.are_connected(self.region, peer.region)

    def _reaches_store(self) -> bool:
        return self._cluster.links.are_connected(self.region, self._cluster.store_region)

    def _connect(self, vm: Vm) -> None:
        peer = self._cluster.processes.get(vm.name)
        if peer is None or not self.reaches(peer):
            self._time.call_later(
                DIAL_TIMEOUT_SECONDS, lambda: self._report_connect_failure(vm.name)
            )
            return
        self._time.call_later(2 * self._delay(peer), lambda: self._open_session(peer))

    def _report_connect_failure(self, name: str) -> None:
        if self.alive and self.membership is not None:
            self.membership.session_closed(name)

    def _open_session(self, peer: "ClusterProcess") -> None:
        if not self.alive or not self.reaches(peer):
            self._report_connect_failure(peer.vm.name)
            return
        self.sessions[peer.vm.name] = peer
        peer.sessions[self.vm.name] = self
        for one, other in ((self, peer), (peer, self)):
            one.follower.peer_connected(other.vm.name)
            one.send_heartbeat(other)
        if self.membership is not None:
            self.membership.session_opened(peer.vm.name)

    def _close_connection(self, name: str) -> None:
        peer = self.sessions.get(name)
        if peer is not None:
            self.close_session(peer)
            self._time.call_later(self._delay(peer), lambda: peer.close_session(self))

    def send_heartbeat(self, peer: "ClusterProcess") -> None:
        """Send the catalogue revision in an extra heartbeat; regular ones are not simulated."""
        if self.follower.revision >= 0:
            self._send(peer.vm.name, Heartbeat(0, self.follower.revision))

    def _announce_revision(self, revision: int) -> None:
        for peer in list(self.sessions.values()):
            self.send_heartbeat(peer)

    def _send(self, name: str, message: Message) -> None:
        peer = self.sessions.get(name)
        if peer is None:
            return
        size = message_bytes(message)
        self.bytes += size
        if self.reaches(peer):
            peer.bytes += size
            self._time.call_later(self._delay(peer), lambda: peer.receive(self, message))

    def receive(self, peer: "ClusterProcess", message: Message) -> None:
        """Handle a message from a peer with an open session."""
        if not self.alive or self.sessions.get(peer.vm.name) is not peer:
            return
        if isinstance(message, Heartbeat):
            self.follower.revision_announced(peer.vm.name, message.revision)
        else:
            self.follower.message(peer.vm.name, message)

    def _on_catalogue_installed(self, catalogue: Catalogue) -> None:
        self.installations.append(Installation(self._time.now(), catalogue.revision))
        if self.membership is not None:
            self.membership.catalogue_installed(catalogue)

    def _report_ready(self) -> None:
        self.ready_at = self._time.now()
        self.ready_revision = self.follower.revision

    def _delay(self, peer: "ClusterProcess") -> float:
        return LOCAL_DELAY_SECONDS if peer.region == self.region else REMOTE_DELAY_SECONDS


class SimulatedCluster:
    """The processes, the store and the list of VMs of a deployment."""

    def __init__(
        self,
        time: VirtualTime,
        rng: Random,
        service: StoreService,
        vms: tuple[Vm, ...],
        list_vms: Callable[[], tuple[Vm, ...]],
    ) -> None:
        """Create a process for each VM; `list_vms` returns the VMs that the platform lists."""
        self.time = time
        self.service = service
        self.list_vms = list_vms
        self.links = Links()
        self.store_region = vms[0].failure_domain.region
        self.ended_processes: list[ClusterProcess] = []
        self._rng = rng
        self.processes = {vm.name: self._create_process(vm) for vm in vms}

    def start(self) -> None:
        """Start every process at once."""
        for process in self.processes.values():
            process.start()

    def live(self) -> list[ClusterProcess]:
        """Return the running processes."""
        return [each for each in self.processes.values() if each.alive]

    def kill(self, victims: list[ClusterProcess]) -> None:
        """Kill processes at the same time."""
        for process in victims:
            process.kill()
            self.ended_processes.append(process)

    def restart(self, ended_processes: list[ClusterProcess]) -> None:
        """Start new processes on the VMs of killed ones."""
        for process in ended_processes:
            new_process = self._create_process(process.vm)
            self.processes[process.vm.name] = new_process
            new_process.start()

    def split_regions(self, first: str, second: str) -> None:
        """Cut two regions off from each other; their sessions close after the silence limit."""
        self.links.disconnected_pairs.add(frozenset((first, second)))
        for process in self.live():
            for peer in list(process.sessions.values()):
                if not process.reaches(peer):
                    self.time.call_later(
                        _SESSION_SETTINGS.max_silence_seconds,
                        lambda one=process, other=peer: _close_if_unreachable(one, other),
                    )

    def rejoin_regions(self) -> None:
        """Reconnect all regions."""
        self.links.disconnected_pairs.clear()

    def session_counts(self) -> Counter[VmRole]:
        """Return the largest number of sessions of any process, by role."""
        counts: Counter[VmRole] = Counter()
        for process in self.live():
            counts[process.vm.role] = max(counts[process.vm.role], len(process.sessions))
        return counts

    def _create_process(self, vm: Vm) -> ClusterProcess:
        return ClusterProcess(self, vm, Random(self._rng.random()))


def _close_if_unreachable(process: ClusterProcess, peer: ClusterProcess) -> None:
    if not process.reaches(peer):
        process.close_session(peer)
