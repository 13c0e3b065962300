"""Tree of firm, class and entry nodes that orders waiting dispatches by served tokens; no I/O."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from pumicedeck.catalogue_entries import RequestClass
from pumicedeck.messages import AttemptId, Dispatch

CLASS_ORDER = (RequestClass.INTERACTIVE, RequestClass.BATCH, RequestClass.ROLLOUT)
LEAST_FRACTIONS = {
    RequestClass.INTERACTIVE: 0.0,
    RequestClass.BATCH: 1 / 8,
    RequestClass.ROLLOUT: 1 / 16,
}
COMPACT_SLACK = 64


@dataclass(slots=True)
class QueuedDispatch:
    """A queued dispatch with its arrival, the second at which it expires and its rank."""

    dispatch: Dispatch
    arrived: float
    due: float
    order: int

    @property
    def cost(self) -> int:
        """Return the expected tokens, at least one."""
        return max(1, self.dispatch.expected_tokens)


@dataclass(slots=True)
class EntryNode:
    """Dispatches of one catalogue entry, highest priority first, then oldest first."""

    name: str
    share: float = 1.0
    virtual_time: float = 0.0
    waiting: dict[AttemptId, QueuedDispatch] = field(default_factory=dict)
    _heap: list[tuple[int, int, AttemptId]] = field(default_factory=list)

    def add(self, item: QueuedDispatch) -> None:
        """Queue one dispatch."""
        attempt = item.dispatch.attempt
        self.waiting[attempt] = item
        heapq.heappush(self._heap, (-item.dispatch.priority, item.order, attempt))

    def drop(self, attempt: AttemptId) -> QueuedDispatch | None:
        """Take one dispatch out; its heap slot is cleared later."""
        item = self.waiting.pop(attempt, None)
        if len(self._heap) > 2 * len(self.waiting) + COMPACT_SLACK:
            self._heap = [each for each in self._heap if each[2] in self.waiting]
            heapq.heapify(self._heap)
        return item

    def head(self) -> QueuedDispatch:
        """Return the dispatch to serve next; the entry must not be empty."""
        while self._heap[0][2] not in self.waiting:
            heapq.heappop(self._heap)
        return self.waiting[self._heap[0][2]]


@dataclass(slots=True)
class ClassNode:
    """Entries of one class of a firm; `credit` in tokens bounds how long the class can starve."""

    fraction: float
    credit: float = 0.0
    clock: float = 0.0
    tokens: int = 0
    entries: dict[str, EntryNode] = field(default_factory=dict)

    def busy(self) -> list[EntryNode]:
        """Return the entries with waiting dispatches."""
        return [each for each in self.entries.values() if each.waiting]

    def next_entry(self) -> EntryNode:
        """Return the waiting entry with the least served tokens for its share."""
        return min(self.busy(), key=lambda each: each.virtual_time)


@dataclass(slots=True)
class FirmNode:
    """One firm: its share, what it was served, what waits and what runs."""

    name: str
    share: float = 1.0
    virtual_time: float = 0.0
    count: int = 0
    tokens: int = 0
    body_bytes: int = 0
    running: int = 0
    interactive: int = 0
    classes: dict[RequestClass, ClassNode] = field(default_factory=dict)

    def node(self, request_class: RequestClass) -> ClassNode:
        """Return the node of a class, made on first use."""
        if request_class not in self.classes:
            self.classes[request_class] = ClassNode(LEAST_FRACTIONS[request_class])
        return self.classes[request_class]

    def entry(self, request_class: RequestClass, name: str, share: float) -> EntryNode:
        """Return the node of an entry, made on first use."""
        entries = self.node(request_class).entries
        if name not in entries:
            entries[name] = EntryNode(name, share)
        return entries[name]

    def add(self, item: QueuedDispatch, entry: EntryNode) -> None:
        """Queue a dispatch under an entry of this firm."""
        node = self.node(item.dispatch.request_class)
        if not entry.waiting:
            entry.virtual_time = max(entry.virtual_time, node.clock)
        entry.add(item)
        self._count(item, node, 1)

    def drop(self, dispatch: Dispatch) -> QueuedDispatch | None:
        """Take a dispatch out."""
        node = self.node(dispatch.request_class)
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
        self.count += sign

    def waiting_in(self, classes: Iterable[RequestClass]) -> bool:
        """Tell whether a dispatch of one of the classes waits."""
        return any(each in self.classes and self.classes[each].tokens for each in classes)

    def next_item(self, classes: tuple[RequestClass, ...]) -> QueuedDispatch:
        """Return the dispatch to serve next among `classes`, of which one must wait."""
        busy = [each for each in classes if each in self.classes and self.classes[each].tokens]
        for lower in reversed(busy[1:]):
            item = self.classes[lower].next_entry().head()
            if self.classes[lower].credit >= item.cost:
                return item
        return self.classes[busy[0]].next_entry().head()

    def charge(self, item: QueuedDispatch) -> None:
        """Charge the expected tokens of a dispatch that is handed over."""
        request_class = item.dispatch.request_class
        node = self.classes[request_class]
        entry = node.entries[item.dispatch.entry_name]
        node.clock = max(node.clock, entry.virtual_time)
        entry.virtual_time += item.cost / entry.share
        self.virtual_time += item.cost / self.share
        node.credit = max(0.0, node.credit - item.cost)
        for lower in CLASS_ORDER[CLASS_ORDER.index(request_class) + 1 :]:
            below = self.classes.get(lower)
            if below and below.tokens:
                below.credit += item.cost * below.fraction

    def correct(self, dispatch: Dispatch, tokens: int) -> None:
        """Replace the charged tokens of a dispatch that ended by its true ones."""
        error = tokens - max(1, dispatch.expected_tokens)
        self.virtual_time += error / self.share
        node = self.classes.get(dispatch.request_class)
        entry = node.entries.get(dispatch.entry_name) if node else None
        if entry:
            entry.virtual_time += error / entry.share
