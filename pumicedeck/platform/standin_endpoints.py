"""Stand-ins of endpoints as they speak on the users' platform: a plain service and an engine."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from circuits import BaseComponent

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_listeners import HttpListener, IncomingCall
from pumicedeck.platform.headers import LAST_EVENT, REQUEST_ID, SIGNATURE, VERSIONS
from pumicedeck.tasks import Task, sleep, spawn
from pumicedeck.world import Address

_JSON = (("Content-Type", "application/json"),)


@dataclass(frozen=True, slots=True)
class EndpointObserver:
    """Is told what endpoints do: a run, an event's version, the end of a text, a reward call."""

    ran: Callable[[str], None]
    generated: Callable[[str, int], None]
    ended: Callable[[str], None]
    scored: Callable[[str], None]


class StandinEndpoint(ABC):
    """One endpoint on a port of its own; `crash` breaks its connections."""

    def __init__(
        self, name: str, pool: str, root: BaseComponent, timers: TimerQueue, address: Address
    ) -> None:
        """Listen after `start`."""
        self.name = name
        self.pool = pool
        self.timers = timers
        self._root = root
        self._address = address
        self._listener: HttpListener | None = None
        self._tasks: set[Task] = set()

    @property
    def address(self) -> Address:
        """Return where it listens, or listened last."""
        return self._address

    def start(self) -> None:
        """Listen, again on the same port after a crash."""
        if self._listener is None:
            self._listener = HttpListener(self._address, self.timers, self._serve)
            self._listener.register(self._root)
            self._listener.start()
            self._address = self._listener.address

    def crash(self) -> None:
        """Break every connection and refuse new ones."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.close()
            listener.unregister()
        for task in tuple(self._tasks):
            task.cancel()

    def _serve(self, call: IncomingCall) -> None:
        task = spawn(self.handle(call), f"call at {self.name}")
        if not task.is_done:
            self._tasks.add(task)
            task.ended.then(lambda _: self._tasks.discard(task))

    @abstractmethod
    async def handle(self, call: IncomingCall) -> None:
        """Serve a request."""


class StandinService(StandinEndpoint):
    """Runs each request once it comes and signs its answer."""

    def __init__(self, *arguments, observer: EndpointObserver, work_seconds: float = 0.15) -> None:
        """Work `work_seconds` on each request."""
        super().__init__(*arguments)
        self._witness = observer
        self._work_seconds = work_seconds

    async def handle(self, call: IncomingCall) -> None:
        """Run a request, or give an item its score."""
        request_id = call.header(REQUEST_ID.lower())
        if call.target.startswith("/score/"):
            self._witness.scored(call.target.rpartition("/")[2])
        elif call.target.startswith("/once/"):
            self._witness.ran(request_id)
        await sleep(self.timers, self._work_seconds)
        headers = ((REQUEST_ID, request_id), (SIGNATURE, f"mac-{request_id}"))
        call.answer(200, headers, f"answer to {request_id}".encode())


@dataclass(slots=True)
class _Weights:
    version: int = 1
    busy: bool = False
    sequence: int = 0


class StandinEngine(StandinEndpoint):
    """Streams the events of an item and loads versions when it is ordered to."""

    def __init__(
        self,
        *arguments,
        model: str,
        observer: EndpointObserver,
        event_seconds: float = 0.02,
        load_seconds: float = 0.3,
    ) -> None:
        """Hold version 1 of `model`."""
        super().__init__(*arguments)
        self._model = model
        self._witness = observer
        self._event_seconds = event_seconds
        self._load_seconds = load_seconds
        self._weights = _Weights()

    def crash(self) -> None:
        """Break every connection; a restart knows no orders but keeps the version."""
        super().crash()
        self._weights = _Weights(version=self._weights.version)

    async def handle(self, call: IncomingCall) -> None:
        """Report, take an order, or generate."""
        if call.target == "/report":
            weights = self._weights
            models = [{"name": self._model, "version": weights.version}]
            report = {"models": models, "busy": weights.busy, "seq": weights.sequence}
            call.answer(200, _JSON, json.dumps(report).encode())
        elif call.target == "/order":
            call.answer(self._order(json.loads(call.body)), _JSON, b"{}")
        else:
            await self._generate(call)

    def _order(self, document: dict) -> int:
        weights = self._weights
        if document["version"] <= weights.version:
            return 200
        if weights.busy or document["expected"] != weights.sequence:
            return 409
        weights.busy = True
        weights.sequence += 1

        def finish() -> None:
            weights.busy = False
            weights.version = document["version"]

        self.timers.call_later(self._load_seconds, finish)
        return 202

    async def _generate(self, call: IncomingCall) -> None:
        item_id = call.header(REQUEST_ID.lower())
        last = call.header(LAST_EVENT.lower())
        events = int(call.body)
        version = self._weights.version
        call.begin(
            200,
            ((REQUEST_ID, item_id), (SIGNATURE, f"mac-{item_id}"), (VERSIONS, str(version))),
        )
        for number in range(int(last or 0) + 1, events + 1):
            await sleep(self.timers, self._event_seconds)
            line = ""
            if self._weights.version != version:
                version = self._weights.version
                line = f"{VERSIONS.lower()}: {version}\n"
            self._witness.generated(item_id, version)
            if number == events:
                self._witness.ended(item_id)
            call.write(f"{line}id: {number}\ndata: {event_text(item_id, number)}\n\n".encode())
        call.finish()


def event_text(item_id: str, number: int) -> str:
    """Return the data of one event, the same at every engine."""
    return f"{item_id}.{number}"


def complete_text(item_id: str, events: int) -> str:
    """Return the text that an item must have."""
    return "\n".join(event_text(item_id, number) for number in range(1, events + 1))
