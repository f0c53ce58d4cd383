"""Property tests of the codec: any bytes give frames or a ProtocolError.

Arbitrary, corrupted or split input must not raise another error or use unbounded
memory.
"""

import tracemalloc
from dataclasses import fields, is_dataclass
from typing import Any, Literal, cast, get_args, get_origin

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...identifiers import FinalStatus, TokenCount
from ...model import Headers
from ..codec import MAX_FRAME_BYTES, FrameReader, ProtocolError, encode_frame
from ..frames import Frame
from .test_codec import FRAMES

MEMORY_LIMIT_BYTES = 160 * MAX_FRAME_BYTES
"""msgpack allocates each of 1,024 nested arrays before their items arrive."""

HEADERS = st.lists(st.tuples(st.binary(max_size=20), st.binary(max_size=20)))
INTEGERS = st.integers(0, 2**64 - 1)


def frame_strategy(cls: type[Any]) -> st.SearchStrategy[Any]:
    """Return a strategy for a frame type or a dataclass nested in one."""
    return st.builds(
        cls, **{item.name: field_strategy(item.type) for item in fields(cls)}
    )


def field_strategy(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for the type of a field.

    Integers are limited to the range of msgpack.
    """
    args = get_args(kind)
    if kind is Headers:
        return HEADERS
    if kind is FinalStatus:
        return st.integers(200, 599)
    if kind is TokenCount:
        return st.floats(0, 1e12)
    if get_origin(kind) is Literal:
        return st.sampled_from(args)
    if kind is int:
        return INTEGERS
    if kind is float:
        return st.floats(allow_nan=False)
    if is_dataclass(kind):
        return frame_strategy(cast(type[Any], kind))
    if get_origin(kind) is tuple and args[-1] is Ellipsis:
        return st.lists(field_strategy(args[0]), max_size=3).map(tuple)
    if get_origin(kind) is tuple:
        return st.tuples(*map(field_strategy, args))
    if args:
        return st.one_of(*map(field_strategy, args))
    return st.from_type(kind)


ANY_FRAME = st.one_of([frame_strategy(cls) for cls in get_args(Frame)])
SCALARS = st.none() | st.booleans() | INTEGERS | st.floats() | st.text() | st.binary()
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    """Split the bytes at the given positions; some parts may be empty."""
    ends = sorted(at % (len(data) + 1) for at in cuts)
    starts = [0, *ends]
    return [data[a:b] for a, b in zip(starts, [*ends, len(data)], strict=True)]


@given(st.lists(ANY_FRAME, min_size=1, max_size=4), st.lists(st.integers(0, 5000)))
def test_frames_survive_any_split(sent: list[Frame], cuts: list[int]) -> None:
    reader = FrameReader()
    parts = split(b"".join(map(encode_frame, sent)), cuts)
    assert [frame for part in parts for frame in reader.feed(part)] == sent


def decode_until_error(parts: list[bytes]) -> list[Frame]:
    """Return the frames before the first ProtocolError; other errors are raised."""
    reader, frames = FrameReader(), []
    try:
        for part in parts:
            for frame in reader.feed(part):
                frames.append(frame)
    except ProtocolError:
        pass
    return frames


@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=3))
def test_any_bytes_give_frames_or_a_protocol_error(
    data: bytes, cuts: list[int]
) -> None:
    assert all(
        isinstance(frame, get_args(Frame))
        for frame in decode_until_error(split(data, cuts))
    )


@given(st.integers(-1, 40), st.lists(VALUES, max_size=6))
def test_any_values_give_a_frame_or_a_protocol_error(tag: int, items: Any) -> None:
    for frame in decode_until_error([msgpack.packb([tag, *items])]):
        encode_frame(frame)


@given(
    st.sampled_from(FRAMES),
    st.lists(st.tuples(st.integers(0, 500), st.integers(0, 255)), max_size=4),
)
def test_corrupted_frame_is_a_frame_or_a_protocol_error(
    frame: Frame, damage: list[tuple[int, int]]
) -> None:
    data = bytearray(encode_frame(frame))
    for at, value in damage:
        data[at % len(data)] = value
    decode_until_error([bytes(data)])


@pytest.mark.parametrize(
    "unit",
    [
        b"\xdd\x00\x07\xff\xff",  # nested arrays that each claim to be long
        b"\xdd\x00\x00\x0f\xff",
        b"\xdf\x00\x03\xff\xff\xa1a",  # nested maps that each claim to be long
        b"\x91",
        b"\xc6\x7f\xff\xff\xff",
        b"\xdb\x00\x07\xff\xff",
    ],
)
def test_no_stream_takes_unbounded_memory(unit: bytes) -> None:
    """Sizes that a peer claims must not cause large allocations.

    This holds whether or not the claimed data follows.
    """
    tracemalloc.start()
    try:
        decode_until_error([unit * 100] * 20)
        decode_until_error([unit, *[bytes(MAX_FRAME_BYTES)] * 256])
        assert tracemalloc.get_traced_memory()[1] < MEMORY_LIMIT_BYTES
    finally:
        tracemalloc.stop()
