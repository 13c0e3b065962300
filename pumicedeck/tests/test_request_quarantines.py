"""Which crashes of endpoints count against the request that they happened under.

Guards against requests that are kept from endpoints although they crash none: they ran beside one
that does, their connection broke while the endpoint lived, or many endpoints ended at once.
"""

import pytest

from pumicedeck.request_quarantines import (
    Crash,
    QuarantineSettings,
    RequestQuarantine,
    decode_crash,
    encode_crash,
)

SETTINGS = QuarantineSettings(max_crashes=3, lifetime_seconds=100.0)


def crash(endpoint, began_at, ended_at, fingerprint="f"):
    return Crash(fingerprint, endpoint, 1, began_at, ended_at)


def quarantine(*crashes):
    made = RequestQuarantine(SETTINGS)
    for each in crashes:
        made.add(each)
    return made


ONE_AFTER_THE_OTHER = (crash("a", 0.0, 0.1), crash("b", 0.12, 0.2), crash("c", 5.0, 5.1))


def test_three_crashes_one_after_the_other_quarantine_a_request():
    assert quarantine(*ONE_AFTER_THE_OTHER[:2]).seconds_left("f", 6.0) == 0
    known = quarantine(*reversed(ONE_AFTER_THE_OTHER))
    assert known.seconds_left("f", 6.0) == pytest.approx(94.1)
    assert known.seconds_left("other", 6.0) == 0


def test_a_quarantine_lasts_from_the_third_last_crash_that_counts():
    known = quarantine(*ONE_AFTER_THE_OTHER)
    assert known.seconds_left("f", 100.0) == pytest.approx(0.1)
    assert known.seconds_left("f", 100.2) == 0
    assert known.expired(100.3) == list(ONE_AFTER_THE_OTHER[:2])


def test_endpoints_that_end_at_once_under_overlapping_runs_count_once():
    known = quarantine(*(crash(name, 1.0 + n / 10, 2.0 + n / 50) for n, name in enumerate("abcd")))
    assert known.seconds_left("f", 3.0) == 0


def test_one_endpoint_counts_once_however_many_runs_it_ended():
    known = quarantine(*(crash("a", n, n + 0.1) for n in range(5)))
    assert known.seconds_left("f", 5.0) == 0


def test_clocks_that_differ_by_some_milliseconds_hide_no_crash():
    known = quarantine(crash("a", 0.0, 0.10), crash("b", 0.08, 0.16), crash("c", 0.13, 0.2))
    assert known.seconds_left("f", 1.0) > 0


def test_an_answer_refutes_only_earlier_crashes_of_the_same_incarnation():
    first, second, _ = ONE_AFTER_THE_OTHER
    known = quarantine(*ONE_AFTER_THE_OTHER)
    assert known.refuted_by("a", 1, 0.5) == [first]
    assert known.refuted_by("a", 2, 0.5) == [] and known.refuted_by("a", 1, 0.2) == []
    assert known.refuted_by("d", 1, 0.5) == []
    known.remove(first.key)
    known.remove(first.key)
    assert known.under("f")[0] == second and known.seconds_left("f", 6.0) == 0


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"fingerprint": "f", "endpoint": "a"}'])
def test_a_row_that_cannot_be_read_reports_no_crash(value):
    assert decode_crash(value) is None
    assert decode_crash(encode_crash(ONE_AFTER_THE_OTHER[0])) == ONE_AFTER_THE_OTHER[0]


def test_a_row_of_the_longest_names_fits_a_key():
    assert len(Crash("f" * 24, "i-" + "e" * 60, 1_779_323_029_967, 0.0, 0.0).key) < 200


def test_a_request_that_runs_at_several_endpoints_at_once_is_quarantined_by_its_next_round():
    first = [crash(name, 1.0, 1.1 + n * 0.06) for n, name in enumerate("ab")]
    assert quarantine(*first).seconds_left("f", 2.0) == 0
    assert quarantine(*first, crash("c", 4.0, 4.1)).seconds_left("f", 5.0) > 0
