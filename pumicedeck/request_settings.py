"""Times and bounds of the request state machines."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryRequestSettings:
    """Times in seconds and bounds of the entry's pending requests."""

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
    max_orphans: int = 4096


@dataclass(frozen=True, slots=True)
class AgentRequestSettings:
    """Times in seconds and bounds of the agent's memory."""

    tombstone_seconds: float = 600.0
    max_tombstones: int = 65_536
    max_entry_incarnations: int = 16_384
    answer_retention_seconds: float = 120.0
    answer_retention_bytes: int = 64 * 1024 * 1024
    max_answer_bytes: int = 16 * 1024 * 1024
    orphan_seconds: float = 60.0
    cancel_seconds: float = 5.0
    budget_margin_seconds: float = 1.0
    drain_notice_seconds: float = 3.0
    drain_linger_seconds: float = 2.0
    leaving_retry_seconds: float = 0.5
