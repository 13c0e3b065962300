"""Runs the store and an endpoint for the tests of client crowds, as a process of its own.

The endpoint answers at once, after some seconds, with a body of a given size, or with a stream of a
given size. A line on standard output names the store's and the endpoint's port.
"""

import json

from pumicedeck.http_listeners import HttpListener
from pumicedeck.http_messages import KIB, MIB
from pumicedeck.incoming_calls import IncomingCall
from pumicedeck.partitioned_stores import Change, Put, RowKey
from pumicedeck.platform.headers import REQUEST_ID, SIGNATURE
from pumicedeck.platform.registrations import OPERATOR_TABLE, ROUTES_KEY
from pumicedeck.platform.standin_callers import endpoint_put
from pumicedeck.platform.standin_stores import PlatformStoreServer
from pumicedeck.processes import Process
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.tasks import sleep, spawn
from pumicedeck.topology import Address

LOOPBACK_HOST = "127.0.0.1"
HOST = "h"
POOL = "services"
RAN_PATH = "/ran"
SLOW_SECONDS = 3.0
EVENT_BYTES = 32 * KIB
EVENT_SECONDS = 0.002
ROUTE_TYPES = {
    "/safe/": "idempotent",
    "/once/": "non_idempotent",
    "/stream/": "streaming",
    "/drafts/": "rollout",
}
LIMITS = {
    "max-header-bytes": 16 * KIB,
    "max-body-bytes": 32 * MIB,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def routes_put() -> Put:
    """Return the write that stores one route of each kind."""
    routes = [
        {
            "name": kind,
            "host": HOST,
            "path-prefix": prefix,
            "route-type": kind,
            "timeout-ms": 30000,
            "target-latency-ms": 1000,
            "max-attempts": 2,
            "service": POOL,
            "due-ms": 5000,
            "max-wait-s": 60,
        }
        for prefix, kind in ROUTE_TYPES.items()
    ]
    document = {"version": 1, "routes": routes, "services": [], "limits": LIMITS}
    return Put(RowKey(OPERATOR_TABLE, "", ROUTES_KEY), json.dumps(document).encode())


class CrowdService:
    """An endpoint that runs each request on arrival and tells which ones it has run."""

    def __init__(self, process: Process) -> None:
        self._timers = process.timers
        self._ran: list[str] = []
        self._listener = HttpListener(Address(LOOPBACK_HOST, 0), self._timers, self._handle)
        self._listener.register(process)
        self._listener.start()

    @property
    def address(self) -> Address:
        return self._listener.address

    def _handle(self, call: IncomingCall) -> None:
        if call.target == RAN_PATH:
            call.answer(200, (), json.dumps(self._ran).encode())
            return
        self._ran.append(call.header(REQUEST_ID.lower()))
        spawn(self._answer(call), "call")

    async def _answer(self, call: IncomingCall) -> None:
        request_id = call.header(REQUEST_ID.lower())
        headers = ((REQUEST_ID, request_id), (SIGNATURE, f"mac-{request_id}"))
        kind, _, size = call.target.strip("/").rpartition("/")
        if size == "slow":
            await sleep(self._timers, SLOW_SECONDS)
        if not size.isdigit():
            call.answer(200, headers, b"answer")
        elif kind == "stream":
            call.start_stream(200, headers)
            for number in range(1, int(size) // EVENT_BYTES + 1):
                call.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES))
                await sleep(self._timers, EVENT_SECONDS)
            call.finish()
        else:
            call.answer(200, headers, b"x" * int(size))


def main() -> None:
    process = Process()
    data = PartitionedData()
    store = PlatformStoreServer(
        process, process.timers, StandinPartitionedStore(process.timers, data)
    )
    service = CrowdService(process)
    for put in (routes_put(), endpoint_put("s-0", POOL, service.address, "z", {})):
        data.commit(Change((), (put,))).unwrap()
    print(store.address.port, service.address.port, flush=True)
    process.run()


if __name__ == "__main__":
    main()
