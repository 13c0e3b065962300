"""Encodes session messages as length-prefixed thrift structures (compact protocol) and back."""

import struct
from collections.abc import Callable, Iterator
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from types import UnionType
from typing import Any, get_args, get_origin, get_type_hints

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from pumicedeck import messages
from pumicedeck.gen.wire import ttypes
from pumicedeck.handshakes import Hello, Proof
from pumicedeck.messages import Message
from pumicedeck.results import Failure, ResultCode

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_CONTAINER_ITEMS = 1024 * 1024
LENGTH_BYTES = 4

Converter = Callable[[Any], Any]
Frame = Message | Hello | Proof

_FRAME_TYPES = {cls.__name__: cls for cls in (*get_args(messages.Message), Hello, Proof)}
_FRAME_NAMES = tuple(_FRAME_TYPES)


def _unchanged(value: Any) -> Any:
    return value


def _strip_none(hint: Any) -> Any:
    """Return `X` for the type hint `X | None`, and any other hint unchanged."""
    if isinstance(hint, UnionType):
        return next(arg for arg in get_args(hint) if arg is not type(None))
    return hint


def _converters(hint: Any) -> tuple[Converter, Converter]:
    """Return the functions that convert a value of this type to its thrift form and back."""
    hint = _strip_none(hint)
    if get_origin(hint) is tuple:
        return list, tuple
    if isinstance(hint, type) and issubclass(hint, Enum):
        return lambda member: member.value, hint
    if is_dataclass(hint):
        return _to_struct, lambda thrift_struct: _from_struct(hint, thrift_struct)
    return _unchanged, _unchanged


@cache
def _field_converters(cls: type) -> tuple[tuple[str, Converter, Converter], ...]:
    """Return the name, the encoder and the decoder of each field of a message class."""
    hints = get_type_hints(cls)
    return tuple((field.name, *_converters(hints[field.name])) for field in fields(cls))


def _to_struct(value: Any) -> Any:
    thrift_struct = getattr(ttypes, type(value).__name__)()
    for name, to_wire, _ in _field_converters(type(value)):
        field_value = getattr(value, name)
        if field_value is not None:
            setattr(thrift_struct, name, to_wire(field_value))
    return thrift_struct


def _from_struct(cls: type, thrift_struct: Any) -> Any:
    values = {}
    for name, _, from_wire in _field_converters(cls):
        field_value = getattr(thrift_struct, name)
        if field_value is not None:
            values[name] = from_wire(field_value)
    return cls(**values)


def encode(frame: Frame) -> bytes:
    """Return the frame's payload, preceded by its length as a 4-byte big-endian integer."""
    envelope = ttypes.Envelope(**{type(frame).__name__: _to_struct(frame)})
    buffer = TMemoryBuffer()
    envelope.write(TCompactProtocolAccelerated(buffer))
    payload = buffer.getvalue()
    return struct.pack("!I", len(payload)) + payload


def decode(payload: bytes) -> Result[Frame, Failure]:
    """Decode one frame's payload; BAD_MESSAGE unless it holds exactly one known message."""
    envelope = ttypes.Envelope()
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(payload),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
    # The generated reader raises many unrelated exception types on corrupted input.
    try:
        envelope.read(protocol)
        present_names = [name for name in _FRAME_NAMES if getattr(envelope, name) is not None]
        if len(present_names) != 1:
            return Err(Failure(ResultCode.BAD_MESSAGE, "a frame must hold exactly one message"))
        return Ok(_from_struct(_FRAME_TYPES[present_names[0]], getattr(envelope, present_names[0])))
    except Exception as error:
        return Err(Failure(ResultCode.BAD_MESSAGE, f"{type(error).__name__}: {error}"))


class FrameBuffer:
    """Buffers received bytes and splits them into frames."""

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        """Reject frames whose payload is longer than `limit` bytes."""
        self._limit = limit
        self._received = bytearray()

    def feed(self, data: bytes) -> Iterator[Result[Frame, Failure]]:
        """Add bytes and yield each complete frame; after an error the buffer must not be used."""
        self._received += data
        while len(self._received) >= LENGTH_BYTES:
            (length,) = struct.unpack_from("!I", self._received)
            if length > self._limit:
                yield Err(
                    Failure(ResultCode.BAD_MESSAGE, f"frame of {length} bytes exceeds the limit")
                )
                return
            end = LENGTH_BYTES + length
            if len(self._received) < end:
                return
            payload = bytes(self._received[LENGTH_BYTES:end])
            del self._received[:end]
            yield decode(payload)
