"""Asks peers whether they hear the store, while the scheduler here does not."""

import json
from collections.abc import Callable
from random import Random

from loguru import logger
from result import Err

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_clients import HttpClient
from pumicedeck.http_messages import HttpRequest
from pumicedeck.partitioned_stores import Change, PartitionedStore, Put
from pumicedeck.peer_checks import PeerCheck, PeerReport
from pumicedeck.schedulers import Scheduler
from pumicedeck.tasks import Promise, Task, sleep, spawn, within
from pumicedeck.work_mirrors import WorkMirror, member_row
from pumicedeck.world import Address

_log = logger.bind(module="peer_questions")

PEER_PATH = "/peer"
_ENLIST_SECONDS = 0.5


class PeerQuestions:
    """Enlists this process, answers peers and asks them."""

    def __init__(
        self,
        timers: TimerQueue,
        store: PartitionedStore,
        client: HttpClient,
        mirror: WorkMirror,
        check: PeerCheck,
        vm: str,
        address: Address,
        last_contact_at: Callable[[], float],
        holder: Callable[[], str],
        random: Random,
        scheduler: Scheduler,
    ) -> None:
        """Answer at `address`; `holder` tells who holds the lease as far as is known here."""
        self._timers = timers
        self._store = store
        self._client = client
        self._mirror = mirror
        self._check = check
        self._vm = vm
        self._address = address
        self._heard_at = last_contact_at
        self._holder = holder
        self._random = random
        self._scheduler = scheduler
        self._task: Task | None = None

    def answer(self) -> bytes:
        """Return what a peer is told."""
        heard_ago = round(self._timers.now() - self._heard_at(), 3)
        return json.dumps({"heard_ago": heard_ago, "holder": self._holder()}).encode()

    def start(self) -> None:
        """Enlist, and watch over the scheduler from now on."""
        spawn(self._enlist(), "enlist")
        self._task = spawn(self._watch(), "peer questions")

    async def _enlist(self) -> None:
        """Write this process's address where peers find it."""
        value = f"{self._address.host}:{self._address.port}".encode()
        if self._mirror.members.get(self._vm) == value.decode():
            return
        change = Change((), (Put(member_row(self._vm), value),))
        while isinstance(await self._store.commit(change), Err):
            await sleep(self._timers, _ENLIST_SECONDS)

    def close(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    async def _watch(self) -> None:
        settings = self._check.settings
        while True:
            await sleep(self._timers, settings.query_interval_seconds)
            deaf = self._timers.now() - self._heard_at() > settings.disconnected_after_seconds
            if not deaf or not self._scheduler.is_active:
                self._check.reset()
                continue
            words = await self._ask_peers()
            reason = self._check.evaluate(self._timers.now(), words)
            _log.info(
                "peers queried about store contact",
                words=[str(word) for word in words],
                stop=reason,
            )
            if reason and self._scheduler.is_active:
                self._scheduler.stop(reason)

    async def _ask_peers(self) -> list[PeerReport | None]:
        members = [address for name, address in self._mirror.members.items() if name != self._vm]
        count = min(self._check.settings.max_queried_peers, len(members))
        promises = [self._ask(address) for address in self._random.sample(members, count)]
        return [await promise for promise in promises]

    def _ask(self, address: str) -> Promise[PeerReport | None]:
        promise: Promise[PeerReport | None] = Promise()
        host, _, port = address.rpartition(":")
        target = Address(host, int(port))
        request = HttpRequest("GET", target, PEER_PATH, idempotent=True)
        seconds = self._check.settings.answer_seconds

        def settle(outcome) -> None:
            promise.resolve(None if isinstance(outcome, Err) else _read(outcome.ok_value.body))

        exchange = self._client.send(request, settle, silence_seconds=seconds)
        bounded = within(self._timers, seconds, promise, None)
        bounded.then(lambda word: exchange.cancel())
        return bounded


def _read(body: bytes) -> PeerReport | None:
    try:
        document = json.loads(body)
        return PeerReport(float(document["heard_ago"]), str(document["holder"]))
    except (ValueError, KeyError, TypeError) as error:
        _log.warning("peer report invalid", error=repr(error))
        return None
