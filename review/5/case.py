"""A machine gets SIGTERM while a client reads a long answer slowly."""

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import BOUNDS, HOST, TROUBLE, Sampler, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
# The time budget is that of the site; a machine of it may have a link of 30 Mbit/s (3.75 MB/s).
ANSWER_BYTES, BYTES_PER_SECOND, BUDGET_MS = 8_000_000, 2_500_000, 4012
CLIENTS = 3


class LongSampler(Sampler):
    async def handle(self, request, writer):
        status, headers, body = await super().handle(request, writer)
        return status, headers, body * (ANSWER_BYTES // max(1, len(body))) if status == 200 else body


async def slow_request(world, gateway, request_id):
    """Send a request and read its answer slowly; return whether it was complete, and the seconds."""
    name, _, port = gateway.callers.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (name, int(port)))
    head = (
        f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Pumicedeck-Request-Id: {request_id}\r\n"
        f"X-Pumicedeck-Deadline-Ms: {BUDGET_MS}\r\nContent-Length: 2\r\n\r\n{{}}"
    )
    began = time.monotonic()
    await loop.sock_sendall(sock, head.encode())
    data, length = b"", None
    try:
        while length is None or len(data) < length:
            part = await loop.sock_recv(sock, 65536)
            if not part:
                break
            data += part
            if length is None and b"\r\n\r\n" in data:
                head, _, data = data.partition(b"\r\n\r\n")
                fields = dict(
                    line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
                )
                length = int(fields[b"content-length"])
            await asyncio.sleep(len(part) / BYTES_PER_SECOND)
    except OSError as error:
        world.record.note(f"client: {request_id}: {error!r}")
    sock.close()
    seconds = time.monotonic() - began
    world.record.note(
        f"client: {request_id} at {gateway.name} got {len(data)} of {length} bytes in {seconds:.2f} s"
    )
    return length is not None and len(data) == length, seconds


async def play(world):
    world.service_class = LongSampler
    routes = world.routes()
    routes["r-previa"]["timeout-ms"] = BUDGET_MS
    world.routes = lambda: routes
    assert await world.start()
    gateway = world.gateways[0]
    requests = [
        asyncio.ensure_future(slow_request(world, gateway, f"rq{number}")) for number in range(CLIENTS)
    ]
    await asyncio.sleep(0.02)
    if TROUBLE:
        gateway.process.terminate()
        world.record.note(f"{gateway.name} gets SIGTERM")
    outcomes = await asyncio.gather(*requests)
    if TROUBLE:
        await asyncio.sleep(max(0.0, BOUNDS["grace-s"] - max(s for _, s in outcomes)))
    cut = [f"rq{n}" for n, (whole, _) in enumerate(outcomes) if not whole]
    if cut:
        longest = max(seconds for _, seconds in outcomes)
        return [
            f"LOST: {len(cut)} of {CLIENTS} answers end early, {longest:.1f} s after their requests were "
            f"sent, in the grace time of {BOUNDS['grace-s']} s and within the budget of {BUDGET_MS} ms"
        ]
    return []


run_case(FOLDER, play)
