"""Pages of results at any process: bounded, complete, and sure of what they do not show."""

from random import Random
from string import ascii_letters

from result import Ok

from pumicedeck.clocks import VirtualTime
from pumicedeck.partitioned_stores import StoredRow
from pumicedeck.platform.caller_calls import PlatformSubmissionDialect
from pumicedeck.results import ResultCode
from pumicedeck.standin_partitioned_stores import PartitionedData, StandinPartitionedStore
from pumicedeck.submission_intakes import SubmissionIntake
from pumicedeck.submissions import ItemResult, SubmissionHead, decode_results, encode_results
from pumicedeck.tasks import spawn
from pumicedeck.work_mirrors import WorkMirror, head_row

PAGE_BOUND = 1_000_000


class IntakeWorld:
    def __init__(self, results, fresh=True):
        self.timers = VirtualTime()
        self.store = StandinPartitionedStore(self.timers, PartitionedData())
        self.mirror = WorkMirror()
        self.mirror.fresh_at = 0.0 if fresh else -100.0
        self.intake = SubmissionIntake(self.timers, self.store, self.mirror)
        head = SubmissionHead("s", "r", "h", "m", 0, 1, 0, len(results) + 1, 1, "d", 0.0)
        self.mirror.take((StoredRow(head_row("s"), head.encode(), 1),))
        self.mirror.view("s").results.extend(results)

    def results(self, after, wait=0.0, name="s"):
        found = []

        async def ask():
            found.append(await self.intake.results(name, after, wait))

        spawn(ask(), "ask")
        self.timers.run_until(self.timers.now() + wait + 1.0)
        return found[0]


def result(number, length, letter="x"):
    return ItemResult(f"i{number}", True, letter * length, (1, 2), "score")


def test_a_long_listing_comes_in_pages_below_the_bound_and_misses_nothing():
    results = [result(number, 30_000, "ü\n") for number in range(60)]
    world = IntakeWorld(results)
    seen, pages = [], 0
    while len(seen) < len(results):
        total, page = world.results(len(seen)).unwrap()
        documents = [each.document() for each in page]
        body = PlatformSubmissionDialect().results(total, len(seen), documents)
        assert page and len(body) <= PAGE_BOUND
        seen += page
        pages += 1
    assert seen == results and pages > 1


def test_a_single_result_over_the_page_is_still_given():
    world = IntakeWorld([result(0, 700_000)])
    assert len(world.results(0).unwrap()[1]) == 1


def test_nothing_is_said_to_be_missing_on_old_knowledge():
    world = IntakeWorld([result(0, 10)], fresh=False)
    world.store.faults.down = True
    assert world.results(1).unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    assert len(world.results(0).unwrap()[1]) == 1
    world.store.faults.down = False
    assert world.results(0, name="none").unwrap_err().code is ResultCode.NOT_FOUND


def test_a_reader_waits_for_the_next_result():
    world = IntakeWorld([])
    view = world.mirror.view("s")

    def list_one():
        view.results.append(result(0, 10))
        view.changed.notify()

    world.timers.call_later(0.3, list_one)
    outcome = world.results(0, wait=1.0)
    assert isinstance(outcome, Ok) and len(outcome.ok_value[1]) == 1


def test_results_larger_than_a_row_are_kept_in_several():
    results = tuple(
        ItemResult(f"i{n}", True, "".join(Random(n).choices(ascii_letters, k=60_000)))
        for n in range(3)
    )
    rows = encode_results(results)
    assert len(rows) > 1 and all(len(row) <= 65_536 for row in rows)
    assert tuple(decode_results(list(rows))) == results
