"""Computes how long to wait after failures in a row; free of I/O.

The load is an endpoint that is down for minutes while callers try it hundreds of times a second:
the number of failures has no bound, and two to its power soon fits no float.
"""

from math import inf

MAX_DOUBLINGS = 30


def doubled_seconds(first: float, failures: int, longest: float = inf) -> float:
    """Return `first` seconds doubled with each of `failures`, at most `longest`."""
    return min(longest, first * 2.0 ** min(failures, MAX_DOUBLINGS))
