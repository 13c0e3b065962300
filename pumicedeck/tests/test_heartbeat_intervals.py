"""Tests that heartbeats stay within the control budget of a node."""

import pytest

from pumicedeck.heartbeat_intervals import SESSION_ROUND_BYTES, heartbeat_interval
from pumicedeck.scale_processes import session_bytes_per_second

NODE_BYTES_PER_SECOND = 18_000
SHORTEST_SECONDS = 1.0


@pytest.mark.parametrize("sessions", [1, 45, 127, 253, 380, 600])
def test_heartbeats_of_any_number_of_sessions_fit_the_budget(sessions: int) -> None:
    interval = max(SHORTEST_SECONDS, heartbeat_interval(sessions))
    assert sessions * session_bytes_per_second(interval) <= NODE_BYTES_PER_SECOND


def test_the_size_of_a_heartbeat_is_not_underestimated() -> None:
    assert session_bytes_per_second(1.0) <= SESSION_ROUND_BYTES
