"""In-memory exchanges with the owner in the same process."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import anyio

from .backends import Owner
from .daemons import Exchange, ExchangeLost, PeerPool, make_exchange_pair
from .daemons.frames import OpeningFrame, Reset
from .errors import ErrorKind
from .model import Endpoint


def make_exchange_opener(
    pool: PeerPool, owner: Owner | None, is_local: Callable[[Endpoint], bool]
) -> Callable[[Endpoint], AbstractAsyncContextManager[Exchange]]:
    """Return a function that opens an exchange with an endpoint's owner."""

    def open_exchange(endpoint: Endpoint) -> AbstractAsyncContextManager[Exchange]:
        if owner is not None and is_local(endpoint):
            return open_local_exchange(owner)
        return pool.open_exchange(endpoint)

    return open_exchange


@asynccontextmanager
async def open_local_exchange(owner: Owner) -> AsyncIterator[Exchange]:
    """Open an in-memory exchange with the local owner.

    Leaving the context before the exchange has ended resets it.
    """
    entry_side, owner_side = make_exchange_pair()

    async def serve_exchange() -> None:
        frame = await owner_side.receive()
        assert isinstance(frame, OpeningFrame)
        try:
            await owner.accept(owner_side, frame)
        except ExchangeLost:
            pass
        finally:
            entry_side.mark_lost()

    lost_error: ExchangeLost | None = None
    async with anyio.create_task_group() as tg:
        tg.start_soon(serve_exchange)
        try:
            yield entry_side
        except ExchangeLost as exc:
            # If raised here, the task group would wrap it in an ExceptionGroup.
            lost_error = exc
        finally:
            if not entry_side.peer_closed and not owner_side.lost:
                owner_side.deliver(Reset(owner_side.id, ErrorKind.CANCELLED))
            owner_side.mark_lost()
            entry_side.discard()
    if lost_error is not None:
        raise lost_error
