"""Tests that repeated log lines of one event are limited and the omitted ones are reported."""

import json

from loguru import logger

from pumicedeck.log_budgets import BURST_LINES, LogBudget
from pumicedeck.logs import set_up_event_logs


def test_a_burst_is_written_in_full_and_later_lines_at_the_steady_rate():
    budget = LogBudget(lines_per_second=10.0, burst_lines=50.0)
    assert sum(budget.admit("refused", 5.0) for _ in range(80)) == 50
    assert budget.admit("started", 5.0)
    written_count = sum(budget.admit("refused", 5.0 + n / 1000) for n in range(1, 2001))
    assert 19 <= written_count <= 20
    omitted_counts = budget.take_omitted_counts(7.0)
    assert omitted_counts == {"refused": 30 + 2000 - written_count}
    assert budget.take_omitted_counts(7.0) == {}


def test_a_clock_that_goes_backwards_admits_no_extra_lines():
    budget = LogBudget(lines_per_second=10.0, burst_lines=2.0)
    assert [budget.admit("e", at) for at in (9.0, 9.0, 3.0, 3.05)] == [True, True, False, False]


def test_reports_come_at_most_once_a_second():
    budget = LogBudget(burst_lines=1.0, lines_per_second=0.0)
    budget.admit("e", 1.0)
    budget.admit("e", 1.0)
    assert budget.take_omitted_counts(1.0) == {"e": 1}
    budget.admit("e", 1.5)
    assert budget.take_omitted_counts(1.9) == {} and budget.take_omitted_counts(2.0) == {"e": 1}


def test_omitted_lines_are_reported_with_their_number():
    lines = []
    set_up_event_logs("f1", "INFO", lines.append)
    try:
        for _ in range(int(BURST_LINES) + 400):
            logger.bind(module="m").info("refused", request="r")
    finally:
        logger.remove()
    documents = [json.loads(line) for line in lines]
    written = sum(1 for document in documents if document["event"] == "refused")
    assert BURST_LINES <= written < BURST_LINES + 400
    assert any(
        document["event"] == "log lines left out" and document["refused"] for document in documents
    )
