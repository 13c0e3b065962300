"""Stand-ins for endpoints of the deployment platform: a plain service and an engine."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from circuits import BaseComponent

from pumicedeck.clocks import TimerQueue
from pumicedeck.http_listeners import HttpListener
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.platform.headers import (
    ACCOUNT,
    AUTHORIZATION,
    LAST_EVENT,
    REQUEST_ID,
    SIGNATURE,
    VERSIONS,
)
from pumicedeck.tasks import Task, sleep, spawn
from pumicedeck.topology import Address

_JSON = (("Content-Type", "application/json"),)


@dataclass(frozen=True, slots=True)
class EndpointObserver:
    """Callbacks for what endpoints do.

    `ran` receives the id of a request, `generated` the id of an item and the weight version of an
    event, `ended` the id of an item whose last event was generated, `scored` that of a scored item.
    `arrived` receives the id of a request or item, its client account, and whether it has a key.
    """

    ran: Callable[[str], None]
    generated: Callable[[str, int], None]
    ended: Callable[[str], None]
    scored: Callable[[str], None]
    arrived: Callable[[str, str, bool], None]

    def observe_account(self, call: IncomingCall) -> None:
        """Report the account and the key that a request carries."""
        account, key = call.header(ACCOUNT.lower()), call.header(AUTHORIZATION.lower())
        self.arrived(call.header(REQUEST_ID.lower()), account, bool(key))


class StandinEndpoint(ABC):
    """An endpoint with its own listener."""

    def __init__(
        self, name: str, pool: str, root: BaseComponent, timers: TimerQueue, address: Address
    ) -> None:
        """Create an endpoint that is stopped until `start`."""
        self.name = name
        self.pool = pool
        self.timers = timers
        self._root = root
        self._address = address
        self._listener: HttpListener | None = None
        self._tasks: set[Task] = set()

    @property
    def address(self) -> Address:
        """Return the address on which the endpoint listens, or listened last."""
        return self._address

    def start(self) -> None:
        """Start to listen, after a crash on the same port as before."""
        if self._listener is None:
            self._listener = HttpListener(self._address, self.timers, self._serve)
            self._listener.register(self._root)
            self._listener.start()
            self._address = self._listener.address

    def crash(self) -> None:
        """Close every connection, refuse new ones and cancel all requests."""
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
        """Handle a request."""


class StandinService(StandinEndpoint):
    """Runs each request on arrival and signs the answer."""

    def __init__(self, *arguments, observer: EndpointObserver, work_seconds: float = 0.15) -> None:
        """Create a service that takes `work_seconds` for each request."""
        super().__init__(*arguments)
        self._observer = observer
        self._work_seconds = work_seconds

    async def handle(self, call: IncomingCall) -> None:
        """Run a request or score an item."""
        self._observer.observe_account(call)
        request_id = call.header(REQUEST_ID.lower())
        if call.target.startswith("/score/"):
            self._observer.scored(call.target.rpartition("/")[2])
        elif call.target.startswith("/once/"):
            self._observer.ran(request_id)
        await sleep(self.timers, self._work_seconds)
        headers = ((REQUEST_ID, request_id), (SIGNATURE, f"mac-{request_id}"))
        call.answer(200, headers, f"answer to {request_id}".encode())


@dataclass(slots=True)
class _EngineState:
    version: int = 1
    busy: bool = False
    sequence: int = 0


class StandinEngine(StandinEndpoint):
    """Streams the events of an item and loads weight versions on order."""

    def __init__(
        self,
        *arguments,
        model: str,
        observer: EndpointObserver,
        event_seconds: float = 0.02,
        load_seconds: float = 0.3,
    ) -> None:
        """Create an engine that holds version 1 of `model`."""
        super().__init__(*arguments)
        self._model = model
        self._observer = observer
        self._event_seconds = event_seconds
        self._load_seconds = load_seconds
        self._state = _EngineState()

    def crash(self) -> None:
        """Close every connection; forget all orders but keep the loaded version."""
        super().crash()
        self._state = _EngineState(version=self._state.version)

    async def handle(self, call: IncomingCall) -> None:
        """Answer a request for a report, accept an order, or generate."""
        if call.target == "/report":
            state = self._state
            models = [{"name": self._model, "version": state.version}]
            report = {"models": models, "busy": state.busy, "seq": state.sequence}
            call.answer(200, _JSON, json.dumps(report).encode())
        elif call.target == "/order":
            call.answer(self._order(json.loads(call.body)), _JSON, b"{}")
        else:
            await self._generate(call)

    def _order(self, document: dict) -> int:
        state = self._state
        if document["version"] <= state.version:
            return 200
        if state.busy or document["expected"] != state.sequence:
            return 409
        state.busy = True
        state.sequence += 1

        def finish() -> None:
            state.busy = False
            state.version = document["version"]

        self.timers.call_later(self._load_seconds, finish)
        return 202

    async def _generate(self, call: IncomingCall) -> None:
        self._observer.observe_account(call)
        item_id = call.header(REQUEST_ID.lower())
        last = call.header(LAST_EVENT.lower())
        events = int(call.body)
        version = self._state.version
        call.start_stream(
            200,
            ((REQUEST_ID, item_id), (SIGNATURE, f"mac-{item_id}"), (VERSIONS, str(version))),
        )
        for number in range(int(last or 0) + 1, events + 1):
            await sleep(self.timers, self._event_seconds)
            line = ""
            if self._state.version != version:
                version = self._state.version
                line = f"{VERSIONS.lower()}: {version}\n"
            self._observer.generated(item_id, version)
            if number == events:
                self._observer.ended(item_id)
            call.write(f"{line}id: {number}\ndata: {event_text(item_id, number)}\n\n".encode())
        call.finish()


def event_text(item_id: str, number: int) -> str:
    """Return the data of one event, which is the same on every engine."""
    return f"{item_id}.{number}"


def complete_text(item_id: str, events: int) -> str:
    """Return the text that a complete item must have."""
    return "\n".join(event_text(item_id, number) for number in range(1, events + 1))
