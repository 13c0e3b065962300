"""Checks the heads of responses where the parser accepts more than RFC 9110 and 9112 allow.

The load is servers in trouble whose heads are damaged. The parser joins a line that begins with a
blank to the field before it, which may change the framing of the body. It also accepts control
bytes in values and undefined status codes. A client passes none of that on; free of I/O.
"""

import re

import h11

_HEAD_END = re.compile(rb"\n\r?\n")
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: " + _TEXT + rb")?\r?\n")
_FIELD_LINES = re.compile(
    rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:" + _TEXT + rb"\r?\n)*\r?\n",
)


class HeadRecorder:
    """Records the bytes of a response until the end of its head."""

    def __init__(self) -> None:
        """Record from the beginning of a response."""
        self._received = bytearray()
        self._is_complete = False

    def feed(self, data: bytes) -> None:
        """Record received bytes, unless the head is complete."""
        if not self._is_complete:
            self._received += data

    def take_head(self, is_interim: bool) -> bytes:
        """Return the raw head that was parsed last; another one follows an interim head.

        Empty if its end was not received.
        """
        end = _HEAD_END.search(self._received)
        head = bytes(self._received[: end.end()]) if end is not None else b""
        if is_interim:
            del self._received[: len(head)]
        else:
            self._received = bytearray()
            self._is_complete = True
        return head


def find_head_fault(raw_head: bytes) -> str:
    """Return what is invalid in the lines of a raw head, empty if nothing is."""
    status_line = _STATUS_LINE.match(raw_head)
    if status_line is None:
        return "invalid status line"
    if _FIELD_LINES.fullmatch(raw_head, status_line.end()) is None:
        return "invalid header line"
    return ""


def find_framing_fault(head: h11.Response) -> str:
    """Return why the framing of a response is ambiguous, empty if it is not."""
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" not in names:
        return ""
    if b"content-length" in names:
        return "both Content-Length and Transfer-Encoding"
    if head.http_version < b"1.1":
        return "Transfer-Encoding in a response of HTTP/1.0"
    return ""
