"""Tests of the fitted slope and that every figure is measured."""

from pumicedeck import capacity_slopes
from pumicedeck.capacity_slopes import Slope, measure_capacity


def test_slope_of_a_straight_line():
    slope = Slope("x", "s", (1, 2, 4, 8), (5.0, 7.0, 11.0, 19.0))
    assert abs(slope.per_item - 2.0) < 1e-9 and "slope 2.000" in slope.text()


def test_every_slope_is_measured(monkeypatch):
    for name in ("AGENT_SIZES", "PENDING_SIZES", "QUEUE_SIZES", "ENTRY_SIZES"):
        monkeypatch.setattr(capacity_slopes, name, (4, 8, 16, 32))
    monkeypatch.setattr(capacity_slopes, "REQUESTS_TIMED", 20)
    slopes = measure_capacity()
    assert len({each.name for each in slopes}) == 8
    assert all(value > 0 for each in slopes for value in each.values)
