"""Decides whether a JSON document is decoded, by what that would take; free of I/O.

The load is documents of legal size with values of a few bytes each, which take some 14 times their
size as objects, or with one character that widens all their text to four bytes a character. The
memory of the process tells what is free, since decoding takes it and gives it back in one step.
"""

import re

from pumicedeck.http_messages import KIB, MIB
from pumicedeck.results import Failure, ResultCode

# An object with one field takes about 300 bytes, and has four of the characters that are counted.
_BYTES_PER_VALUE = 100
_SEPARATORS = (b",", b":", b"[", b"{")
_FOUR_BYTE_CHARACTER = re.compile(rb"[\xf0-\xff]")
_ESCAPED_SURROGATE = re.compile(rb"\\u[dD][89abAB]")
_GROWTH_FACTOR = 1.25
_FIXED_BYTES = 4 * KIB
# Documents that take less are always decoded.
_ALWAYS_ADMITTED_BYTES = MIB
_RETRY_AFTER_SECONDS = 1.0


def estimate_decoding_bytes(document: bytes | bytearray) -> int:
    """Return how many bytes the decoding of a document takes at most, without the document.

    That is its text, the texts among its values, and the values themselves.
    """
    size = len(document)
    text_width = value_width = 1
    if not document.isascii():
        text_width = value_width = 4 if _FOUR_BYTE_CHARACTER.search(document) else 2
    text_copies = 1.0
    if b"\\" in document:
        # A text with escapes is built piece by piece, in a buffer that grows ahead and widens.
        text_copies = _GROWTH_FACTOR
        if b"\\u" in document:
            value_width = 4 if _ESCAPED_SURROGATE.search(document) else max(2, text_width)
            text_copies *= 1 + 1 / value_width
    values = sum(document.count(separator) for separator in _SEPARATORS)
    text_bytes = int(size * (text_width + value_width * text_copies))
    return text_bytes + _BYTES_PER_VALUE * values + _FIXED_BYTES


def check_decoding(
    document: bytes | bytearray, free_bytes: int, free_when_idle_bytes: int
) -> Failure | None:
    """Return why a document is not decoded, None if it may be.

    `free_bytes` is what the process may still take, `free_when_idle_bytes` what it could take if it
    held nothing but the document.
    """
    needed_bytes = estimate_decoding_bytes(document)
    if needed_bytes <= max(free_bytes, _ALWAYS_ADMITTED_BYTES):
        return None
    detail = f"decoding the body takes up to {needed_bytes} bytes, {max(0, free_bytes)} are free"
    if needed_bytes <= free_when_idle_bytes:
        return Failure(ResultCode.OVERLOADED, detail, _RETRY_AFTER_SECONDS, proven_not_run=True)
    return Failure(ResultCode.TOO_LARGE, detail, proven_not_run=True)
