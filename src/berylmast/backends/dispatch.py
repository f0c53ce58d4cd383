"""Sends one admitted request to the backend server and streams its answer back."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import ObjectReceiveStream, ObjectSendStream, TaskGroup

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import Body, Continue, End, Fail, Frame, Refuse, Reset, Response
from ..errors import ErrorKind
from ..model import LoadReport, RequestHead
from .client import BackendAnswer, BackendClient, BackendCut, BackendUnreachable


@dataclass(slots=True)
class DispatchEnd:
    """What the backend server did with one request, filled in as it proceeds.

    ``status`` is None without an answer. ``answer_s`` is the time in seconds from the
    end of the request's body to the head of the answer. ``done`` is False if the entry
    gave up first.
    """

    status: int | None = None
    answer_s: float | None = None
    done: bool = False

    @property
    def ok(self) -> bool:
        """Tell whether the answer was whole and is no server error."""
        return self.done and self.status is not None and self.status < 500


async def dispatch_request(
    exchange: Exchange,
    head: RequestHead,
    client: BackendClient,
    report: Callable[[], LoadReport],
    end: DispatchEnd,
) -> None:
    """Run a request until its answer is whole or the entry gives up.

    Fills in ``end``, also when cancelled. Sends ``Refuse`` if nothing reached the
    backend server, ``Fail`` if the request may have run.
    """

    async def run_and_stop() -> None:
        await _dispatch(exchange, head, body, client, report, end)
        end.done = True
        tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        body_in, body = anyio.create_memory_object_stream[Frame](0)
        tg.start_soon(_read_frames, exchange, body_in, tg)
        tg.start_soon(run_and_stop)


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
    end: DispatchEnd,
) -> None:
    sent_s = anyio.current_time()

    async def iterate_body() -> AsyncIterator[bytes]:
        nonlocal sent_s
        async for frame in body:
            if isinstance(frame, End):
                sent_s = anyio.current_time()
                return
            if isinstance(frame, Body):
                yield frame.data

    await exchange.send(Continue(exchange.id))
    content = iterate_body() if head.has_body else None
    try:
        async with client.send(
            head.method, head.target, head.headers, content
        ) as answer:
            end.answer_s = anyio.current_time() - sent_s
            await _send_answer(exchange, answer, report())
            end.status = answer.status
    except BackendUnreachable as exc:
        await exchange.send(
            Refuse(exchange.id, ErrorKind.BACKEND_UNREACHABLE, str(exc), report())
        )
    except BackendCut as exc:
        await exchange.send(
            Fail(exchange.id, ErrorKind.BACKEND_CUT, str(exc), report())
        )


async def _send_answer(
    exchange: Exchange, answer: BackendAnswer, load: LoadReport
) -> None:
    await exchange.send(Response(exchange.id, answer.status, answer.headers, load))
    async for chunk in answer.body:
        await exchange.send_body(chunk)
    await exchange.send(End(exchange.id))
