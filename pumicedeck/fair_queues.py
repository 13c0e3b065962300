"""Weighted fair queueing of dispatches by firm, class and entry, in expected tokens; free of I/O.

Keeps one firm's load from delaying the requests of others beyond its share of an endpoint.
"""

import heapq
import math
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from pumicedeck.catalogue_entries import Catalogue, RequestClass
from pumicedeck.fair_shares import CLASS_ORDER, FirmNode, QueuedDispatch
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.queues import QUEUES, DispatchQueue, queue
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import Endpoint, EndpointKind

FIRM_QUEUE_LENGTH = 1024
FIRM_QUEUE_BYTES = 4 * 1024 * 1024
DEFAULT_SLOTS = 8
INITIAL_SLOT_TOKENS_PER_SECOND = 50.0
RATE_TIME_CONSTANT_SECONDS = 30.0
EXPRESS_SLOTS_PER_SLOT = 1.0
NON_INTERACTIVE_EXPRESS_FRACTION = 0.75
IDLE_CREDIT_SECONDS = 1.0
MAX_RESERVED_SLOTS = 1
OVERDUE_FACTOR = 2.0
MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 30.0
_INTERACTIVE_ONLY = (RequestClass.INTERACTIVE,)


@dataclass(slots=True)
class _Running:
    dispatch: Dispatch
    started_at: float


class _RateEstimate:
    """Tokens per second of one busy slot, from exponentially decaying sums of tokens and busy time.

    While the endpoint is idle, the estimate returns to its initial value, so that an endpoint that
    was slow receives work again.
    """

    def __init__(self, initial: float, slots: int) -> None:
        self._slots = slots
        self._initial = initial
        # The initial rate has the weight of this many seconds of busy time.
        self._prior_seconds = slots * RATE_TIME_CONSTANT_SECONDS / 4
        self._tokens = initial * self._prior_seconds
        self._busy_seconds = self._prior_seconds
        self._updated_at = 0.0

    @property
    def rate(self) -> float:
        return self._tokens / self._busy_seconds

    def advance(self, now: float, running: int) -> None:
        elapsed = max(0.0, now - self._updated_at)
        decay = math.exp(-elapsed / RATE_TIME_CONSTANT_SECONDS)
        self._tokens *= decay
        self._busy_seconds = self._busy_seconds * decay + elapsed * min(running, self._slots)
        if running == 0:
            self._busy_seconds += self._prior_seconds * (1 - decay)
            self._tokens += self._initial * self._prior_seconds * (1 - decay)
        self._updated_at = now

    def add(self, tokens: int) -> None:
        self._tokens += tokens


@queue("fair")
class FairQueue(DispatchQueue):
    """Divides an endpoint's tokens among firms by share; in a firm, interactive work runs first.

    `slots` is the number of dispatches that the endpoint runs at once; `reserved` of them accept
    only interactive work. `express` is the number of dispatches that may be sent beyond `slots`,
    for firms whose running work, or running interactive work, is below their share of the slots.
    It requires an engine that orders work by priority and pauses the lowest.
    """

    def __init__(self, slots: int = DEFAULT_SLOTS, reserved: int = 0, express: int = 0) -> None:
        """Create an empty queue for an endpoint with `slots` slots."""
        self._slots = slots
        self._reserved = min(reserved, slots - 1)
        self._express = express
        self._firms: dict[str, FirmNode] = {}
        self._shares: dict[str, float] = {}
        self._entry_shares: dict[str, float] = {}
        self._waiting: dict[AttemptId, QueuedDispatch] = {}
        self._expirations: list[tuple[float, int, AttemptId]] = []
        self._running: dict[AttemptId, _Running] = {}
        self._non_interactive_running = 0
        self._virtual_clock = 0.0
        self._last_arrival_number = 0
        self._queued_tokens = 0
        self._now = 0.0
        self._estimate = _RateEstimate(INITIAL_SLOT_TOKENS_PER_SECOND, slots)

    @property
    def queued_tokens(self) -> int:
        """Return the expected tokens of all queued dispatches."""
        return self._queued_tokens

    @property
    def interactive_tokens(self) -> int:
        """Return the expected tokens of queued and running interactive dispatches."""
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
        """Return the estimated tokens per second of the endpoint.

        The estimate is lowered when most of the running dispatches take longer than it predicts.
        """
        return self._slot_rate() * self._slots

    @property
    def express_slots(self) -> int:
        """Return the number of dispatches that may be sent beyond the slots of the endpoint."""
        return self._express

    def expected_wait(self, dispatch: Dispatch) -> float:
        """Return the seconds that a new dispatch would wait in the queue.

        Tokens of another firm run first only until that firm has received as many tokens per share
        as the dispatch and its own firm's work ahead of it.
        """
        own = self._firms.get(dispatch.firm)
        ahead = self._tokens_ahead(own, dispatch.request_class)
        if ahead == 0 and len(self._running) < self._slots:
            return 0.0
        tokens_per_share = (ahead + max(1, dispatch.expected_tokens)) / self._shares.get(
            dispatch.firm, 1.0
        )
        others = sum(
            min(each.tokens, tokens_per_share * each.share)
            for each in self._firms.values()
            if each is not own and each.waiting_count
        )
        return (ahead + others) / self.service_rate

    def push(self, now: float, dispatch: Dispatch) -> Result[None, Failure]:
        """Queue a dispatch.

        Fails with OVERLOADED if its firm's queue is full, or if the expected wait exceeds the
        dispatch's queue budget.
        """
        self._now = now
        firm = self._firm(dispatch.firm)
        if firm.waiting_count >= FIRM_QUEUE_LENGTH:
            return self._refusal(dispatch, "the firm's queue is full")
        if firm.waiting_count and firm.body_bytes + len(dispatch.body) > FIRM_QUEUE_BYTES:
            return self._refusal(dispatch, "the firm's queue holds too many bytes")
        wait = self.expected_wait(dispatch)
        if wait > dispatch.queue_budget:
            return self._refusal(dispatch, "the expected wait exceeds the queue budget")
        self._add(now, firm, dispatch)
        return Ok(None)

    def pop(self, now: float) -> Dispatch | None:
        """Remove and return the dispatch to run next; None if no slot accepts a queued one."""
        self._now = now
        self._estimate.advance(now, len(self._running))
        free_slots = self._slots - len(self._running)
        if free_slots > 0:
            classes = CLASS_ORDER if self._has_non_interactive_slot() else _INTERACTIVE_ONLY
            return self._pop_from(now, list(self._firms.values()), classes)
        if -free_slots >= self._express:
            return None
        classes = _INTERACTIVE_ONLY
        if -free_slots < self._express * NON_INTERACTIVE_EXPRESS_FRACTION:
            classes = CLASS_ORDER
        shares = self._active_shares()
        firms = self._firms.values()
        below_share = [each for each in firms if each.running < self._slot_share(each, shares)]
        return self._pop_from(now, below_share, classes) or self._pop_interactive(now)

    def remove(self, now: float, attempt: AttemptId) -> Dispatch | None:
        """Remove and return a queued dispatch; None if it is not queued."""
        item = self._waiting.pop(attempt, None)
        if item is None:
            return None
        self._firms[item.dispatch.firm].drop(item.dispatch)
        self._queued_tokens -= item.cost
        return item.dispatch

    def expire(self, now: float) -> list[Dispatch]:
        """Remove and return every dispatch whose queue time has run out."""
        self._now = now
        self._estimate.advance(now, len(self._running))
        expired = []
        while self._expirations and self._expirations[0][0] <= now:
            _, arrival_number, attempt = heapq.heappop(self._expirations)
            item = self._waiting.get(attempt)
            if item is not None and item.arrival_number == arrival_number:
                expired.append(attempt)
        return [found for attempt in expired if (found := self.remove(now, attempt))]

    def finished(self, now: float, dispatch: Dispatch, tokens: int) -> None:
        """Free the slot and replace the expected tokens charged to the firm by the used ones."""
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
        """Apply the shares and limits of a catalogue to the queue.

        Removes and returns dispatches whose catalogue entry is missing or over its concurrency
        limit.
        """
        self._shares = {}
        self._entry_shares = {}
        for entry in catalogue.entries:
            share = max(entry.share, 1e-6)
            self._entry_shares[entry.name] = share
            self._shares[entry.firm] = max(share, self._shares.get(entry.firm, 0.0))
        for firm in self._firms.values():
            self._update_shares(firm)
        return self._remove_disallowed(now, catalogue)

    def __len__(self) -> int:
        """Return the number of queued dispatches."""
        return len(self._waiting)

    def _firm(self, name: str) -> FirmNode:
        if name not in self._firms:
            self._firms[name] = FirmNode(name, self._shares.get(name, 1.0), self._virtual_clock)
        return self._firms[name]

    def _add(self, now: float, firm: FirmNode, dispatch: Dispatch) -> None:
        if not firm.waiting_count:
            # A firm that was idle may receive this many tokens per share before the others.
            credit = IDLE_CREDIT_SECONDS * self.service_rate / firm.share
            firm.virtual_time = max(firm.virtual_time, self._virtual_clock - credit)
        self._last_arrival_number += 1
        item = QueuedDispatch(dispatch, now, now + dispatch.queue_budget, self._last_arrival_number)
        share = self._entry_shares.get(dispatch.entry_name, 1.0)
        firm.add(item, firm.entry(dispatch.request_class, dispatch.entry_name, share))
        self._waiting[dispatch.attempt] = item
        self._queued_tokens += item.cost
        heapq.heappush(self._expirations, (item.expires_at, item.arrival_number, dispatch.attempt))

    def _has_non_interactive_slot(self) -> bool:
        return self._non_interactive_running < self._slots - self._reserved

    def _pop_interactive(self, now: float) -> Dispatch | None:
        shares = self._active_shares()
        firms = self._firms.values()
        below_share = [
            each for each in firms if each.interactive_running < self._slot_share(each, shares)
        ]
        return self._pop_from(now, below_share, _INTERACTIVE_ONLY)

    def _active_shares(self) -> float:
        return sum(
            each.share for each in self._firms.values() if each.waiting_count or each.running
        )

    def _slot_share(self, firm: FirmNode, shares: float) -> int:
        """Return the firm's part of the slots, at least one; `shares` is the sum of all shares."""
        return max(1, math.ceil(self._slots * firm.share / max(shares, firm.share)))

    def _pop_from(
        self, now: float, firms: list[FirmNode], classes: tuple[RequestClass, ...]
    ) -> Dispatch | None:
        candidates = [each for each in firms if each.waiting_in(classes)]
        if not candidates:
            return None
        firm = min(candidates, key=lambda each: each.virtual_time)
        item = firm.next_item(classes)
        self._virtual_clock = max(self._virtual_clock, firm.virtual_time)
        firm.charge(item)
        self.remove(now, item.dispatch.attempt)
        return self._start(now, firm, item.dispatch)

    def _start(self, now: float, firm: FirmNode, dispatch: Dispatch) -> Dispatch:
        interactive = dispatch.request_class is RequestClass.INTERACTIVE
        within_share = (
            firm.interactive_running if interactive else firm.running
        ) < self._slot_share(firm, self._active_shares())
        self._count_running(firm, interactive, 1)
        self._estimate.advance(now, len(self._running))
        started = replace(dispatch, priority=engine_priority(dispatch.request_class, within_share))
        self._running[dispatch.attempt] = _Running(started, now)
        return started

    def _count_running(self, firm: FirmNode, interactive: bool, sign: int) -> None:
        firm.running += sign
        if interactive:
            firm.interactive_running += sign
        else:
            self._non_interactive_running += sign

    def _slot_rate(self) -> float:
        """Return the tokens per second of one slot.

        A running dispatch shows that its slot serves at most its expected tokens per elapsed time.
        The median of these bounds is used if the estimate exceeds it by OVERDUE_FACTOR.
        """
        ranked = sorted(self._running.values(), key=lambda each: -each.dispatch.priority)
        rate_bounds = sorted(
            each.dispatch.expected_tokens / max(self._now - each.started_at, 1e-6)
            for each in ranked[: self._slots]
        )
        median = rate_bounds[len(rate_bounds) // 2] if rate_bounds else math.inf
        rate = self._estimate.rate
        return median if median * OVERDUE_FACTOR < rate else rate

    def _tokens_ahead(self, firm: FirmNode | None, request_class: RequestClass) -> int:
        """Return the firm's queued tokens of the class and of the classes above it."""
        if firm is None:
            return 0
        classes = CLASS_ORDER[: CLASS_ORDER.index(request_class) + 1]
        return sum(firm.classes[each].tokens for each in classes if each in firm.classes)

    def _refusal(self, dispatch: Dispatch, detail: str) -> Result[None, Failure]:
        excess_seconds = self.expected_wait(dispatch) - dispatch.queue_budget
        retry_seconds = min(max(excess_seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        return Err(Failure(ResultCode.OVERLOADED, detail, retry_seconds))

    def _update_shares(self, firm: FirmNode) -> None:
        firm.share = self._shares.get(firm.name, 1.0)
        for node in firm.classes.values():
            for entry in node.entries.values():
                entry.share = self._entry_shares.get(entry.name, 1.0)

    def _remove_disallowed(self, now: float, catalogue: Catalogue) -> list[Dispatch]:
        entries = {each.name: each for each in catalogue.entries}
        kept: dict[str, int] = {}
        removed = []
        for attempt, item in list(self._waiting.items()):
            entry = entries.get(item.dispatch.entry_name)
            count = kept.get(item.dispatch.entry_name, 0)
            if entry is None or count >= entry.limits.concurrency:
                removed.append(attempt)
                continue
            kept[entry.name] = count + 1
            self._shorten_queue_time(item, entry.limits.queue_seconds)
        return [found for attempt in removed if (found := self.remove(now, attempt))]

    def _shorten_queue_time(self, item: QueuedDispatch, queue_seconds: float) -> None:
        expires_at = item.arrived_at + queue_seconds
        if expires_at < item.expires_at:
            item.expires_at = expires_at
            heapq.heappush(
                self._expirations, (expires_at, item.arrival_number, item.dispatch.attempt)
            )


def engine_priority(request_class: RequestClass, within_share: bool) -> int:
    """Return the engine priority, higher first; any work of a firm within its share comes first."""
    rank = len(CLASS_ORDER) - 1 - CLASS_ORDER.index(request_class)
    return rank + (len(CLASS_ORDER) if within_share else 0)


def build_queue(name: str, endpoint: Endpoint) -> DispatchQueue:
    """Build the queue registered under `name` for an endpoint.

    A fair queue gets express slots for a model endpoint, whose engine honours priorities, and
    reserved slots for a service endpoint.
    """
    if name != "fair":
        return QUEUES[name]()
    if endpoint.kind is EndpointKind.MODEL:
        express = max(1, round(endpoint.slots * EXPRESS_SLOTS_PER_SLOT))
        return FairQueue(endpoint.slots, express=express)
    return FairQueue(endpoint.slots, reserved=min(MAX_RESERVED_SLOTS, endpoint.slots // 4))
