"""Spaces the requests of all gateways to an endpoint that names a request limit; free of I/O.

The load is an endpoint in need that accepts a few requests per second from all gateways together,
while one gateway has the hundred reward calls of a step to send and the others a call now and then.
Each request needs a permit, and a row that all gateways share has the time of the next one. A
gateway that cannot reach the store uses local permits only: time slots that belong to its rank
among the gateways, so that gateways which know nothing of one another stay within the limit.
"""

import json
import math
from dataclasses import dataclass
from zlib import crc32

from pumicedeck.json_documents import decode_document, read_number

# Requests that may follow at once after an endpoint got none for a while.
BURST_REQUESTS = 2
# An endpoint that accepts nothing still gets a request at times: its answer tells when that ends.
MIN_REQUESTS_PER_SECOND = 0.25


@dataclass(frozen=True, slots=True)
class Permit:
    """A permit valid from `at`; the next one is valid from `next_at`; seconds of one clock."""

    at: float
    next_at: float


def spacing_seconds(limit: float) -> float:
    """Return the seconds between two permits; `limit` is in requests per second."""
    return 1.0 / max(limit, MIN_REQUESTS_PER_SECOND)


def choose_permit(next_at: float, now: float, limit: float) -> Permit:
    """Return the next permit if the shared row says `next_at`."""
    spacing = spacing_seconds(limit)
    earliest = max(next_at, now - (BURST_REQUESTS - 1) * spacing)
    return Permit(max(now, earliest), earliest + spacing)


def choose_local_permit(
    after: float, limit: float, endpoint: str, vm: str, members: frozenset[str]
) -> Permit:
    """Return the first permit from `after` on that `vm` may use without coordination.

    The time slots of an endpoint go round the gateways `members` in the order of their names;
    different endpoints begin with different gateways. All gateways must use the same clock.
    """
    spacing = spacing_seconds(limit)
    names = sorted(members | {vm})
    rank = (names.index(vm) + crc32(endpoint.encode())) % len(names)
    # A slot that has begun may be used in its first half, so that requests keep their distance.
    number = math.ceil(after / spacing - 0.5)
    number += (rank - number) % len(names)
    return Permit(max(after, number * spacing), (number + 1) * spacing)


def encode_next_permit(next_at: float) -> bytes:
    """Encode the value of the row of an endpoint; `next_at` is in seconds of the store's clock."""
    return json.dumps({"next_at": round(next_at, 4)}).encode()


def decode_next_permit(value: bytes) -> float:
    """Decode the value of the row of an endpoint; 0 if it is invalid."""
    decoded = decode_document(value, lambda document: read_number(document, "next_at"))
    return decoded.unwrap_or(0.0)
