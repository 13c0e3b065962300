"""Tests of the codec: each message decodes to itself, and corrupted bytes never raise."""

from dataclasses import fields
from typing import get_args

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from pumicedeck import messages
from pumicedeck.codecs import decode, encode
from pumicedeck.gen.wire import ttypes
from pumicedeck.handshakes import Hello, Proof

FRAME_TYPES = [*get_args(messages.Message), Hello, Proof]
NON_NEGATIVE_INT32 = st.integers(min_value=0, max_value=2**31 - 1)


@pytest.mark.parametrize("cls", FRAME_TYPES)
def test_the_thrift_structure_has_the_fields_of_the_message(cls: type) -> None:
    names = {each.name for each in fields(cls)}
    assert names == set(getattr(ttypes, cls.__name__).__slots__)


@pytest.mark.parametrize("cls", FRAME_TYPES)
def test_every_message_survives(cls: type) -> None:
    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(st.data())
    def survives(data: st.DataObject) -> None:
        overrides = {int: NON_NEGATIVE_INT32, float: st.floats(0, 1e6)}
        for kind, strategy in overrides.items():
            st.register_type_strategy(kind, strategy)
        message = data.draw(st.from_type(cls))
        assert decode(encode(message)[4:]) == Ok(message)

    survives()


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_garbage_is_an_error_or_a_message_but_never_raises(data: bytes) -> None:
    outcome = decode(data)
    assert outcome.is_err() or type(outcome.ok_value) in FRAME_TYPES
