"""The timing of the scheduler, and the components that it uses."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.partitioned_stores import PartitionedStore
from pumicedeck.request_limiters import RequestLimiter
from pumicedeck.route_tables import Route, RouteTable
from pumicedeck.scheduling.engine_orders import EngineOrders
from pumicedeck.scheduling.engine_shares import ShareSettings
from pumicedeck.scheduling.event_intervals import IntervalSettings
from pumicedeck.scheduling.item_queues import MoveSettings, QueueSettings
from pumicedeck.scheduling.length_estimates import LengthEstimates
from pumicedeck.scheduling.reward_calls import RewardCaller
from pumicedeck.scheduling.route_freshness import RouteFreshness
from pumicedeck.scheduling.submission_adoptions import AdoptionSettings
from pumicedeck.scheduling.submission_sweeps import SubmissionSweep
from pumicedeck.scheduling.weight_plans import WeightPlanSettings
from pumicedeck.store_clocks import StoreClock
from pumicedeck.topology import FailureDomain
from pumicedeck.work_mirrors import WorkMirror


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Timing of the scheduler, in seconds.

    The scheduler looks for work every `tick_seconds` and saves partial outputs every
    `save_seconds`. After taking the lease over from another holder it sends no order until
    `takeover_seconds` after the last moment at which earlier holders may have sent one, because
    that order may still be under way.

    A run without data for `silence_seconds` ends. All runs of an engine end if none of them has
    received data for `stall_seconds`. An item avoids an engine at which its run ended early for
    `avoid_seconds`; after a run that the engine did not take, the item waits
    `refusal_pause_seconds`, after an unexpected status `status_pause_seconds`.
    `default_give_up_seconds` applies to routes without a give-up time. On a route that is split
    over several pools, an item that has waited `pool_wait_seconds` may start in another one of
    them.

    A group that the step can do without waits up to `optional_group_wait_seconds` for the newest
    weights. `overdue_tolerance_seconds` is added to the deadline of a submission.
    """

    tick_seconds: float = 0.1
    # Engines want 3 s between orders of two holders; one that was handed over may leave 0.8 s late.
    takeover_seconds: float = 3.7
    silence_seconds: float = 1.5
    stall_seconds: float = 0.7
    save_seconds: float = 0.35
    avoid_seconds: float = 2.0
    refusal_pause_seconds: float = 0.1
    status_pause_seconds: float = 0.5
    pool_wait_seconds: float = 2.0
    default_give_up_seconds: float = 40.0
    optional_group_wait_seconds: float = 1.4
    overdue_tolerance_seconds: float = 0.7


@dataclass(slots=True)
class SchedulerParts:
    """The collaborators of the scheduler.

    `routes` returns None until routes were read; `freshness` says whether they are as new as a
    submission. `announced_versions` has the newest announced weight version by model. `holder` is
    the name that goes into orders and owner rows. `home` is the failure domain of this process.
    `may_claim` returns whether the lease is held now.
    """

    timers: TimerQueue
    store: PartitionedStore
    clock: StoreClock
    mirror: WorkMirror
    directory: EndpointDirectory
    caller: EndpointCaller
    rewards: RewardCaller
    orders: EngineOrders
    limiter: RequestLimiter
    routes: Callable[[], RouteTable | None]
    freshness: RouteFreshness
    announced_versions: dict[str, int]
    holder: str
    home: FailureDomain
    may_claim: Callable[[], bool]
    sweep: SubmissionSweep
    plan: WeightPlanSettings = field(default_factory=WeightPlanSettings)
    shares: ShareSettings = field(default_factory=ShareSettings)
    moves: MoveSettings = field(default_factory=MoveSettings)
    queue: QueueSettings = field(default_factory=QueueSettings)
    intervals: IntervalSettings = field(default_factory=IntervalSettings)
    adoption: AdoptionSettings = field(default_factory=AdoptionSettings)
    lengths: LengthEstimates = field(default_factory=LengthEstimates)

    def route(self, name: str) -> Route | None:
        """Return a route by its name, None if there is none."""
        routes = self.routes()
        return routes.find_named(name) if routes is not None else None
