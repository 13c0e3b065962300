"""Tree of firm, class and entry nodes that orders queued dispatches by virtual time; no I/O.

Virtual time is the tokens that a firm or entry has been charged, divided by its share; the node
with the least is served next.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from pumicedeck.catalogue_entries import RequestClass
from pumicedeck.messages import AttemptId, Dispatch

CLASS_ORDER = (RequestClass.INTERACTIVE, RequestClass.BATCH, RequestClass.ROLLOUT)
MIN_SERVICE_FRACTIONS = {
    RequestClass.INTERACTIVE: 0.0,
    RequestClass.BATCH: 1 / 8,
    RequestClass.ROLLOUT: 1 / 16,
}
HEAP_COMPACTION_SLACK = 64


@dataclass(slots=True)
class QueuedDispatch:
    """A queued dispatch with its arrival and expiry times in seconds and its arrival number."""

    dispatch: Dispatch
    arrived_at: float
    expires_at: float
    arrival_number: int

    @property
    def cost(self) -> int:
        """Return the tokens to charge: the expected ones, at least one."""
        return max(1, self.dispatch.expected_tokens)


@dataclass(slots=True)
class EntryNode:
    """Queued dispatches of one catalogue entry, by priority and then by arrival."""

    name: str
    share: float = 1.0
    virtual_time: float = 0.0
    waiting: dict[AttemptId, QueuedDispatch] = field(default_factory=dict)
    _heap: list[tuple[int, int, AttemptId]] = field(default_factory=list)

    def add(self, item: QueuedDispatch) -> None:
        """Queue one dispatch."""
        attempt = item.dispatch.attempt
        self.waiting[attempt] = item
        heapq.heappush(self._heap, (-item.dispatch.priority, item.arrival_number, attempt))

    def drop(self, attempt: AttemptId) -> QueuedDispatch | None:
        """Remove a dispatch and return it, or None; its heap element is discarded later."""
        item = self.waiting.pop(attempt, None)
        if len(self._heap) > 2 * len(self.waiting) + HEAP_COMPACTION_SLACK:
            self._heap = [each for each in self._heap if each[2] in self.waiting]
            heapq.heapify(self._heap)
        return item

    def head(self) -> QueuedDispatch:
        """Return the dispatch to serve next; at least one must be queued."""
        while self._heap[0][2] not in self.waiting:
            heapq.heappop(self._heap)
        return self.waiting[self._heap[0][2]]


@dataclass(slots=True)
class ClassNode:
    """Entries of one request class of a firm.

    While higher classes are served, `credit` grows by `fraction` of their tokens. A dispatch that
    costs no more than the credit is served next, which prevents starvation. `virtual_clock` is the
    virtual time of the entry served last; an entry that was idle continues from there.
    """

    fraction: float
    credit: float = 0.0
    virtual_clock: float = 0.0
    tokens: int = 0
    entries: dict[str, EntryNode] = field(default_factory=dict)

    def waiting_entries(self) -> list[EntryNode]:
        """Return the entries with queued dispatches."""
        return [each for each in self.entries.values() if each.waiting]

    def next_entry(self) -> EntryNode:
        """Return the entry with the least virtual time among those with queued dispatches."""
        return min(self.waiting_entries(), key=lambda each: each.virtual_time)


@dataclass(slots=True)
class FirmNode:
    """One firm: its share and virtual time, its queued work and its running dispatches.

    `waiting_count`, `tokens` and `body_bytes` describe the queued dispatches, `running` and
    `interactive_running` count the running ones.
    """

    name: str
    share: float = 1.0
    virtual_time: float = 0.0
    waiting_count: int = 0
    tokens: int = 0
    body_bytes: int = 0
    running: int = 0
    interactive_running: int = 0
    classes: dict[RequestClass, ClassNode] = field(default_factory=dict)

    def class_node(self, request_class: RequestClass) -> ClassNode:
        """Return the node of a class, creating it on first use."""
        if request_class not in self.classes:
            self.classes[request_class] = ClassNode(MIN_SERVICE_FRACTIONS[request_class])
        return self.classes[request_class]

    def entry(self, request_class: RequestClass, name: str, share: float) -> EntryNode:
        """Return the node of an entry, creating it on first use."""
        entries = self.class_node(request_class).entries
        if name not in entries:
            entries[name] = EntryNode(name, share)
        return entries[name]

    def add(self, item: QueuedDispatch, entry: EntryNode) -> None:
        """Queue a dispatch under an entry of this firm."""
        node = self.class_node(item.dispatch.request_class)
        if not entry.waiting:
            entry.virtual_time = max(entry.virtual_time, node.virtual_clock)
        entry.add(item)
        self._count(item, node, 1)

    def drop(self, dispatch: Dispatch) -> QueuedDispatch | None:
        """Remove a dispatch and return it, or None if it is not queued."""
        node = self.class_node(dispatch.request_class)
        entry = node.entries.get(dispatch.entry_name)
        item = entry.drop(dispatch.attempt) if entry else None
        if item is None:
            return None
        self._count(item, node, -1)
        if node.tokens == 0:
            node.credit = 0.0
        return item

    def _count(self, item: QueuedDispatch, node: ClassNode, sign: int) -> None:
        node.tokens += sign * item.cost
        self.tokens += sign * item.cost
        self.body_bytes += sign * len(item.dispatch.body)
        self.waiting_count += sign

    def waiting_in(self, classes: Iterable[RequestClass]) -> bool:
        """Return whether a dispatch of one of the classes is queued."""
        return any(each in self.classes and self.classes[each].tokens for each in classes)

    def next_item(self, classes: tuple[RequestClass, ...]) -> QueuedDispatch:
        """Return the dispatch to serve next among `classes`; at least one must be queued."""
        waiting = [each for each in classes if each in self.classes and self.classes[each].tokens]
        for lower in reversed(waiting[1:]):
            item = self.classes[lower].next_entry().head()
            if self.classes[lower].credit >= item.cost:
                return item
        return self.classes[waiting[0]].next_entry().head()

    def charge(self, item: QueuedDispatch) -> None:
        """Charge a dispatch that starts to run; lower classes with queued work gain credit."""
        request_class = item.dispatch.request_class
        node = self.classes[request_class]
        entry = node.entries[item.dispatch.entry_name]
        node.virtual_clock = max(node.virtual_clock, entry.virtual_time)
        entry.virtual_time += item.cost / entry.share
        self.virtual_time += item.cost / self.share
        node.credit = max(0.0, node.credit - item.cost)
        for lower in CLASS_ORDER[CLASS_ORDER.index(request_class) + 1 :]:
            lower_node = self.classes.get(lower)
            if lower_node and lower_node.tokens:
                lower_node.credit += item.cost * lower_node.fraction

    def correct(self, dispatch: Dispatch, tokens: int) -> None:
        """Replace the charged tokens of a finished dispatch by the tokens that it used."""
        error = tokens - max(1, dispatch.expected_tokens)
        self.virtual_time += error / self.share
        node = self.classes.get(dispatch.request_class)
        entry = node.entries.get(dispatch.entry_name) if node else None
        if entry:
            entry.virtual_time += error / entry.share
