"""A simulation of schedulers, their store and engines in virtual time, with faults on demand."""

import json
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from result import Err, Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.dialects import AnswerHead
from pumicedeck.direct_endpoints import DirectEndpoint, EndpointDirectory
from pumicedeck.endpoint_callers import CompleteAnswer
from pumicedeck.endpoint_selections import EndpointSelector
from pumicedeck.http_messages import HttpResponse
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.leases import LeaseHolder, LeaseSettings
from pumicedeck.limit_reports import LimitReports
from pumicedeck.partitioned_tables import PartitionedTableStore
from pumicedeck.platform.endpoint_calls import PlatformEndpointDialect
from pumicedeck.platform_interfaces import LoadedModel
from pumicedeck.request_limiters import RequestLimiter
from pumicedeck.results import Failure, ResultCode
from pumicedeck.route_tables import PoolShare, Route, RouteKind, RouteTable
from pumicedeck.scheduling.engine_orders import EngineOrders
from pumicedeck.scheduling.engine_shares import ShareSettings
from pumicedeck.scheduling.event_intervals import IntervalSettings
from pumicedeck.scheduling.reward_calls import RewardCaller
from pumicedeck.scheduling.route_freshness import RouteFreshness
from pumicedeck.scheduling.scheduler_parts import SchedulerParts
from pumicedeck.scheduling.schedulers import Scheduler
from pumicedeck.scheduling.submission_adoptions import AdoptionSettings
from pumicedeck.scheduling.submission_rows import join_results
from pumicedeck.scheduling.submission_sweeps import SubmissionSweep, SweepSettings
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.store_clocks import StoreClock
from pumicedeck.store_feeds import StoreFeed
from pumicedeck.submission_intakes import SubmissionIntake
from pumicedeck.submissions import Item, RewardCall, Submission, SubmissionHead
from pumicedeck.tasks import sleep, spawn
from pumicedeck.topology import Address, FailureDomain
from pumicedeck.work_mirrors import RESULTS_TABLE, WORK_TABLE, WorkMirror

HOME = FailureDomain("tn-a", "tw-south")
MODEL = "m0"
LEASE = LeaseSettings(duration=1.3, margin=0.2, renew_after=0.4, retry=0.15, observe_every=0.25)
LOAD_SECONDS = 0.9
EVENT_SECONDS = 0.04
ROUTES = RouteTable(
    1,
    (
        Route(
            "drafts",
            "h",
            "/d/",
            RouteKind.SUBMISSION,
            (PoolShare("engines"),),
            max_attempts=3,
            results_due_seconds=7.5,
            give_up_seconds=20.0,
        ),
        Route("scores", "h", "/s/", RouteKind.IDEMPOTENT, (PoolShare("apps"),), max_attempts=4),
    ),
    {},
)


@dataclass(slots=True)
class FakeEngine:
    """The state of a simulated engine, and a record of the calls and orders that it received.

    `dead` makes it silent, `babbles` has it send bytes that are no events, and `refuses_orders` has
    it refuse each weight order. The next `late_orders` orders take effect only after `late_seconds`
    and get no answer. Its answers name `limit`, in requests per second, unless it is None;
    `requests` has the time of each of its requests. `starts` has the time, item and `resume_after`
    of each run, `accounts` the client account of each run, `ends` counts its restarts. A run gets
    its first event after `prompt_seconds` more.
    """

    endpoint: DirectEndpoint
    event_seconds: float = EVENT_SECONDS
    prompt_seconds: float = 0.0
    versions: dict = field(default_factory=lambda: {MODEL: 1})
    sequence: int = 0
    dead: bool = False
    babbles: bool = False
    refuses_orders: bool = False
    limit: float | None = None
    busy: bool = False
    late_orders: int = 0
    late_seconds: float = 3.0
    starts: list = field(default_factory=list)
    accounts: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    loads: int = 0
    working: Counter = field(default_factory=Counter)
    ends: int = 0

    @property
    def version(self):
        """Return the loaded version of the first model."""
        return self.versions[MODEL]

    @version.setter
    def version(self, version):
        self.versions[MODEL] = version


class FakeCaller:
    """Replaces the calls of one process to engines and scorers."""

    def __init__(self, simulation, directory, limits=None):
        self.simulation = simulation
        self.directory = directory
        self.limits = limits
        self.dialect = PlatformEndpointDialect()

    async def call(self, call, endpoint, seconds, silence, on_head=None, on_bytes=None):
        if endpoint.pool == "apps":
            self.simulation.score_calls.append(call.request_id)
            self.simulation.score_accounts.append(call.account)
            self.simulation.score_times.append((self.simulation.timers.now(), endpoint.name))
            self._record_limit(endpoint, self.simulation.scorer_limit)
            await sleep(self.simulation.timers, 0.2)
            if self.simulation.score_statuses:
                return self._answered(self.simulation.score_statuses.pop(0), "", None)
            if self.simulation.scores_fail:
                return Err(Failure(ResultCode.ENDPOINT_FAILED, "broken"))
            return self._answered(200, f"mac-{call.request_id}", None)
        engine = self.simulation.engines[endpoint.name]
        engine.starts.append((self.simulation.timers.now(), call.request_id, call.resume_after))
        engine.accounts.append(call.account)
        engine.requests.append(self.simulation.timers.now())
        self._record_limit(endpoint, engine.limit)
        engine.working[call.request_id] += 1
        try:
            return await self._generate(engine, call, silence, on_head, on_bytes)
        finally:
            engine.working[call.request_id] -= 1

    def _record_limit(self, endpoint, limit):
        now = self.simulation.timers.now()
        changed = self.directory.record_request_limit(endpoint, limit, now, now)
        if changed and self.limits is not None:
            self.limits.record_change(endpoint)

    def close_idle_connections(self, endpoint):
        pass

    async def _generate(self, engine, call, silence, on_head, on_bytes):
        if engine.busy and self.simulation.refuse_while_loading:
            self.directory.record_refusal(engine.endpoint.name, self.simulation.timers.now())
            return Err(Failure(ResultCode.ENDPOINT_REFUSED, "loading", proven_not_run=True))
        if self.simulation.run_statuses:
            return self._answered(self.simulation.run_statuses.pop(0), "", None)
        length = int(call.body)
        # The path of an item names its model, as the routes of a deployment do.
        model = call.path.rpartition("/")[2]
        answered = self._answered(200, "mac", engine.versions[model]).unwrap()
        on_head(answered.response, answered.answer)
        version, ends = engine.versions[model], engine.ends
        await sleep(self.simulation.timers, engine.prompt_seconds)
        for number in range((call.resume_after or 0) + 1, length + 1):
            await sleep(self.simulation.timers, engine.event_seconds)
            if engine.ends != ends:
                return Err(Failure(ResultCode.ENDPOINT_FAILED, "connection closed"))
            if engine.dead:
                await sleep(self.simulation.timers, silence)
                return Err(Failure(ResultCode.ENDPOINT_FAILED, "silent"))
            while engine.busy:
                await sleep(self.simulation.timers, 0.05)
            while engine.babbles:
                on_bytes(b"\n")
                await sleep(self.simulation.timers, 0.3)
            line = ""
            if engine.versions[model] != version:
                version = engine.versions[model]
                line = f"x-pumicedeck-weight-versions: {version}\n"
            mark = f"@{engine.endpoint.software_version}" if self.simulation.marks_software else ""
            data = f"{call.request_id}.{number}{mark}{self.simulation.padding}"
            on_bytes(f"{line}id: {number}\ndata: {data}\n\n".encode())
        return Ok(answered)

    async def send_request(self, request, endpoint, silence):
        name = dict(request.headers)["X-Pumicedeck-Expect-Instance"]
        engine = self.simulation.engines[name]
        engine.requests.append(self.simulation.timers.now())
        self._record_limit(endpoint, engine.limit)
        await sleep(self.simulation.timers, 0.005)
        if engine.dead:
            await sleep(self.simulation.timers, silence)
            return Err(Failure(ResultCode.ENDPOINT_FAILED, "silent"))
        if request.method == "GET":
            return Ok(HttpResponse(200, (), json.dumps(self._report(engine)).encode()))
        document = json.loads(request.body)
        engine.orders.append((self.simulation.timers.now(), document["holder"], document["fence"]))
        if engine.refuses_orders:
            return Ok(HttpResponse(409, (), b""))
        if engine.late_orders:
            engine.late_orders -= 1
            self.simulation.timers.call_later(
                engine.late_seconds, lambda: self._carry_out(engine, document)
            )
            await sleep(self.simulation.timers, silence)
            return Err(Failure(ResultCode.ENDPOINT_FAILED, "no answer"))
        return Ok(HttpResponse(self._carry_out(engine, document), (), b""))

    def _carry_out(self, engine, document):
        if document["model"] not in engine.versions:
            return 400
        if engine.busy or document["expected"] != engine.sequence:
            return 409
        engine.sequence += 1
        engine.busy = True
        engine.loads += 1

        def finish():
            engine.busy = False
            engine.versions[document["model"]] = document["version"]

        self.simulation.timers.call_later(LOAD_SECONDS, finish)
        return 202

    def _report(self, engine):
        models = [{"name": name, "version": engine.versions[name]} for name in engine.versions]
        return {"models": models, "busy": engine.busy, "seq": engine.sequence}

    def _answered(self, status, signature, version):
        answer = AnswerHead(status, "id", False, False, signature, version, None, None)
        return Ok(CompleteAnswer(HttpResponse(status, (), b""), answer))


class SchedulerProcess:
    """The scheduler, lease keeper, store feed and intake of one gateway, without sockets."""

    def __init__(self, simulation, name):
        timers = simulation.timers
        self.simulation = simulation
        self.name = name
        self.store = StandinPartitionedStore(timers, simulation.data)
        self.clock = StoreClock(timers)
        self.mirror = WorkMirror()
        self.announced = simulation.announced
        directory = EndpointDirectory(HOME, Random(name))
        self.directory = directory
        for engine in simulation.engines.values():
            directory.update(engine.endpoint)
        directory.update(
            DirectEndpoint("app", "apps", Address("10.0.0.9", 1), HOME, 8, incarnation=1)
        )
        self.limits = LimitReports(timers, self.store, directory, lambda: False)
        self.caller = FakeCaller(simulation, directory, self.limits)
        self.holder = LeaseHolder("scheduler", name, LEASE, store_now=self.clock.now)
        limiter = RequestLimiter(
            timers, self.store, self.clock, directory, name, lambda: self.mirror.members
        )
        selector = EndpointSelector(timers, directory, limiter)
        self.scheduler = Scheduler(
            SchedulerParts(
                timers=timers,
                store=self.store,
                clock=self.clock,
                mirror=self.mirror,
                directory=directory,
                caller=self.caller,
                rewards=RewardCaller(timers, self.caller, selector, Random(1)),
                limiter=limiter,
                orders=EngineOrders(
                    timers,
                    self.caller,
                    limiter,
                    self.holder,
                    lambda engine: self.keeper.announce_orders(engine),
                    name,
                ),
                routes=lambda: self.routes(),
                freshness=RouteFreshness(
                    timers.now,
                    lambda: self.routes(),
                    lambda: self.routes_complete_as_of(),
                    lambda: self.read_routes(),
                ),
                announced_versions=self.announced,
                holder=name,
                home=HOME,
                may_claim=lambda: self.holder.holds(timers.now()),
                sweep=SubmissionSweep(timers, self.store, self.clock, self.mirror, SweepSettings()),
                adoption=simulation.adoption,
                intervals=simulation.intervals,
                shares=simulation.shares,
            )
        )
        self.keeper = LeaseKeeper(
            self.holder,
            timers,
            PartitionedTableStore(self.store),
            lambda lease: self.scheduler.activate(
                lease.fencing, lease.predecessor, lease.orders_until
            ),
            0.8,
            on_other_holder=lambda other: self.scheduler.stop(f"{other} holds the lease"),
        )
        self.feed = StoreFeed(
            timers,
            self.store,
            self.clock,
            WORK_TABLE,
            self.apply_work_rows,
        )
        self.feed.start()
        self.intake = SubmissionIntake(timers, self.store, self.mirror)

    def apply_work_rows(self, rows, is_whole_table):
        self.limits.apply(rows, is_whole_table)
        self.mirror.apply(rows)

    def routes(self):
        return self.simulation.routes

    def routes_complete_as_of(self):
        return self.simulation.timers.now()

    def read_routes(self):
        pass

    def acquire(self):
        self.keeper.acquire()

    def disconnect(self):
        """Disconnect the process from the store."""
        self.store.faults.silent = True

    def reconnect(self):
        self.store.faults.silent = False

    def kill(self):
        self.disconnect()
        self.scheduler.stop("killed")
        self.feed.close()
        self.keeper.close()

    def leave(self):
        async def leave():
            await self.scheduler.hand_over()
            self.scheduler.stop("the process ends")
            self.keeper.release()

        spawn(leave(), "leave")


class SchedulerSimulation:
    """Processes that share a store and engines; the first one acquires the lease first."""

    def __init__(
        self,
        engines=3,
        slots=12,
        processes=2,
        adoption=None,
        software=(),
        intervals=None,
        shares=None,
        models=(MODEL,),
    ):
        """Create engines with the software versions in `software`, each event marked with its own.

        Without `software` all engines run v1, and events have no mark.
        """
        self.marks_software = bool(software)
        self.timers = VirtualTime()
        self.data = PartitionedData()
        self.routes = ROUTES
        self.adoption = adoption or AdoptionSettings()
        self.intervals = intervals or IntervalSettings()
        self.shares = shares or ShareSettings()
        self.announced = {}
        self.refuse_while_loading = True
        self.padding = ""
        self.scores_fail = False
        # The statuses of the next answers, instead of what they would be.
        self.score_statuses, self.run_statuses = [], []
        self.score_calls, self.score_accounts, self.score_times = [], [], []
        self.scorer_limit = None
        self.engines = {}
        for number in range(engines):
            name = f"e{number}"
            address = Address(f"10.0.0.{number + 1}", 1)
            endpoint = DirectEndpoint(
                name,
                "engines",
                address,
                HOME,
                slots,
                incarnation=1,
                models=tuple(LoadedModel(model, 1) for model in models),
                software_version=software[number] if software else "v1",
            )
            self.engines[name] = FakeEngine(endpoint, versions=dict.fromkeys(models, 1))
        self.processes = [SchedulerProcess(self, f"p{n}") for n in range(processes)]
        self.run(0.3)
        self.processes[0].acquire()
        self.run(0.3)
        for process in self.processes[1:]:
            process.acquire()
        self.run(0.3)

    def run(self, seconds):
        self.timers.run_until(self.timers.now() + seconds)

    def submit(
        self,
        process,
        lengths,
        name="s0",
        expected_lengths=None,
        min_version=1,
        wanted_groups=0,
        step=0,
        model=MODEL,
        account="",
        route="drafts",
    ):
        """Submit groups of items of the given lengths in events; return the outcome after 0.1 s.

        None if there is no outcome by then. The items' expected lengths are their lengths unless
        `expected_lengths` is given.
        """
        items = []
        for group, members in enumerate(lengths):
            for index, length in enumerate(members):
                expected = expected_lengths[group][index] if expected_lengths else length
                items.append(make_item(f"{group}-{index}", length, f"g{group}", expected, model))
        head = SubmissionHead(
            name,
            route,
            "h",
            model,
            step,
            min_version,
            wanted_groups,
            len(items),
            1,
            "digest",
            self.timers.now(),
            account,
        )
        outcome = []

        async def accept():
            outcome.append(await process.intake.accept(Submission(head, tuple(items))))

        spawn(accept(), "accept")
        self.run(0.1)
        return outcome[0] if outcome else None

    def end(self, process, name="s0"):
        spawn(process.intake.end(name), "end")
        self.run(0.1)

    def results(self, process, name="s0"):
        """Return the results that `process` knows to be listed."""
        view = process.mirror.view(name)
        if view is None:
            return []
        rows = self.data.read(RESULTS_TABLE, name, "", 10_000)
        writes, _ = join_results(rows, 0)
        return [result for write in writes for result in write][: view.listed]

    def starts(self, item_id):
        found = []
        for engine in self.engines.values():
            found += [(*each, engine.endpoint.name) for each in engine.starts if each[1] == item_id]
        return sorted(found)

    def remove_engine(self, name):
        """End an engine and remove its registration."""
        self.engines[name].ends += 1
        self.engines[name].dead = True
        for process in self.processes:
            process.directory.remove(name)

    def replace_software(self, name, software, registered_after):
        """Restart an engine under its name with another software version.

        It accepts calls at once and registers after `registered_after` seconds.
        """
        engine = self.engines[name]
        engine.ends += 1
        engine.endpoint = replace(
            engine.endpoint,
            software_version=software,
            incarnation=engine.endpoint.incarnation + 1,
        )

        def register():
            for process in self.processes:
                process.directory.update(engine.endpoint)

        self.timers.call_later(registered_after, register)

    def active(self):
        return [process for process in self.processes if process.scheduler.is_active]


def make_item(item_id, length, group, expected_length, model=MODEL):
    reward = RewardCall(f"r-{item_id}", "h", "/s/x", b"score")
    return Item(
        item_id, f"/d/{model}", (), str(length).encode(), group, float(expected_length), reward
    )


def complete_text(item_id, length):
    """Return the complete text that an item of a given length must have."""
    return "\n".join(f"{item_id}.{number}" for number in range(1, length + 1))
