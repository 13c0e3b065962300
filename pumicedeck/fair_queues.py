"""Weighted fair queueing in expected tokens by firm, then class, then entry; free of I/O."""

import heapq
import math
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import Catalogue, RequestClass
from pumicedeck.fair_shares import CLASS_ORDER, FirmNode, QueuedDispatch
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.queues import QUEUES, DispatchQueue, queue
from pumicedeck.results import Failure, ResultCode
from pumicedeck.world import Endpoint, EndpointKind

FIRM_QUEUE_LENGTH = 1024
FIRM_QUEUE_BYTES = 4 * 1024 * 1024
DEFAULT_SLOTS = 8
INITIAL_SLOT_RATE = 50.0
RATE_MEMORY_SECONDS = 30.0
EXPRESS_FRACTION = 1.0
BULK_EXPRESS_FRACTION = 0.75
CREDIT_SECONDS = 1.0
RESERVED_SLOTS = 1
OVERDUE_FACTOR = 2.0
LEAST_RETRY_SECONDS = 0.25
LONGEST_RETRY_SECONDS = 30.0
_INTERACTIVE_ONLY = (RequestClass.INTERACTIVE,)


@dataclass(slots=True)
class _Running:
    dispatch: Dispatch
    started: float


class _RateEstimate:
    """Tokens a second of one busy slot, over a fading memory of tokens and of busy time.

    While the endpoint is idle the estimate returns to the initial one, so that an endpoint that
    was slow is tried again.
    """

    def __init__(self, initial: float, slots: int) -> None:
        self._slots = slots
        self._initial = initial
        self._prior_seconds = slots * RATE_MEMORY_SECONDS / 4
        self._tokens = initial * self._prior_seconds
        self._busy_seconds = self._prior_seconds
        self._updated = 0.0

    @property
    def rate(self) -> float:
        return self._tokens / self._busy_seconds

    def advance(self, now: float, running: int) -> None:
        elapsed = max(0.0, now - self._updated)
        keep = math.exp(-elapsed / RATE_MEMORY_SECONDS)
        self._tokens *= keep
        self._busy_seconds = self._busy_seconds * keep + elapsed * min(running, self._slots)
        if running == 0:
            self._busy_seconds += self._prior_seconds * (1 - keep)
            self._tokens += self._initial * self._prior_seconds * (1 - keep)
        self._updated = now

    def add(self, tokens: int) -> None:
        self._tokens += tokens


@queue("fair")
class FairQueue(DispatchQueue):
    """Serves each firm its share in tokens, and inside a firm interactive work first.

    `slots` is how many dispatches the endpoint runs at once. `reserved` of them are kept for
    interactive work. `express` more are handed over for firms that run less than their part of
    the slots, or less interactive work than that, to an engine that honours priorities and pauses
    the lowest one.
    """

    def __init__(self, slots: int = DEFAULT_SLOTS, reserved: int = 0, express: int = 0) -> None:
        """Queue for an endpoint with `slots` slots."""
        self._slots = slots
        self._reserved = min(reserved, slots - 1)
        self._express = express
        self._firms: dict[str, FirmNode] = {}
        self._shares: dict[str, float] = {}
        self._entry_shares: dict[str, float] = {}
        self._waiting: dict[AttemptId, QueuedDispatch] = {}
        self._due: list[tuple[float, int, AttemptId]] = []
        self._running: dict[AttemptId, _Running] = {}
        self._bulk_running = 0
        self._clock = 0.0
        self._order = 0
        self._tokens = 0
        self._now = 0.0
        self._estimate = _RateEstimate(INITIAL_SLOT_RATE, slots)

    @property
    def queued_tokens(self) -> int:
        """Return the sum of expected tokens that wait."""
        return self._tokens

    @property
    def interactive_tokens(self) -> int:
        """Return the expected tokens of interactive work that waits or runs."""
        nodes = (each.classes.get(RequestClass.INTERACTIVE) for each in self._firms.values())
        queued = sum(each.tokens for each in nodes if each)
        running = (each.dispatch for each in self._running.values())
        return queued + sum(
            each.expected_tokens
            for each in running
            if each.request_class is RequestClass.INTERACTIVE
        )

    @property
    def service_rate(self) -> float:
        """Return the tokens a second of the endpoint, lowered if most of what runs is overdue."""
        return self._slot_rate() * self._slots

    @property
    def express_slots(self) -> int:
        """Return how many dispatches may be handed over beyond the slots of the endpoint."""
        return self._express

    def expected_wait(self, dispatch: Dispatch) -> float:
        """Return the seconds that a new dispatch would wait.

        Of another firm's work only that part goes first which is as large, for its share, as the
        dispatch and the work of its own firm ahead of it.
        """
        own = self._firms.get(dispatch.firm)
        ahead = self._tokens_ahead(own, dispatch.request_class)
        if ahead == 0 and len(self._running) < self._slots:
            return 0.0
        turn = (ahead + max(1, dispatch.expected_tokens)) / self._shares.get(dispatch.firm, 1.0)
        others = sum(
            min(each.tokens, turn * each.share)
            for each in self._firms.values()
            if each is not own and each.count
        )
        return (ahead + others) / self.service_rate

    def push(self, now: float, dispatch: Dispatch) -> Result[None, Failure]:
        """Queue a dispatch, or refuse it if its firm's queue is full or too slow for its budget."""
        self._now = now
        firm = self._firm(dispatch.firm)
        if firm.count >= FIRM_QUEUE_LENGTH:
            return self._refusal(dispatch, "the firm's queue is full")
        if firm.count and firm.body_bytes + len(dispatch.body) > FIRM_QUEUE_BYTES:
            return self._refusal(dispatch, "the firm's queue holds too many bytes")
        wait = self.expected_wait(dispatch)
        if wait > dispatch.queue_budget:
            return self._refusal(dispatch, "the expected wait exceeds the queue budget")
        self._add(now, firm, dispatch)
        return Ok(None)

    def pop(self, now: float) -> Dispatch | None:
        """Take the dispatch to run next; None if no slot is open to what waits."""
        self._now = now
        self._estimate.advance(now, len(self._running))
        free = self._slots - len(self._running)
        if free > 0:
            classes = CLASS_ORDER if self._bulk_open() else _INTERACTIVE_ONLY
            return self._pop_from(now, list(self._firms.values()), classes)
        if -free >= self._express:
            return None
        classes = _INTERACTIVE_ONLY
        if -free < self._express * BULK_EXPRESS_FRACTION:
            classes = CLASS_ORDER
        shares = self._active_shares()
        firms = self._firms.values()
        within = [each for each in firms if each.running < self._slot_share(each, shares)]
        return self._pop_from(now, within, classes) or self._pop_interactive(now)

    def remove(self, now: float, attempt: AttemptId) -> Dispatch | None:
        """Take one dispatch out."""
        item = self._waiting.pop(attempt, None)
        if item is None:
            return None
        self._firms[item.dispatch.firm].drop(item.dispatch)
        self._tokens -= item.cost
        return item.dispatch

    def expire(self, now: float) -> list[Dispatch]:
        """Take out every dispatch whose queue time has run out."""
        self._now = now
        self._estimate.advance(now, len(self._running))
        late = []
        while self._due and self._due[0][0] <= now:
            _, order, attempt = heapq.heappop(self._due)
            item = self._waiting.get(attempt)
            if item is not None and item.order == order:
                late.append(attempt)
        return [found for attempt in late if (found := self.remove(now, attempt))]

    def finished(self, now: float, dispatch: Dispatch, tokens: int) -> None:
        """Free the slot and correct the firm's account by the true tokens."""
        self._estimate.advance(now, len(self._running))
        run = self._running.pop(dispatch.attempt, None)
        if run is None:
            return
        firm = self._firm(dispatch.firm)
        interactive = dispatch.request_class is RequestClass.INTERACTIVE
        self._count_running(firm, interactive, -1)
        firm.correct(run.dispatch, tokens)
        self._estimate.add(tokens)

    def configure(self, now: float, catalogue: Catalogue) -> list[Dispatch]:
        """Apply new shares and limits to what is queued; return what they now refuse."""
        self._shares = {}
        self._entry_shares = {}
        for entry in catalogue.entries:
            share = max(entry.share, 1e-6)
            self._entry_shares[entry.name] = share
            self._shares[entry.firm] = max(share, self._shares.get(entry.firm, 0.0))
        for firm in self._firms.values():
            self._reshare(firm)
        return self._refuse_unlimited(now, catalogue)

    def __len__(self) -> int:
        """Return how many dispatches wait."""
        return len(self._waiting)

    def _firm(self, name: str) -> FirmNode:
        if name not in self._firms:
            self._firms[name] = FirmNode(name, self._shares.get(name, 1.0), self._clock)
        return self._firms[name]

    def _add(self, now: float, firm: FirmNode, dispatch: Dispatch) -> None:
        if not firm.count:
            credit = CREDIT_SECONDS * self.service_rate / firm.share
            firm.virtual_time = max(firm.virtual_time, self._clock - credit)
        self._order += 1
        item = QueuedDispatch(dispatch, now, now + dispatch.queue_budget, self._order)
        share = self._entry_shares.get(dispatch.entry_name, 1.0)
        firm.add(item, firm.entry(dispatch.request_class, dispatch.entry_name, share))
        self._waiting[dispatch.attempt] = item
        self._tokens += item.cost
        heapq.heappush(self._due, (item.due, item.order, dispatch.attempt))

    def _bulk_open(self) -> bool:
        return self._bulk_running < self._slots - self._reserved

    def _pop_interactive(self, now: float) -> Dispatch | None:
        shares = self._active_shares()
        firms = self._firms.values()
        within = [each for each in firms if each.interactive < self._slot_share(each, shares)]
        return self._pop_from(now, within, _INTERACTIVE_ONLY)

    def _active_shares(self) -> float:
        return sum(each.share for each in self._firms.values() if each.count or each.running)

    def _slot_share(self, firm: FirmNode, shares: float) -> int:
        return max(1, math.ceil(self._slots * firm.share / max(shares, firm.share)))

    def _pop_from(
        self, now: float, firms: list[FirmNode], classes: tuple[RequestClass, ...]
    ) -> Dispatch | None:
        busy = [each for each in firms if each.waiting_in(classes)]
        if not busy:
            return None
        firm = min(busy, key=lambda each: each.virtual_time)
        item = firm.next_item(classes)
        self._clock = max(self._clock, firm.virtual_time)
        firm.charge(item)
        self.remove(now, item.dispatch.attempt)
        return self._start(now, firm, item.dispatch)

    def _start(self, now: float, firm: FirmNode, dispatch: Dispatch) -> Dispatch:
        interactive = dispatch.request_class is RequestClass.INTERACTIVE
        within = (firm.interactive if interactive else firm.running) < self._slot_share(
            firm, self._active_shares()
        )
        self._count_running(firm, interactive, 1)
        self._estimate.advance(now, len(self._running))
        started = replace(dispatch, priority=engine_priority(dispatch.request_class, within))
        self._running[dispatch.attempt] = _Running(started, now)
        return started

    def _count_running(self, firm: FirmNode, interactive: bool, sign: int) -> None:
        firm.running += sign
        if interactive:
            firm.interactive += sign
        else:
            self._bulk_running += sign

    def _slot_rate(self) -> float:
        ranked = sorted(self._running.values(), key=lambda each: -each.dispatch.priority)
        bounds = sorted(
            each.dispatch.expected_tokens / max(self._now - each.started, 1e-6)
            for each in ranked[: self._slots]
        )
        median = bounds[len(bounds) // 2] if bounds else math.inf
        rate = self._estimate.rate
        return median if median * OVERDUE_FACTOR < rate else rate

    def _tokens_ahead(self, firm: FirmNode | None, request_class: RequestClass) -> int:
        if firm is None:
            return 0
        higher = CLASS_ORDER[: CLASS_ORDER.index(request_class) + 1]
        return sum(firm.classes[each].tokens for each in higher if each in firm.classes)

    def _refusal(self, dispatch: Dispatch, detail: str) -> Result[None, Failure]:
        wait = self.expected_wait(dispatch) - dispatch.queue_budget
        after = min(max(wait, LEAST_RETRY_SECONDS), LONGEST_RETRY_SECONDS)
        return Err(Failure(ResultCode.OVERLOADED, detail, after))

    def _reshare(self, firm: FirmNode) -> None:
        firm.share = self._shares.get(firm.name, 1.0)
        for node in firm.classes.values():
            for entry in node.entries.values():
                entry.share = self._entry_shares.get(entry.name, 1.0)

    def _refuse_unlimited(self, now: float, catalogue: Catalogue) -> list[Dispatch]:
        entries = {each.name: each for each in catalogue.entries}
        kept: dict[str, int] = {}
        refused = []
        for attempt, item in list(self._waiting.items()):
            entry = entries.get(item.dispatch.entry_name)
            count = kept.get(item.dispatch.entry_name, 0)
            if entry is None or count >= entry.limits.concurrency:
                refused.append(attempt)
                continue
            kept[entry.name] = count + 1
            self._shorten(item, entry.limits.queue_seconds)
        return [found for attempt in refused if (found := self.remove(now, attempt))]

    def _shorten(self, item: QueuedDispatch, queue_seconds: float) -> None:
        due = item.arrived + queue_seconds
        if due < item.due:
            item.due = due
            heapq.heappush(self._due, (due, item.order, item.dispatch.attempt))


def engine_priority(request_class: RequestClass, within_share: bool) -> int:
    """Return the priority for the engine: work of a firm within its share goes first."""
    rank = len(CLASS_ORDER) - 1 - CLASS_ORDER.index(request_class)
    return rank + (len(CLASS_ORDER) if within_share else 0)


def build_queue(name: str, endpoint: Endpoint) -> DispatchQueue:
    """Build the queue called `name` as it suits an endpoint."""
    if name != "fair":
        return QUEUES[name]()
    if endpoint.kind is EndpointKind.MODEL:
        express = max(1, round(endpoint.slots * EXPRESS_FRACTION))
        return FairQueue(endpoint.slots, express=express)
    return FairQueue(endpoint.slots, reserved=min(RESERVED_SLOTS, endpoint.slots // 4))
