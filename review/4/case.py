"""A manifest removes the route of an accepted batch submission; then its results are read."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import BOUNDS, TROUBLE, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ITEMS = [(f"it{number:02d}", 40) for number in range(8)]


async def play(world):
    assert await world.start()
    assert await world.submit(world.gateways[0], "sub1", ITEMS) == 202
    accepted = world.record.now()
    results, total = await world.read_all(world.gateways[1], "sub1", 15.0)
    assert total == len(ITEMS) and len(results) == total, "the submission was not completed"

    routes = world.routes()
    if TROUBLE:
        del routes["r-linhas"]
    world.publish(routes)
    await asyncio.sleep(BOUNDS["config-apply-ms"] / 1000 + 1.0)

    broken = []
    for number in range(20):
        gateway = world.gateways[number % 3]
        after = number % len(ITEMS)
        status, document = await world.read(gateway, "sub1", after)
        age = world.record.now() - accepted
        if status in (404, 410):
            broken.append(
                f"LOST: {gateway.name} answers {status} at position {after}, which was read before, "
                f"{age:.1f} s after the submission was accepted"
            )
        elif status == 200 and document["results"] != results[after:][: len(document["results"])]:
            broken.append(f"TWICE: {gateway.name} gives other results at position {after}")
        await asyncio.sleep(0.5)
    return broken


run_case(FOLDER, play)
