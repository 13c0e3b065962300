"""Defines the workloads and policies that the draft experiments compare."""

from dataclasses import dataclass, replace

from pumicedeck.catalogue_entries import CatalogueEntry, Limits, RequestClass
from pumicedeck.draws import DrawSettings
from pumicedeck.stragglers import StragglerSettings
from pumicedeck.trainer_steps import DRAW_AHEAD_SHARE

UNBOUNDED = 1_000_000


@dataclass(frozen=True, slots=True)
class Workload:
    """One trainer with its samplers and the booking requests that share them.

    `booking_rate` is in requests per second. The first sampler takes `slow_factor` times as long
    for each token as the others.
    """

    entry: CatalogueEntry
    samplers: int
    groups: int
    booking_rate: float
    slow_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class DraftPolicy:
    """One combination of in-flight window, router, hedging, drawing ahead and swap policy.

    The next step is drawn ahead once at most `ahead_share` of the groups are missing.
    `chooses_swap_policy` lets `choose_policy` decide whether a swap restarts running drafts.
    `migrates_drafts` moves long drafts to less loaded samplers by exporting and importing their
    KV cache.
    """

    name: str
    settings: DrawSettings
    round_robin: bool = False
    ahead_share: float = 0.0
    chooses_swap_policy: bool = False
    migrates_drafts: bool = False


def _entry(name: str, firm: str, idle: float, stale: float) -> CatalogueEntry:
    return CatalogueEntry(
        name,
        firm,
        RequestClass.ROLLOUT,
        (name,),
        limits=Limits(concurrency=UNBOUNDED),
        model=name,
        staleness_bound=1,
        idle_time_weight=idle,
        staleness_weight=stale,
    )


WORKLOADS = (
    Workload(_entry("tuner-gen", "tainan", 3.0, 1.0), 6, 128, 2.0),
    Workload(_entry("redator", "quintela", 1.0, 3.0), 4, 85, 1.3),
)


def _baseline(window: int = UNBOUNDED) -> DrawSettings:
    return DrawSettings(
        stragglers=StragglerSettings(window=window, target_wait=float("inf"), hedge_share=0.0)
    )


POLICIES = (
    DraftPolicy("round robin", _baseline(), round_robin=True),
    DraftPolicy("least outstanding", _baseline()),
    DraftPolicy("least outst. ahead", _baseline(), ahead_share=DRAW_AHEAD_SHARE),
    DraftPolicy("late binding", DrawSettings(), chooses_swap_policy=True),
    DraftPolicy(
        "pumicedeck", DrawSettings(), ahead_share=DRAW_AHEAD_SHARE, chooses_swap_policy=True
    ),
)
MOVE_POLICIES = (
    DraftPolicy(
        "late binding, moves", DrawSettings(), chooses_swap_policy=True, migrates_drafts=True
    ),
    DraftPolicy("pumicedeck, moves", DrawSettings(), False, DRAW_AHEAD_SHARE, True, True),
)

UNHEDGED_POLICY = DraftPolicy(
    "pumicedeck, no copies",
    DrawSettings(stragglers=StragglerSettings(hedge_share=0.0)),
    ahead_share=DRAW_AHEAD_SHARE,
    chooses_swap_policy=True,
)
SPAN_POLICIES = (
    DraftPolicy("late binding, span", DrawSettings()),
    DraftPolicy("pumicedeck, span", DrawSettings(), ahead_share=DRAW_AHEAD_SHARE),
)
SLOW_WORKLOADS = tuple(replace(workload, slow_factor=5.0) for workload in WORKLOADS)
SCENES = {
    "undisturbed": (WORKLOADS, POLICIES),
    "slow": (SLOW_WORKLOADS, (*POLICIES, UNHEDGED_POLICY)),
    "span": (WORKLOADS, (*POLICIES[-2:], *SPAN_POLICIES)),
    "moves": (WORKLOADS, (*POLICIES[-2:], *MOVE_POLICIES)),
}
