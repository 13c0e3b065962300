"""Chooses the heartbeat interval of a process from the number of its sessions."""

SESSION_ROUND_BYTES = 300
HEARTBEAT_BYTES_PER_SECOND = 12_800
MAX_INTERVAL_SECONDS = 15.0


def heartbeat_interval(sessions: int) -> float:
    """Return the shortest interval at which all sessions fit the node's control budget."""
    interval = sessions * SESSION_ROUND_BYTES / HEARTBEAT_BYTES_PER_SECOND
    return min(MAX_INTERVAL_SECONDS, interval)
