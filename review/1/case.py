"""An entry of another writer, with a field of another type, lies among the samplers' entries.

All gateway processes are killed and started again, as on a day that ends with that fault.
"""

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import BOUNDS, ENGINES, TROUBLE, MODEL, call, run_case, whole_text  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ITEMS = [(f"it{number:02d}", 500 + number) for number in range(12)]


def foreign_entry():
    """An entry whose model's version is a number, but no whole one."""
    entry = {
        "service": ENGINES, "address": "127.0.0.1:9", "zone": "lisboa-a", "version": "v1",
        "slots": 12, "state": "ready", "cold-remaining-ms": 0, "seq": 1, "born": 1,
        "models": [{"name": MODEL, "version": "VERSION", "adapters": []}],
    }  # fmt: skip
    if os.environ.get("FOREIGN") == "bytes":
        return b"[" * 20000
    return json.dumps(entry).replace('"VERSION"', "1e999").encode()


async def request(world, gateway, number, seconds=4.0):
    request_id = f"rq{number:04d}"
    headers = [("X-Pumicedeck-Request-Id", request_id), ("X-Pumicedeck-Deadline-Ms", "4000")]
    answer = await call(gateway.callers, "POST", "/lohu930/2f", headers, b"{}", seconds)
    signed = answer and answer[1].get("x-pumicedeck-response-signature")
    status = answer and answer[0]
    world.record.note(f"client: {request_id} to {gateway.name} answered {status} signed {signed}")
    return status == 200 and answer[2] == f"answer to {request_id}".encode()


async def play(world):
    assert await world.start()
    assert await world.submit(world.gateways[0], "sub1", ITEMS) == 202
    await asyncio.sleep(2.0)
    before = [await request(world, world.gateways[n % 3], n) for n in range(12)]
    if TROUBLE:
        world.store.put("servers", "i-00other", foreign_entry())
        world.record.note("another writer: entry i-00other written")
    await asyncio.sleep(2.0)

    # A sampler drains: it reports so and serves on for longer than drain-ms.
    left = world.services[0]
    acknowledged = left.leave()
    world.record.note(f"{left.name} reports draining, confirmed")
    number, late = 100, 0
    while world.record.now() < acknowledged + 6.0:
        await request(world, world.gateways[number % 3], number)
        number += 1
        await asyncio.sleep(0.05)
    late = [at for at, *_ in left.arrivals if at > acknowledged + BOUNDS["drain-ms"] / 1000]
    left.remove()
    await left.stop()

    # The day's final fault: all processes are killed, and start again.
    for gateway in world.gateways:
        gateway.kill()
    await asyncio.sleep(1.0)
    for gateway in world.gateways:
        gateway.start()
    back = world.record.now()
    await asyncio.sleep(BOUNDS["recover-s"])
    ready = [await gateway.is_ready() for gateway in world.gateways]
    world.record.note(f"{BOUNDS['recover-s']} s after the machines are back: ready {ready}")
    after = []
    for number in range(200, 230):
        after.append(await request(world, world.gateways[number % 3], number))
        await asyncio.sleep(0.1)
    results, total = await world.read_all(world.gateways[1], "sub1", 30.0)
    whole = [
        each for each in results
        if each["state"] == "completed" and each["text"] == whole_text(each["id"], dict(ITEMS)[each["id"]])
    ]
    seconds = world.record.now() - back
    world.record.note(f"{len(whole)} of {total} results are whole {seconds:.0f} s after the start")

    broken = []
    if sum(before) * 4 >= len(before) and sum(after) * 4 < len(after):
        broken.append(
            f"RECOVER: {sum(after)} of {len(after)} requests served later than recover-s after the "
            f"machines are back, {sum(before)} of {len(before)} before; {len(whole)} of {len(ITEMS)} "
            f"results of an accepted submission {seconds:.0f} s after it"
        )
    if late:
        broken.append(f"DRAIN: {len(late)} requests reached a sampler later than drain-ms")
    return broken


run_case(FOLDER, play)
