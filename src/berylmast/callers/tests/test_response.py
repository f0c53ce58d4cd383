"""Guards against truncated responses that look complete, and against overload."""

from typing import Any

import anyio
import pytest

from ...daemons import Exchange
from ...daemons.frames import Body, End, Fail, Response
from ...errors import ErrorKind
from ...telemetry import RequestRecorder
from ..app import ResponseAborted
from .entry import LOAD, SimulatedCaller, make_entry_app, send_response

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    "frames",
    [
        [Fail(1, ErrorKind.BACKEND_CUT, "cut", LOAD)],
        [Body(1, b"hi"), Fail(1, ErrorKind.BACKEND_CUT, "cut", LOAD)],
        [Body(1, b"hi")],
        [Body(1, b"hi"), Response(1, 200, [], LOAD), End(1)],
    ],
    ids=["cut-head", "cut-body", "owner-lost", "second-head"],
)
async def test_truncated_response_is_not_finished(frames: list[Any]) -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Response(exchange.id, 200, [], LOAD))
        for frame in frames:
            await exchange.send(frame)

    caller = SimulatedCaller()
    with pytest.raises(ResponseAborted):
        await caller.run(make_entry_app(owner))
    assert not caller.complete


async def test_complete_response_is_not_logged_as_cancelled() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await send_response(exchange, Body(exchange.id, b"hi"), End(exchange.id))

    recorder = RequestRecorder(None)
    await SimulatedCaller().run(make_entry_app(owner, recorder=recorder))
    counts = recorder.export_counts()
    assert [item["outcome"] for item in counts] == ["answered"]


async def test_refusal_before_classification_is_counted_and_has_an_id() -> None:
    """Guards against refused requests that are missing from log and metrics."""

    async def owner(exchange: Exchange) -> None:
        raise AssertionError("no owner may receive this request")

    recorder = RequestRecorder(None)
    caller = SimulatedCaller(host=b"unknown")
    await caller.run(make_entry_app(owner, recorder=recorder))
    assert (caller.status, caller.error) == (404, b"unknown-service")
    assert dict(caller.sent[0]["headers"])[b"x-request-id"]
    counts = recorder.export_counts()
    assert [item["reason"] for item in counts] == ["unknown-service"]


async def test_response_end_without_a_head_is_an_error() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(End(exchange.id))

    caller = SimulatedCaller()
    await caller.run(make_entry_app(owner))
    assert (caller.status, caller.error) == (500, b"internal")


async def test_requests_beyond_the_limit_of_the_entry_are_refused() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await anyio.sleep(1)
        await send_response(exchange, End(exchange.id))

    app = make_entry_app(owner, max_requests=2)
    callers = [SimulatedCaller() for _ in range(3)]
    async with anyio.create_task_group() as tg:
        for caller in callers:
            tg.start_soon(caller.run, app)
    assert sorted(c.error for c in callers) == [b"", b"", b"too-many-requests"]
    later = SimulatedCaller()
    await later.run(app)
    assert later.status == 200


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [(b"Content-Length", b"2")], [(b"content-length", b"2")]),
        (304, [(b"content-length", b"2"), (b"etag", b"x")], [(b"etag", b"x")]),
        (204, [(b"content-length", b"0")], []),
        (200, [(b"Transfer-Encoding", b"chunked"), (b"content-length", b"2")], []),
        (
            200,
            [(b"Connection", b"X-A, close"), (b"x-a", b"1"), (b"b", b"2")],
            [(b"b", b"2")],
        ),
        (200, [(b"set-cookie", b"a"), (b"set-cookie", b"b")], None),
    ],
)
async def test_response_headers(
    status: int,
    headers: list[tuple[bytes, bytes]],
    expected: list[tuple[bytes, bytes]] | None,
) -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Response(exchange.id, status, headers, LOAD))
        await exchange.send(End(exchange.id))

    caller = SimulatedCaller()
    await caller.run(make_entry_app(owner))
    assert caller.sent[0]["headers"] == (headers if expected is None else expected)
