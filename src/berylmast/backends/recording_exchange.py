"""An exchange on the owner's side that records how its attempt ends."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import Body, End, Fail, Frame, Refuse, Reset, Response
from ..model import (
    MAX_STORED_BODY_BYTES,
    MAX_STORED_HEADER_BYTES,
    AttemptState,
    RequestHead,
    StoredResponse,
)
from .ledger import AttemptRecord


class RecordingExchange(Exchange):
    """Wraps an exchange and records the end of its attempt and the response.

    A non-idempotent attempt whose request was received completely continues after its
    connection is lost, until its deadline, so that a query can return its response.
    ``attempt_record`` is None until a closing frame has been sent.
    """

    def __init__(self, inner: Exchange, head: RequestHead) -> None:
        # Exchange.__init__ is not called: every method in use is overridden and
        # delegates to ``inner``, which holds the state.
        self.id = inner.id
        self.lost = False
        self.peer_incarnation = None
        self.attempt_record: AttemptRecord | None = None
        self._inner = inner
        self._survives_connection_loss = not head.idempotent
        self._request_complete = not head.has_body
        self._stores_response = not head.idempotent
        self._head: Response | None = None
        self._body = bytearray()

    async def send(self, frame: Frame) -> None:
        """Record a frame and send it.

        Raises ExchangeLost if the connection was lost, unless the attempt continues
        without it.
        """
        self._record_frame(frame)
        try:
            await self._inner.send(frame)
        except ExchangeLost:
            if not (self._survives_connection_loss and self._request_complete):
                raise

    async def receive(self) -> Frame:
        """Wait for the next frame.

        If the connection is lost, this waits forever when the attempt continues without
        it, and raises ExchangeLost otherwise.
        """
        try:
            frame = await self._inner.receive()
        except ExchangeLost:
            if self._survives_connection_loss and self._request_complete:
                await anyio.sleep_forever()
            raise
        if isinstance(frame, End):
            self._request_complete = True
        return frame

    async def wait_reset(self) -> None:
        """Wait until the entry resets the exchange or the connection is lost.

        For a non-idempotent attempt a lost connection is ignored here. ``receive``
        raises ExchangeLost if the request was incomplete.
        """
        await self._inner.wait_reset()
        if self._survives_connection_loss and not self._inner.was_reset:
            await anyio.sleep_forever()

    @contextmanager
    def cancel_on_reset(self, *, only_reset: bool = False) -> Iterator[None]:
        """Cancel the block when ``wait_reset`` would return."""
        only_reset = only_reset or self._survives_connection_loss
        with self._inner.cancel_on_reset(only_reset=only_reset):
            yield

    def _record_frame(self, frame: Frame) -> None:
        match frame:
            case Response():
                self._head = frame
                size = sum(len(key) + len(value) for key, value in frame.headers)
                self._stores_response = (
                    self._stores_response and size <= MAX_STORED_HEADER_BYTES
                )
            case Body():
                self._record_body(frame.data)
            case End():
                self.attempt_record = AttemptRecord(
                    AttemptState.FINISHED, response=self._make_stored_response()
                )
            case Refuse():
                self.attempt_record = AttemptRecord(
                    AttemptState.REFUSED, frame.kind, frame.detail
                )
            case Fail():
                self.attempt_record = AttemptRecord(
                    AttemptState.FAILED, frame.kind, frame.detail
                )
            case Reset():
                self.attempt_record = AttemptRecord(
                    AttemptState.FAILED, frame.kind, "reset"
                )

    def _record_body(self, data: bytes) -> None:
        if len(self._body) + len(data) > MAX_STORED_BODY_BYTES:
            self._stores_response = False
            self._body.clear()
        if self._stores_response:
            self._body += data

    def _make_stored_response(self) -> StoredResponse | None:
        if not self._stores_response or self._head is None:
            return None
        return StoredResponse(self._head.status, self._head.headers, bytes(self._body))
