"""Tests of the exchange of demands between entry VMs through the stand-in table service."""

from random import Random

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Limits, RequestClass
from pumicedeck.clocks import VirtualTime
from pumicedeck.demand_exchanges import DEMAND_TABLE, DemandExchange
from pumicedeck.limiters import EntryLimiter
from pumicedeck.standin_tables import StandinTableStore

LIMITS = Limits(concurrency=40, requests_per_second=40.0, tokens_per_second=1e6)
ENTRY = CatalogueEntry("previews", "q", RequestClass.INTERACTIVE, ("balcao",), LIMITS)
DRAFTS = CatalogueEntry("drafts", "q", RequestClass.ROLLOUT, ("redator",), LIMITS, model="m")
CATALOGUE = Catalogue(1, (ENTRY, DRAFTS))
NAMES = ("entry-0", "entry-1", "entry-2", "entry-3")


class _EntryVms:
    def __init__(self) -> None:
        self.time = VirtualTime()
        self.table = StandinTableStore(self.time)
        self.limiters = {name: EntryLimiter(name) for name in NAMES}
        self.exchanges = {}
        for name, limiter in self.limiters.items():
            limiter.configure(0.0, CATALOGUE)
            limiter.set_members(0.0, NAMES)
            exchange = DemandExchange(name, limiter, self.table, self.time, Random(name))
            self.exchanges[name] = exchange
            exchange.start()

    def offer(self, name: str, rate: int, seconds: int) -> int:
        """Send one VM `rate` requests per second and return how many it admitted."""
        admitted = 0
        for _ in range(seconds * rate):
            self.time.run_until(self.time.now() + 1.0 / rate)
            if self.limiters[name].admit(self.time.now(), ENTRY, 1).is_ok():
                admitted += 1
                self.limiters[name].finished(self.time.now(), ENTRY, 1, 1)
        return admitted

    def rows(self) -> list[str]:
        found = []
        self.table.scan(DEMAND_TABLE, "", 100, lambda rows: found.extend(rows.unwrap()))
        self.time.run_until(self.time.now() + 0.1)
        return [row.key for row in found]


def test_the_limit_follows_the_one_vm_that_is_asked() -> None:
    entries = _EntryVms()
    entries.offer("entry-0", 30, 15)
    assert entries.offer("entry-0", 30, 10) == 300


def test_without_the_store_every_vm_keeps_to_the_equal_part() -> None:
    entries = _EntryVms()
    entries.offer("entry-0", 30, 15)
    entries.table.faults.down = True
    entries.offer("entry-0", 30, 40)
    assert entries.offer("entry-0", 30, 10) <= 10 * 10 + 10


def test_rows_are_deleted_when_demand_cools_and_when_their_vm_is_gone() -> None:
    entries = _EntryVms()
    entries.offer("entry-3", 30, 15)
    assert "previews/entry-3" in entries.rows()
    entries.exchanges["entry-3"].close()
    for limiter in entries.limiters.values():
        limiter.set_members(entries.time.now(), NAMES[:3])
    entries.time.run_until(entries.time.now() + 200.0)
    assert entries.rows() == []


def test_a_rollout_entry_is_not_split() -> None:
    entries = _EntryVms()
    limiter = entries.limiters["entry-1"]
    admitted = sum(limiter.admit(0.0, DRAFTS, 1).is_ok() for _ in range(100))
    assert admitted == LIMITS.concurrency
