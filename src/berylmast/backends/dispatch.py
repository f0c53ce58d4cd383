"""Sends an admitted request to the backend server and streams the response back."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace

import anyio

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import Body, Continue, End, Fail, Refuse, Response
from ..errors import ErrorKind
from ..http_client import ConnectionCut, HttpAnswer, HttpClient, ServerUnreachable
from ..model import BackendLoad, Headers, LoadReport, RequestHead
from .interface import OWN_INTERFACE, BackendInterface, Verdict

# RFC 9110 section 6.5.1: fields for message framing, routing or authentication must not
# be sent as trailers.
_NOT_IN_TRAILERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-encoding",
        b"content-length",
        b"content-type",
        b"expect",
        b"host",
        b"idempotency-key",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def select_trailers(trailers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the trailers that may be forwarded."""
    return [(k, v) for k, v in trailers if k.lower() not in _NOT_IN_TRAILERS]


class AnswerInvalid(Exception):
    """The backend server's response can't be trusted."""


class RequestCut(Exception):
    """The entry sent another frame before the End frame of the request body."""


@dataclass(slots=True)
class DispatchEnd:
    """The result of dispatching one request, filled in as the dispatch proceeds.

    ``status`` is None unless the response was complete. ``answer_s`` is the time in
    seconds from the end of the request body to the head of the response. ``done`` is
    False if the entry cancelled the request, its connection was lost or the deadline
    passed first. ``refused`` is True if the backend server did not run the request.
    ``load`` is the load stated in the response headers.
    """

    status: int | None = None
    answer_s: float | None = None
    done: bool = False
    refused: bool = False
    load: BackendLoad | None = field(default=None)

    @property
    def ok(self) -> bool:
        """Return whether the response was complete and not a server error."""
        return self.done and self.status is not None and self.status < 500


async def dispatch_request(
    exchange: Exchange,
    head: RequestHead,
    client: HttpClient,
    report: Callable[[], LoadReport],
    end: DispatchEnd,
    interface: BackendInterface = OWN_INTERFACE,
) -> None:
    """Run a request until its response is complete or the entry cancels it.

    Fills in ``end`` even if cancelled. Sends ``Refuse`` if the backend server did not
    run the request, ``Fail`` if it may have run.
    """
    with exchange.cancel_on_reset():
        try:
            await _dispatch(exchange, head, client, report, end, interface)
            end.done = True
        except (ExchangeLost, RequestCut):
            # The entry no longer waits for a response. Leaving the client's context
            # manager cancels the request.
            pass


async def _iterate_body(
    exchange: Exchange,
    trailers: list[tuple[bytes, bytes]],
    on_end: Callable[[], None],
) -> AsyncIterator[bytes]:
    while True:
        frame = await exchange.receive()
        if isinstance(frame, End):
            trailers.extend(select_trailers(frame.trailers))
            on_end()
            return
        if not isinstance(frame, Body):
            raise RequestCut
        yield frame.data


async def _dispatch(
    exchange: Exchange,
    head: RequestHead,
    client: HttpClient,
    report: Callable[[], LoadReport],
    end: DispatchEnd,
    interface: BackendInterface,
) -> None:
    await exchange.send(Continue(exchange.id))
    sent_s = anyio.current_time()

    def mark_sent() -> None:
        nonlocal sent_s
        sent_s = anyio.current_time()

    trailers: list[tuple[bytes, bytes]] = []
    content = None
    if head.has_body:
        content = _iterate_body(exchange, trailers, mark_sent)
    try:
        async with client.send(
            head.method,
            head.target,
            head.headers,
            content,
            lambda: trailers,
            lambda headers: interface.is_stray(head, headers),
        ) as answer:
            end.answer_s = anyio.current_time() - sent_s
            end.load = interface.read_load(answer.headers)
            await _judge_answer(exchange, answer, report, end, interface)
    except ServerUnreachable as exc:
        await exchange.send(
            Refuse(exchange.id, ErrorKind.BACKEND_UNREACHABLE, str(exc), report())
        )
    except ConnectionCut as exc:
        await exchange.send(
            Fail(exchange.id, ErrorKind.BACKEND_CUT, str(exc), report())
        )
    except AnswerInvalid as exc:
        await exchange.send(
            Fail(exchange.id, ErrorKind.ANSWER_INVALID, str(exc), report())
        )


async def _judge_answer(
    exchange: Exchange,
    answer: HttpAnswer,
    report: Callable[[], LoadReport],
    end: DispatchEnd,
    interface: BackendInterface,
) -> None:
    match interface.judge(answer.status, answer.headers):
        case Verdict.NOT_RUN:
            end.refused = True
            async for _ in answer.body:
                pass
            detail = f"the backend server answered {answer.status} without running it"
            kind = ErrorKind.BACKEND_REFUSED
            await exchange.send(Refuse(exchange.id, kind, detail, report(), 0, True))
        case Verdict.INVALID:
            raise AnswerInvalid(f"an answer of status {answer.status} has no proof")
        case Verdict.VALID:
            await _send_answer(exchange, answer, report, interface.read_ahead_bytes)
            end.status = answer.status


async def _read_ahead(answer: HttpAnswer, limit: int) -> list[bytes]:
    """Read chunks of a body until it ends or they reach ``limit`` bytes."""
    ahead: list[bytes] = []
    size = 0
    if limit:
        async for chunk in answer.body:
            ahead.append(chunk)
            size += len(chunk)
            if size >= limit:
                break
    return ahead


async def _send_answer(
    exchange: Exchange,
    answer: HttpAnswer,
    report: Callable[[], LoadReport],
    read_ahead_bytes: int,
) -> None:
    ahead = await _read_ahead(answer, read_ahead_bytes)
    await exchange.send(Response(exchange.id, answer.status, answer.headers, report()))
    for chunk in ahead:
        await exchange.send_body(chunk)
    async for chunk in answer.body:
        await exchange.send_body(chunk)
    load = report()
    # The report still counts this request, whose slot is released after the End frame.
    load = replace(load, in_flight=max(0, load.in_flight - 1))
    await exchange.send(End(exchange.id, select_trailers(answer.trailers), load))
