"""A connection of the machine that schedules goes silent while a route for batches is added."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import world as w  # noqa: E402


async def story(world):
    first = w.rollout("r-drafts", "/pule252/")
    added = w.rollout("r-receipts", "/kova118/")
    await world.start(w.manifest(4, first))
    await asyncio.sleep(3.0)
    leader = world.leader()
    front = next(gateway for gateway in world.gateways if gateway is not leader)
    world.record("roles", schedules=leader.name, takes_the_batch=front.name)
    if w.TROUBLE:
        silent, open_ones = leader.link.silence("GET /rows-feed?table=op")
        world.record("connection goes silent", machine=leader.name, silent=silent, of=open_ones)
    world.write_manifest(w.manifest(9, first, added))
    confirmed = time.monotonic()
    await asyncio.sleep(0.25)
    items = [w.item(f"a{n:07x}", "/kova118/", f"g{n // 4}", 18, 0.02) for n in range(24)]
    batch_id = "7c41e09b52d6a3f8"
    status = await w.submit(world, front, "/kova118/", batch_id, w.batch(items))
    accepted = time.monotonic()
    if status != 202:
        raise w.CannotRun(f"the batch was answered {status}")
    results = []
    while len(results) < len(items) and time.monotonic() - accepted < 15:
        document = await w.read_results(world, front, batch_id, len(results))
        results += document["results"] if document else []
        await asyncio.sleep(0.2)
    world.record("batch sent after confirmation", seconds=round(accepted - confirmed, 3))
    for line in leader.lines("routes installed", "item given up", "submission adopted"):
        world.record("log", machine=leader.name, line=line)
    down = [each["id"] for each in results if each["state"] == "down"]
    broken = []
    if down:
        ran = {request_id for _, _, request_id in world.runs}
        broken.append(
            f"MIXED: {len(down)} of {len(items)} results are down; no sampler answered 422 or 500, "
            f"max-wait-s has not passed, the batch was not ended and its route is in force; "
            f"{sum(each in ran for each in down)} of these items had reached a sampler"
        )
    if len(results) < len(items):
        broken.append(f"LOST: only {len(results)} of {len(items)} results within 15 s")
    return broken


w.run(FOLDER, story)
