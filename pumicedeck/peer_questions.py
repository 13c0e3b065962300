"""Queries peers about their contact with the store while this process's scheduler has none."""

import json
from collections.abc import Callable
from random import Random

from loguru import logger
from result import Err

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest
from pumicedeck.json_documents import (
    decode_document,
    guard_decoding,
    parse_address,
    read_number,
    read_text,
)
from pumicedeck.lease_keepers import LeaseKeeper
from pumicedeck.partitioned_stores import Change, PartitionedStore, Put
from pumicedeck.peer_checks import PeerCheck, PeerReport
from pumicedeck.scheduling.schedulers import Scheduler
from pumicedeck.tasks import Promise, Task, sleep, spawn, within
from pumicedeck.topology import Address
from pumicedeck.work_mirrors import WorkMirror, member_row

_log = logger.bind(module="peer_questions")

PEER_PATH = "/peer"
_REGISTER_RETRY_SECONDS = 0.5


class PeerQuestions:
    """Registers this process's address, answers queries of peers and sends queries to them."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        client: HttpClient,
        mirror: WorkMirror,
        peer_check: PeerCheck,
        vm: str,
        address: Address,
        last_contact_at: Callable[[], float],
        holder: Callable[[], str],
        random: Random,
        scheduler: Scheduler,
        lease: LeaseKeeper,
    ) -> None:
        """Create a service that does nothing until `start`.

        Peers reach this process at `address`, which `start` registers in the store under `vm`;
        `mirror` has the registered addresses of the peers. `last_contact_at` returns when the store
        last answered, in seconds on the clock of `timers`. `holder` returns the holder of the
        scheduler's lease as last read, empty if there is none. `peer_check` decides from the
        reports of peers whether `scheduler` must stop; it then starts again once `lease` has been
        acquired anew.
        """
        self._timers = timers
        self._store = store
        self._client = client
        self._mirror = mirror
        self._peer_check = peer_check
        self._vm = vm
        self._address = address
        self._get_last_contact_at = last_contact_at
        self._get_lease_holder = holder
        self._random = random
        self._scheduler = scheduler
        self._lease = lease
        self._check_task: Task | None = None

    def answer(self) -> bytes:
        """Return the JSON report that answers a peer's query."""
        heard_ago = round(self._timers.now() - self._get_last_contact_at(), 3)
        return json.dumps({"heard_ago": heard_ago, "holder": self._get_lease_holder()}).encode()

    def start(self) -> None:
        """Register this process; from now on stop the scheduler if it is cut off from the store."""
        spawn(self._register(), "enlist")
        self._check_task = spawn(self._check_periodically(), "peer questions")

    async def _register(self) -> None:
        """Write this process's address into the store, where peers read it."""
        value = f"{self._address.host}:{self._address.port}".encode()
        if self._mirror.members.get(self._vm) == value.decode():
            return
        change = Change((), (Put(member_row(self._vm), value),))
        while isinstance(await self._store.commit(change), Err):
            await sleep(self._timers, _REGISTER_RETRY_SECONDS)

    def close(self) -> None:
        """Stop querying peers."""
        if self._check_task is not None:
            self._check_task.cancel()

    async def _check_periodically(self) -> None:
        """Query peers while the store does not answer; stop the scheduler if it is cut off."""
        settings = self._peer_check.settings
        while True:
            await sleep(self._timers, settings.query_interval_seconds)
            disconnected = self._peer_check.is_disconnected(
                self._timers.now(), self._get_last_contact_at()
            )
            if not disconnected or not self._scheduler.is_active:
                self._peer_check.reset()
                continue
            reports = await self._query_peers()
            # The store may have answered while the peers were queried.
            reason = self._peer_check.evaluate(
                self._timers.now(), self._get_last_contact_at(), reports
            )
            _log.info(
                "peers queried about store contact",
                words=[str(report) for report in reports],
                stop=reason,
            )
            if reason and self._scheduler.is_active:
                self._scheduler.stop(reason)
                # A lease that is still valid would be renewed without a scheduler that runs.
                self._lease.abandon()

    async def _query_peers(self) -> list[PeerReport | None]:
        """Query randomly chosen peers at the same time; None for each that does not answer."""
        members = [address for name, address in self._mirror.members.items() if name != self._vm]
        count = min(self._peer_check.settings.max_queried_peers, len(members))
        promises = [self._query(address) for address in self._random.sample(members, count)]
        return [await promise for promise in promises]

    def _query(self, address: str) -> Promise[PeerReport | None]:
        """Query the peer at an address; the promise has None if it does not answer in time."""
        promise: Promise[PeerReport | None] = Promise()
        target = guard_decoding(lambda: parse_address(address))
        if isinstance(target, Err):
            _log.warning("peer address invalid", reason=target.err_value)
            promise.resolve(None)
            return promise
        request = HttpRequest("GET", target.ok_value, PEER_PATH, idempotent=True)
        seconds = self._peer_check.settings.answer_seconds

        def settle(outcome) -> None:
            promise.resolve(None if isinstance(outcome, Err) else _read(outcome.ok_value.body))

        exchange = self._client.send(request, settle, silence_seconds=seconds)
        bounded = within(self._timers, seconds, promise, None)
        bounded.then(lambda report: exchange.cancel())
        return bounded


def _read(body: bytes) -> PeerReport | None:
    """Decode the report of a peer, None if it is invalid."""
    decoded = decode_document(
        body,
        lambda document: PeerReport(
            read_number(document, "heard_ago"), read_text(document, "holder")
        ),
    )
    if isinstance(decoded, Err):
        _log.warning("peer report invalid", reason=decoded.err_value)
    return decoded.unwrap_or(None)
