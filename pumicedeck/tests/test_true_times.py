"""Which offset the gateways agree on, and when they change it."""

import pytest

from pumicedeck.duties.true_times import (
    CHANGE_DELAY_SECONDS,
    PERSISTENCE_SECONDS,
    AgreedTime,
    OffsetReport,
    TimeAgreement,
    decode_agreed_time,
    decode_offset_report,
)

OFFSET = 1_800_000_000.0
AGREED = AgreedTime(OFFSET, 0.0, OFFSET, 360_000_000)


def reports(*errors):
    return [OffsetReport(OFFSET + error, 2.0 + number) for number, error in enumerate(errors)]


def test_the_first_offset_waits_for_three_gateways_and_a_majority():
    """Guards against an offset that one VM with a stepped time of day decides."""
    agreement = TimeAgreement(5.0)
    assert agreement.decide(3.0, reports(2.0), 1, None) is None
    assert agreement.decide(3.5, reports(2.0, 2.0, 0.0), 8, None) is None
    agreed = agreement.decide(4.0, reports(2.0, 2.0, 0.0, 0.0, 0.0), 8, None)
    assert agreed.offset == OFFSET and agreed.first_window == 360_000_000


@pytest.mark.parametrize(
    ("members", "known", "expected"), [(1, 1, True), (2, 1, False), (9, 3, True)]
)
def test_after_two_seconds_three_or_all_members_suffice(members, known, expected):
    """Guards against no agreement at all while most members of earlier days are gone."""
    agreement = TimeAgreement(5.0)
    offsets = reports(*[0.0] * known)
    assert agreement.decide(3.0, offsets, members, None) is None
    assert (agreement.decide(5.1, offsets, members, None) is not None) is expected


def test_an_offset_in_force_outlasts_a_step_of_most_vms():
    agreement = TimeAgreement(5.0)
    for now in range(100, 110):
        assert agreement.decide(now, reports(2.0, 2.0, 0.0), 3, AGREED) is None
    assert agreement.decide(110.0, reports(0.0, 2.0, 0.0), 3, AGREED) is None
    assert agreement.decide(118.0, reports(2.0, 2.0, 0.0), 3, AGREED) is None


def test_an_offset_that_stays_wrong_is_replaced_at_all_gateways_at_one_moment():
    agreement = TimeAgreement(5.0)
    assert agreement.decide(100.0, reports(2.0, 2.0, 2.1), 3, AGREED) is None
    now = 100.0 + PERSISTENCE_SECONDS
    changed = agreement.decide(now, reports(2.0, 2.0, 2.1), 3, AGREED)
    assert changed.since == now + CHANGE_DELAY_SECONDS
    assert changed.true_seconds(changed.since - 0.1) == OFFSET + changed.since - 0.1
    assert changed.true_seconds(changed.since) == OFFSET + 2.0 + changed.since
    assert agreement.decide(now + 1.0, reports(0.0, 0.0, 0.0), 3, changed) is None


@pytest.mark.parametrize("errors", [(0.4, 0.4, 0.4), (9.0,)])
def test_small_differences_and_minorities_change_nothing(errors):
    agreement = TimeAgreement(5.0)
    for now in range(100, 160, 5):
        assert agreement.decide(now, reports(*errors), 3, AGREED) is None


def test_rows_can_be_read_back_and_invalid_ones_are_left_out():
    assert decode_agreed_time(AGREED.encode()) == AGREED
    report = OffsetReport(OFFSET, 3.0)
    assert decode_offset_report(report.encode()) == report
    assert decode_agreed_time(b"{}") is None and decode_offset_report(b"[1]") is None
