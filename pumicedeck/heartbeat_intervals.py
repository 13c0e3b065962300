"""Computes the heartbeat interval of a process from the number of its sessions.

Heartbeat traffic of a process with many sessions stays within its node's control budget.
"""

SESSION_ROUND_BYTES = 300
HEARTBEAT_BYTES_PER_SECOND = 12_800
MAX_INTERVAL_SECONDS = 15.0


def heartbeat_interval(sessions: int) -> float:
    """Return the shortest interval, in seconds, that keeps all sessions within the control budget.

    The interval is at most MAX_INTERVAL_SECONDS.
    """
    interval = sessions * SESSION_ROUND_BYTES / HEARTBEAT_BYTES_PER_SECOND
    return min(MAX_INTERVAL_SECONDS, interval)
