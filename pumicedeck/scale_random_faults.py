"""Random faults over a deployment in virtual time, several at once, and what they leave behind."""

from dataclasses import dataclass
from random import Random

from pumicedeck.experiment_stores import StoreFaults
from pumicedeck.scale_deployments import REGIONS, ScaleDeployment, ScaleSize
from pumicedeck.scale_experiments import TARGET_SECONDS, count_reverts
from pumicedeck.scale_processes import ScaleProcess

MEAN_GAP_SECONDS = 20.0
SETTLE_SECONDS = 60.0
MAX_KILLED_FRACTION = 0.5

FAULTS = (
    StoreFaults(lost_reply=0.3),
    StoreFaults(unanswered=0.3),
    StoreFaults(lost_request=0.2, late=0.2),
    StoreFaults(min_delay=0.5, max_delay=4.0),
)


@dataclass(frozen=True, slots=True)
class RecoveryReport:
    """What was left after the faults: processes behind, not ready or without a session."""

    events: int
    commits: int
    reverts: int
    behind: int
    unready: int
    isolated: int


class _Disorder:
    """Draws one fault after the other."""

    def __init__(self, size: ScaleSize, seed: int) -> None:
        self.world = ScaleDeployment(size, seed)
        self.cluster = self.world.cluster
        self.events = 0
        self._rng = Random(seed)
        self._ended: list[ScaleProcess] = []

    def run(self, seconds: float) -> None:
        self.cluster.start()
        end = self.world.time.now() + seconds
        while self.world.time.now() < end:
            self.events += 1
            self._rng.choice(
                (
                    self._edit,
                    self._edit,
                    self._kill,
                    self._restart,
                    self._split,
                    self.cluster.join,
                    self._stop_store,
                    self._heal_store,
                    self._harm_store,
                )
            )()
            self.world.run(self._rng.expovariate(1.0 / MEAN_GAP_SECONDS))

    def heal(self) -> None:
        self._heal_store()
        self.cluster.join()
        self._restart()
        self.world.run(SETTLE_SECONDS)
        self._edit()
        self.world.run(1.0 + TARGET_SECONDS)

    def _edit(self) -> None:
        self.world.edit()

    def _kill(self) -> None:
        live = self.cluster.live()
        count = self._rng.randint(1, max(1, int(MAX_KILLED_FRACTION * len(live))))
        doomed = self._rng.sample(live, min(count, len(live)))
        self.cluster.kill(doomed)
        self._ended += doomed

    def _restart(self) -> None:
        self.cluster.restart(self._ended)
        self._ended = []

    def _split(self) -> None:
        self.cluster.split(*REGIONS)

    def _stop_store(self) -> None:
        self.world.service.down = True

    def _heal_store(self) -> None:
        self.world.service.down = False
        self.world.service.faults = StoreFaults()

    def _harm_store(self) -> None:
        self.world.service.faults = self._rng.choice(FAULTS)


def run_random_faults(size: ScaleSize, seed: int, seconds: float) -> RecoveryReport:
    """Run random faults, heal them all, and report what did not recover in time."""
    disorder = _Disorder(size, seed)
    disorder.run(seconds)
    disorder.heal()
    world = disorder.world
    live = world.cluster.live()
    return RecoveryReport(
        events=disorder.events,
        commits=len(world.commits),
        reverts=count_reverts(world.processes()),
        behind=sum(each.follower.revision < world.newest_revision for each in live),
        unready=sum(each.ready_at is None for each in live),
        isolated=sum(not each.sessions for each in live),
    )
