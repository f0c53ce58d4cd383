"""Sends one admitted request to the backend server and streams its answer back."""

from collections.abc import AsyncIterator, Callable

import anyio

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import Body, Continue, End, Fail, Refuse, Response
from ..errors import ErrorKind
from ..model import LoadReport, RequestHead
from .client import BackendAnswer, BackendClient, BackendCut, BackendUnreachable


class RequestCut(Exception):
    """The entry ended the request's body without an End frame."""


async def dispatch_request(
    exchange: Exchange,
    head: RequestHead,
    client: BackendClient,
    report: Callable[[], LoadReport],
) -> bool:
    """Run a request until its answer is whole or the entry gives up.

    Returns whether the backend server answered. Sends ``Refuse`` if nothing reached the
    backend server, ``Fail`` if the request may have run.
    """
    ok = False

    async def cancel_on_reset() -> None:
        await exchange.wait_reset()
        tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(cancel_on_reset)
        try:
            ok = await _dispatch(exchange, head, client, report)
        except (ExchangeLost, RequestCut):
            # Nobody is left to answer; leaving the client cancels the request.
            ok = False
        tg.cancel_scope.cancel()
    return ok


async def _iterate_body(exchange: Exchange) -> AsyncIterator[bytes]:
    while True:
        frame = await exchange.receive()
        if isinstance(frame, End):
            return
        if not isinstance(frame, Body):
            raise RequestCut
        yield frame.data


async def _dispatch(
    exchange: Exchange,
    head: RequestHead,
    client: BackendClient,
    report: Callable[[], LoadReport],
) -> bool:
    await exchange.send(Continue(exchange.id))
    content = _iterate_body(exchange) if head.has_body else None
    try:
        async with client.send(
            head.method, head.target, head.headers, content
        ) as answer:
            await _send_answer(exchange, answer, report)
        return True
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
    await exchange.send(End(exchange.id))
