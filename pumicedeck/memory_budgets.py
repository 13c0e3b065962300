"""Limits the memory that a process holds for its clients; free of I/O.

The load is clients that exhaust the memory of a process together, each within the limits of one:
many large bodies at once, whole or kept short of their end, requests sent ahead, and long
answers that nobody reads. All that is held for them is counted in one budget. When it is short,
the holder that has most and moves least is given up, a part of the budget stays free for small
requests, and a request that has run is never given up for one that has not.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from pumicedeck.http_messages import KIB


class HolderKind(StrEnum):
    """What the bytes of a holder are.

    RECEIVING are those of a connection's request until it is complete, so that it has not run.
    RUNNING are those of a complete request until it is answered, AHEAD the requests that arrived
    behind it. ANSWER is the body of a server's answer until it is complete, UNSENT what waits for a
    client that does not read.
    """

    RECEIVING = "receiving"
    RUNNING = "running"
    AHEAD = "ahead"
    ANSWER = "answer"
    UNSENT = "unsent"


_REQUEST_KINDS = (HolderKind.RECEIVING, HolderKind.RUNNING, HolderKind.AHEAD)


@dataclass(slots=True, eq=False)
class MemoryHolder:
    """Bytes that are held for one client; `give_up` releases them and ends what they belong to.

    `moved_at` is when the client last sent or read some of them, in seconds of the budget's clock.
    """

    kind: HolderKind
    give_up: Callable[[], None]
    held_bytes: int = 0
    moved_at: float = 0.0
    is_closed: bool = False


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Sizes in bytes, times in seconds.

    Holders of up to `small_bytes` may use the whole budget, all larger ones together leave
    `reserve_share` of it free, and larger requests leave `answer_share` free as well, so that what
    has run can be answered. A client that has moved no byte for `stall_seconds` is given up for
    any other; one that moves only for a request of less than 1 / `size_factor` of its size.
    """

    small_bytes: int = 64 * KIB
    reserve_share: float = 0.25
    answer_share: float = 0.0
    stall_seconds: float = 2.0
    size_factor: float = 2.0


class MemoryBudget:
    """The bytes held for clients, by holder, and who gives up its own when they are too many."""

    def __init__(
        self,
        limit_bytes: int,
        clock: Callable[[], float] = lambda: 0.0,
        settings: BudgetSettings | None = None,
    ) -> None:
        """Allow `limit_bytes` for all holders together; `clock` returns seconds."""
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._settings = settings or BudgetSettings()
        self._holders: dict[MemoryHolder, None] = {}
        self._held_bytes = 0
        self._large_bytes = 0
        self._large_request_bytes = 0
        self._given_up: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()

    @property
    def limit_bytes(self) -> int:
        """Return how many bytes may be held."""
        return self._limit_bytes

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are held."""
        return self._held_bytes

    @property
    def held_by_kind(self) -> dict[str, int]:
        """Return how many bytes are held, by kind of holder."""
        held: Counter[str] = Counter({kind.value: 0 for kind in HolderKind})
        for holder in self._holders:
            held[holder.kind.value] += holder.held_bytes
        return dict(held)

    @property
    def given_up(self) -> dict[str, int]:
        """Return how many holders were given up for others, by kind."""
        return dict(self._given_up)

    @property
    def refused(self) -> dict[str, int]:
        """Return how many holders got no room, by kind."""
        return dict(self._refused)

    def record_movement(self, holder: MemoryHolder) -> None:
        """Record that the client of a holder has sent or read bytes."""
        holder.moved_at = self._clock()

    def hold(self, holder: MemoryHolder, held_bytes: int) -> bool:
        """Count `held_bytes` for a holder in place of what it had; give up others for it if needed.

        Returns False, and counts nothing more, if there is no room even so, or if the holder was
        closed because of what was given up.
        """
        while not holder.is_closed:
            if held_bytes <= holder.held_bytes or self._has_room(holder, held_bytes):
                self._count(holder, held_bytes)
                return True
            victim = self._choose_victim(holder, held_bytes)
            if victim is None:
                self._refused[holder.kind.value] += 1
                return False
            self._given_up[victim.kind.value] += 1
            victim.give_up()
            self._count(victim, 0)
        return False

    def release(self, holder: MemoryHolder) -> None:
        """Count nothing for a holder."""
        self._count(holder, 0)

    def close(self, holder: MemoryHolder) -> None:
        """Count nothing for a holder, now and later."""
        self._count(holder, 0)
        holder.is_closed = True

    def _is_large(self, holder: MemoryHolder, held_bytes: int) -> bool:
        # The requests sent ahead on many connections must leave room for those on others.
        return held_bytes > self._settings.small_bytes or holder.kind is HolderKind.AHEAD

    def _has_room(self, holder: MemoryHolder, held_bytes: int) -> bool:
        if self._held_bytes - holder.held_bytes + held_bytes > self._limit_bytes:
            return False
        if not self._is_large(holder, held_bytes):
            return True
        counted = holder.held_bytes if self._is_large(holder, holder.held_bytes) else 0
        growth = held_bytes - counted
        share = 1.0 - self._settings.reserve_share
        if self._large_bytes + growth > self._limit_bytes * share:
            return False
        if holder.kind not in _REQUEST_KINDS:
            return True
        share -= self._settings.answer_share
        return self._large_request_bytes + growth <= self._limit_bytes * share

    def _count(self, holder: MemoryHolder, held_bytes: int) -> None:
        counted = holder.held_bytes if self._is_large(holder, holder.held_bytes) else 0
        growth = (held_bytes if self._is_large(holder, held_bytes) else 0) - counted
        self._large_bytes += growth
        if holder.kind in _REQUEST_KINDS:
            self._large_request_bytes += growth
        self._held_bytes += held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        if held_bytes:
            self._holders[holder] = None
        else:
            self._holders.pop(holder, None)

    def _choose_victim(self, asker: MemoryHolder, asked_bytes: int) -> MemoryHolder | None:
        """Return who is given up so that `asker` may hold `asked_bytes`; None for `asker` itself.

        For a request that has not run only others that have not run are given up. For bytes of one
        that has run, these go first, then the client that reads least, then the largest of all.
        """
        if asker.kind in (HolderKind.RUNNING, HolderKind.AHEAD):
            return None
        asks_for_large = self._is_large(asker, asked_bytes)
        others = [
            holder
            for holder in self._holders
            if holder is not asker
            and (not asks_for_large or self._is_large(holder, holder.held_bytes))
        ]
        has_run = asker.kind is not HolderKind.RECEIVING
        not_run = [
            holder
            for holder in others
            if holder.kind is HolderKind.RECEIVING
            and (has_run or self._yields(holder, asked_bytes))
        ]
        if not_run or not has_run:
            return max(not_run, key=self._rank, default=None)
        answers = [
            holder for holder in others if holder.kind in (HolderKind.ANSWER, HolderKind.UNSENT)
        ]
        victim = max(answers, key=self._rank, default=None)
        if victim is None or self._rank(victim) <= (self._is_stalled(asker), asked_bytes):
            return None
        return victim

    def _yields(self, holder: MemoryHolder, asked_bytes: int) -> bool:
        """Return whether a request that has not run is given up for a new one."""
        is_larger = holder.held_bytes > self._settings.size_factor * asked_bytes
        return is_larger or self._is_stalled(holder)

    def _rank(self, holder: MemoryHolder) -> tuple[bool, int]:
        return self._is_stalled(holder), holder.held_bytes

    def _is_stalled(self, holder: MemoryHolder) -> bool:
        if holder.kind is HolderKind.ANSWER:
            return False
        return self._clock() - holder.moved_at >= self._settings.stall_seconds
