"""Creates request ids: UUIDs of version 7, which contain their creation time."""

from collections.abc import Callable
from uuid import UUID

MILLISECONDS_PER_SECOND = 1000
TIME_BITS = 48
RANDOM_A_BITS = 12
RANDOM_B_BITS = 62
VERSION = 7
VARIANT = 0b10


def make_request_id(unix_seconds: float, random_bits: Callable[[int], int]) -> str:
    """Return an id with a creation time in Unix seconds, in the layout of RFC 9562, section 5.7.

    `random_bits` returns an integer of the given number of random bits.
    """
    milliseconds = int(unix_seconds * MILLISECONDS_PER_SECOND) & ((1 << TIME_BITS) - 1)
    value = (milliseconds << 4 | VERSION) << RANDOM_A_BITS | random_bits(RANDOM_A_BITS)
    value = (value << 2 | VARIANT) << RANDOM_B_BITS | random_bits(RANDOM_B_BITS)
    return str(UUID(int=value))
