"""Tests of the measurement of request costs."""

from pumicedeck.request_costs import StateMachineMeter, measure_claims


def test_a_request_takes_four_messages() -> None:
    costs = StateMachineMeter().measure(1000)
    assert costs.entry_microseconds > 0.0 and costs.agent_microseconds > 0.0
    assert 4.0 <= costs.messages < 5.0


def test_a_claim_takes_two_rows_and_fewer_transactions_the_longer_outcomes_wait() -> None:
    short_wait = measure_claims(4, 20.0, 0.1, 30.0, 1)
    long_wait = measure_claims(4, 20.0, 2.0, 30.0, 1)
    assert short_wait.rows == long_wait.rows == 2.0
    assert long_wait.transactions < short_wait.transactions <= 2.0
    assert long_wait.reads == 0.0
