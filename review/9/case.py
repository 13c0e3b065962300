"""A rollout route is split between two services, and the only sampler of one is lost for good."""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import world  # noqa: E402

STEP_SECONDS = 12.0
IDLE_SECONDS = 5.0
NAMED_SECONDS = 6.0
STEPS = 4
GROUPS, SIZE, EVENTS = 10, 4, 20
GROUP_TARGET = 9


class Trainer:
    def __init__(self, record, gateway, store, engines):
        self.record, self.gateway, self.store, self.engines = record, gateway, store, engines
        self.version = 1
        self.named_at = time.monotonic()
        # Since when the store, the machines and the samplers have been without a disruption.
        self.steady_from = time.monotonic()

    async def call(self, method, path, headers=(), body=b""):
        try:
            return await world.call(
                self.gateway.host, self.gateway.front, method, path, headers, body, 2.5
            )
        except (TimeoutError, EOFError, OSError):
            return None

    async def run_step(self, step):
        """Run a step; return whether one of its items was left while samplers were free."""
        lot = f"{step:016x}"
        items = [
            {
                "id": f"{step + 1:08x}{each:08x}", "path": f"/linhas/{step}/{each}",
                "headers": {"X-Pumicedeck-Model": "lomu"}, "tokens": 500,
                "body": base64.b64encode(str(EVENTS).encode()).decode(),
                "group": f"g{step}-{each // SIZE}",
            }
            for each in range(GROUPS * SIZE)
        ]  # fmt: skip
        document = {
            "step": step, "model": "lomu", "min-version": max(1, self.version - 1),
            "group-target": GROUP_TARGET, "items": items,
        }  # fmt: skip
        headers = [(world.ID, lot), ("Content-Type", "application/json")]
        started = time.monotonic()
        until = started + STEP_SECONDS
        body = json.dumps(document).encode()
        answer = await self.call("POST", "/linhas/s", headers, body)
        self.record("step", lot=lot, items=len(items), status=answer and answer.status)
        if answer is None or answer.status != 202:
            raise RuntimeError("the step was not accepted")
        group_of = {each["id"]: each["group"] for each in items}
        last_at = {item: max(started, self.steady_from) for item in group_of}
        begun, listed = set(), {}
        while time.monotonic() < until:
            for engine in self.engines:
                for item in engine.running:
                    begun.add(item)
                    last_at[item] = time.monotonic()
            answer = await self.call("GET", f"/lots/{lot}?after={len(listed)}")
            if answer is not None and answer.status == 200:
                listed |= {each["id"]: each["state"] for each in json.loads(answer.body)["results"]}
            open_groups = {group for item, group in group_of.items() if item not in listed}
            if GROUPS - len(open_groups) >= GROUP_TARGET:
                break
            await asyncio.sleep(0.05)
        now = time.monotonic()
        in_time = now < until
        finished = set().union(*(engine.finished for engine in self.engines))
        left = [
            item for item in group_of
            if item not in finished and now - last_at[item] >= IDLE_SECONDS
        ]  # fmt: skip
        slots = sum(engine.slots for engine in self.engines)
        running = sum(len(engine.running) for engine in self.engines)
        self.record(
            "step over",
            lot=lot,
            in_time=in_time,
            listed=len(listed),
            begun=len(begun),
            left_for_5_s=len(left),
            running=running,
            slots=slots,
            seconds_since_version=round(now - self.named_at, 1),
        )
        await self.call("DELETE", f"/lots/{lot}")
        is_version_old = now - self.named_at > NAMED_SECONDS
        return not in_time and bool(left and begun) and 2 * running < slots and is_version_old

    def name_version(self):
        self.version += 1
        self.named_at = time.monotonic()
        row = {"model": "lomu", "version": self.version}
        self.store.put("op", "", "version/lomu", row)
        self.record("version named", version=self.version)


async def case(record, scratch):
    store = world.Store(record)
    port = world.StorePort(store)
    await port.start()
    fleet = world.Fleet(store)
    engines = [
        world.Engine(record, name, "redator", "lomu", step=0.03)
        for name in ("i-1c40be57", "i-9d2207aa", "i-e51b6f30")
    ]
    lone = world.Engine(record, "i-7f3a91c2", "redator-novo", "lomu", step=0.03)
    for sampler in (*engines, lone):
        await fleet.add(sampler)
    rollout = world.route("r-linhas", "/linhas/", "rollout", "redator")
    del rollout["service"]
    rollout |= {
        "due-ms": 7500, "max-wait-s": 40,
        "backends": [
            {"service": "redator", "weight": 90}, {"service": "redator-novo", "weight": 10},
        ],
    }  # fmt: skip
    services = [("redator", True), ("redator-novo", True)]
    store.put("op", "", "config", world.manifest(1, [rollout], services, ["lomu"]))
    gateway = world.Gateway(scratch, "front-1", "127.0.0.1", port, world.free_port("127.0.0.1"))
    broken = 0
    try:
        await gateway.start()
        await gateway.wait_until_ready()
        await asyncio.sleep(1.0)
        trainer = Trainer(record, gateway, store, [*engines, lone])
        for step in range(STEPS):
            if step == 1 and world.TROUBLE:
                await fleet.crash(lone)
                await asyncio.sleep(world.BOUNDS["contact-ms"] / 1000)
                trainer.engines = engines
                trainer.steady_from = time.monotonic()
            broken += await trainer.run_step(step)
            await asyncio.sleep(1.0)
            trainer.name_version()
            await asyncio.sleep(2.0)
    finally:
        await gateway.end()
    record("steps that ran out of time with an item left", count=broken)
    return not broken


if __name__ == "__main__":
    world.run(Path(__file__).parent, case)
