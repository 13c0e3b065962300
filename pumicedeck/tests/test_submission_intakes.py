"""Tests of result pages: bounded, complete, and current before a result counts as missing."""

from random import Random
from string import ascii_letters

from result import Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.page_caches import PageCache
from pumicedeck.partitioned_stores import Change, Put, StoredRow
from pumicedeck.platform.caller_calls import PlatformSubmissionDialect
from pumicedeck.results import ResultCode
from pumicedeck.scheduling.submission_rows import results_puts
from pumicedeck.standin_partitioned_stores import (
    DEFAULT_PAGE_ROWS,
    PartitionedData,
    StandinPartitionedStore,
)
from pumicedeck.submission_intakes import SubmissionIntake
from pumicedeck.submissions import (
    Item,
    ItemResult,
    SubmissionHead,
    decode_results,
    encode_items,
    encode_results,
)
from pumicedeck.tasks import spawn
from pumicedeck.work_mirrors import WorkMirror, encode_listed, head_row, items_row, listed_row

MAX_PAGE_BYTES = 1_000_000


class IntakeFixture:
    def __init__(self, results, fresh=True, per_write=1):
        self.timers = VirtualTime()
        self.store = StandinPartitionedStore(self.timers, PartitionedData())
        self.mirror = WorkMirror()
        self.mirror.current_as_of = 0.0 if fresh else -100.0
        self.intake = SubmissionIntake(self.timers, self.store, self.mirror)
        head = SubmissionHead("s", "r", "h", "m", 0, 1, 0, len(results) + 1, 1, "d", 0.0)
        self.mirror.apply((StoredRow(head_row("s"), head.encode(), 1),))
        self.listed = 0
        for at in range(0, len(results), per_write):
            self.list(tuple(results[at : at + per_write]))

    def list(self, batch):
        """Write results as the scheduler does, and apply the new count to the mirror."""
        puts = results_puts("s", self.listed, batch)
        self.listed += len(batch)
        count = Put(listed_row("s"), encode_listed(self.listed))
        revision = self.store.data.commit(Change((), (*puts, count))).unwrap()
        self.mirror.apply((StoredRow(count.row, count.value, revision),))

    def results(self, after, wait=0.0, name="s"):
        found = []

        async def ask():
            found.append(await self.intake.results(name, after, wait))

        spawn(ask(), "ask")
        self.timers.run_until(self.timers.now() + wait + 1.0)
        return found[0]


def result(number, length, letter="x"):
    return ItemResult(f"i{number}", True, letter * length, (1, 2), "score")


def test_many_results_are_returned_in_bounded_pages_without_gaps():
    results = [result(number, 30_000, "ü\n") for number in range(60)]
    fixture = IntakeFixture(results)
    received, pages = [], 0
    while len(received) < len(results):
        total, page = fixture.results(len(received)).unwrap()
        documents = [each.document() for each in page]
        body = PlatformSubmissionDialect().results(total, len(received), documents)
        assert page and len(body) <= MAX_PAGE_BYTES
        received += page
        pages += 1
    assert received == results and pages > 1


def test_a_single_result_larger_than_a_page_is_still_returned():
    fixture = IntakeFixture([result(0, 700_000)])
    assert len(fixture.results(0).unwrap()[1]) == 1


def test_a_result_counts_as_missing_only_with_recent_store_contact():
    fixture = IntakeFixture([result(0, 10), result(1, 10)], fresh=False)
    assert len(fixture.results(1).unwrap()[1]) == 1
    fixture.store.faults.down = True
    assert fixture.results(2).unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    assert fixture.results(0).unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    assert fixture.results(1).unwrap()[1] == [result(1, 10)]
    fixture.store.faults.down = False
    assert len(fixture.results(0).unwrap()[1]) == 2
    assert fixture.results(0, name="none").unwrap_err().code is ResultCode.NOT_FOUND


def test_a_page_of_a_removed_submission_is_not_shown_for_a_new_one_with_its_id():
    """Guards against results of another account, whose submission had the same id before."""
    fixture = IntakeFixture([result(0, 10, "a")])
    assert fixture.results(0).unwrap()[1] == [result(0, 10, "a")]
    listed = StoredRow(listed_row("s"), None, 90)
    fixture.mirror.apply((StoredRow(head_row("s"), None, 90), listed))
    head = SubmissionHead("s", "r", "h", "m", 0, 1, 0, 2, 1, "d", 300.0)
    fixture.mirror.apply((StoredRow(head_row("s"), head.encode(), 91),))
    fixture.listed = 0
    fixture.list((result(0, 10, "b"),))
    assert fixture.results(0).unwrap()[1] == [result(0, 10, "b")]


def test_a_read_may_begin_inside_a_write():
    results = [result(number, 2_000) for number in range(50)]
    fixture = IntakeFixture(results, per_write=7)
    for after in range(50):
        assert fixture.results(after).unwrap()[1] == results[after:]


def test_a_write_of_several_rows_is_read_completely_wherever_a_page_of_rows_ends():
    large = tuple(
        ItemResult(f"i{n}", True, "".join(Random(n).choices(ascii_letters, k=90_000)))
        for n in range(24)
    )
    fixture = IntakeFixture(list(large), per_write=1)
    received = []
    while len(received) < len(large):
        page = fixture.results(len(received)).unwrap()[1]
        assert page
        received += page
    assert tuple(received) == large


def test_the_page_cache_is_bounded_and_replaces_shorter_pages():
    cache = PageCache(max_bytes=100)
    cache.put("s", 0, [result(0, 1)], 60)
    cache.put("s", 1, [result(1, 1)], 60)
    assert cache.find("s", 0) is None and cache.find("s", 1) == [result(1, 1)]
    cache.put("s", 1, [result(1, 1), result(2, 1)], 70)
    cache.put("s", 2, [], 20)
    assert len(cache.find("s", 1)) == 2 and cache.find("s", 2) == []


def test_a_reader_waits_for_the_next_result():
    fixture = IntakeFixture([])

    def list_one():
        fixture.list((result(0, 10),))

    fixture.timers.call_later(0.3, list_one)
    outcome = fixture.results(0, wait=1.0)
    assert isinstance(outcome, Ok) and len(outcome.ok_value[1]) == 1


def test_a_body_is_found_among_items_that_fill_more_than_one_page_of_the_store():
    fixture = IntakeFixture([])
    item = Item("a", "/d", (), bytes(range(256)) * 8, "g")
    data = b"".join(encode_items((item,)))
    cut = -(-len(data) // (DEFAULT_PAGE_ROWS + 1))
    chunks = [data[at : at + cut] for at in range(0, len(data), cut)]
    puts = [Put(items_row("big", number), chunk) for number, chunk in enumerate(chunks)]
    padding = range(len(chunks), DEFAULT_PAGE_ROWS + 1)
    puts += [Put(items_row("big", number), b"") for number in padding]
    head = SubmissionHead("big", "r", "h", "m", 0, 1, 0, 1, DEFAULT_PAGE_ROWS + 1, "d", 0.0)
    puts.append(Put(head_row("big"), head.encode()))
    fixture.store.data.commit(Change((), tuple(puts))).unwrap()
    found = []

    async def ask():
        found.append(await fixture.intake.item_body("big", "a"))

    spawn(ask(), "ask")
    fixture.timers.run_until(1.0)
    assert found[0].unwrap() == item.body


def test_results_larger_than_a_row_are_encoded_in_several_rows():
    results = tuple(
        ItemResult(f"i{n}", True, "".join(Random(n).choices(ascii_letters, k=60_000)))
        for n in range(3)
    )
    rows = encode_results(results)
    assert len(rows) > 1 and all(len(row) <= 65_536 for row in rows)
    assert tuple(decode_results(list(rows))) == results
