"""Runs an experiment with one policy and one seed in virtual time."""

from zlib import crc32

from pumicedeck.clocks import VirtualTime
from pumicedeck.experiment_agents import FakeAgent
from pumicedeck.experiment_entries import FakeEntry
from pumicedeck.experiment_figures import WINDOW_SECONDS, Recorder, RunFigures
from pumicedeck.experiment_files import Experiment, FaultKind, FaultSpec, Policy
from pumicedeck.experiment_loads import Arrival, arrivals
from pumicedeck.experiment_networks import FakeNetwork
from pumicedeck.load_routers import LoadRouter, build_router
from pumicedeck.topology import FailureDomain

LIMIT_EXCHANGE_INTERVAL_SECONDS = 2.0


class ExperimentRun:
    """Connects fake entries and agents that use the router and queue of one policy."""

    def __init__(self, experiment: Experiment, policy: Policy, seed: int) -> None:
        """Create the entries and agents of the experiment."""
        self._experiment = experiment
        self._policy = policy
        self._seed = seed
        self._time = VirtualTime()
        self._network = FakeNetwork(self._time)
        self._recorder = Recorder(experiment)
        self._capacity_tokens_per_second: dict[int, float] = {}
        self._report_lag_seconds = 0.0
        self._agents = self._build_agents()
        self._entries = self._build_entries()

    def run(self) -> RunFigures:
        """Run until the last request can have ended and return the figures."""
        self._schedule_faults()
        self._report_loads()
        self._exchange_limits()
        self._record_capacity()
        for arrival in arrivals(self._experiment, self._seed):
            self._time.run_until(arrival.time)
            self._recorder.request_arrived(arrival)
            self._entry_for(arrival).submit(arrival)
        max_deadline_seconds = max(each.deadline_seconds for each in self._experiment.loads)
        self._time.run_until(self._experiment.seconds + max_deadline_seconds + 1.0)
        return self._build_figures()

    def _build_agents(self) -> list[FakeAgent]:
        return [
            FakeAgent(
                self._time,
                self._network,
                self._experiment,
                self._policy,
                pool,
                self._experiment.domain(domain),
                f"{pool.name}-{domain}-{number}",
            )
            for pool in self._experiment.pools
            for domain, count in pool.agents.items()
            for number in range(count)
        ]

    def _build_entries(self) -> list[FakeEntry]:
        entries = [
            self._build_entry(self._experiment.domain(spec.name), number)
            for spec in self._experiment.domains
            for number in range(spec.entries)
        ]
        for entry in entries:
            entry.limiter.set_members(0.0, [each.vm for each in entries])
            for agent in self._agents:
                entry.connect(agent)
        return entries

    def _build_entry(self, domain: FailureDomain, number: int) -> FakeEntry:
        vm = f"entry-{domain.name}-{number}"
        links = self._experiment.links()
        router = build_router(
            self._policy.router, domain, crc32(f"{self._seed}/{vm}".encode()), links
        )
        catalogue = self._experiment.catalogue()
        return FakeEntry(self._time, self._network, self._recorder, catalogue, domain, vm, router)

    def _entry_for(self, arrival: Arrival) -> FakeEntry:
        entries_in_home_region = [
            each for each in self._entries if each.domain.region == arrival.load.home
        ]
        entries = entries_in_home_region or self._entries
        return entries[int(arrival.entry_pick * len(entries))]

    def _report_loads(self) -> None:
        for agent in self._agents:
            if agent.alive:
                for entry in self._entries:
                    agent.send_heartbeat(entry.name, self._report_lag_seconds)
                    entry.send_heartbeat(agent.name)
        if self._time.now() < self._experiment.seconds:
            self._time.call_later(self._experiment.report_seconds, self._report_loads)

    def _exchange_limits(self) -> None:
        now = self._time.now()
        rows = [row for each in self._entries for row in each.limiter.publish(now)]
        for each in self._entries:
            each.limiter.apply_demands(now, rows)
        if now < self._experiment.seconds:
            self._time.call_later(LIMIT_EXCHANGE_INTERVAL_SECONDS, self._exchange_limits)

    def _record_capacity(self) -> None:
        now = self._time.now()
        self._capacity_tokens_per_second[int(now / WINDOW_SECONDS)] = sum(
            agent.pool.slots * agent.pool.slot_rate * self._speed_factor(agent)
            for agent in self._agents
            if agent.alive
        )
        if now < self._experiment.seconds:
            self._time.call_later(WINDOW_SECONDS, self._record_capacity)

    def _speed_factor(self, agent: FakeAgent) -> float:
        now = self._time.now()
        for fault in self._experiment.faults:
            slow = fault.kind is FaultKind.SLOW_ENDPOINT and fault.target == agent.vm
            if slow and fault.start <= now < fault.end:
                return 1 / fault.factor
        return 1.0

    def _schedule_faults(self) -> None:
        for fault in self._experiment.faults:
            self._time.call_at(fault.start, lambda fault=fault: self._start_fault(fault))
            if fault.end < self._experiment.seconds:
                self._time.call_at(fault.end, lambda fault=fault: self._end_fault(fault))

    def _start_fault(self, fault: FaultSpec) -> None:
        if fault.kind is FaultKind.LATE_REPORTS:
            self._report_lag_seconds = fault.delay
        for agent in self._affected_agents(fault):
            if fault.kind is FaultKind.SLOW_ENDPOINT:
                agent.engine.set_speed_factor(1 / fault.factor)
            else:
                self._fail_agent(agent)

    def _end_fault(self, fault: FaultSpec) -> None:
        if fault.kind is FaultKind.LATE_REPORTS:
            self._report_lag_seconds = 0.0
        if fault.kind is FaultKind.SLOW_ENDPOINT:
            for agent in self._affected_agents(fault):
                agent.engine.set_speed_factor(1.0)

    def _affected_agents(self, fault: FaultSpec) -> list[FakeAgent]:
        if fault.kind is FaultKind.LATE_REPORTS:
            return []
        return [each for each in self._agents if fault.target in (each.vm, each.domain.name)]

    def _fail_agent(self, agent: FakeAgent) -> None:
        agent.fail()
        for entry in self._entries:
            self._time.call_later(
                self._experiment.failure_detection_seconds,
                lambda entry=entry: entry.close_session(agent.name),
            )

    def _build_figures(self) -> RunFigures:
        recorder = self._recorder
        caches = [each.engine.cache for each in self._agents]
        lookups = sum(each.hits + each.misses for each in caches)
        routers = [each.router for each in self._entries if isinstance(each.router, LoadRouter)]
        goodput = recorder.goodput()
        capacity = tuple(self._capacity_tokens_per_second[each] for each in range(len(goodput)))
        return RunFigures(
            policy=self._policy.name,
            seed=self._seed,
            loads=recorder.load_figures(),
            attempts_per_request=sum(each.attempts for each in self._entries)
            / max(1, recorder.requests),
            prefix_hit_rate=sum(each.hits for each in caches) / max(1, lookups),
            paid_bytes=sum(sum(each.paid_bytes.values()) for each in routers),
            utilization=sum(goodput) / sum(capacity),
            recovery_seconds=recorder.recovery_seconds(capacity),
            goodput=goodput,
            capacity=capacity,
        )


def run_policy(experiment: Experiment, policy: Policy, seed: int) -> RunFigures:
    """Run one policy with one seed."""
    return ExperimentRun(experiment, policy, seed).run()
