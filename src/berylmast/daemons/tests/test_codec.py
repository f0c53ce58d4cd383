"""Tests that frames survive encoding and that invalid frames are rejected."""

from dataclasses import astuple, replace
from math import inf, nan

import msgpack
import pytest

from ...errors import ErrorKind
from ...model import (
    AttemptId,
    AttemptState,
    Evacuations,
    KeyStatus,
    LoadReport,
    RequestHead,
)
from .. import frames
from ..codec import FrameReader, ProtocolError, decode_frame, encode_frame

LOAD = LoadReport("orders-n1", 7, 3, 2, 1, 6, 8.5, 0.25)
RECORD = ("orders-n1", "orders", "127.0.0.1", 7001, "north", "n1", 7, 1, "ready")
HEAD = RequestHead(
    request_id="r1",
    attempt=AttemptId("orders-n1", 7, 12),
    service="orders",
    priority="urgent",
    tenant="dealers",
    idempotent=False,
    idempotency_key="k1",
    deadline_ms=1500,
    retry=False,
    method="POST",
    target="/orders?a=1",
    headers=[(b"content-type", b"text/plain")],
    has_body=True,
)
FRAMES = [
    frames.Hello(0, 1, "orders-n1", 7),
    frames.Request(1, HEAD),
    frames.Continue(1),
    frames.Response(1, 200, [(b"x", b"y")], LOAD),
    frames.Body(1, b"abc"),
    frames.End(1, [(b"checksum", b"1")]),
    frames.End(1, [], LOAD),
    frames.Credit(1, 4096),
    frames.Reset(1, ErrorKind.CANCELLED),
    frames.Refuse(1, ErrorKind.OVERLOADED, "no slot", LOAD),
    frames.Fail(1, ErrorKind.BACKEND_CUT, "reset", LOAD),
    frames.Compare(1, 3, "d1"),
    frames.Compared(1, 3, "d2"),
    frames.Compare(1, 3, "d1", Evacuations(2, 9, ("z1", "z2"))),
    frames.Compared(1, 3, "d2", evacuations=Evacuations(2, 9)),
    frames.Compared(1, 3, "d2", 250),
    frames.Tell(0, (RECORD,)),
    frames.Tell(0, (), 3),
    frames.Borrow(1, "orders-n1", 7, 3, (("t", 2.5, 1.0, 0.0, 0.5, 0.0),), (2,)),
    frames.Lend(1, (("t", 1.0, 0.0),), (2,)),
    frames.Probe(1),
    frames.Load(1, LOAD),
    frames.Ping(),
    frames.Pong(),
    frames.GoAway(),
    frames.Query(1, AttemptId("orders-n1", 7, 12)),
    frames.Outcome(1, AttemptState.RUNNING, headers=[]),
    frames.Outcome(1, AttemptState.FINISHED, None, "", 200, [(b"x", b"y")], b"abc"),
    frames.Outcome(1, AttemptState.FAILED, ErrorKind.BACKEND_CUT, "cut", headers=[]),
    frames.KeyBegin(1, "orders", "t", "k", "POST", AttemptId("n1", 7, 12), 900),
    frames.KeyState(1, KeyStatus.FINISHED, 200, [(b"x", b"y")], b"abc"),
    frames.KeyFinish(
        1, "orders", "t", "k", AttemptId("n1", 7, 12), KeyStatus.UNKNOWN, headers=[]
    ),
    frames.Endpoints(1, (RECORD, RECORD)),
    frames.DocumentHead(1, 3, 1000),
]


@pytest.mark.parametrize("frame", FRAMES, ids=lambda f: type(f).__name__)
@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_frame_survives_encoding_split_anywhere(frame: frames.Frame, step: int) -> None:
    data = encode_frame(frame) * 2
    reader = FrameReader()
    parts = [data[i : i + step] for i in range(0, len(data), step)]
    assert [f for part in parts for f in reader.feed(part)] == [frame, frame]


@pytest.mark.parametrize(
    "items",
    [
        None,
        [],
        [999, 1],
        ["1", 1],
        [5],
        [4, 1, 5],
        [6, 1, "x"],
        [1, 1, ["short"]],
        [7, 1, "no-such-kind"],
        [26, 1, [["short", "record"]]],
        *([3, 1, status, [], list(astuple(LOAD))] for status in (0, 99, 199, 600, 999)),
        *([26, 1, [["t", tokens, 1.0]]] for tokens in (nan, inf, -1.0)),
        *([25, 1, "d", 7, 1, [["t", 1.0, 1, 1, tokens, 0]]] for tokens in (nan, -1.0)),
        [16, 1, "finished", None, "", 99, [], b""],
    ],
)
def test_invalid_frame_is_a_protocol_error(items: object) -> None:
    """Guards also against a status that no caller may get, and unlimited tokens."""
    with pytest.raises(ProtocolError):
        decode_frame(items)


def test_oversized_frame_is_a_protocol_error() -> None:
    reader = FrameReader()
    data = msgpack.packb([4, 1, b"x" * 2_000_000])
    with pytest.raises(ProtocolError):
        for start in range(0, len(data), 65_536):
            list(reader.feed(data[start : start + 65_536]))


@pytest.mark.parametrize(
    ("changes", "length"),
    [({}, 8), ({"draining": True}, 9), ({"full_slowdown": 1.5}, 11)],
)
def test_trailing_defaults_are_not_sent(
    changes: dict[str, object], length: int
) -> None:
    """A peer of an earlier version knows only the first fields."""
    frame = frames.Load(1, replace(LOAD, **changes))  # type: ignore[arg-type]
    assert len(msgpack.unpackb(encode_frame(frame))[2]) == length
    assert list(FrameReader().feed(encode_frame(frame))) == [frame]


@pytest.mark.parametrize(
    ("frame", "unused_fields"),
    [(frames.Compare(1, 3, "d1"), [None]), (frames.Compared(1, 3, "d2"), [-1, None])],
)
def test_comparisons_without_new_values_are_as_before(
    frame: frames.Frame, unused_fields: list[object]
) -> None:
    """A peer of an earlier version rejects longer ones."""
    items = msgpack.unpackb(encode_frame(frame))
    assert items[1:] == [1, 3, frame.digest]  # type: ignore[union-attr]
    assert decode_frame([*items, *unused_fields, "later", [1]]) == frame


def test_fields_of_a_later_version_are_ignored() -> None:
    tag, exchange, _ = msgpack.unpackb(encode_frame(frames.Load(1, LOAD)))
    load = [*astuple(LOAD), "field of a later version", 7]
    assert decode_frame([tag, exchange, load]) == frames.Load(1, LOAD)


def test_records_are_told_as_before_while_no_era_has_risen() -> None:
    """A peer of an earlier version rejects a longer frame."""
    frame = frames.Tell(0, (RECORD,))
    items = msgpack.unpackb(encode_frame(frame))
    assert len(items) == 3
    assert decode_frame([*items, 0, "later"]) == frame


@pytest.mark.parametrize(("age_ms", "length"), [(-1, 4), (0, 5), (1_200, 5)])
def test_age_of_the_evidence_is_sent_only_if_known(age_ms: int, length: int) -> None:
    """A peer of an earlier version ends the connection at an unknown field."""
    frame = frames.Compared(1, 7, "digest", current_age_ms=age_ms)
    assert len(msgpack.unpackb(encode_frame(frame))) == length
    assert list(FrameReader().feed(encode_frame(frame))) == [frame]
