"""Settings of the request state machines at entries and agents."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryRequestSettings:
    """Times in seconds and bounds of the requests at an entry.

    `max_pending` bounds the pending requests; a request beyond it is refused with the retry time
    `overload_retry_seconds`. `max_attempts` bounds the attempts of a request, and a request that
    no agent accepts is routed again after `retry_wait_seconds`. Retries are limited to
    `retry_ratio` per request in the long run and `retry_burst` beyond that.

    `claim_seconds` is the timeout of a claim. An attempt that has not started is revoked
    `revoke_seconds` before the deadline. An attempt waits `reattach_seconds` for a new session to
    its agent, that of a retryable request `reattach_idempotent_seconds`. An attempt that ends
    without a session is cancelled at the agent once there is a session again; at most
    `max_ended_without_session` are remembered for that. A draining entry accepts requests for
    `balancer_notice_seconds`.
    """

    max_pending: int = 20_000
    max_attempts: int = 6
    claim_seconds: float = 2.0
    revoke_seconds: float = 0.5
    reattach_seconds: float = 10.0
    reattach_idempotent_seconds: float = 1.0
    retry_wait_seconds: float = 0.1
    retry_ratio: float = 0.08
    retry_burst: float = 10.0
    overload_retry_seconds: float = 1.0
    balancer_notice_seconds: float = 5.0
    max_ended_without_session: int = 4096


@dataclass(frozen=True, slots=True)
class AgentRequestSettings:
    """Times in seconds and bounds of the attempts at an agent.

    Tombstones are kept for `tombstone_seconds`, at most `max_tombstones` of them. The agent keeps
    the floors of at most `max_entry_incarnations`. Answers that are not acknowledged are kept for
    `answer_retention_seconds` and up to `answer_retention_bytes` in total; one answer may have
    `max_answer_bytes`. If an entry has no session for `absent_entry_seconds`, its queued and
    idempotent requests are cancelled.

    A running attempt is stopped `budget_margin_seconds` after its time budget. The endpoint has
    `cancel_seconds` to confirm a cancellation before its slot is freed. A drain lasts at least
    `drain_notice_seconds` or its grace period, whichever is shorter, and answers of attempts that
    the drain stopped wait `drain_linger_seconds` for acknowledgement. Refusals of a draining agent
    carry the retry time `leaving_retry_seconds`.
    """

    tombstone_seconds: float = 600.0
    max_tombstones: int = 65_536
    max_entry_incarnations: int = 16_384
    answer_retention_seconds: float = 120.0
    answer_retention_bytes: int = 64 * 1024 * 1024
    max_answer_bytes: int = 16 * 1024 * 1024
    absent_entry_seconds: float = 60.0
    cancel_seconds: float = 5.0
    budget_margin_seconds: float = 1.0
    drain_notice_seconds: float = 3.0
    drain_linger_seconds: float = 2.0
    leaving_retry_seconds: float = 0.5
