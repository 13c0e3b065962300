"""The settings of the modules that decide, as the switches of the mechanisms ask for them."""

from dataclasses import dataclass
from math import inf

from pumicedeck.call_limits import RetrySettings
from pumicedeck.gateway_settings import MechanismSettings
from pumicedeck.order_announcements import AnnouncementSettings
from pumicedeck.peer_checks import PeerCheckSettings
from pumicedeck.request_quarantines import QuarantineSettings
from pumicedeck.scheduling.engine_shares import ShareSettings
from pumicedeck.scheduling.event_intervals import IntervalSettings
from pumicedeck.scheduling.item_pacing import PacingSettings
from pumicedeck.scheduling.item_queues import MoveSettings, QueueSettings
from pumicedeck.scheduling.scheduler_parts import SchedulerSettings
from pumicedeck.scheduling.submission_adoptions import AdoptionSettings
from pumicedeck.scheduling.weight_plans import WeightPlanSettings
from pumicedeck.stream_versions import StreamVersionSettings


@dataclass(frozen=True, slots=True)
class DecisionSettings:
    """Settings of the decisions of one gateway.

    With `avoids_failed` endpoints that failed a short time ago are chosen last. With
    `observes_limits` requests acquire permits at endpoints that name a request limit. With
    `observes_software` output goes on only at the software version that began it. With
    `learns_lengths` estimated lengths are converted to events. With
    `delays_weak_machines` a machine with few CPU cores takes over a lost lease later.
    """

    scheduler: SchedulerSettings = SchedulerSettings()
    adoption: AdoptionSettings = AdoptionSettings()
    plan: WeightPlanSettings = WeightPlanSettings()
    shares: ShareSettings = ShareSettings()
    queue: QueueSettings = QueueSettings()
    moves: MoveSettings = MoveSettings()
    intervals: IntervalSettings = IntervalSettings()
    announcement: AnnouncementSettings = AnnouncementSettings()
    retries: RetrySettings = RetrySettings()
    peer_check: PeerCheckSettings = PeerCheckSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    stream_versions: StreamVersionSettings = StreamVersionSettings()
    avoids_failed: bool = True
    observes_limits: bool = True
    observes_software: bool = True
    learns_lengths: bool = True
    delays_weak_machines: bool = True


def choose_decision_settings(mechanisms: MechanismSettings) -> DecisionSettings:
    """Return the settings with which each mechanism that is switched off has no effect."""
    on = DecisionSettings()
    scheduler = SchedulerSettings(
        optional_group_wait_seconds=(
            on.scheduler.optional_group_wait_seconds if mechanisms.optional_groups else 0.0
        ),
        stall_seconds=on.scheduler.stall_seconds if mechanisms.stalled_engine_ends else inf,
    )
    pacing = PacingSettings() if mechanisms.turns_of_short_items else PacingSettings(share=0.0)
    return DecisionSettings(
        scheduler=scheduler,
        adoption=AdoptionSettings(reuses_outputs=mechanisms.reuse_of_outputs, pacing=pacing),
        plan=on.plan if mechanisms.loads_in_turns else WeightPlanSettings(loads_share=1.0),
        shares=ShareSettings(by_need=mechanisms.engines_by_need),
        queue=QueueSettings(mechanisms.longest_first, mechanisms.placement_by_end),
        moves=on.moves if mechanisms.moves else MoveSettings(max_moves=0),
        intervals=IntervalSettings(
            mechanisms.interval_windows,
            mechanisms.remembered_engine_speeds,
            mechanisms.noise_aware_moves,
        ),
        announcement=AnnouncementSettings(trusts_rows=mechanisms.announced_orders),
        retries=RetrySettings(retries=mechanisms.retries),
        peer_check=(
            on.peer_check
            if mechanisms.peer_checks
            else PeerCheckSettings(disconnected_after_seconds=inf)
        ),
        quarantine=(
            on.quarantine if mechanisms.request_quarantine else QuarantineSettings(max_crashes=inf)
        ),
        avoids_failed=mechanisms.outlier_avoidance,
        observes_limits=mechanisms.request_permits,
        observes_software=mechanisms.software_versions,
        learns_lengths=mechanisms.learned_lengths,
        delays_weak_machines=mechanisms.weak_machines_later,
    )
