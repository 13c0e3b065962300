"""When a scheduler that does not hear the store stops."""

from pumicedeck.peer_checks import PeerCheck, PeerReport

MINE = "front-1/aa"
OTHER = "front-2/bb"


def test_it_goes_on_while_every_peer_is_as_deaf():
    check = PeerCheck("front-1/")
    for second in range(10):
        words = [PeerReport(second + 1.0, MINE), PeerReport(second + 1.0, OTHER), None]
        assert check.evaluate(float(second), words) == ""


def test_it_stops_once_a_peer_that_hears_the_store_names_another_holder():
    check = PeerCheck("front-1/")
    assert check.evaluate(1.0, [PeerReport(0.1, MINE), None]) == ""
    assert OTHER in check.evaluate(1.3, [PeerReport(0.1, OTHER), None])


def test_the_word_of_a_peer_that_lost_the_store_later_is_not_believed():
    assert PeerCheck("front-1/").evaluate(1.0, [PeerReport(3.0, OTHER)]) == ""


def test_it_stops_when_nobody_answers_for_long():
    check = PeerCheck("front-1/")
    assert check.evaluate(1.0, [None, None]) == ""
    assert check.evaluate(2.0, [None, None]) == ""
    assert "nor a peer" in check.evaluate(2.6, [None, None])


def test_a_word_from_the_store_or_a_peer_ends_the_count():
    check = PeerCheck("front-1/")
    check.evaluate(1.0, [None])
    check.evaluate(2.0, [PeerReport(5.0, MINE)])
    assert check.evaluate(3.0, [None]) == ""
    check.reset()
    assert check.evaluate(4.0, [None]) == ""
