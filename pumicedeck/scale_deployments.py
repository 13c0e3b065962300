"""Simulates a deployment in virtual time with an operator who edits the catalogue."""

from dataclasses import dataclass, replace
from random import Random

from result import Err, Ok, Result

from pumicedeck.catalogue_editors import CatalogueEditor
from pumicedeck.catalogue_entries import CatalogueEntry, Pool, RequestClass
from pumicedeck.catalogue_rows import RowValue, StoredCatalogue
from pumicedeck.clocks import VirtualTime
from pumicedeck.edits import EditAccepted, make_edit, new_change_id
from pumicedeck.experiment_stores import (
    ExperimentObjectStore,
    ExperimentTableStore,
    StoreFaults,
    StoreService,
)
from pumicedeck.results import Failure
from pumicedeck.scale_processes import ClusterProcess, SimulatedCluster
from pumicedeck.topology import (
    Address,
    Endpoint,
    EndpointKind,
    FailureDomain,
    Vm,
    VmRole,
)

REGIONS = ("south", "north")
FAILURE_DOMAINS = 6
AGENTS_PER_POOL = 50
CATALOGUE_ENTRIES_PER_POOL = 10
FIRST_PORT = 7000
EDIT_RETRY_DELAY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Numbers of entry VMs and of agents of a deployment."""

    entries: int
    agents: int

    @property
    def pools(self) -> int:
        """Return the number of pools."""
        return max(2, self.agents // AGENTS_PER_POOL)

    @property
    def processes(self) -> int:
        """Return the number of processes."""
        return self.entries + self.agents


@dataclass(frozen=True, slots=True)
class Commit:
    """A catalogue change whose acceptance the operator learnt at second `time`."""

    revision: int
    time: float


def build_vms(size: DeploymentSize) -> tuple[Vm, ...]:
    """Return the VMs of a deployment, spread evenly over the failure domains."""
    domains = [
        FailureDomain(f"{REGIONS[index % 2]}-{index}", REGIONS[index % 2])
        for index in range(FAILURE_DOMAINS)
    ]
    vms = []
    for index in range(size.entries):
        address = Address(f"10.0.{index // 250}.{index % 250}", FIRST_PORT)
        domain = domains[index % FAILURE_DOMAINS]
        vms.append(Vm(f"entry-{index:04d}", VmRole.ENTRY, domain, address))
    for index in range(size.agents):
        address = Address(f"10.1.{index // 250}.{index % 250}", FIRST_PORT)
        endpoint = Endpoint(f"e{index}", f"pool-{index % size.pools}", EndpointKind.MODEL)
        domain = domains[index // size.pools % FAILURE_DOMAINS]
        name = f"agent-{index:04d}"
        vms.append(Vm(name, VmRole.AGENT, domain, address, endpoint=endpoint))
    return tuple(vms)


def initial_rows(size: DeploymentSize) -> tuple[RowValue, ...]:
    """Return the initial pools and entries of the catalogue."""
    pools = [
        Pool(f"pool-{index}", EndpointKind.MODEL, models=("base",)) for index in range(size.pools)
    ]
    entries = [
        CatalogueEntry(
            f"entry-{index}",
            f"firm-{index % size.pools}",
            RequestClass.INTERACTIVE,
            (f"pool-{index % size.pools}",),
            model="base",
        )
        for index in range(CATALOGUE_ENTRIES_PER_POOL * size.pools)
    ]
    return (*pools, *entries)


class SimulatedDeployment:
    """A cluster of processes with its store and an operator."""

    def __init__(self, size: DeploymentSize, seed: int) -> None:
        """Create the deployment and its first catalogue; no process is started."""
        self.size = size
        self.time = VirtualTime()
        self.rng = Random(seed)
        self.service = StoreService(self.time, self.rng, StoreFaults())
        self.vms = build_vms(size)
        self.commits: list[Commit] = []
        table = ExperimentTableStore(self.service)
        objects = ExperimentObjectStore(self.service)
        self._editor = CatalogueEditor(table, objects, self.time, self.rng)
        self._edit_count = 0
        self._submit_edit(initial_rows(size))
        self.run(5.0)
        self.cluster = SimulatedCluster(
            self.time, self.rng, self.service, self.vms, lambda: self.vms
        )

    @property
    def newest_revision(self) -> int:
        """Return the newest accepted revision."""
        return self.commits[-1].revision

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.time.run_until(self.time.now() + seconds)

    def run_with_edits(self, seconds: float, interval_seconds: float) -> None:
        """Advance virtual time by `seconds` with an edit every `interval_seconds`."""
        end = self.time.now() + seconds
        while self.time.now() + interval_seconds <= end:
            self.edit()
            self.run(interval_seconds)
        self.run(max(0.0, end - self.time.now()))

    def edit(self) -> None:
        """Submit a change of the concurrency limit of a random catalogue entry."""
        entries = [each for each in initial_rows(self.size) if isinstance(each, CatalogueEntry)]
        entry = self.rng.choice(entries)
        concurrency = self.rng.randrange(1, 100_000)
        self._submit_edit((replace(entry, limits=replace(entry.limits, concurrency=concurrency)),))

    def _submit_edit(self, changed_rows: tuple[RowValue, ...]) -> None:
        def on_catalogue_read(result: Result[StoredCatalogue, Failure]) -> None:
            if isinstance(result, Err):
                self.time.call_later(
                    EDIT_RETRY_DELAY_SECONDS, lambda: self._submit_edit(changed_rows)
                )
                return
            self._edit_count += 1
            change_id = new_change_id(result.ok_value.revision, f"{self._edit_count:08d}")
            edit = make_edit(result.ok_value, change_id, "operator", "", changed_rows)
            self._editor.submit(edit, on_answer)

        def on_answer(answer: Result[EditAccepted, Failure]) -> None:
            if isinstance(answer, Ok):
                self.commits.append(Commit(answer.ok_value.revision, self.time.now()))

        self._editor.read(on_catalogue_read)

    def processes(self) -> list[ClusterProcess]:
        """Return all process incarnations, including killed ones."""
        return [*self.cluster.ended_processes, *self.cluster.processes.values()]
