"""Tests of orders to an engine: fencing, the wait for a predecessor and lost replies."""

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
LOST_REPLY = Err(Failure(ResultCode.ORDER_UNKNOWN))


def _state(version: int = 4, last_order: str = "", role: str = "sampler", incarnation: str = "e#0"):
    return EngineState((LoadedModel("m", version),), role, 0, 0, 0, last_order, False, incarnation)


def _create_sender(checks_fencing: bool = True, predecessor: str = "") -> OrderSender:
    lease = LeaseHolder("e", "me")
    lease.acquire(0.0)
    lease.lease_read(0.0, Ok(Row(LEASE_TABLE, "e", b"", 0)))
    lease.lease_committed(0.0, Ok(Committed((1,))))
    sender = OrderSender(lease, checks_fencing)
    sender.lease_acquired(0.0, predecessor)
    return sender


def _submit_swap(sender: OrderSender, now: float = 1.0) -> EngineOrder:
    assert sender.submit(now, SWAP) == [ReadState()]
    actions = sender.state_read(now, Ok(_state()))
    assert isinstance(actions[0], StateConfirmed)
    assert isinstance(actions[1], SendOrder)
    return actions[1].order


def test_an_order_carries_the_fencing_number_and_ends_once() -> None:
    sender = _create_sender()
    order = _submit_swap(sender)
    assert order.fencing == 1
    done = sender.order_replied(2.0, order.order_id, Ok(_state(5, order.order_id)))
    assert [type(action) for action in done] == [OrderEnded]
    assert sender.order_replied(3.0, order.order_id, Ok(_state(5))) == []
    assert sender.idle


def test_a_new_holder_waits_for_old_orders_if_the_engine_ignores_fencing() -> None:
    sender = _create_sender(checks_fencing=False, predecessor="old")
    assert sender.submit(1.0, SWAP) == []
    assert sender.next_wakeup() == 10.0
    assert sender.on_timer(9.9) == []
    assert sender.on_timer(10.0) == [ReadState()]
    assert isinstance(sender.state_read(10.1, Ok(_state()))[1], SendOrder)


def test_a_state_read_before_the_wait_was_over_allows_no_order() -> None:
    sender = _create_sender(checks_fencing=False, predecessor="old")
    assert sender.refresh(9.9) == [ReadState()]
    sender.submit(9.95, SWAP)
    assert sender.state_read(10.2, Ok(_state()))[1:] == [ReadState()]


def test_a_holder_past_its_lease_sends_nothing() -> None:
    sender = _create_sender()
    assert sender.submit(20.0, SWAP) == []
    assert sender.on_timer(21.0) == []


@pytest.mark.parametrize("took_effect", [True, False])
def test_after_a_lost_reply_the_state_is_read_back(took_effect) -> None:
    sender = _create_sender()
    order = _submit_swap(sender)
    assert sender.order_replied(2.0, order.order_id, LOST_REPLY) == [
        OrderOutcomeUnknown(order),
        ReadState(),
    ]
    assert sender.outcome_unknown
    early = sender.state_read(2.1, Ok(_state(5, order.order_id) if took_effect else _state()))
    if took_effect:
        assert [type(action) for action in early] == [OrderEnded]
        return
    assert early == []
    assert sender.next_wakeup() == 11.0
    assert sender.on_timer(11.0) == [ReadState()]
    late = sender.state_read(11.1, Ok(_state()))
    assert late[1].outcome.unwrap_err().code == ResultCode.ORDER_UNKNOWN


def test_a_restarted_engine_does_not_carry_out_earlier_orders() -> None:
    sender = _create_sender()
    order = _submit_swap(sender)
    sender.order_replied(2.0, order.order_id, LOST_REPLY)
    assert sender.state_read(2.1, Err(Failure(ResultCode.ENDPOINT_FAILED))) == []
    assert sender.on_timer(3.1) == [ReadState()]
    late = sender.state_read(3.2, Ok(_state(1, incarnation="e#1")))
    assert isinstance(late[0], StateConfirmed)
    assert late[1].outcome.is_err()


def test_a_refusal_by_fencing_is_tried_again_only_after_the_state_was_read() -> None:
    sender = _create_sender()
    order = _submit_swap(sender)
    assert sender.order_replied(2.0, order.order_id, Err(Failure(ResultCode.FENCED))) == []
    assert sender.on_timer(3.0) == [ReadState()]
    assert isinstance(sender.state_read(3.1, Ok(_state()))[1], SendOrder)


def test_a_partial_swap_ends_the_order_and_a_newer_version_replaces_a_waiting_one() -> None:
    sender = _create_sender()
    order = _submit_swap(sender)
    newer = EngineOrder("o2", 0, OrderKind.SWAP_VERSION, "m", 6)
    newest = EngineOrder("o3", 0, OrderKind.SWAP_VERSION, "m", 7)
    assert sender.submit(1.5, newer) == []
    assert sender.submit(1.6, newest) == []
    actions = sender.order_replied(2.0, order.order_id, Err(Failure(ResultCode.SWAP_FAILED)))
    assert actions[0].outcome.unwrap_err().code == ResultCode.SWAP_FAILED
    assert actions[1].order.version == 7


def test_a_role_change_with_a_lost_reply_is_confirmed_by_the_role() -> None:
    sender = _create_sender()
    order = EngineOrder("o1", 0, OrderKind.CHANGE_ROLE, "", role="prefill")
    sender.submit(1.0, order)
    sent = sender.state_read(1.0, Ok(_state()))[1].order
    sender.order_replied(2.0, sent.order_id, LOST_REPLY)
    done = sender.state_read(2.1, Ok(_state(role="prefill", last_order=sent.order_id)))
    assert done[0].outcome.is_ok()
