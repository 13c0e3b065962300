"""Callers, trainers and operators of a soak, which reach the gateways through proxies."""

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
    with_key,
)
from pumicedeck.platform.standin_endpoints import complete_text
from pumicedeck.results import Failure
from pumicedeck.soaks.account_checks import ACCOUNT_KEYS, REVOKED_KEY
from pumicedeck.soaks.in_flight_requests import InFlightRequests
from pumicedeck.soaks.oracles import ReadResult, SentItem, SoakOracle
from pumicedeck.standin_partitioned_stores import PartitionedData
from pumicedeck.tasks import Promise, sleep
from pumicedeck.topology import Address

MODEL = "m"
CALL_BUDGET_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 4.0
SUBMIT_TIMEOUT_SECONDS = 4.0
MEAN_CALL_INTERVAL_SECONDS = 0.08
PROBE_INTERVAL_SECONDS = 0.15
SUBMIT_RETRY_SECONDS = 0.3
READ_INTERVAL_SECONDS = 0.2
VERSION_INTERVAL_SECONDS = 1.5
GROUPS_PER_STEP = 3
ITEMS_PER_GROUP = 4
ITEM_EVENT_COUNTS = (3, 8, 15, 40, 90)
# So many of the calls are sent with the key that is revoked during the soak.
REVOKED_KEY_SHARE = 0.2
ACCOUNTS = tuple(ACCOUNT_KEYS)


class SoakLoad:
    """Sends load until `stop`; settled once all results of accepted submissions were read."""

    def __init__(
        self,
        timers: TimerQueue,
        client: HttpClient,
        data: PartitionedData,
        gateways: tuple[Address, ...],
        oracle: SoakOracle,
        in_flight: InFlightRequests,
        seed: int,
    ) -> None:
        """Store the first routes and model version; `gateways` are the proxies' addresses."""
        self._timers = timers
        self._client = client
        self._data = data
        self._gateways = gateways
        self._oracle = oracle
        self._in_flight = in_flight
        self._random = Random(seed)
        self._stopped = False
        self._open_steps = 0
        self._sent_requests = 0
        self._announced_version = 1
        self._routes_version = 0
        self.change_routes()
        self._write_announced_version()

    @property
    def is_settled(self) -> bool:
        """Return whether the load was stopped and no trainer has an open step."""
        return self._stopped and self._open_steps == 0

    def stop(self) -> None:
        """Start no new calls, probes, steps or versions."""
        self._stopped = True

    def change_routes(self) -> None:
        """Write the next version of the routes to the store."""
        self._routes_version += 1
        routes = routes_put(self._routes_version, self._oracle.accounts.configured)
        self._data.commit(Change((), (routes,))).unwrap()

    def revoke_key(self) -> None:
        """Write a version of the routes without one of the accounts' keys to the store."""
        self._oracle.accounts.revoke(self._timers.now())
        self.change_routes()

    async def call_forever(self) -> None:
        """Send calls until `stop`; about half must run at most once, the others may be repeated."""
        while not self._stopped:
            at_most_once = self._random.random() < 0.5
            gateway_index = self._random.randrange(len(self._gateways))
            request_id = self._next_request_id("c")
            path = f"/{'once' if at_most_once else 'safe'}/x"
            request = call_request(
                self._gateways[gateway_index], path, request_id, CALL_BUDGET_SECONDS
            )
            key = self._choose_call_key()
            self._oracle.accounts.request_sent(request_id, self._oracle.accounts.account_of(key))
            outcome = await self._send(gateway_index, request, CALL_BUDGET_SECONDS + 1.0, key)
            if isinstance(outcome, Ok):
                response = outcome.ok_value
                body_matches = response.body == f"answer to {request_id}".encode()
                self._oracle.call_answered(request_id, at_most_once, response.status, body_matches)
            else:
                self._oracle.counts["calls without an answer"] += 1
            await sleep(self._timers, self._random.expovariate(1 / MEAN_CALL_INTERVAL_SECONDS))

    async def probe_forever(self, gateway_index: int) -> None:
        """Call the newest route at one gateway until `stop` and report whether the route exists."""
        while not self._stopped:
            version = self._routes_version
            request_id = self._next_request_id("p")
            request = call_request(
                self._gateways[gateway_index], f"/v{version}/x", request_id, CALL_BUDGET_SECONDS
            )
            key = self._choose_key(ACCOUNTS[0])
            self._oracle.accounts.request_sent(request_id, ACCOUNTS[0])
            # A gateway may not have the newest route yet, which is no refusal of an account.
            outcome = await self._send(
                gateway_index, request, CALL_BUDGET_SECONDS + 1.0, key, may_be_missing=True
            )
            if isinstance(outcome, Ok) and outcome.ok_value.status in (200, 404):
                has_route = outcome.ok_value.status == 200
                self._oracle.route_probed(gateway_index, version, has_route)
            await sleep(self._timers, PROBE_INTERVAL_SECONDS)

    async def train_forever(self, trainer: int) -> None:
        """Until `stop`, submit a step, read it until it is complete, and end it."""
        step = 0
        while not self._stopped:
            self._open_steps += 1
            await self._train_step(trainer, step)
            self._open_steps -= 1
            step += 1

    async def announce_versions(self) -> None:
        """Announce a new model version at a fixed interval until `stop`."""
        while not self._stopped:
            await sleep(self._timers, VERSION_INTERVAL_SECONDS)
            self._announced_version += 1
            self._write_announced_version()

    async def _train_step(self, trainer: int, step: int) -> None:
        submission_id = f"t{trainer}-{step}"
        account = ACCOUNTS[trainer % len(ACCOUNTS)]
        items = tuple(
            DraftItem(
                f"{submission_id}-{group}-{member}",
                f"r-{submission_id}-{group}-{member}",
                self._random.choice(ITEM_EVENT_COUNTS),
                f"{submission_id}-{group}",
            )
            for group in range(GROUPS_PER_STEP)
            for member in range(ITEMS_PER_GROUP)
        )
        for item in items:
            self._oracle.accounts.request_sent(item.item_id, account)
            self._oracle.accounts.request_sent(item.reward_id, "")
        min_version = max(1, self._announced_version - 1)
        while True:
            gateway_index = self._random.randrange(len(self._gateways))
            address = self._gateways[gateway_index]
            request = submission_request(address, submission_id, MODEL, step, min_version, items)
            key = self._choose_key(account)
            outcome = await self._send(gateway_index, request, SUBMIT_TIMEOUT_SECONDS, key)
            if isinstance(outcome, Ok) and outcome.ok_value.status == 202:
                break
            await sleep(self._timers, SUBMIT_RETRY_SECONDS)
        sent_items = tuple(
            SentItem(
                item.item_id, item.reward_id, complete_text(item.item_id, item.events), min_version
            )
            for item in items
        )
        self._oracle.submission_accepted(submission_id, sent_items)
        while not self._oracle.is_complete(submission_id):
            await self._read_results(submission_id, account)
            await sleep(self._timers, READ_INTERVAL_SECONDS)
        gateway_index = self._random.randrange(len(self._gateways))
        await self._send(
            gateway_index,
            end_request(self._gateways[gateway_index], submission_id),
            SUBMIT_TIMEOUT_SECONDS,
            self._choose_key(account),
        )

    async def _read_results(self, submission_id: str, account: str) -> None:
        # One read in five starts again at position 0, to check that positions do not change.
        after = self._oracle.contiguous_results(submission_id) if self._random.random() < 0.8 else 0
        gateway_index = self._random.randrange(len(self._gateways))
        request = results_request(self._gateways[gateway_index], submission_id, after)
        key = self._choose_key(account)
        outcome = await self._send(gateway_index, request, READ_TIMEOUT_SECONDS, key)
        if isinstance(outcome, Ok) and outcome.ok_value.status == 200:
            results = tuple(ReadResult(**document) for document in decode_results(outcome.ok_value))
            self._oracle.results_read(submission_id, after, results)

    async def _send(
        self,
        gateway_index: int,
        request: HttpRequest,
        timeout_seconds: float,
        key: str,
        may_be_missing: bool = False,
    ) -> Result[HttpResponse, Failure]:
        sent_at = self._timers.now()
        in_flight_request = self._in_flight.request_started(gateway_index)
        promise: Promise[Result[HttpResponse, Failure]] = Promise()
        request = with_key(request, key)
        self._client.send(request, promise.resolve, silence_seconds=timeout_seconds)
        outcome = await promise
        if isinstance(outcome, Ok) and not (may_be_missing and outcome.ok_value.status == 404):
            self._oracle.accounts.answered(gateway_index, key, outcome.ok_value.status, sent_at)
        answer_lost = isinstance(outcome, Err) and not outcome.err_value.proven_not_run
        self._in_flight.request_ended(in_flight_request, answer_lost)
        return outcome

    def _choose_key(self, account: str) -> str:
        return self._oracle.accounts.choose_key(self._random, account)

    def _choose_call_key(self) -> str:
        """Return the key of a call, now and then the one that is, or will be, revoked."""
        if self._random.random() < REVOKED_KEY_SHARE:
            return REVOKED_KEY
        return self._choose_key(self._random.choice(ACCOUNTS))

    def _write_announced_version(self) -> None:
        self._data.commit(Change((), (version_put(MODEL, self._announced_version),))).unwrap()

    def _next_request_id(self, kind: str) -> str:
        self._sent_requests += 1
        return f"{kind}{self._sent_requests}"
