"""Each mechanism can be switched off by its own setting, and then has no effect.

Guards against a table of what the mechanisms are worth whose rows switch off nothing, or more than
the one mechanism that they name.
"""

from dataclasses import fields
from random import Random

import pytest

from pumicedeck.decision_settings import DecisionSettings, choose_decision_settings
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.gateway_settings import MechanismSettings
from pumicedeck.order_announcements import (
    ANY_ENDPOINT,
    AnnouncedOrders,
    AnnouncementSettings,
    FormerHolder,
    OrderAnnouncement,
)
from pumicedeck.request_quarantines import Crash, RequestQuarantine
from pumicedeck.scheduling.event_intervals import (
    EngineEventIntervals,
    IntervalSettings,
    RunEventInterval,
)
from pumicedeck.scheduling.item_placements import assign_items
from pumicedeck.scheduling.item_queues import EngineView, QueueSettings, order_items
from pumicedeck.scheduling.submission_adoptions import AdoptionSettings
from pumicedeck.tests.scheduler_simulations import SchedulerSimulation
from pumicedeck.tests.test_direct_endpoints import HOME
from pumicedeck.tests.test_item_queues import item
from pumicedeck.topology import Address

CHANGED_FIELD_BY_MECHANISM = {
    "reuse_of_outputs": "adoption",
    "loads_in_turns": "plan",
    "longest_first": "queue",
    "turns_of_short_items": "adoption",
    "optional_groups": "scheduler",
    "moves": "moves",
    "remembered_engine_speeds": "intervals",
    "placement_by_end": "queue",
    "interval_windows": "intervals",
    "announced_orders": "announcement",
    "weak_machines_later": "delays_weak_machines",
    "peer_checks": "peer_check",
    "outlier_avoidance": "avoids_failed",
    "retries": "retries",
    "request_quarantine": "quarantine",
    "request_permits": "observes_limits",
    "software_versions": "observes_software",
    "learned_lengths": "learns_lengths",
    "stalled_engine_ends": "scheduler",
    "noise_aware_moves": "intervals",
    "engines_by_need": "shares",
}
# These are switched off where the gateway is composed.
SWITCHED_IN_COMPOSITION = {"store_relays"}


# These are off by default, since they have not been shown to be worth more than what they replace.
OFF_BY_DEFAULT = {"engines_by_need", "learned_lengths", "noise_aware_moves"}
ALL_ON = dict.fromkeys(MechanismSettings.model_fields, True)


def test_with_all_mechanisms_on_the_default_settings_apply():
    assert choose_decision_settings(MechanismSettings(**ALL_ON)) == DecisionSettings()


def test_by_default_all_other_mechanisms_work():
    off = {name for name, is_on in MechanismSettings().model_dump().items() if not is_on}
    assert off == OFF_BY_DEFAULT


def test_each_mechanism_has_a_switch_and_a_row_here():
    assert set(MechanismSettings.model_fields) == (
        set(CHANGED_FIELD_BY_MECHANISM) | SWITCHED_IN_COMPOSITION
    )


@pytest.mark.parametrize("mechanism", sorted(CHANGED_FIELD_BY_MECHANISM))
def test_a_switch_changes_its_own_settings_only(mechanism):
    switched = choose_decision_settings(MechanismSettings(**{**ALL_ON, mechanism: False}))
    changed = {
        each.name
        for each in fields(DecisionSettings)
        if getattr(switched, each.name) != getattr(DecisionSettings(), each.name)
    }
    assert changed == {CHANGED_FIELD_BY_MECHANISM[mechanism]}


def test_without_longest_first_items_keep_the_order_in_which_they_came():
    items = [item("short", 5.0), item("long", 90.0)]
    ordered = order_items(items, 0.0, QueueSettings(longest_first=False))
    assert [each.item_id for each in ordered] == ["short", "long"]
    assert order_items(items, 0.0)[0].item_id == "long"


def test_without_placement_by_end_the_speed_of_an_engine_does_not_count():
    def engines():
        slow = EngineView("slow", "engines", 4, 4, {"m": 1}, event_seconds=0.2)
        fast = EngineView("fast", "engines", 3, 4, {"m": 1}, event_seconds=0.02)
        return [slow, fast]

    items = [item("a", 100.0)]
    assert assign_items(items, engines(), 0.0)[0].engine == "fast"
    settings = QueueSettings(places_by_end=False)
    assert assign_items(items, engines(), 0.0, settings)[0].engine == "slow"


def test_without_windows_a_run_is_measured_since_its_first_event():
    whole, windowed = RunEventInterval(IntervalSettings(uses_windows=False)), RunEventInterval()
    for interval in (whole, windowed):
        interval.sample(1, 0.0)
        interval.sample(11, 0.5)
        interval.sample(12, 1.0)
    assert whole.window_event_seconds == pytest.approx(1.0 / 11)
    assert windowed.window_event_seconds == pytest.approx(0.5)


def test_without_remembered_speeds_an_idle_engine_has_the_default_speed():
    known = EngineEventIntervals()
    forgetful = EngineEventIntervals(IntervalSettings(remembers_engines=False))
    for intervals in (known, forgetful):
        for number in range(20):
            intervals.record("e", 0.02, number * 0.1)
    assert known.seconds("e", 60.0) == pytest.approx(0.02)
    assert forgetful.seconds("e", 60.0) == EngineEventIntervals().seconds("unknown", 0.0)


def test_without_announced_orders_a_successor_waits_as_if_orders_were_sent_until_now():
    announcement = OrderAnnouncement(lambda: 7.0, AnnouncementSettings(trusts_rows=False))
    announcement.inherit(AnnouncedOrders(), FormerHolder.LOST)
    assert announcement.waits_for == {ANY_ENDPOINT: 7.0}


def test_without_outlier_avoidance_a_failure_changes_no_choice():
    directory = EndpointDirectory(HOME, Random(1), avoids_failed=False)
    directory.update(DirectEndpoint("a", "p", Address("10.0.0.1", 1), HOME, 4))
    directory.record_failure("a", 0.0)
    directory.record_refusal("a", 0.0)
    assert directory.state("a").avoid_until == 0.0


def test_without_request_permits_no_endpoint_has_a_limit():
    directory = EndpointDirectory(HOME, Random(1), observes_limits=False)
    endpoint = DirectEndpoint("a", "p", Address("10.0.0.1", 1), HOME, 4)
    directory.update(endpoint)
    assert not directory.record_request_limit(endpoint, 2.0, 0.0, 0.0)
    assert directory.request_limit("a") is None


def test_without_the_quarantine_a_request_may_crash_any_number_of_endpoints():
    settings = choose_decision_settings(MechanismSettings(request_quarantine=False)).quarantine
    quarantine = RequestQuarantine(settings)
    for number in range(9):
        quarantine.add(Crash("f", f"e{number}", 1, float(number), number + 0.1))
    assert quarantine.seconds_left("f", 9.0) == 0


@pytest.mark.parametrize(("reuses", "starts"), [(True, 1), (False, 2)])
def test_without_reuse_a_group_that_comes_again_is_generated_again(reuses, starts):
    simulation = SchedulerSimulation(processes=1, adoption=AdoptionSettings(reuses_outputs=reuses))
    simulation.submit(simulation.processes[0], [[20, 20], [60, 60]], wanted_groups=1)
    simulation.run(1.6)
    simulation.end(simulation.processes[0])
    simulation.submit(simulation.processes[0], [[20, 20]], name="s1", step=1)
    simulation.run(3.0)
    assert len(simulation.starts("0-0")) == starts


def test_without_software_versions_all_endpoints_count_as_the_same():
    directory = EndpointDirectory(HOME, Random(1), observes_software=False)
    for name, version in (("a", "v1"), ("b", "v2")):
        address = Address("10.0.0.1", 1)
        directory.update(DirectEndpoint(name, "p", address, HOME, 4, software_version=version))
    assert directory.software_versions("p") == ["", ""]
