"""The store is away for two to three seconds while one of two machines is lost."""

import asyncio
import base64
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import world  # noqa: E402

STEP_SECONDS = 12.0
MAX_STEPS = 9
EVENTS = 120
ITEMS = 6
OUTAGE = (2.1, 2.6)


class Trainer:
    def __init__(self, record, gateway, engines):
        self.record, self.gateway, self.engines = record, gateway, engines

    async def call(self, method, path, headers=(), body=b"", timeout=2.5):
        try:
            return await world.call(
                self.gateway.host, self.gateway.front, method, path, headers, body, timeout
            )
        except (TimeoutError, EOFError, OSError):
            return None

    async def submit(self, number):
        lot = f"{number:016x}"
        items = []
        for each in range(ITEMS):
            items.append({
                "id": f"{number:08x}{each:08x}", "path": f"/pule/{number}/{each}",
                "headers": {"X-Pumicedeck-Model": "daka"},
                "body": base64.b64encode(str(EVENTS).encode()).decode(), "tokens": 500,
                "group": f"g{number}-{each}",
            })  # fmt: skip
        document = {"step": number, "model": "daka", "min-version": 1, "group-target": ITEMS}
        body = json.dumps({**document, "items": items}).encode()
        headers = [(world.ID, lot), ("Content-Type", "application/json")]
        while True:
            answer = await self.call("POST", "/pule/s", headers, body)
            self.record("submitted", lot=lot, status=answer and answer.status)
            if answer is not None and answer.status == 202:
                return lot, [each["id"] for each in items]
            await asyncio.sleep(0.3)

    async def listed(self, lot, after=0):
        answer = await self.call("GET", f"/lots/{lot}?after={after}")
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)["results"]


async def case(record, scratch):
    seed = int(os.environ.get("SEED", time.time_ns() % 10**6))
    record("seed", seed=seed)
    draw = random.Random(seed)
    store = world.Store(record)
    ports = [world.StorePort(store), world.StorePort(store)]
    engines = [world.Engine(record, f"i-llm{number}", "redator", "daka") for number in range(4)]
    for server in (*ports, *engines):
        await server.start()
    for engine in engines:
        store.put("servers", "", engine.name, engine.entry())
    rollout = world.route(
        "r-pule", "/pule/", "rollout", "redator", **{"due-ms": 7500, "max-wait-s": 40}
    )
    store.put("op", "", "config", world.manifest(1, [rollout], [("redator", True)], ["daka"]))
    relay = world.free_port("127.0.0.1")
    gateways = [
        world.Gateway(scratch, f"front-{number + 1}", f"127.0.0.{number + 11}", port, relay)
        for number, port in enumerate(ports)
    ]
    stalled = None
    try:
        for gateway in gateways:
            await gateway.start()
            await gateway.wait_until_ready()
            await asyncio.sleep(2.0)
        trainer = Trainer(record, gateways[0], engines)
        if world.TROUBLE:
            # The second machine loses power for good: nothing on it answers any more.
            gateways[1].signal(signal.SIGSTOP)
            record("machine lost", node=gateways[1].node)
            await asyncio.sleep(world.BOUNDS["contact-ms"] / 1000)
        for number in range(MAX_STEPS):
            lot, items = await trainer.submit(number)
            sent = time.monotonic()
            until = sent + STEP_SECONDS
            begun = set()
            while not begun and time.monotonic() < until:
                await asyncio.sleep(0.05)
                running = {item for engine in engines for item in engine.running}
                begun = running & set(items)
            if world.TROUBLE:
                seconds = draw.uniform(*OUTAGE)
                record("store away", seconds=round(seconds, 3))
                store.busy = True
                await asyncio.sleep(seconds)
                store.busy = False
                record("store back")
            steady_from = time.monotonic() + world.BOUNDS["contact-ms"] / 1000
            last_at = {item: steady_from for item in items}
            done = False
            while time.monotonic() < until and not done:
                await asyncio.sleep(0.1)
                for engine in engines:
                    for item in engine.running:
                        last_at[item] = max(last_at.get(item, 0), time.monotonic())
                results = await trainer.listed(lot)
                done = results is not None and len(results) == len(items)
            finished = set().union(*(engine.finished for engine in engines))
            record("step over", lot=lot, all_listed=done, finished=len(finished & set(items)))
            if not done:
                idle = [
                    item for item in items
                    if item not in finished and time.monotonic() - last_at[item] >= 5.0
                ]  # fmt: skip
                record("out of time", begun=len(begun), at_no_sampler_for_5_s=len(idle))
                if begun and idle:
                    stalled = lot
                    break
            await trainer.call("DELETE", f"/lots/{lot}")
        if stalled is not None:
            for _ in range(5):
                await asyncio.sleep(2.0)
                results = await trainer.listed(stalled)
                running = sum(len(engine.running) for engine in engines)
                record("later", listed=None if results is None else len(results), running=running)
    finally:
        for gateway in gateways:
            for line in gateway.log().splitlines():
                if "scheduling st" in line or '"stop": "n' in line:
                    record("log", node=gateway.node, line=line[:300])
            await gateway.end()
    return stalled is None


if __name__ == "__main__":
    world.run(Path(__file__).parent, case)
