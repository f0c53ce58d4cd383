"""Encodes frames as msgpack arrays and decodes them.

A frame is encoded as the array ``[tag, field, ...]`` and a nested dataclass as the
array of its fields, without trailing ones that have their default. So fields can be
added at the end: a peer of an earlier version sees them only if they are in use, and
fields of a later version are ignored. Of the frames themselves, only those in
``_EXTENSIBLE_FRAMES`` leave out trailing defaults. Decoding validates every field,
since a peer may run another version or send corrupted data.
"""

from collections.abc import Callable, Iterator
from dataclasses import MISSING, fields, is_dataclass
from functools import cache
from operator import attrgetter
from typing import Any, get_args

import msgpack
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ArgsKwargs

from ..model import AttemptId, Evacuations, LoadReport, RequestHead
from .frames import Compare, Compared, Frame

MAX_FRAME_BYTES = 256 * 1024
"""Larger frames are a protocol error. A body frame carries at most 16 KiB."""

MAX_ARRAY_ITEMS = 4_096
"""Limit on the length of a decoded array. msgpack allocates an array before its items
arrive: without a limit, 5 KB of nested array headers allocated 82 MB. The longest valid
arrays are subscriptions to all services."""

_NESTED_TYPES = (AttemptId, Evacuations, LoadReport, RequestHead)
_EXTENSIBLE_FRAMES = (Compare, Compared)
# A tag is the position of a type in the Frame union, so new frame types must be
# appended to the union.
_FRAME_TYPES: tuple[type[Any], ...] = get_args(Frame)
_TAGS = {cls: tag for tag, cls in enumerate(_FRAME_TYPES)}


class ProtocolError(Exception):
    """A peer violated the protocol, for example with an invalid frame."""


def _make_getter(cls: type[Any]) -> Callable[[Any], tuple[Any, ...]]:
    names = [field.name for field in fields(cls)]
    if len(names) == 1:
        name = names[0]
        return lambda obj: (getattr(obj, name),)
    return attrgetter(*names)


_GETTERS = {cls: _make_getter(cls) for cls in (*_FRAME_TYPES, *_NESTED_TYPES)}


def _get_field_values(obj: object) -> tuple[Any, ...]:
    return _GETTERS[type(obj)](obj)


_DEFAULTS: dict[type[Any], tuple[object, ...]] = {
    cls: tuple(f.default for f in fields(cls))
    for cls in (*_NESTED_TYPES, *_EXTENSIBLE_FRAMES)
}


def _get_used_values(obj: object) -> tuple[Any, ...]:
    """Return the values of a dataclass without trailing defaults."""
    values = _get_field_values(obj)
    defaults = _DEFAULTS[type(obj)]
    end = len(values)
    while defaults[end - 1] is not MISSING and values[end - 1] == defaults[end - 1]:
        end -= 1
    return values[:end]


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded bytes of one frame."""
    extensible = isinstance(frame, _EXTENSIBLE_FRAMES)
    values = _get_used_values(frame) if extensible else _get_field_values(frame)
    items = (_TAGS[type(frame)], *values)
    data: bytes = msgpack.packb(items, default=_get_used_values)
    return data


def _find_nested_fields(cls: type[Any]) -> list[tuple[int, type[Any]]]:
    return [
        (index, option)
        for index, field in enumerate(fields(cls))
        # The members of a union such as ``LoadReport | None``, or else the type itself.
        for option in get_args(field.type) or (field.type,)
        if isinstance(option, type) and is_dataclass(option)
    ]


_NESTED_FIELDS = {
    cls: _find_nested_fields(cls) for cls in (*_FRAME_TYPES, *_NESTED_TYPES)
}


@cache
def _get_adapter(tag: int) -> TypeAdapter[Frame]:
    # Created on first use: creating all of them would delay the start by 0.05 s.
    return TypeAdapter(_FRAME_TYPES[tag])


def _to_args(cls: type[Any], items: list[Any]) -> ArgsKwargs:
    for index, nested in _NESTED_FIELDS[cls]:
        if index < len(items) and isinstance(items[index], list):
            known = items[index][: len(fields(nested))]
            items[index] = _to_args(nested, known)
    return ArgsKwargs(tuple(items))


def decode_frame(items: object) -> Frame:
    """Return the frame encoded by an unpacked array.

    Raises ProtocolError if the array is not a valid frame.
    """
    if not isinstance(items, list) or not items:
        raise ProtocolError("frame is not a non-empty array")
    tag = items[0]
    if not isinstance(tag, int) or not 0 <= tag < len(_FRAME_TYPES):
        raise ProtocolError(f"unknown frame tag {tag!r}")
    cls = _FRAME_TYPES[tag]
    values = items[1:]
    if cls in _EXTENSIBLE_FRAMES:
        values = values[: len(fields(cls))]
    try:
        frame: Frame = _get_adapter(tag).validate_python(_to_args(cls, values))
    except ValidationError as exc:
        error = exc.errors()[0]
        raise ProtocolError(
            f"invalid {cls.__name__} frame: {error['loc']}: {error['msg']}"
        ) from exc
    return frame


class FrameReader:
    """Decodes frames from a byte stream incrementally, with a bounded buffer."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            max_buffer_size=2 * MAX_FRAME_BYTES,
            max_array_len=MAX_ARRAY_ITEMS,
            use_list=True,
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add bytes to the buffer and yield the frames that are now complete.

        Raises ProtocolError if the bytes are not valid frames.
        """
        try:
            self._unpacker.feed(data)
            for items in self._unpacker:
                yield decode_frame(items)
        except (ValueError, msgpack.UnpackException) as exc:
            raise ProtocolError(f"invalid msgpack data: {exc}") from exc
