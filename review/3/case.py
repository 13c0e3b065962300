"""A sampler that is full sends its refusal a second time, late: where the next answer is expected."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from world import HOST, SERVICE, TROUBLE, Sampler, call, encode_answer, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
PATH = "/reser410/"
# The largest dose of the site file: garble "extra late", share 0.6, x 0.03, for 5 s.
LONGEST_S, SHARE_OF_ANSWERS = 5.0, 0.03
# As the bench prints it: "a server sheds".
SHED = (503, [("X-Pumicedeck-Not-Run", "1")], b"")


class FullSampler(Sampler):
    """Runs `slots` requests, queues two more and refuses the rest as not run."""

    is_faulty, faulty_until = False, 0.0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.free, self.waiting, self.answers, self.extra = asyncio.Semaphore(self.slots), 0, 0, 0
        self.owed = set()

    async def handle(self, request, writer):
        if self.misdirected(request):
            return await super().handle(request, writer)
        request_id = request.headers["x-pumicedeck-request-id"]
        self.answers += 1
        owes_extra = writer in self.owed
        self.owed.discard(writer)
        if self.free.locked() and self.waiting >= 2:
            self.record.note(f"{self.name} is full: {request_id} not run")
            if self.is_faulty and self.record.now() < self.faulty_until:
                if self.extra + 1 <= SHARE_OF_ANSWERS * self.answers:
                    self.extra += 1
                    self.owed.add(writer)
            return SHED
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            if owes_extra:
                asyncio.get_running_loop().call_later(0.005, self.send_extra, writer, request_id)
            return await super().handle(request, writer)

    def send_extra(self, writer, request_id):
        self.record.note(f"{self.name} sends its earlier refusal again, while it runs {request_id}")
        if not writer.is_closing():
            writer.write(encode_answer(*SHED))


async def play(world):
    routes = world.routes()
    routes["r-reser"] = {
        "host": HOST, "path-prefix": PATH, "route-type": "non_idempotent", "timeout-ms": 4000,
        "target-latency-ms": 291, "priority": 2, "service": SERVICE, "max-attempts": 3,
    }  # fmt: skip
    world.routes = lambda: routes
    world.service_class = FullSampler
    assert await world.start()
    answers = {}
    if TROUBLE:
        world.services[0].is_faulty = True
        world.services[0].faulty_until = world.record.now() + LONGEST_S

    async def client(number):
        for turn in range(60):
            request_id = f"rq{number:03d}{turn:03d}"
            headers = [("X-Pumicedeck-Request-Id", request_id), ("X-Pumicedeck-Deadline-Ms", "4000")]
            gateway = world.gateways[number % 3]
            answer = await call(gateway.callers, "POST", f"{PATH}2f", headers, b"{}")
            answers[request_id] = answer and answer[0]
            world.record.note(f"client: {request_id} to {gateway.name} answered {answers[request_id]}")
            await asyncio.sleep(0.02)

    await asyncio.gather(*(client(number) for number in range(24)))
    await asyncio.sleep(1.0)
    runs = Counter(request_id for each in world.services for _, request_id, _ in each.arrivals)
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    refused = sorted(each for each, status in answers.items() if status in (429, 503, 408, 421) and runs[each])
    extra = world.services[0].extra
    world.record.note(f"{len(answers)} requests, {Counter(answers.values())}, {extra} extra answers")
    broken = []
    if twice:
        broken.append(f"TWICE: {len(twice)} requests that aren't idempotent ran more than once: {twice}")
    if refused:
        broken.append(f"REFUSED: {len(refused)} requests were answered as not run and ran: {refused}")
    return broken


run_case(FOLDER, play)
