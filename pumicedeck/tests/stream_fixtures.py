"""Gateways before endpoints of several software versions, and callers that resume their streams."""

import json
import re

from result import Err

from pumicedeck.gateway_compositions import build_gateway
from pumicedeck.gateway_settings import StoreSettings
from pumicedeck.http_listeners import HttpListener
from pumicedeck.platform.standin_stores import PlatformStoreServer
from pumicedeck.results import Failure, ResultCode
from pumicedeck.standin_partitioned_stores import StandinPartitionedStore
from pumicedeck.stream_records import STREAM_PARTITIONS, STREAMS_TABLE
from pumicedeck.stream_versions import decode_pool_versions
from pumicedeck.tasks import Promise
from pumicedeck.tests.test_gateways import SIGNATURE, FakeEndpoint, GatewayFixture, id_header
from pumicedeck.work_mirrors import SOFTWARE_PARTITION, WORK_TABLE

EVENT_SECONDS = 0.1
EVENTS = 10
NOT_RUN = ("X-Pumicedeck-Not-Run", "1")
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^@\n]+)@(\d+)\n\n")


class StreamingEndpoint(FakeEndpoint):
    """Streams events that name its software version and their number.

    A stream is refused as not run while `full` is true, and breaks after event `breaks_after`.
    """

    def __init__(self, fixture, name, software, incarnation=1):
        super().__init__(fixture, name, "apps", software)
        self.fixture = fixture
        self.incarnation = incarnation
        self.full = False
        self.breaks_after = None
        self.open_calls = []
        self.on_call = self.stream
        self.register()

    def register(self, state="ready"):
        models = [{"name": "m", "version": 1}]
        entry = {**self.entry(state), "born": self.incarnation, "models": models}
        self.fixture.put("servers", self.name, entry)

    def unregister(self):
        self.fixture.put("servers", self.name, None)

    def crash(self):
        """Break all streams and refuse connections."""
        self.listener.close()
        self.listener.unregister()
        self.fixture.endpoints.remove(self)

    def restart(self, software):
        """Restart at the same address under the same name, without registering."""
        address = self.listener.address
        self.listener.close()
        self.listener.unregister()
        for call in self.open_calls:
            call.abort()
        self.open_calls = []
        self.software = software
        self.incarnation += 1
        self.breaks_after = None
        self.listener = HttpListener(address, self.fixture.loop.timers, self._handle)
        self.listener.register(self.fixture.loop)
        self.listener.start()

    def stream(self, call):
        if call.target == "/report":
            report = {"models": [], "busy": False, "seq": 0, "born": self.incarnation}
            call.answer(200, (), json.dumps(report).encode())
            return
        self.open_calls.append(call)
        if self.full:
            call.answer(503, (id_header(call), NOT_RUN), b"")
            return
        call.start_stream(200, (id_header(call), SIGNATURE))
        self.send_event(call, int(call.header("last-event-id") or 0) + 1)

    def send_event(self, call, number):
        if call.is_ended:
            return
        if number - 1 == self.breaks_after:
            call.abort()
            return
        call.write(f"id: {number}\ndata: {self.software}@{number}\n\n".encode())
        if number == EVENTS:
            call.finish()
            return
        timers = self.fixture.loop.timers
        timers.call_later(EVENT_SECONDS, lambda: self.send_event(call, number + 1))


class WithholdingStore(StandinPartitionedStore):
    """A stand-in store that does not answer reads of the tables in `withheld`."""

    withheld = ()

    def read(self, table, *arguments):
        return self.lose_answer() if table in self.withheld else super().read(table, *arguments)

    def partitions(self, table, *arguments):
        if table in self.withheld:
            return self.lose_answer()
        return super().partitions(table, *arguments)

    def read_changes(self, table, *arguments):
        if table in self.withheld:
            return self.lose_answer()
        return super().read_changes(table, *arguments)

    def lose_answer(self):
        failure = Failure(ResultCode.STORE_UNAVAILABLE, "the reply was lost")
        return self._resolve_later(Promise(), Err(failure), self.call_timeout_seconds)


class StreamCaller:
    """A caller of one stream, who resumes it after its last event under a new request id."""

    def __init__(self, fixture, name):
        self.fixture = fixture
        self.name = name
        self.attempts = 0
        self.stream_id = ""
        self.events = []
        self.answer = b""
        self.sock = None
        self.is_closed = False

    @property
    def status(self):
        return int(self.answer.split(b" ", 2)[1]) if self.answer else 0

    @property
    def is_complete(self):
        return self.answer.endswith(b"0\r\n\r\n")

    @property
    def software(self):
        return {software for _, software in self.events}

    @property
    def numbers(self):
        return [number for number, _ in self.events]

    @property
    def code(self):
        """Return the number of the result code of a refusal, 0 without one."""
        found = re.search(rb'"code": (\d+)', self.answer)
        return int(found[1]) if found else 0

    def begin_anew(self, gateway):
        """Discard the events and begin the stream from its start."""
        self.poll()
        self.events = []
        self.send(gateway)

    def send(self, gateway):
        """Begin the stream, or resume it if an event has arrived."""
        self.poll()
        self.attempts += 1
        request_id = f"{self.name}-{self.attempts}"
        headers = [("X-Pumicedeck-Request-Id", request_id), ("X-Pumicedeck-Deadline-Ms", "8000")]
        if self.events:
            headers.append(("Last-Event-Id", str(self.events[-1][0])))
            headers.append(("Resumes", self.stream_id))
        else:
            self.stream_id = request_id
        self.answer = b""
        self.is_closed = False
        listener = self.fixture.listeners[gateway]
        self.sock = self.fixture.open("POST", "/stream/x", headers=headers, listener=listener)

    def disconnect(self):
        """Close the connection after reading what has arrived."""
        self.poll()
        self.sock.close()
        self.sock = None

    def poll(self):
        """Read what has arrived."""
        while self.sock is not None:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                return
            except ConnectionResetError:
                data = b""
            if not data:
                self.is_closed = True
                return
            known = len(_EVENT.findall(self.answer))
            self.answer += data
            for number, software, _ in _EVENT.findall(self.answer)[known:]:
                self.events.append((int(number), software.decode()))


class StreamFixture(GatewayFixture):
    """Several gateways before endpoints that stream; `software` has the version of each."""

    def __init__(self, gateways, software):
        super().__init__()
        for each in self.endpoints:
            each.listener.close()
            self.put("servers", each.name, None)
        self.endpoints = []
        self.configure_streams(2)
        self.own_stores = {}
        self.running_gateways = [self.running]
        self.listeners = [self.gateway.caller_listener]
        for number in range(2, gateways + 1):
            self.add_gateway(f"front-{number}")
        for number, version in enumerate(software):
            self.add_endpoint(f"s-{number}", version)
        # Streams begin at all versions once their announcement is old enough.
        self.loop.advance(5.0)
        self.callers = []

    def configure_streams(self, version, resumable=True):
        fields = {"resumable": resumable, "timeout-ms": 8000, "max-attempts": 3}
        document = {
            "name": "stream",
            "host": "h",
            "path-prefix": "/stream/",
            "route-type": "streaming",
            "target-latency-ms": 250,
            "service": "apps",
            **fields,
        }
        self.configure(version, document)

    def add_endpoint(self, name, software, incarnation=1):
        self.endpoints.append(StreamingEndpoint(self, name, software, incarnation))
        return self.endpoints[-1]

    def add_gateway(self, vm, withheld=(), silent=False):
        """Start a gateway with a way to the store that can fail by itself.

        Its reads of the tables in `withheld` get no answer, with `silent` none of its calls does.
        """
        standin = WithholdingStore(self.loop.timers, self.data, call_timeout_seconds=0.05)
        standin.withheld = withheld
        standin.faults.silent = silent
        server = PlatformStoreServer(self.loop, self.loop.timers, standin)
        self.own_stores[len(self.listeners)] = (standin, server)
        settings = self.make_settings(vm)
        settings = settings.model_copy(update={"store": StoreSettings(address=server.address)})
        built = build_gateway(settings, self.loop, self.loop.timers, lambda: None)
        built.start()
        self.running_gateways.append(built)
        self.listeners.append(built.gateway.caller_listener)
        if not withheld and not silent:
            self.loop.until(lambda: built.gateway.is_ready)
        return len(self.listeners) - 1

    def lose_power(self, seconds):
        """End all gateways at the same moment and advance the time while there is none."""
        for running in self.running_gateways:
            running.close()
        self.run(seconds)

    def start_again(self, count=2, **faults):
        """Start gateways that know nothing; return their numbers."""
        first = len(self.listeners)
        return [self.add_gateway(f"front-{first + n}", **faults) for n in range(count)]

    def resume(self, callers, gateways):
        """Resume the streams that have not ended, at one gateway after the other."""
        for number, caller in enumerate(callers):
            caller.poll()
            if not caller.is_complete:
                caller.send(gateways[number % len(gateways)])

    def store_of(self, gateway):
        """Return the stand-in through which a gateway reaches the store."""
        return self.own_stores[gateway][0] if gateway in self.own_stores else self.standin

    def stop_gateway(self, number):
        """End a gateway, which breaks the connections of its callers."""
        self.running_gateways[number].close()

    def begin(self, gateway=0, count=1):
        """Begin streams one after the other at a gateway."""
        begun = []
        for _ in range(count):
            caller = StreamCaller(self, f"c{len(self.callers)}")
            caller.send(gateway)
            self.callers.append(caller)
            begun.append(caller)
            self.run(0.01)
        return begun

    def run(self, seconds):
        """Advance the time while callers read."""
        end_at = self.loop.timers.now() + seconds
        while self.loop.timers.now() < end_at - 1e-9:
            self.loop.advance(min(0.05, end_at - self.loop.timers.now()))
            for caller in self.callers:
                caller.poll()

    def stream_rows(self):
        """Return the number of stream records in the store."""
        partitions = [f"{number:x}" for number in range(STREAM_PARTITIONS)]
        return sum(len(self.data.read(STREAMS_TABLE, each, "", 10_000)) for each in partitions)

    def endpoints_of(self, software):
        return [each for each in self.endpoints if each.software == software]

    def check(self):
        """Check that no stream has a gap or events of two software versions."""
        for caller in self.callers:
            assert len(caller.software) <= 1, (caller.name, caller.events)
            assert caller.numbers == list(range(1, len(caller.numbers) + 1)), caller.name

    def completed(self, callers):
        return sum(caller.is_complete and len(caller.events) == EVENTS for caller in callers)

    def base(self):
        """Return the base version in the pool's row, None without a row."""
        rows = self.data.read(WORK_TABLE, SOFTWARE_PARTITION, "", 10)
        return decode_pool_versions(rows[0].value).base if rows else None

    def close(self):
        for running in self.running_gateways[1:]:
            running.close()
        for _, server in self.own_stores.values():
            server.close()
        super().close()
