"""Measures in virtual time how long it takes until all samplers use newly published weights."""

from dataclasses import dataclass, replace
from random import Random

from pumicedeck.clocks import VirtualTime
from pumicedeck.faults import Fault, FaultRate, FaultSwitches
from pumicedeck.platform_interfaces import LoadedModel, WeightVersion
from pumicedeck.standin_engines import StandinEngine
from pumicedeck.standin_ledgers import EngineSettings
from pumicedeck.standin_tables import StandinTableStore, StoreLimits
from pumicedeck.standin_weights import StandinWeightStore
from pumicedeck.swaps import SwapPosition, SwapSettings
from pumicedeck.weight_followers import FollowerPorts, FollowerSettings, WeightFollower

MODEL = "tuner"
PUBLISHED_AT_SECONDS = 10.0
SWAP_TARGET_SECONDS = 31.0
MAX_OBSERVED_SECONDS = 120.0
OBSERVATION_INTERVAL_SECONDS = 0.1
READS_PER_SECOND = 2000.0
COMMITS_PER_SECOND = 300.0
STORE_LATENCY_SECONDS = 0.005


@dataclass(frozen=True, slots=True)
class SwapScene:
    """One publication of weights of `size` bytes.

    `rate` is that of the weight store in bytes per second, shared by all regions. The shares are
    fractions of orders that fail partway, whose reply is lost, and that are lost themselves.
    """

    samplers: int = 600
    regions: int = 2
    size: int = 10**9
    rate: float = 60e9
    install_seconds: float = 1.0
    partial_share: float = 0.02
    lost_reply_share: float = 0.02
    lost_order_share: float = 0.0


@dataclass(frozen=True, slots=True)
class SwapFigures:
    """Seconds from the publication until half, 99% and all of the samplers were swapped.

    `all_seconds` is infinite if a sampler was not swapped within 120 s.
    """

    half_seconds: float
    p99_seconds: float
    all_seconds: float
    failed_orders: int
    peak_transfers: int
    peak_commits: int
    peak_reads: int


class SwapRun:
    """Simulates weight followers with stand-in engines, a table service and a weight store."""

    def __init__(self, scene: SwapScene, seed: int) -> None:
        """Create all samplers with version 1 of the weights."""
        self._scene = scene
        self._time = VirtualTime()
        self._rng = Random(seed)
        limits = StoreLimits(READS_PER_SECOND, COMMITS_PER_SECOND, STORE_LATENCY_SECONDS)
        self._table = StandinTableStore(self._time, limits=limits)
        self._weights = StandinWeightStore(self._time, bytes_per_second=scene.rate)
        self._settings = FollowerSettings(swaps=SwapSettings(store_rate=scene.rate / scene.regions))
        self._followers = [self._create_follower(number) for number in range(scene.samplers)]

    def run(self) -> SwapFigures:
        """Publish a version and run until all samplers use it, or for 120 s."""
        for follower in self._followers:
            follower.start([MODEL])
        self._publish_weights(1)
        self._time.run_until(PUBLISHED_AT_SECONDS)
        self._publish_weights(2)
        seconds_until_swapped: dict[int, float] = {}
        elapsed = 0.0
        while len(seconds_until_swapped) < len(self._followers) and elapsed < MAX_OBSERVED_SECONDS:
            elapsed += OBSERVATION_INTERVAL_SECONDS
            self._time.run_until(PUBLISHED_AT_SECONDS + elapsed)
            for number, follower in enumerate(self._followers):
                if number not in seconds_until_swapped and follower.version(MODEL) == 2:
                    seconds_until_swapped[number] = elapsed
        return self._build_figures(sorted(seconds_until_swapped.values()))

    def _publish_weights(self, version: int) -> None:
        self._weights.publish(WeightVersion(MODEL, version, self._scene.size), lambda done: None)

    def _create_follower(self, number: int) -> WeightFollower:
        scene = self._scene
        faults = FaultSwitches(self._rng)
        faults.set_rates(
            FaultRate(Fault.PARTIAL_SWAP, scene.partial_share, "order"),
            FaultRate(Fault.LOSE_REPLY, scene.lost_reply_share, "order"),
            FaultRate(Fault.LOSE_REQUEST, scene.lost_order_share, "order"),
        )
        settings = EngineSettings(
            models=(LoadedModel(MODEL, 1),), install_seconds=scene.install_seconds
        )
        name = f"sampler-{number:04}"
        engine = StandinEngine(self._time, faults, settings, self._weights.fetch, name)
        ports = FollowerPorts(self._time, self._table, self._weights, engine)
        follower = WeightFollower(name, f"{name}/1", ports, True, self._rng, self._settings)
        rank, region_size = number // scene.regions, scene.samplers // scene.regions
        follower.set_swap_position(SwapPosition(rank, max(region_size, rank + 1)))
        return follower

    def _build_figures(self, swap_seconds: list[float]) -> SwapFigures:
        is_complete = len(swap_seconds) == self._scene.samplers
        usage = self._table.usage
        return SwapFigures(
            half_seconds=_time_of_share(swap_seconds, 0.5, self._scene.samplers),
            p99_seconds=_time_of_share(swap_seconds, 0.99, self._scene.samplers),
            all_seconds=swap_seconds[-1] if is_complete else float("inf"),
            failed_orders=sum(each.counts.failed for each in self._followers),
            peak_transfers=self._weights.peak_transfers,
            peak_commits=usage.peak_transactions,
            peak_reads=usage.peak_reads,
        )


def _time_of_share(swap_seconds: list[float], share: float, count: int) -> float:
    position = int(share * (count - 1))
    return swap_seconds[position] if position < len(swap_seconds) else float("inf")


def measure_swaps(scene: SwapScene, seeds: int = 3) -> list[SwapFigures]:
    """Run a scene with the seeds 0 to `seeds` - 1."""
    return [SwapRun(scene, seed).run() for seed in range(seeds)]


def lowest_rate(scene: SwapScene, seeds: int = 2, tries: int = 6) -> float:
    """Return the lowest rate found at which every seed meets the target; bisects `tries` times."""
    low_rate, high_rate = 0.0, scene.rate
    for _ in range(tries):
        mid_rate = (low_rate + high_rate) / 2
        figures = measure_swaps(replace(scene, rate=mid_rate), seeds)
        if max(each.all_seconds for each in figures) <= SWAP_TARGET_SECONDS:
            high_rate = mid_rate
        else:
            low_rate = mid_rate
    return high_rate


def swap_table(scene: SwapScene, figures: list[SwapFigures]) -> str:
    """Return the results of one scene as a text table with a row for each seed."""
    names = list(SwapFigures.__dataclass_fields__)
    lines = [f"{scene}", "  ".join(name.rjust(14) for name in names)]
    for each in figures:
        lines.append("  ".join(f"{getattr(each, name):14.1f}" for name in names))
    return "\n".join(lines)
