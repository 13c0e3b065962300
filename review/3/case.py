"""A model sampler is lost for good while it runs an item of a `single-version` route.

All other samplers have loaded the next version meanwhile.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import TROUBLE, World, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
LONG, EVENTS = "it00", 220  # 6.6 s at 30 ms an event
ITEMS = [(LONG, EVENTS), ("it01", 20), ("it02", 20), ("it03", 20)]
STEP_SECONDS = 12.0  # the time budget of the site's trainer
ENGINES = 4


async def play(world: World):
    world._counts = (3, ENGINES, 2)
    routes = world.routes()
    routes["r-linhas"]["single-version"] = True
    world.routes = lambda: routes
    assert await world.start()
    await asyncio.sleep(1.0)
    # The trainer names version 2 and then asks its step, which allows version 1 and newer.
    world.name_version(2)
    named = world.record.now()
    assert await world.submit(world.gateways[0], "sub1", ITEMS, step=2, min_version=1) == 202
    asked = world.record.now()

    def runner():
        return next((e for e in world.engines if any(i == LONG for _, i, _ in e.arrivals)), None)

    while world.record.now() < asked + 5.0:
        await asyncio.sleep(0.05)
        first = runner()
        if first and all(e.version == 2 for e in world.engines if e is not first):
            break
    assert first and first.version == 1, "the item didn't begin at version 1"
    others = [e.version for e in world.engines if e is not first]
    crashed = world.record.now()
    world.record.note(f"{first.name} runs {LONG} under version 1; the others have versions {others}")
    if TROUBLE:
        asyncio.ensure_future(first.crash())

    results = []
    while world.record.now() < asked + STEP_SECONDS and len(results) < len(ITEMS):
        _, document = await world.read(world.gateways[1], "sub1", len(results), 500)
        results += document.get("results", [])
        await asyncio.sleep(0.3)
    over = world.record.now()
    listed = {each["id"]: each["state"] for each in results}
    later = [(at, e.name) for e in world.engines for at, i, _ in e.arrivals if i == LONG and at > crashed]
    # Counted from 6 s after the version was named, as the rule says.
    since = max(crashed, named + 6.0)
    until = min([at for at, _ in later], default=over)
    running = sum(e.running for e in world.engines if e is not first)
    world.record.note(f"listed {listed}; {LONG} at samplers after the crash: {later}; {running} runs now")
    begun = {item for e in world.engines for _, item, _ in e.arrivals}
    if TROUBLE:
        await asyncio.sleep(15.0)
        later = [(at, e.name) for e in world.engines for at, i, _ in e.arrivals if i == LONG and at > crashed]
        world.record.note(f"{LONG} at samplers in the 15 s after the step's end: {later}")
    if LONG not in listed and until - since >= 5.0 and len(begun) > 1:
        return [
            f"LOST: the step runs out of time after {STEP_SECONDS} s while {LONG} has been at no sampler "
            f"for {until - crashed:.1f} s, {until - since:.1f} s of them later than 6 s after a version "
            f"was named; {running} of {12 * (ENGINES - 1)} places were taken"
        ]
    return []


run_case(FOLDER, play)
