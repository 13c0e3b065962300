"""The protocol of reports of use under random faults: its rules hold whatever is lost when.

Guards against two reports of one window, two holders with one token, tokens that fall, holders in
the order A, B, A, requests that are reported twice, and a duty that does not recover.
"""

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from pumicedeck.tests.usage_fixtures import UsageSimulation, window_at

VMS = 3
HOLDER = VMS
_SECONDS = st.integers(1, 120).map(lambda each: each / 20)
_VM = st.integers(0, VMS)
_FAULTS = st.one_of(
    st.tuples(st.sampled_from(("kill", "freeze", "cut")), _VM, _SECONDS),
    st.tuples(st.sampled_from(("api_silent", "api_loses", "api_429", "api_slow")), _VM, _SECONDS),
    st.tuples(st.sampled_from(("store_silent", "store_late", "store_lossy")), _VM, _SECONDS),
    st.tuples(st.just("step"), st.integers(0, 0), _SECONDS),
)


class Faults:
    """Begins and ends faults of a simulation; `vm` HOLDER is whoever holds the lease then."""

    def __init__(self, simulation):
        self.simulation = simulation

    def begin(self, kind, number):
        """Begin a fault and return the function that ends it."""
        simulation = self.simulation
        holder = simulation.holder
        vm = simulation.vms[number % VMS]
        if number == HOLDER and holder is not None:
            vm = holder.vm
        process = simulation.processes[vm]
        match kind:
            case "kill":
                simulation.kill(vm)
                return lambda: simulation.processes[vm].is_dead and simulation.start(vm)
            case "freeze":
                process.is_frozen = True
                return process.thaw
            case "cut":
                process.is_cut = True
                return lambda: setattr(process, "is_cut", False)
            case "step":
                process.step = 2.0
                return lambda: setattr(process, "step", 0.0)
            case "store_late":
                simulation.faults.late_commits += 3
                return lambda: None
            case "store_lossy":
                simulation.faults.lost_replies += 5
                return lambda: None
        target, name, value, usual = {
            "api_silent": (simulation.api, "silent", True, False),
            "api_loses": (simulation.api, "loses_answers", True, False),
            "api_429": (simulation.api, "status", 429, 200),
            "api_slow": (simulation.api, "delay", 1.9, 0.01),
            "store_silent": (simulation.faults, "silent", True, False),
        }[kind]
        setattr(target, name, value)
        return lambda: setattr(target, name, usual)


# Without shrinking, which would take minutes: a failing plan is printed as it is.
@settings(
    max_examples=30,
    deadline=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(st.tuples(_FAULTS, _SECONDS), min_size=1, max_size=7), st.integers(0, 99))
def test_the_rules_hold_whatever_is_lost_at_any_step(plan, seed):
    simulation = UsageSimulation(vms=VMS, seed=seed)
    faults = Faults(simulation)
    simulation.run(8.0, requests_per_second=10)
    for (kind, vm, lasts_seconds), pause_seconds in plan:
        end = faults.begin(kind, vm)
        simulation.timers.call_later(lasts_seconds, end)
        simulation.run(pause_seconds, requests_per_second=10)
    simulation.run(7.0, requests_per_second=10)
    healed_at = simulation.timers.now()
    simulation.run(35.0, requests_per_second=10)
    simulation.check_rules()
    reports = simulation.api.reports
    newest = window_at(simulation.timers.now()) - 3
    assert sorted(each for each in reports if each <= newest) == list(
        range(window_at(0.0), newest + 1)
    )
    for window, report in reports.items():
        for account, reported in report.items():
            assert reported <= simulation.truth[window][account], window
    after = window_at(healed_at + 15.0)
    assert [each for each in simulation.wrong_windows(0.0) if each > after] == []


def test_the_test_sees_a_holder_that_does_not_wait():
    """Guards against a stand-in that would not notice a call that arrives after a newer one."""
    simulation = UsageSimulation(vms=VMS)
    for process in simulation.processes.values():
        object.__setattr__(process.sender._settings, "quiet_seconds", 0.0)
    simulation.run(11.3, requests_per_second=10)
    simulation.api.delay = 1.9
    for _ in range(4):
        while not (simulation.holder and simulation.holder.sender._reports._duty.is_busy):
            simulation.run(0.05)
        simulation.run(0.2)
        holder = simulation.holder
        simulation.kill(holder.vm)
        simulation.api.delay = 0.01 if simulation.api.delay > 1 else 1.9
        simulation.run(4.0)
        simulation.start(holder.vm)
    assert simulation.api.broken
