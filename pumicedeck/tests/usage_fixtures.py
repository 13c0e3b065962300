"""Gateways that report use, in virtual time, before a stand-in of the platform's API.

Processes can be killed, frozen (their clock goes on), cut off and restarted at any step, and their
time of day stepped. What the store and the API were sent may arrive after its sender has gone.
"""

from collections import Counter, defaultdict
from random import Random

from result import Err

from pumicedeck.clocks import TimerQueue, VirtualTime
from pumicedeck.direct_endpoints import EndpointDirectory
from pumicedeck.duties.usage_duties import UsageDuty, UsageParts
from pumicedeck.duties.usage_reports import ReportSettings
from pumicedeck.gateway_compositions import LEASE_CALL_TIMEOUT_SECONDS, LEASE_SETTINGS
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import LeaseHolder
from pumicedeck.partitioned_stores import PartitionedStore
from pumicedeck.partitioned_tables import PartitionedTableStore
from pumicedeck.results import Failure, ResultCode
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import StoreFeed
from pumicedeck.tasks import Promise, within
from pumicedeck.topology import FailureDomain
from pumicedeck.work_mirrors import WORK_TABLE

EPOCH_SECONDS = 1_800_000_001.35
WINDOW_SECONDS = 5.0
LEASE_SECONDS = 3.0
CALL_SECONDS = 2.0
STORE_CALL_SECONDS = 0.8
BOUNDARY_SECONDS = 0.02
_NO_READ = Failure(ResultCode.STORE_UNAVAILABLE, "no answer")
_NO_COMMIT = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "no answer")


def window_at(now):
    return int((EPOCH_SECONDS + now) // WINDOW_SECONDS)


def window_end(window):
    """Return when a window ends, on the clock of the simulation."""
    return (window + 1) * WINDOW_SECONDS - EPOCH_SECONDS


class StandinUsageApi:
    """The API: checks each report that arrives, and answers, loses or refuses as told.

    `status` is what it answers; reports count only with 200. With `silent` none arrive, with
    `loses_answers` they arrive unanswered. A report arrives after `delay` seconds and its answer
    after as many more. `broken` lists the rules that were broken.
    """

    def __init__(self, timers):
        self.timers = timers
        self.status = 200
        self.silent = False
        self.loses_answers = False
        self.delay = 0.01
        self.calls = []
        self.reports = {}
        self.arrived_at = {}
        self.broken = []
        self._holder_by_token = {}
        self._max_token = 0

    def send(self, process, token, window, counts):
        answer = Promise()
        counts = dict(counts)

        def arrive():
            if self.silent:
                return
            status = self.take(process.vm, token, window, counts)
            if not self.loses_answers:
                self.timers.call_later(
                    self.delay, lambda: process.deliver(lambda: answer.resolve(status))
                )

        if process.reaches_network:
            self.timers.call_later(self.delay, arrive)
        return within(process.timers, CALL_SECONDS, answer, None)

    def take(self, holder, token, window, counts):
        """Check a report against the rules, and return the status of its answer."""
        now = self.timers.now()
        if self.status != 200:
            return self.status
        if self.reports.setdefault(window, counts) != counts:
            self.broken.append(("two reports of one window", window, self.reports[window], counts))
        if self._holder_by_token.setdefault(token, holder) != holder:
            self.broken.append(("two holders with one token", token))
        if token < self._max_token:
            self.broken.append(("lower token", token, self._max_token))
        self._max_token = max(self._max_token, token)
        recent = [(at, who) for at, who, _, _ in self.calls if at > now - LEASE_SECONDS]
        names = [who for _, who in recent]
        if holder in names and any(who != holder for who in names[names.index(holder) :]):
            self.broken.append(("holders A, B, A", holder, recent))
        self.calls.append((now, holder, token, window))
        self.arrived_at.setdefault(window, now)
        return 200

    def age(self, window):
        """Return how long after its end a window was reported first."""
        return self.arrived_at[window] - window_end(window)


class ProcessTimers(TimerQueue):
    """The timers of a process: none runs while it is frozen or after it was killed."""

    def __init__(self, world, process):
        super().__init__(world.now)
        self._world = world
        self._process = process

    def call_at(self, due, callback):
        def run():
            if not timer.cancelled:
                self._process.deliver(lambda: timer.cancelled or callback())

        timer = self._world.call_at(due, run)
        return timer


class ProcessStore(PartitionedStore):
    """A process's way to the store; what was sent is carried out even if the process has gone."""

    def __init__(self, process, standin):
        self._process = process
        self.standin = standin

    def _call(self, promise_of, failure):
        answer = Promise()
        if self._process.reaches_network:
            promise_of().then(
                lambda value: self._process.reaches_network
                and self._process.deliver(lambda: answer.resolve(value))
            )
        return within(self._process.timers, STORE_CALL_SECONDS, answer, Err(failure))

    def commit(self, change):
        return self._call(lambda: self.standin.commit(change), _NO_COMMIT)

    def read(self, table, partition_key, first="", limit=500):
        return self._call(lambda: self.standin.read(table, partition_key, first, limit), _NO_READ)

    def partitions(self, table, after=""):
        return self._call(lambda: self.standin.partitions(table, after), _NO_READ)

    def read_changes(self, table, after, wait):
        return self._call(lambda: self.standin.read_changes(table, after, wait), _NO_READ)


class UsageProcess:
    """One gateway process: lease, clock, counts and reports."""

    def __init__(self, world, vm, number):
        self.world = world
        self.vm = vm
        self.is_dead = False
        self.is_frozen = False
        self.is_cut = False
        self.step = 0.0
        self._deferred = []
        self.timers = ProcessTimers(world.timers, self)
        standin = StandinPartitionedStore(
            world.timers, world.data, faults=world.faults, call_timeout_seconds=STORE_CALL_SECONDS
        )
        self.store = ProcessStore(self, standin)
        random = Random(f"{world.seed}/{vm}/{number}")
        self.clock = StoreClock(self.timers)
        self.feed = StoreFeed(self.timers, self.store, self.clock, WORK_TABLE, lambda *_: None)
        incarnation = f"{vm}/{number}"
        self.lease = LeaseHolder(
            "scheduler", incarnation, LEASE_SETTINGS, f"{vm}/", store_now=self.clock.now
        )
        self.keeper = LeaseKeeper(
            self.lease,
            self.timers,
            PartitionedTableStore(self.store),
            lambda acquired: None,
            LEASE_CALL_TIMEOUT_SECONDS,
        )
        self.directory = EndpointDirectory(FailureDomain("z", "r"), random)
        self.duty = UsageDuty(
            UsageParts(
                timers=self.timers,
                store=self.store,
                clock=self.clock,
                directory=self.directory,
                lease=self.lease,
                random=random,
                incarnation=incarnation,
                time_of_day=lambda: EPOCH_SECONDS + world.timers.now() + self.step,
                members=lambda: len(world.vms),
                store_contact_at=lambda: self.feed.last_contact_at,
            ),
            ReportSettings(quiet_seconds=LEASE_SECONDS),
            lambda token, window, counts: world.api.send(self, token, window, counts),
        )
        self.feed.start()
        self.timers.call_later(0.3, self.keeper.acquire)
        self.duty.start()

    @property
    def reaches_network(self):
        return not (self.is_cut or self.is_dead)

    @property
    def sender(self):
        return self.duty._sender

    @property
    def saver(self):
        return self.duty._saver

    def deliver(self, callback):
        if self.is_frozen:
            self._deferred.append(callback)
        elif not self.is_dead:
            callback()

    def thaw(self):
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            self.deliver(callback)

    def count(self, account, requests=1):
        """Count requests that begin now, and add them to the truth.

        None begin so near to the end of a window that its side depends on the store's delay.
        """
        now = self.world.timers.now()
        is_near_end = window_at(now - BOUNDARY_SECONDS) != window_at(now + BOUNDARY_SECONDS)
        if self.is_dead or self.is_frozen or is_near_end:
            return
        self.world.truth[window_at(now)][account] += requests
        self.saver._counts.record_begun(account, now, requests)


class UsageSimulation:
    """Gateways on one store, and the truth of what they have begun."""

    def __init__(self, vms=3, seed=1):
        self.seed = seed
        self.timers = VirtualTime()
        self.data = PartitionedData()
        self.faults = StandinPartitionedStore(self.timers, self.data).faults
        self.api = StandinUsageApi(self.timers)
        self.truth = defaultdict(Counter)
        self.vms = [f"vm{number}" for number in range(vms)]
        self._starts = 0
        self.processes = {}
        for vm in self.vms:
            self.start(vm)

    def start(self, vm):
        self._starts += 1
        self.processes[vm] = UsageProcess(self, vm, self._starts)
        return self.processes[vm]

    def kill(self, vm):
        self.processes[vm].is_dead = True

    @property
    def holder(self):
        """Return the process that holds the lease, None if none does."""
        alive = [each for each in self.processes.values() if not each.is_dead]
        return next((each for each in alive if not each.is_frozen and each.sender.token), None)

    def run(self, seconds, requests_per_second=0):
        """Advance the time; each process begins requests of two accounts evenly."""
        end_at = self.timers.now() + seconds
        while self.timers.now() < end_at - 1e-9:
            self.timers.run_until(min(end_at, self.timers.now() + 0.1))
            if requests_per_second:
                for process in tuple(self.processes.values()):
                    process.count("a", max(1, round(0.1 * requests_per_second)))
                    process.count("b")

    def run_until_true(self, phase, window_offset=0):
        """Advance to `phase` seconds after the beginning of this or a later window."""
        into = (EPOCH_SECONDS + self.timers.now()) % WINDOW_SECONDS
        self.run(window_offset * WINDOW_SECONDS + phase - into, requests_per_second=10)

    def check_rules(self):
        assert self.api.broken == []

    def reported(self, window):
        return self.api.reports.get(window)

    def wrong_windows(self, tolerance=0.05):
        """Return the windows whose report differs from the truth or is missing or late."""
        last = window_at(self.timers.now() - 10.0 - WINDOW_SECONDS)
        wrong = []
        for window in range(min(self.truth), last + 1):
            report, truth = self.api.reports.get(window), self.truth[window]
            is_right = report is not None and all(
                abs(report.get(account, 0) - truth[account]) <= tolerance * truth[account]
                for account in {*report, *truth}
            )
            if not is_right or self.api.age(window) > 10.0:
                wrong.append(window)
        return wrong
