"""Tests of claims, recorded outcomes and sweeps against the stand-in table service."""

from random import Random

import pytest
from result import Err

from pumicedeck.actions import CallerAnswer, RecordOutcome, WriteClaim
from pumicedeck.claim_outcomes import Claimed, ClaimOutcome, RecordedAnswer
from pumicedeck.claim_rows import claim_key
from pumicedeck.claim_sweeps import ClaimSweeps, ClaimSweepSettings
from pumicedeck.claims import Claims, ClaimSettings
from pumicedeck.clocks import VirtualTime
from pumicedeck.faults import Fault, FaultSwitches
from pumicedeck.results import ResultCode
from pumicedeck.standin_tables import StandinTableStore, StoreLimits, TableData

ANSWER = CallerAnswer(200, "text/plain", b"booked", 6, "d")
START_UNIX_SECONDS = 1_800_000_000.0


def uuid7(second: float, number: int = 0) -> str:
    digits = f"{int(second * 1000):012x}7{number:03x}8{number:015x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


class ClaimSimulation:
    """Entries that share one table service."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.data = TableData()
        self.live = {"a/1", "b/1"}
        self.answers: dict[str, ClaimOutcome] = {}
        self.stores: dict[str, StandinTableStore] = {}

    def add_entry(self, name: str, **settings: object) -> Claims:
        limits = StoreLimits(latency=0.002)
        store = StandinTableStore(self.time, FaultSwitches(), self.data, limits)
        self.stores[name] = store
        return Claims(
            name,
            store,
            self.time,
            self.answers.__setitem__,
            lambda holder: holder in self.live,
            self.wall_clock,
            ClaimSettings(**settings),
        )

    def wall_clock(self) -> float:
        return START_UNIX_SECONDS + self.time.now()

    def claim(self, entry: Claims, handle: str, name: str = "r", digest: str = "x") -> object:
        entry.claim(WriteClaim(handle, "f", name, digest))
        self.run(3.0)
        outcome = self.answers[handle]
        return outcome.err_value.code if isinstance(outcome, Err) else outcome.ok_value

    def record(self, entry: Claims, code: ResultCode, answer: CallerAnswer | None = None) -> None:
        entry.record(RecordOutcome("f", "r", int(code), answer))
        self.run(3.0)

    def run(self, seconds: float) -> None:
        self.time.run_until(self.time.now() + seconds)


def test_a_repetition_on_another_entry_gets_what_became_of_the_first() -> None:
    simulation = ClaimSimulation()
    first, second = simulation.add_entry("a/1"), simulation.add_entry("b/1")
    assert simulation.claim(first, "h1") == Claimed()
    assert simulation.claim(second, "h2") is ResultCode.IN_PROGRESS
    assert simulation.claim(first, "h3") is ResultCode.IN_PROGRESS
    assert simulation.claim(second, "h4", digest="y") is ResultCode.REQUEST_ID_REUSED
    simulation.record(first, ResultCode.OK, ANSWER)
    assert first.unrecorded == 0
    for entry in (first, second):
        recorded = simulation.claim(entry, "h5")
        assert isinstance(recorded, RecordedAnswer) and recorded.answer.body == b"booked"


def test_a_claim_of_a_vanished_entry_is_unknown_and_never_granted_again() -> None:
    simulation = ClaimSimulation()
    assert simulation.claim(simulation.add_entry("a/1"), "h1") == Claimed()
    simulation.live.discard("a/1")
    assert simulation.claim(simulation.add_entry("b/1"), "h2") is ResultCode.OUTCOME_UNKNOWN
    assert simulation.claim(simulation.add_entry("a/2"), "h3") is ResultCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    ("code", "expected"),
    [
        (ResultCode.OVERLOADED, Claimed()),
        (ResultCode.CANCELLED, Claimed()),
        (ResultCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_UNKNOWN),
        (ResultCode.ENDPOINT_FAILED, ResultCode.ENDPOINT_FAILED),
        (ResultCode.OK, ResultCode.ANSWER_EXPIRED),
    ],
)
def test_only_a_recorded_not_run_may_be_claimed_again(code: ResultCode, expected: object) -> None:
    simulation = ClaimSimulation()
    first, second = simulation.add_entry("a/1"), simulation.add_entry("b/1")
    simulation.claim(first, "h1")
    simulation.record(first, code)
    assert simulation.claim(second, "h2") == expected


@pytest.mark.parametrize("fault", [Fault.LOSE_REPLY, Fault.LOSE_REQUEST, Fault.SILENT])
def test_a_lost_store_reply_is_resolved_by_reading_back(fault: Fault) -> None:
    simulation = ClaimSimulation()
    first = simulation.add_entry("a/1")
    simulation.stores["a/1"].faults.script(fault, operation="commit")
    assert simulation.claim(first, "h1") == Claimed()
    assert simulation.claim(simulation.add_entry("b/1"), "h2") is ResultCode.IN_PROGRESS


def test_without_a_store_a_claim_is_refused_within_its_bound() -> None:
    simulation = ClaimSimulation()
    first = simulation.add_entry("a/1")
    simulation.stores["a/1"].faults.silent = True
    started_at = simulation.time.now()
    first.claim(WriteClaim("h1", "f", "r", "x"))
    simulation.time.run_until(started_at + 1.2)
    assert simulation.answers["h1"].err_value.code is ResultCode.STORE_UNAVAILABLE
    first.claim(WriteClaim("h2", "f", "r2", "x"))
    assert simulation.answers["h2"].err_value.code is ResultCode.STORE_UNAVAILABLE
    assert first.counters.transactions == 1


def test_a_refused_claim_that_was_written_after_all_can_be_claimed_again() -> None:
    simulation = ClaimSimulation()
    first, second = simulation.add_entry("a/1"), simulation.add_entry("b/1")
    faults = simulation.stores["a/1"].faults
    faults.script(Fault.LOSE_REPLY, operation="commit")
    faults.script(Fault.DOWN, operation="read")
    assert simulation.claim(first, "h1") is ResultCode.STORE_UNAVAILABLE
    assert simulation.claim(second, "h2") == Claimed()


def test_a_group_is_one_transaction_and_a_lost_member_does_not_hold_up_the_others() -> None:
    simulation = ClaimSimulation()
    first, second = simulation.add_entry("a/1"), simulation.add_entry("b/1")
    simulation.claim(second, "h", "r3")
    for number in range(6):
        first.claim(WriteClaim(f"h{number}", "f", f"r{number}", "x"))
    simulation.run(1.0)
    refused_handles = [
        each for each in simulation.answers if isinstance(simulation.answers[each], Err)
    ]
    assert refused_handles == ["h3"]
    assert first.counters.transactions == 2
    assert first.counters.granted == 5


def test_outcomes_survive_a_store_outage_in_memory() -> None:
    simulation = ClaimSimulation()
    first = simulation.add_entry("a/1")
    simulation.claim(first, "h1")
    simulation.stores["a/1"].faults.down = True
    simulation.record(first, ResultCode.OK, ANSWER)
    assert first.unrecorded == 1
    simulation.stores["a/1"].faults.down = False
    simulation.run(3.0)
    assert first.unrecorded == 0
    assert isinstance(simulation.claim(simulation.add_entry("b/1"), "h2"), RecordedAnswer)


def test_an_id_whose_row_was_swept_is_refused_and_never_taken_as_new() -> None:
    simulation = ClaimSimulation()
    first = simulation.add_entry("a/1")
    settings = ClaimSweepSettings(sweep_seconds=600.0)
    sweeps = ClaimSweeps(
        StandinTableStore(simulation.time, None, simulation.data),
        simulation.time,
        simulation.wall_clock,
        Random(1),
        settings,
    )
    sweeps.start()
    old = uuid7(simulation.wall_clock())
    assert simulation.claim(first, "h1", old) == Claimed()
    first.record(RecordOutcome("f", old, int(ResultCode.OK), ANSWER))
    simulation.run(settings.retry_seconds - 10.0)
    assert isinstance(simulation.claim(first, "h2", old), RecordedAnswer)
    simulation.run(4 * 3600.0)
    assert sweeps.counters.rows_deleted == 1
    for entry in (first, simulation.add_entry("b/1")):
        assert simulation.claim(entry, "h3", old) is ResultCode.REQUEST_ID_EXPIRED
    assert simulation.claim(first, "h4", uuid7(simulation.wall_clock())) == Claimed()
    assert (
        simulation.claim(first, "h5", uuid7(simulation.wall_clock() + 1e6))
        is ResultCode.BAD_REQUEST
    )


def test_ids_without_a_time_are_kept_apart_from_those_that_are_swept() -> None:
    assert claim_key("f", "booking-7").startswith("o/")
    assert claim_key("f", uuid7(7200.0)).startswith("t/0000000002/")


@pytest.mark.parametrize("is_down", [False, True])
def test_a_leaving_entry_waits_a_bounded_time_for_its_outcomes(is_down: bool) -> None:
    simulation = ClaimSimulation()
    first = simulation.add_entry("a/1", exit_flush_seconds=4.0)
    simulation.claim(first, "h1")
    first.record(RecordOutcome("f", "r", int(ResultCode.OK), ANSWER))
    simulation.stores["a/1"].faults.down = is_down
    done_at: list[float] = []
    started_at = simulation.time.now()
    first.flush(lambda: done_at.append(simulation.time.now() - started_at))
    simulation.run(5.0)
    assert first.unrecorded == int(is_down)
    assert len(done_at) == 1 and (done_at[0] >= 4.0) == is_down


def test_a_holder_that_is_listed_but_never_records_is_given_up() -> None:
    simulation = ClaimSimulation()
    simulation.claim(simulation.add_entry("a/1"), "h1")
    other = simulation.add_entry("b/1", in_progress_seconds=60.0)
    assert simulation.claim(other, "h2") is ResultCode.IN_PROGRESS
    simulation.run(50.0)
    assert simulation.claim(other, "h3") is ResultCode.IN_PROGRESS
    simulation.run(10.0)
    assert simulation.claim(other, "h4") is ResultCode.OUTCOME_UNKNOWN
    assert simulation.claim(simulation.add_entry("a/2"), "h5") is ResultCode.OUTCOME_UNKNOWN
