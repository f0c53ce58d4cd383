"""Sends one admitted request to the backend server and streams its answer back."""

from collections.abc import AsyncIterator, Callable
from dataclasses import replace

import anyio
from anyio.abc import ObjectReceiveStream, ObjectSendStream, TaskGroup

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import Body, Continue, End, Fail, Frame, Refuse, Reset, Response
from ..errors import ErrorKind
from ..model import LoadReport, RequestHead
from .client import BackendAnswer, BackendClient, BackendCut, BackendUnreachable


async def dispatch_request(
    exchange: Exchange,
    head: RequestHead,
    client: BackendClient,
    report: Callable[[], LoadReport],
) -> bool:
    """Run a request until its answer is whole or the entry gives up.

    Returns whether the backend server answered, and not with a 5xx status. Sends
    ``Refuse`` if nothing reached the backend server, ``Fail`` if the request may have
    run.
    """
    ok = False

    async def run_and_stop() -> None:
        nonlocal ok
        ok = await _dispatch(exchange, head, body, client, report)
        tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        body_in, body = anyio.create_memory_object_stream[Frame](0)
        tg.start_soon(_read_frames, exchange, body_in, tg)
        tg.start_soon(run_and_stop)
    return ok


async def _read_frames(
    exchange: Exchange, body_in: ObjectSendStream[Frame], tg: TaskGroup
) -> None:
    try:
        while True:
            frame = await exchange.receive()
            if isinstance(frame, Reset):
                break
            await body_in.send(frame)
    except ExchangeLost:
        pass
    tg.cancel_scope.cancel()


async def _dispatch(
    exchange: Exchange,
    head: RequestHead,
    body: ObjectReceiveStream[Frame],
    client: BackendClient,
    report: Callable[[], LoadReport],
) -> bool:
    async def iterate_body() -> AsyncIterator[bytes]:
        async for frame in body:
            if isinstance(frame, End):
                return
            if isinstance(frame, Body):
                yield frame.data

    await exchange.send(Continue(exchange.id))
    content = iterate_body() if head.has_body else None
    try:
        async with client.send(
            head.method, head.target, head.headers, content
        ) as answer:
            await _send_answer(exchange, answer, report)
        return answer.status < 500
    except BackendUnreachable as exc:
        await exchange.send(
            Refuse(exchange.id, ErrorKind.BACKEND_UNREACHABLE, str(exc), report())
        )
    except BackendCut as exc:
        await exchange.send(
            Fail(exchange.id, ErrorKind.BACKEND_CUT, str(exc), report())
        )
    return False


async def _send_answer(
    exchange: Exchange, answer: BackendAnswer, report: Callable[[], LoadReport]
) -> None:
    await exchange.send(Response(exchange.id, answer.status, answer.headers, report()))
    async for chunk in answer.body:
        await exchange.send_body(chunk)
    load = report()
    # This request still holds its slot, but it is over for the entry.
    load = replace(load, in_flight=max(0, load.in_flight - 1))
    await exchange.send(End(exchange.id, load=load))
