"""Decodes JSON documents that other programs wrote, and the numbers and addresses in them.

A document may be nested too deeply, or hold numbers that later arithmetic or a socket rejects. Its
decoding raises exceptions of many unrelated types (RecursionError and OverflowError among them), so
all of them become failures here and no caller lists the types.
"""

import json
from collections.abc import Callable
from ipaddress import IPv4Address
from math import isfinite
from typing import Any, TypeVar

from result import Err, Ok, Result

from pumicedeck.topology import Address

T = TypeVar("T")

MAX_INTEGER = 2**63 - 1
MAX_PORT = 65_535
# Ten to this power is below MAX_INTEGER.
MAX_DIGITS = 18


class InvalidFieldError(ValueError):
    """A field of a document is invalid; the text names the field and no value."""


def decode_document(data: bytes | str, build: Callable[[Any], T]) -> Result[T, str]:
    """Parse JSON and build a value from it; fail with the reason, which has no value of `data`.

    The text may hold keys of accounts, so the reason names fields and positions only.
    """
    return guard_decoding(lambda: build(json.loads(data)))


def guard_decoding(decode: Callable[[], T]) -> Result[T, str]:
    """Return the value of `decode`; any exception is a failure with the reason."""
    try:
        return Ok(decode())
    except Exception as error:
        return Err(describe_error(error))


def describe_error(error: Exception) -> str:
    """Describe a decoding error without values of the document."""
    if isinstance(error, InvalidFieldError):
        return str(error)
    if isinstance(error, json.JSONDecodeError):
        return f"not JSON at line {error.lineno}, column {error.colno}"
    if isinstance(error, KeyError):
        # The decoders look up fields by constant names only.
        return f"field {error.args[0]!r} is missing"
    return type(error).__name__


def read_integer(document: dict, name: str, lowest: int = 0, highest: int = MAX_INTEGER) -> int:
    """Return a field that is an integer from `lowest` to `highest`, and neither text nor a float.

    Raises InvalidFieldError for any other value, KeyError without the field.
    """
    value = document[name]
    if type(value) is not int or not lowest <= value <= highest:
        raise InvalidFieldError(f"{name} is not an integer from {lowest} to {highest}")
    return value


def read_number(document: dict, name: str) -> float:
    """Return a field that is a finite number; raises as `read_integer` does."""
    value = document[name]
    if type(value) not in (int, float) or not isfinite(number := float(value)):
        raise InvalidFieldError(f"{name} is not a finite number")
    return number


def read_text(document: dict, name: str) -> str:
    """Return a field that is a text; raises as `read_integer` does."""
    value = document[name]
    if not isinstance(value, str):
        raise InvalidFieldError(f"{name} is not a text")
    return value


def parse_whole_number(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Return the number in a header field or argument, None unless it has ASCII digits only.

    `str.isdigit` also accepts digits that `int` does not, and `int` raises for thousands of them.
    """
    if not text.isascii() or not text.isdigit() or len(text) > max_digits:
        return None
    return int(text)


def parse_address(text: str) -> Address:
    """Parse an IPv4 address and a TCP port, as HOST:PORT.

    Raises InvalidFieldError for a name, which would be resolved on the loop, and for a port that
    no socket accepts.
    """
    host, _, port = text.rpartition(":")
    if not 0 < (parse_whole_number(port) or 0) <= MAX_PORT:
        raise InvalidFieldError(f"the port of an address is not a number from 1 to {MAX_PORT}")
    try:
        return Address(str(IPv4Address(host)), int(port))
    except ValueError as error:
        raise InvalidFieldError("the host of an address is not an IPv4 address") from error
