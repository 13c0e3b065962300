"""The route of the reward calls is missing in one manifest and there again in the next."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import TROUBLE, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ITEMS = [(f"it{number:02d}", 60 + 4 * number) for number in range(24)]


async def play(world):
    assert await world.start()
    max_wait = world.routes()["r-linhas"]["max-wait-s"]
    sent = world.record.now()
    assert await world.submit(world.gateways[0], "sub1", ITEMS) == 202
    routes = world.routes()
    if TROUBLE:
        del routes["r-nif"]
    world.publish(routes)
    await asyncio.sleep(3.0)
    world.publish(world.routes())
    results, total = await world.read_all(world.gateways[1], "sub1", 25.0)
    age = world.record.now() - sent
    down = [each["id"] for each in results if each["state"] == "down"]
    world.record.note(f"{len(results)} of {total} results, {len(down)} of them down, after {age:.1f} s")
    if down and age < max_wait:
        return [
            f"MIXED: {len(down)} of {total} items are `down` {age:.1f} s after they were submitted, "
            f"with max-wait-s {max_wait}, no 422 or 500, their route there and their submission open"
        ]
    return []


run_case(FOLDER, play)
