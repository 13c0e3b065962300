"""Counts and durations of calls by route, in the text exposition format."""

import pytest

from pumicedeck.accounts.account_figures import (
    MAX_COUNTED_ACCOUNTS,
    MAX_NAMED_ACCOUNTS,
    AccountFigures,
)
from pumicedeck.call_figures import CallMetrics, CallSeries, gauge_line, gauge_lines

SERIES = CallSeries('a "b"', "idempotent")


def test_calls_are_counted_by_outcome_and_their_durations_recorded():
    metrics = CallMetrics()
    for number in range(1, 101):
        metrics.record_end(SERIES, "200" if number % 4 else "503", number / 1000)
    lines = dict(line.rsplit(" ", 1) for line in metrics.lines())
    labels = 'route="a \\"b\\"",kind="idempotent"'
    assert lines[f'pumicedeck_calls_total{{{labels},outcome="200"}}'] == "75"
    assert lines[f'pumicedeck_calls_total{{{labels},outcome="503"}}'] == "25"
    assert lines[f"pumicedeck_call_seconds_count{{{labels}}}"] == "100"
    assert float(lines[f"pumicedeck_call_seconds_sum{{{labels}}}"]) == pytest.approx(5.05)
    assert float(lines[f'pumicedeck_call_seconds{{{labels},quantile="0.5"}}']) == pytest.approx(
        0.05, rel=0.02
    )


def test_a_call_beyond_the_longest_duration_is_counted_as_the_longest():
    metrics = CallMetrics()
    metrics.record_end(SERIES, "caller left", 1e6)
    assert any('quantile="0.99"} 120' in line for line in metrics.lines())


def test_gauges_have_their_label():
    assert gauge_line("ready", 1) == "pumicedeck_ready 1"
    assert gauge_lines("waiting_items", "model", {"b": 2, "a": 1}) == [
        'pumicedeck_waiting_items{model="a"} 1',
        'pumicedeck_waiting_items{model="b"} 2',
    ]


def test_the_figures_of_accounts_are_bounded():
    # 85 accounts a gateway, or names that change with each configuration, must not add series.
    metrics = CallMetrics()
    for number in range(85):
        for _ in range(number + 1):
            metrics.record_end(SERIES, "200", 0.1, f"a{number:02}")
    metrics.record_end(SERIES, "200", 0.1)
    lines = dict(line.rsplit(" ", 1) for line in metrics.lines() if "account" in line)
    assert len(lines) == MAX_NAMED_ACCOUNTS + 1
    assert lines['pumicedeck_account_calls{account="a84"}'] == "85"
    assert lines["pumicedeck_other_accounts_calls"] == str(sum(range(66)))


def test_without_accounts_there_is_no_further_metric():
    metrics = CallMetrics()
    metrics.record_end(SERIES, "200", 0.1)
    assert not any("account" in line for line in metrics.lines())


def test_names_of_accounts_that_come_and_go_take_bounded_memory():
    figures = AccountFigures()
    for number in range(5 * MAX_COUNTED_ACCOUNTS):
        figures.record_end("stays")
        figures.record_end(f"a{number}")
    assert figures.named["stays"] == 5 * MAX_COUNTED_ACCOUNTS
    assert sum(figures.named.values()) + figures.others == 10 * MAX_COUNTED_ACCOUNTS
    assert len(figures._counts) <= 2 * MAX_COUNTED_ACCOUNTS
