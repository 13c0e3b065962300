"""Callers, trainers and operators of a soak, over the proxies before the gateways."""

from random import Random

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest, HttpResponse
from pumicedeck.partitioned_stores import Change
from pumicedeck.platform.standin_callers import (
    DraftItem,
    call_request,
    decode_results,
    end_request,
    results_request,
    routes_put,
    submission_request,
    version_put,
)
from pumicedeck.platform.standin_endpoints import complete_text
from pumicedeck.results import Failure
from pumicedeck.soaks.flights import InFlightRequests
from pumicedeck.soaks.oracles import ReadResult, SentItem, SoakOracle
from pumicedeck.standin_partitioned_stores import PartitionedData
from pumicedeck.tasks import Promise, sleep
from pumicedeck.topology import Address

MODEL = "m"
CALL_SECONDS = 2.0
READ_SECONDS = 4.0
SUBMIT_SECONDS = 4.0
CALL_GAP_SECONDS = 0.08
PROBE_GAP_SECONDS = 0.15
RETRY_SECONDS = 0.3
READ_GAP_SECONDS = 0.2
VERSION_SECONDS = 1.5
GROUPS = 3
GROUP_ITEMS = 4
EVENTS = (3, 8, 15, 40, 90)


class SoakLoad:
    """Sends until `stop`; `is_settled` once every accepted submission was read whole."""

    def __init__(
        self,
        timers: TimerQueue,
        client: HttpClient,
        data: PartitionedData,
        gateways: tuple[Address, ...],
        oracle: SoakOracle,
        flights: InFlightRequests,
        seed: int,
    ) -> None:
        """Reach each gateway at its address."""
        self._timers = timers
        self._client = client
        self._data = data
        self._gateways = gateways
        self._oracle = oracle
        self._flights = flights
        self._random = Random(seed)
        self._stopped = False
        self._open = 0
        self._sent = 0
        self._version = 1
        self._routes_version = 0
        self.change_routes()
        self._name_version()

    @property
    def is_settled(self) -> bool:
        """Return whether no trainer waits for results."""
        return self._stopped and self._open == 0

    def stop(self) -> None:
        """Begin nothing new."""
        self._stopped = True

    def change_routes(self) -> None:
        """Put the next version of the routes in force."""
        self._routes_version += 1
        self._data.commit(Change((), (routes_put(self._routes_version),))).unwrap()

    async def call_forever(self) -> None:
        """Be a customer: some requests may be repeated, others run once at most."""
        while not self._stopped:
            once = self._random.random() < 0.5
            gateway = self._random.randrange(len(self._gateways))
            request_id = self._next_id("c")
            path = f"/{'once' if once else 'safe'}/x"
            request = call_request(self._gateways[gateway], path, request_id, CALL_SECONDS)
            outcome = await self._send(gateway, request, CALL_SECONDS + 1.0)
            if isinstance(outcome, Ok):
                response = outcome.ok_value
                right = response.body == f"answer to {request_id}".encode()
                self._oracle.call_answered(request_id, once, response.status, right)
            else:
                self._oracle.counts["calls without an answer"] += 1
            await sleep(self._timers, self._random.expovariate(1 / CALL_GAP_SECONDS))

    async def probe_forever(self, gateway: int) -> None:
        """Ask one gateway for the newest route, again and again."""
        while not self._stopped:
            version = self._routes_version
            request = call_request(
                self._gateways[gateway], f"/v{version}/x", self._next_id("p"), CALL_SECONDS
            )
            outcome = await self._send(gateway, request, CALL_SECONDS + 1.0)
            if isinstance(outcome, Ok) and outcome.ok_value.status in (200, 404):
                known = outcome.ok_value.status == 200
                self._oracle.route_probed(gateway, version, known)
            await sleep(self._timers, PROBE_GAP_SECONDS)

    async def train_forever(self, trainer: int) -> None:
        """Be a trainer: submit, read until all is there, end, submit the next step."""
        step = 0
        while not self._stopped:
            self._open += 1
            await self._train(trainer, step)
            self._open -= 1
            step += 1

    async def announce_versions(self) -> None:
        """Name a version of the weights every now and then."""
        while not self._stopped:
            await sleep(self._timers, VERSION_SECONDS)
            self._version += 1
            self._name_version()

    async def _train(self, trainer: int, step: int) -> None:
        name = f"t{trainer}-{step}"
        items = tuple(
            DraftItem(
                f"{name}-{group}-{member}",
                f"r-{name}-{group}-{member}",
                self._random.choice(EVENTS),
                f"{name}-{group}",
            )
            for group in range(GROUPS)
            for member in range(GROUP_ITEMS)
        )
        least = max(1, self._version - 1)
        while True:
            gateway = self._random.randrange(len(self._gateways))
            address = self._gateways[gateway]
            request = submission_request(address, name, MODEL, step, least, items)
            outcome = await self._send(gateway, request, SUBMIT_SECONDS)
            if isinstance(outcome, Ok) and outcome.ok_value.status == 202:
                break
            await sleep(self._timers, RETRY_SECONDS)
        sent = tuple(
            SentItem(item.item_id, item.reward_id, complete_text(item.item_id, item.events), least)
            for item in items
        )
        self._oracle.submission_accepted(name, sent)
        while not self._oracle.is_complete(name):
            await self._read(name)
            await sleep(self._timers, READ_GAP_SECONDS)
        gateway = self._random.randrange(len(self._gateways))
        await self._send(gateway, end_request(self._gateways[gateway], name), SUBMIT_SECONDS)

    async def _read(self, name: str) -> None:
        # An earlier position now and then shows whether positions are fixed.
        after = self._oracle.contiguous_results(name) if self._random.random() < 0.8 else 0
        gateway = self._random.randrange(len(self._gateways))
        request = results_request(self._gateways[gateway], name, after)
        outcome = await self._send(gateway, request, READ_SECONDS)
        if isinstance(outcome, Ok) and outcome.ok_value.status == 200:
            results = tuple(ReadResult(**each) for each in decode_results(outcome.ok_value))
            self._oracle.read(name, after, results)

    async def _send(
        self, gateway: int, request: HttpRequest, seconds: float
    ) -> Result[HttpResponse, Failure]:
        flight = self._flights.request_started(gateway)
        promise: Promise[Result[HttpResponse, Failure]] = Promise()
        self._client.send(request, promise.resolve, silence_seconds=seconds)
        outcome = await promise
        lost = isinstance(outcome, Err) and not outcome.err_value.proven_not_run
        self._flights.request_ended(flight, lost)
        return outcome

    def _name_version(self) -> None:
        self._data.commit(Change((), (version_put(MODEL, self._version),))).unwrap()

    def _next_id(self, kind: str) -> str:
        self._sent += 1
        return f"{kind}{self._sent}"
