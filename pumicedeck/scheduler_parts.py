"""What the scheduler works with, and its times."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pumicedeck.clocks import TimerQueue
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.endpoint_callers import EndpointCaller
from pumicedeck.engine_orders import EngineOrders
from pumicedeck.item_queues import MoveSettings
from pumicedeck.partitioned_stores import PartitionedStore
from pumicedeck.reward_calls import RewardCaller
from pumicedeck.route_tables import Route, RouteTable
from pumicedeck.store_clocks import StoreClock
from pumicedeck.submission_sweeps import SubmissionSweep
from pumicedeck.weight_plans import WeightPlanSettings
from pumicedeck.work_mirrors import WorkMirror
from pumicedeck.world import FailureDomain


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Times in seconds.

    A group that the step can do without waits up to `spare_seconds` for the newest weights. Orders
    wait `takeover_seconds` after another holder's lease, within which that holder may have
    sent its last one. A run that says nothing for `silence_seconds` is ended.
    """

    tick_seconds: float = 0.1
    takeover_seconds: float = 3.3
    silence_seconds: float = 1.5
    stall_seconds: float = 0.7
    save_seconds: float = 0.35
    avoid_seconds: float = 2.0
    refusal_pause_seconds: float = 0.1
    default_give_up_seconds: float = 40.0
    optional_group_wait_seconds: float = 1.4
    overdue_tolerance_seconds: float = 0.7


@dataclass(slots=True)
class SchedulerParts:
    """What the scheduler works with."""

    timers: TimerQueue
    store: PartitionedStore
    clock: StoreClock
    mirror: WorkMirror
    directory: EndpointDirectory
    caller: EndpointCaller
    rewards: RewardCaller
    orders: EngineOrders
    routes: Callable[[], RouteTable | None]
    announced_versions: dict[str, int]
    holder: str
    home: FailureDomain
    may_claim: Callable[[], bool]
    sweep: SubmissionSweep
    plan: WeightPlanSettings = field(default_factory=WeightPlanSettings)
    moves: MoveSettings = field(default_factory=MoveSettings)

    def route(self, name: str) -> Route | None:
        """Return a route by its name, None if it is gone."""
        routes = self.routes()
        return routes.find_named(name) if routes is not None else None
