"""Tests of fair queueing: shares, classes, bounds, refusals and new limits for a filled queue."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Limits, RequestClass
from pumicedeck.fair_queues import FIRM_QUEUE_LENGTH, FairQueue
from pumicedeck.messages import AttemptId, Dispatch
from pumicedeck.results import ResultCode

INTERACTIVE, BATCH, ROLLOUT = RequestClass


def dispatch(sequence, firm="a", request_class=ROLLOUT, tokens=100, **fields):
    values = dict(
        attempt=AttemptId("e/1", sequence),
        agent="g/1",
        request_id=str(sequence),
        entry_name=f"{firm}-{request_class}",
        firm=firm,
        request_class=request_class,
        idempotent=True,
        streamed=False,
        path="/",
        body=b"",
        budget=1e6,
        queue_budget=1e6,
        expected_tokens=tokens,
    )
    return Dispatch(**{**values, **fields})


def entry(firm, request_class=ROLLOUT, **fields):
    return CatalogueEntry(f"{firm}-{request_class}", firm, request_class, ("p",), **fields)


def serve(queue, count):
    served = []
    for _ in range(count):
        found = queue.pop(0.0)
        queue.finished(1.0, found, found.expected_tokens)
        served.append(found)
    return served


def test_firms_get_their_shares_in_tokens():
    queue = FairQueue()
    queue.configure(0.0, Catalogue(1, (entry("a", share=3.0), entry("b", share=1.0))))
    for number in range(400):
        queue.push(0.0, dispatch(2 * number, "a", tokens=50))
        queue.push(0.0, dispatch(2 * number + 1, "b", tokens=200))
    tokens = {"a": 0, "b": 0}
    for each in serve(queue, 200):
        tokens[each.firm] += each.expected_tokens
    assert abs(tokens["a"] - 3 * tokens["b"]) <= 3 * 200 + 50


def test_idle_firm_gains_little_credit():
    queue = FairQueue()
    for number in range(50):
        queue.push(0.0, dispatch(number, "a"))
    serve(queue, 20)
    for number in range(100, 150):
        queue.push(0.0, dispatch(number, "b"))
    firms = [each.firm for each in serve(queue, 20)]
    assert firms.count("a") in (9, 10, 11)


def test_interactive_goes_first_and_rollouts_do_not_starve():
    queue = FairQueue()
    for number in range(200):
        queue.push(0.0, dispatch(number, request_class=ROLLOUT))
        queue.push(0.0, dispatch(1000 + number, request_class=INTERACTIVE))
    classes = [each.request_class for each in serve(queue, 102)]
    assert classes[:10] == [INTERACTIVE] * 10
    assert classes.count(ROLLOUT) == 6


def test_priority_orders_inside_an_entry_only():
    queue = FairQueue()
    queue.push(0.0, dispatch(1, "a", priority=0))
    queue.push(0.0, dispatch(2, "a", priority=9))
    queue.push(0.0, dispatch(3, "b", priority=0))
    served = [each.attempt.sequence for each in serve(queue, 3)]
    assert served == [2, 3, 1]


def test_true_tokens_correct_the_account():
    queue = FairQueue()
    for number in range(20):
        queue.push(0.0, dispatch(number, "underestimating", tokens=1))
        queue.push(0.0, dispatch(100 + number, "exact", tokens=100))
    firms = []
    for _ in range(20):
        found = queue.pop(0.0)
        queue.finished(1.0, found, 100)
        firms.append(found.firm)
    assert firms.count("underestimating") in (9, 10, 11)


def test_one_firm_cannot_fill_the_queue():
    queue = FairQueue()
    for number in range(FIRM_QUEUE_LENGTH):
        assert queue.push(0.0, dispatch(number, "a")).is_ok()
    refused = queue.push(0.0, dispatch(9999, "a")).unwrap_err()
    assert refused.code is ResultCode.OVERLOADED and refused.retry_after > 0
    assert queue.push(0.0, dispatch(10000, "b")).is_ok()


def test_refuses_early_by_the_expected_wait():
    queue = FairQueue(slots=1)
    queue.pop(0.0)
    waits = [queue.push(0.0, dispatch(each, queue_budget=5.0)) for each in range(50)]
    refused = next(each for each in waits if each.is_err()).unwrap_err()
    accepted = sum(each.is_ok() for each in waits)
    assert 0 < refused.retry_after and accepted * 100 / queue.service_rate <= 5.0 + 2.0
    assert queue.push(0.0, dispatch(99, "b", queue_budget=5.0)).is_ok()


def test_reserved_and_express_slots_take_interactive_work_only():
    queue = FairQueue(slots=4, reserved=1, express=2)
    for number in range(20):
        queue.push(0.0, dispatch(number, request_class=ROLLOUT))
    assert sum(queue.pop(0.0) is not None for _ in range(9)) == 3
    for number in range(20):
        queue.push(0.0, dispatch(100 + number, request_class=INTERACTIVE))
    popped = [each for each in (queue.pop(0.0) for _ in range(9)) if each]
    assert [each.request_class for each in popped] == [INTERACTIVE] * 3
    assert all(each.priority > 2 for each in popped)


def test_express_slots_take_what_a_firm_within_its_share_has_waiting():
    queue = FairQueue(slots=4, express=4)
    for number in range(20):
        queue.push(0.0, dispatch(number, "heavy"))
    assert sum(queue.pop(0.0) is not None for _ in range(9)) == 4
    for number in range(20):
        queue.push(0.0, dispatch(100 + number, "b"))
    popped = [each for each in (queue.pop(0.0) for _ in range(9)) if each]
    assert [each.firm for each in popped] == ["b", "b"]
    assert min(each.priority for each in popped) > 2


def test_configure_applies_to_the_standing_queue():
    queue = FairQueue()
    for number in range(10):
        queue.push(0.0, dispatch(number, "a"))
        queue.push(0.0, dispatch(100 + number, "removed"))
    limits = Limits(concurrency=6, queue_seconds=2.0)
    refused = queue.configure(1.0, Catalogue(2, (entry("a", limits=limits),)))
    assert sorted(each.firm for each in refused) == ["a"] * 4 + ["removed"] * 10
    assert queue.expire(1.9) == [] and len(queue.expire(2.0)) == 6
    assert len(queue) == 0 and queue.queued_tokens == 0


def test_service_rate_follows_the_endpoint_and_returns_while_idle():
    queue = FairQueue(slots=1)
    nominal, now = queue.service_rate, 0.0
    for number in range(20):
        queue.push(now, dispatch(number))
        found = queue.pop(now)
        now += 10 * found.expected_tokens / nominal
        queue.finished(now, found, found.expected_tokens)
    assert queue.service_rate < nominal / 5
    queue.expire(now + 300.0)
    assert queue.service_rate > nominal / 2


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["push", "pop", "remove", "finish", "expire"]),
        st.integers(0, 30),
        st.sampled_from("abc"),
        st.sampled_from(list(RequestClass)),
    ),
    max_size=120,
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(OPERATIONS)
def test_every_dispatch_leaves_exactly_once(operations):
    queue = FairQueue(slots=3, reserved=1, express=1)
    waiting, running, clock = {}, [], 0.0
    for number, (name, pick, firm, request_class) in enumerate(operations):
        clock += 1.0
        if name == "push":
            each = dispatch(number, firm, request_class, 1 + pick, queue_budget=60.0 + pick)
            waiting[each.attempt] = each
            assert queue.push(clock, each).is_ok()
        elif name == "pop":
            found = queue.pop(clock)
            if found:
                expected = waiting.pop(found.attempt)
                assert replace(found, priority=0) == expected
                running.append(found)
        elif name == "finish" and running:
            queue.finished(clock, running.pop(pick % len(running)), pick)
        elif name == "remove" and waiting:
            attempt = list(waiting)[pick % len(waiting)]
            assert queue.remove(clock, attempt) == waiting.pop(attempt)
        elif name == "expire":
            for each in queue.expire(clock):
                waiting.pop(each.attempt)
        assert len(queue) == len(waiting) and len(running) <= 3 + queue.express_slots
        assert queue.queued_tokens == sum(each.expected_tokens for each in waiting.values())
