"""Sends an admitted request to the backend server and streams the response back."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace

import anyio

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import Body, Continue, End, Fail, Refuse, Response
from ..errors import ErrorKind
from ..http_client import (
    ConnectionCut,
    HttpClient,
    HttpResponse,
    ServerUnreachable,
    discard_body,
)
from ..model import (
    BackendLoad,
    BackendNotice,
    Headers,
    LoadReport,
    RequestHead,
)
from .interface import OWN_INTERFACE, BackendInterface, ResponseClass

# RFC 9110 section 6.5.1: fields for message framing, routing or authentication must not
# be sent as trailers.
_FORBIDDEN_TRAILERS = frozenset(
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


def filter_trailers(trailers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the trailers that may be forwarded."""
    return [(k, v) for k, v in trailers if k.lower() not in _FORBIDDEN_TRAILERS]


class InvalidResponse(Exception):
    """The backend server's response can't be trusted."""


class IncompleteRequestBody(Exception):
    """The entry sent another frame before the End frame of the request body."""


@dataclass(slots=True)
class DispatchResult:
    """The result of dispatching one request, filled in as the dispatch proceeds.

    ``status`` is None unless the response was complete. ``time_to_response_s`` is the
    time from the end of the request body to the head of the response. ``completed`` is
    False if the entry cancelled the request, its connection was lost or the deadline
    passed first. ``refused`` is True if the backend server did not run the request.
    ``load`` is the load stated in the response headers.
    """

    status: int | None = None
    time_to_response_s: float | None = None
    completed: bool = False
    refused: bool = False
    load: BackendLoad | None = field(default=None)

    @property
    def ok(self) -> bool:
        """Return whether the response was complete and not a server error."""
        return self.completed and self.status is not None and self.status < 500


async def dispatch_request(
    exchange: Exchange,
    head: RequestHead,
    client: HttpClient,
    get_load: Callable[[], LoadReport],
    result: DispatchResult,
    interface: BackendInterface = OWN_INTERFACE,
    on_notice: Callable[[BackendNotice], None] = lambda _notice: None,
) -> None:
    """Run a request until its response is complete or the entry cancels it.

    ``on_notice`` is called with what the response states about the backend server,
    before any of the response is sent on. Fills in ``result`` even if cancelled. Sends
    ``Refuse`` if the backend server did not run the request, ``Fail`` if it may have
    run.
    """
    with exchange.cancel_on_reset():
        try:
            await _dispatch(
                exchange, head, client, get_load, result, interface, on_notice
            )
            result.completed = True
        except (ExchangeLost, IncompleteRequestBody):
            # The entry no longer waits for a response. Leaving the client's context
            # manager cancels the request.
            pass


async def _iterate_body(
    exchange: Exchange,
    trailers: list[tuple[bytes, bytes]],
    on_complete: Callable[[], None],
) -> AsyncIterator[bytes]:
    while True:
        frame = await exchange.receive()
        if isinstance(frame, End):
            trailers.extend(filter_trailers(frame.trailers))
            on_complete()
            return
        if not isinstance(frame, Body):
            raise IncompleteRequestBody
        yield frame.data


async def _dispatch(
    exchange: Exchange,
    head: RequestHead,
    client: HttpClient,
    get_load: Callable[[], LoadReport],
    result: DispatchResult,
    interface: BackendInterface,
    on_notice: Callable[[BackendNotice], None],
) -> None:
    await exchange.send(Continue(exchange.id))
    sent_s = anyio.current_time()

    def record_body_sent() -> None:
        nonlocal sent_s
        sent_s = anyio.current_time()

    trailers: list[tuple[bytes, bytes]] = []
    content = None
    if head.has_body:
        content = _iterate_body(exchange, trailers, record_body_sent)
    try:
        async with client.send(
            head.method,
            head.target,
            head.headers,
            content,
            lambda: trailers,
            lambda headers: interface.is_stray(head, headers),
        ) as response:
            result.time_to_response_s = anyio.current_time() - sent_s
            result.load = interface.read_load(response.headers)
            notice = interface.read_notice(response.status, response.headers)
            if notice is not None:
                on_notice(notice)
            await _handle_response(exchange, response, get_load, result, interface)
    except ServerUnreachable as exc:
        await exchange.send(
            Refuse(exchange.id, ErrorKind.BACKEND_UNREACHABLE, str(exc), get_load())
        )
    except ConnectionCut as exc:
        await exchange.send(
            Fail(exchange.id, ErrorKind.BACKEND_CUT, str(exc), get_load())
        )
    except InvalidResponse as exc:
        await exchange.send(
            Fail(exchange.id, ErrorKind.ANSWER_INVALID, str(exc), get_load())
        )


async def _handle_response(
    exchange: Exchange,
    response: HttpResponse,
    get_load: Callable[[], LoadReport],
    result: DispatchResult,
    interface: BackendInterface,
) -> None:
    match interface.classify(response.status, response.headers):
        case ResponseClass.NOT_RUN:
            result.refused = True
            await discard_body(response)
            detail = f"backend server returned {response.status} without running it"
            kind = ErrorKind.BACKEND_REFUSED
            await exchange.send(Refuse(exchange.id, kind, detail, get_load(), 0, True))
        case ResponseClass.INVALID:
            raise InvalidResponse(
                f"response with status {response.status} cannot be trusted"
            )
        case ResponseClass.VALID:
            await _forward_response(
                exchange, response, get_load, interface.read_ahead_bytes
            )
            result.status = response.status


async def _read_ahead(response: HttpResponse, limit: int) -> list[bytes]:
    """Read chunks of a body until it ends or they reach ``limit`` bytes."""
    prefetched: list[bytes] = []
    size = 0
    if limit:
        async for chunk in response.body:
            prefetched.append(chunk)
            size += len(chunk)
            if size >= limit:
                break
    return prefetched


async def _forward_response(
    exchange: Exchange,
    response: HttpResponse,
    get_load: Callable[[], LoadReport],
    read_ahead_bytes: int,
) -> None:
    prefetched = await _read_ahead(response, read_ahead_bytes)
    await exchange.send(
        Response(exchange.id, response.status, response.headers, get_load())
    )
    for chunk in prefetched:
        await exchange.send_body(chunk)
    async for chunk in response.body:
        await exchange.send_body(chunk)
    load = get_load()
    # The report still counts this request, whose slot is released after the End frame.
    load = replace(load, in_flight=max(0, load.in_flight - 1))
    await exchange.send(End(exchange.id, filter_trailers(response.trailers), load))
