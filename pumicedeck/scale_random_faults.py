"""Injects random overlapping faults into a simulated deployment and checks that it recovers."""

from dataclasses import dataclass
from random import Random

from pumicedeck.experiment_stores import StoreFaults
from pumicedeck.scale_deployments import REGIONS, DeploymentSize, SimulatedDeployment
from pumicedeck.scale_experiments import PROPAGATION_TARGET_SECONDS, count_reverts
from pumicedeck.scale_processes import ClusterProcess

MEAN_FAULT_INTERVAL_SECONDS = 20.0
SETTLE_SECONDS = 60.0
MAX_KILLED_FRACTION = 0.5

STORE_FAULTS = (
    StoreFaults(lost_reply=0.3),
    StoreFaults(unanswered=0.3),
    StoreFaults(lost_request=0.2, late=0.2),
    StoreFaults(min_delay=0.5, max_delay=4.0),
)


@dataclass(frozen=True, slots=True)
class RecoveryReport:
    """State of the deployment after all faults ended.

    `action_count` counts the random actions: faults, their ends and edits of the catalogue.
    `behind`, `unready` and `isolated` count processes with an old catalogue revision, processes
    that are not ready, and processes without a session.
    """

    action_count: int
    commits: int
    reverts: int
    behind: int
    unready: int
    isolated: int


class _RandomFaultRun:
    """Performs random actions at random intervals, without waiting for earlier faults to end.

    An action starts or ends a fault, or edits the catalogue.
    """

    def __init__(self, size: DeploymentSize, seed: int) -> None:
        self.deployment = SimulatedDeployment(size, seed)
        self.cluster = self.deployment.cluster
        self.action_count = 0
        self._rng = Random(seed)
        self._killed_processes: list[ClusterProcess] = []

    def run(self, seconds: float) -> None:
        self.cluster.start()
        end = self.deployment.time.now() + seconds
        while self.deployment.time.now() < end:
            self.action_count += 1
            self._rng.choice(
                (
                    self._edit_catalogue,
                    self._edit_catalogue,
                    self._kill_processes,
                    self._restart_processes,
                    self._split_regions,
                    self.cluster.rejoin_regions,
                    self._stop_store,
                    self._restore_store,
                    self._degrade_store,
                )
            )()
            self.deployment.run(self._rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_SECONDS))

    def end_faults(self) -> None:
        self._restore_store()
        self.cluster.rejoin_regions()
        self._restart_processes()
        self.deployment.run(SETTLE_SECONDS)
        self._edit_catalogue()
        self.deployment.run(1.0 + PROPAGATION_TARGET_SECONDS)

    def _edit_catalogue(self) -> None:
        self.deployment.edit()

    def _kill_processes(self) -> None:
        live = self.cluster.live()
        count = self._rng.randint(1, max(1, int(MAX_KILLED_FRACTION * len(live))))
        victims = self._rng.sample(live, min(count, len(live)))
        self.cluster.kill(victims)
        self._killed_processes += victims

    def _restart_processes(self) -> None:
        self.cluster.restart(self._killed_processes)
        self._killed_processes = []

    def _split_regions(self) -> None:
        self.cluster.split_regions(*REGIONS)

    def _stop_store(self) -> None:
        self.deployment.service.down = True

    def _restore_store(self) -> None:
        self.deployment.service.down = False
        self.deployment.service.faults = StoreFaults()

    def _degrade_store(self) -> None:
        self.deployment.service.faults = self._rng.choice(STORE_FAULTS)


def run_random_faults(size: DeploymentSize, seed: int, seconds: float) -> RecoveryReport:
    """Inject random faults for `seconds`, end them all and report what did not recover in time."""
    fault_run = _RandomFaultRun(size, seed)
    fault_run.run(seconds)
    fault_run.end_faults()
    deployment = fault_run.deployment
    live = deployment.cluster.live()
    return RecoveryReport(
        action_count=fault_run.action_count,
        commits=len(deployment.commits),
        reverts=count_reverts(deployment.processes()),
        behind=sum(each.follower.revision < deployment.newest_revision for each in live),
        unready=sum(each.ready_at is None for each in live),
        isolated=sum(not each.sessions for each in live),
    )
