"""Clients send bodies of the size that the manifest allows, two at a time to each machine."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import world  # noqa: E402

MEMORY_MB = 180
MAX_BODY_BYTES = 33_554_432
USUAL_BODY_BYTES = 600
AT_ONCE = 2
ROUNDS = 3
RESTART_SECONDS = 0.5


class Platform:
    """Kills a process over the memory limit of its machine and starts it again, as DEPLOY.md says."""

    def __init__(self, record, gateway):
        self.record, self.gateway = record, gateway
        self.kills = 0
        self.peak = 0

    async def watch(self):
        while True:
            megabytes = self._resident_megabytes()
            self.peak = max(self.peak, megabytes)
            if megabytes > MEMORY_MB:
                self.kills += 1
                node = self.gateway.node
                self.record("over the memory limit; killed", node=node, megabytes=megabytes)
                self.gateway.process.kill()
                await self.gateway.process.wait()
                await asyncio.sleep(RESTART_SECONDS)
                await self.gateway.start()
                self.record("started again", node=node)
            await asyncio.sleep(0.005)

    def _resident_megabytes(self):
        try:
            status = Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) // 1024
        return 0


async def send(record, gateway, request, body):
    headers = [(world.ID, request), ("X-Pumicedeck-Deadline-Ms", "4000")]
    record("sent", request=request, node=gateway.node, bytes=len(body))
    try:
        answer = await world.call(gateway.host, gateway.front, "POST", "/previa/x", headers, body)
        record("answered", request=request, status=answer.status)
    except (EOFError, OSError, asyncio.TimeoutError) as error:
        record("no answer", request=request, error=type(error).__name__)


async def case(record, scratch):
    store = world.Store(record)
    port = world.StorePort(store)
    await port.start()
    samplers = [world.Sampler(record, f"i-app{number}", "balcao") for number in range(3)]
    for sampler in samplers:
        await sampler.start()
        store.put("servers", "", sampler.name, sampler.entry())
    routes = [world.route("r-previa", "/previa/", "idempotent", "balcao")]
    store.put("op", "", "config", world.manifest(1, routes, [("balcao", False)]))
    relay = world.free_port("127.0.0.1")
    gateways = [
        world.Gateway(scratch, f"front-{number}", f"127.0.0.{number + 10}", port, relay)
        for number in (1, 2)
    ]
    platforms = [Platform(record, gateway) for gateway in gateways]
    body = bytes(MAX_BODY_BYTES if world.TROUBLE else USUAL_BODY_BYTES)
    watches = []
    try:
        for gateway in gateways:
            await gateway.start()
            await gateway.wait_until_ready()
        watches = [asyncio.ensure_future(platform.watch()) for platform in platforms]
        for number in range(ROUNDS):
            for gateway in gateways:
                await gateway.wait_until_ready()
            await asyncio.sleep(1.0)
            await asyncio.gather(*(
                send(record, gateway, f"{number:04x}{at:04x}{each:08x}", body)
                for at, gateway in enumerate(gateways)
                for each in range(AT_ONCE)
            ))
            await asyncio.sleep(1.0)
    finally:
        for watch in watches:
            watch.cancel()
        for gateway in gateways:
            await gateway.end()
    for platform in platforms:
        node = platform.gateway.node
        record("machine", node=node, kills=platform.kills, peak_megabytes=platform.peak)
    return sum(platform.kills >= ROUNDS for platform in platforms) < 2


if __name__ == "__main__":
    world.run(Path(__file__).parent, case)
