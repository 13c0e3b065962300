"""Tests of the priority queue of deadlines."""

from pumicedeck.deadlines import STALE_ITEMS_ALLOWANCE, Deadlines


def test_a_later_due_time_replaces_the_former_and_keys_come_in_order() -> None:
    deadlines: Deadlines[str] = Deadlines()
    deadlines.set("a", 1.0)
    deadlines.set("b", 2.0)
    deadlines.set("a", 3.0)
    assert deadlines.next_deadline() == 2.0
    assert deadlines.pop_expired(3.0) == ["b", "a"]
    assert deadlines.next_deadline() is None


def test_replaced_due_times_do_not_pile_up() -> None:
    deadlines: Deadlines[int] = Deadlines()
    for number in range(10_000):
        deadlines.set(number, 1000.0)
        deadlines.remove(number)
    deadlines.set(-1, 5.0)
    assert len(deadlines) == 1 and deadlines.next_deadline() == 5.0
    assert len(deadlines._heap) <= STALE_ITEMS_ALLOWANCE + 2
