"""Tests of orders: fenced, waited out, read back, never by a holder past its lease."""

import pytest
from result import Err, Ok

from pumicedeck.leases import LEASE_TABLE, LeaseHolder
from pumicedeck.orders import (
    OrderEnded,
    OrderOutcomeUnknown,
    OrderSender,
    ReadState,
    SendOrder,
    StateConfirmed,
)
from pumicedeck.platform_interfaces import (
    Committed,
    EngineOrder,
    EngineState,
    LoadedModel,
    OrderKind,
    Row,
)
from pumicedeck.results import Failure, ResultCode

SWAP = EngineOrder("o1", 0, OrderKind.SWAP_VERSION, "m", 5)
LOST = Err(Failure(ResultCode.ORDER_UNKNOWN))


def _state(version: int = 4, last: str = "", role: str = "sampler", run: str = "e#0"):
    return EngineState((LoadedModel("m", version),), role, 0, 0, 0, last, False, run)


def _desk(checks: bool = True, predecessor: str = "") -> OrderSender:
    lease = LeaseHolder("e", "me")
    lease.acquire(0.0)
    lease.lease_read(0.0, Ok(Row(LEASE_TABLE, "e", b"", 0)))
    lease.lease_committed(0.0, Ok(Committed((1,))))
    desk = OrderSender(lease, checks)
    desk.lease_acquired(0.0, predecessor)
    return desk


def _sent(desk: OrderSender, now: float = 1.0) -> EngineOrder:
    assert desk.submit(now, SWAP) == [ReadState()]
    actions = desk.state_read(now, Ok(_state()))
    assert isinstance(actions[0], StateConfirmed)
    assert isinstance(actions[1], SendOrder)
    return actions[1].order


def test_an_order_carries_the_fencing_number_and_ends_once() -> None:
    desk = _desk()
    order = _sent(desk)
    assert order.fencing == 1
    done = desk.order_replied(2.0, order.order_id, Ok(_state(5, order.order_id)))
    assert [type(each) for each in done] == [OrderEnded]
    assert desk.order_replied(3.0, order.order_id, Ok(_state(5))) == []
    assert desk.idle


def test_a_new_holder_waits_out_the_old_orders_of_an_engine_that_ignores_numbers() -> None:
    desk = _desk(checks=False, predecessor="old")
    assert desk.submit(1.0, SWAP) == []
    assert desk.next_wakeup() == 10.0
    assert desk.on_timer(9.9) == []
    assert desk.on_timer(10.0) == [ReadState()]
    assert isinstance(desk.state_read(10.1, Ok(_state()))[1], SendOrder)


def test_a_state_read_before_the_wait_was_over_is_not_believed() -> None:
    desk = _desk(checks=False, predecessor="old")
    assert desk.refresh(9.9) == [ReadState()]
    desk.submit(9.95, SWAP)
    assert desk.state_read(10.2, Ok(_state()))[1:] == [ReadState()]


def test_a_holder_past_its_lease_sends_nothing() -> None:
    desk = _desk()
    assert desk.submit(20.0, SWAP) == []
    assert desk.on_timer(21.0) == []


@pytest.mark.parametrize("took_effect", [True, False])
def test_after_a_lost_reply_the_state_is_read_back(took_effect) -> None:
    desk = _desk()
    order = _sent(desk)
    assert desk.order_replied(2.0, order.order_id, LOST) == [
        OrderOutcomeUnknown(order),
        ReadState(),
    ]
    assert desk.outcome_unknown
    early = desk.state_read(2.1, Ok(_state(5, order.order_id) if took_effect else _state()))
    if took_effect:
        assert [type(each) for each in early] == [OrderEnded]
        return
    assert early == []
    assert desk.next_wakeup() == 11.0
    assert desk.on_timer(11.0) == [ReadState()]
    late = desk.state_read(11.1, Ok(_state()))
    assert late[1].outcome.unwrap_err().code == ResultCode.ORDER_UNKNOWN


def test_a_restarted_engine_cannot_carry_out_what_its_earlier_run_got() -> None:
    desk = _desk()
    order = _sent(desk)
    desk.order_replied(2.0, order.order_id, LOST)
    assert desk.state_read(2.1, Err(Failure(ResultCode.ENDPOINT_FAILED))) == []
    assert desk.on_timer(3.1) == [ReadState()]
    late = desk.state_read(3.2, Ok(_state(1, run="e#1")))
    assert isinstance(late[0], StateConfirmed)
    assert late[1].outcome.is_err()


def test_a_refusal_by_fencing_is_tried_again_only_after_the_state_was_read() -> None:
    desk = _desk()
    order = _sent(desk)
    assert desk.order_replied(2.0, order.order_id, Err(Failure(ResultCode.FENCED))) == []
    assert desk.on_timer(3.0) == [ReadState()]
    assert isinstance(desk.state_read(3.1, Ok(_state()))[1], SendOrder)


def test_a_partial_swap_ends_the_order_and_a_newer_version_replaces_a_waiting_one() -> None:
    desk = _desk()
    order = _sent(desk)
    newer = EngineOrder("o2", 0, OrderKind.SWAP_VERSION, "m", 6)
    newest = EngineOrder("o3", 0, OrderKind.SWAP_VERSION, "m", 7)
    assert desk.submit(1.5, newer) == []
    assert desk.submit(1.6, newest) == []
    actions = desk.order_replied(2.0, order.order_id, Err(Failure(ResultCode.SWAP_FAILED)))
    assert actions[0].outcome.unwrap_err().code == ResultCode.SWAP_FAILED
    assert actions[1].order.version == 7


def test_a_change_of_role_is_settled_by_the_role() -> None:
    desk = _desk()
    order = EngineOrder("o1", 0, OrderKind.CHANGE_ROLE, "", role="prefill")
    desk.submit(1.0, order)
    sent = desk.state_read(1.0, Ok(_state()))[1].order
    desk.order_replied(2.0, sent.order_id, LOST)
    done = desk.state_read(2.1, Ok(_state(role="prefill", last=sent.order_id)))
    assert done[0].outcome.is_ok()
