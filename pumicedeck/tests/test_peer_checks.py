"""Tests of when a scheduler without contact to the store stops."""

from pumicedeck.peer_checks import PeerCheck, PeerReport

MINE = "front-1/aa"
OTHER = "front-2/bb"
LONG_AGO = -10.0


def test_it_goes_on_while_no_peer_has_contact_with_the_store():
    check = PeerCheck("front-1/")
    for second in range(10):
        reports = [PeerReport(second + 1.0, MINE), PeerReport(second + 1.0, OTHER), None]
        assert check.evaluate(float(second), LONG_AGO, reports) == ""


def test_it_stops_once_a_peer_in_contact_with_the_store_reports_another_holder():
    check = PeerCheck("front-1/")
    assert check.evaluate(1.0, LONG_AGO, [PeerReport(0.1, MINE), None]) == ""
    assert OTHER in check.evaluate(1.3, LONG_AGO, [PeerReport(0.1, OTHER), None])


def test_the_report_of_a_peer_whose_last_contact_is_too_old_is_ignored():
    assert PeerCheck("front-1/").evaluate(1.0, LONG_AGO, [PeerReport(3.0, OTHER)]) == ""


def test_it_stops_when_no_peer_answers_for_longer_than_the_limit():
    check = PeerCheck("front-1/")
    assert check.evaluate(1.0, LONG_AGO, [None, None]) == ""
    assert check.evaluate(2.0, LONG_AGO, [None, None]) == ""
    assert "nor a peer" in check.evaluate(2.6, LONG_AGO, [None, None])


def test_an_answer_of_the_store_or_a_peer_restarts_the_isolation_time():
    check = PeerCheck("front-1/")
    check.evaluate(1.0, LONG_AGO, [None])
    check.evaluate(2.0, LONG_AGO, [PeerReport(5.0, MINE)])
    assert check.evaluate(3.0, LONG_AGO, [None]) == ""
    check.reset()
    assert check.evaluate(4.0, LONG_AGO, [None]) == ""


def test_it_goes_on_if_the_store_answered_while_the_peers_were_queried():
    """The scheduler stopped with a lease that its process had regained during the queries."""
    check = PeerCheck("front-1/")
    check.evaluate(1.0, LONG_AGO, [None])
    assert check.evaluate(2.6, 2.4, [None]) == ""
    assert check.evaluate(2.6, 2.4, [PeerReport(0.1, OTHER)]) == ""


def test_an_answer_of_the_store_during_the_queries_restarts_the_isolation_time():
    check = PeerCheck("front-1/")
    check.evaluate(1.0, LONG_AGO, [None])
    check.evaluate(2.0, 1.9, [None])
    assert check.evaluate(3.0, 1.9, [None]) == ""
    assert "nor a peer" in check.evaluate(4.6, 1.9, [None])
