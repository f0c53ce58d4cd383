"""Tests that dispatch cancels abandoned requests and never completes a cut-off body.

A request must not keep running after its entry has left, and neither side may take a
truncated body for a complete one.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import pytest

from ...daemons import Exchange, make_exchange_pair
from ...daemons.frames import Body, Continue, End, Fail, Frame, Refuse, Reset, Response
from ...errors import ErrorKind
from ...http_client import ConnectionCut, HttpResponse, ServerUnreachable
from ...model import AttemptId, Headers, LoadReport, RequestHead
from ..dispatch import DispatchResult, dispatch_request

pytestmark = pytest.mark.anyio

LOAD = LoadReport("b1", 1, 1, 0, 0, 4, 1.0, 0.0)


def make_head(*, has_body: bool) -> RequestHead:
    attempt = AttemptId("e", 1, 1)
    return RequestHead(
        "r",
        attempt,
        "s",
        "normal",
        "",
        False,
        None,
        1000,
        False,
        "PUT",
        "/",
        [],
        has_body,
    )


class FakeClient:
    """Reads the request body, then responds with the given parts.

    A part that is an exception is raised when its turn comes.
    """

    def __init__(self, *parts: bytes | Exception, reads: bool = True) -> None:
        self.parts = parts
        self.reads = reads
        self.bodies: list[bytes] = []
        self.trailers: Headers = ()
        self.aborted = False

    @asynccontextmanager
    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: AsyncIterator[bytes] | None,
        get_trailers: Callable[[], Headers],
        is_stray: Callable[[Headers], bool] = lambda _headers: False,
    ) -> AsyncIterator[HttpResponse]:
        try:
            if self.parts and isinstance(self.parts[0], ServerUnreachable):
                raise self.parts[0]
            if not self.reads:
                await anyio.sleep_forever()
            if body is not None:
                self.bodies.append(b"".join([part async for part in body]))
                self.trailers = get_trailers()
            yield HttpResponse(
                200, [], self._iterate(), [(b"sum", b"1"), (b"host", b"x")]
            )
        except BaseException:
            self.aborted = True
            raise

    async def _iterate(self) -> AsyncIterator[bytes]:
        for part in self.parts:
            if isinstance(part, Exception):
                raise part
            yield part


async def run(client: FakeClient, exchange: Exchange, *, has_body: bool) -> bool:
    head = make_head(has_body=has_body)
    result = DispatchResult()
    await dispatch_request(exchange, head, client, lambda: LOAD, result)  # type: ignore[arg-type]
    return result.ok


async def read_all(exchange: Exchange) -> list[Frame]:
    frames = []
    with anyio.move_on_after(1):
        while True:
            frames.append(await exchange.receive())
    return frames


@pytest.mark.parametrize(
    ("parts", "ok", "expected"),
    [
        ([b"hi"], True, [Continue, Response, Body, End]),
        ([b"hi", ConnectionCut("cut")], False, [Continue, Response, Body, Fail]),
        ([ConnectionCut("cut")], False, [Continue, Response, Fail]),
        ([ServerUnreachable("gone")], False, [Continue, Refuse]),
    ],
)
async def test_truncated_response_has_no_end(
    parts: list[bytes | Exception], ok: bool, expected: list[type]
) -> None:
    entry, owner = make_exchange_pair()
    assert await run(FakeClient(*parts), owner, has_body=False) is ok
    assert [type(frame) for frame in await read_all(entry)] == expected


@pytest.mark.parametrize("reads", [True, False], ids=["reading", "stalled"])
@pytest.mark.parametrize("size", [0, 5, 200_000])
@pytest.mark.parametrize("lost", [True, False])
async def test_reset_cancels_the_request_and_never_ends_its_body(
    reads: bool, size: int, lost: bool
) -> None:
    entry, owner = make_exchange_pair()
    client = FakeClient(reads=reads)

    async def leave() -> None:
        await entry.send_body(b"x" * size)
        await anyio.sleep(1)
        if lost:
            owner.mark_lost()
        else:
            await entry.send(Reset(1, ErrorKind.CANCELLED))

    with anyio.fail_after(5):
        async with anyio.create_task_group() as tg:
            tg.start_soon(leave)
            assert await run(client, owner, has_body=True) is False
    assert client.aborted
    assert client.bodies == []


async def test_trailers_travel_both_ways_without_framing_fields() -> None:
    entry, owner = make_exchange_pair()
    client = FakeClient(b"hi")
    await entry.send_body(b"body")
    await entry.send(End(1, [(b"check", b"2"), (b"content-length", b"9")]))
    assert await run(client, owner, has_body=True)
    assert client.bodies == [b"body"]
    assert client.trailers == [(b"check", b"2")]
    last = (await read_all(entry))[-1]
    assert isinstance(last, End)
    assert last == End(1, [(b"sum", b"1")], last.load)


async def test_unexpected_frame_in_the_body_cancels_the_request() -> None:
    entry, owner = make_exchange_pair()
    client = FakeClient(b"hi")
    await entry.send(Continue(1))
    assert await run(client, owner, has_body=True) is False
    assert client.bodies == []
