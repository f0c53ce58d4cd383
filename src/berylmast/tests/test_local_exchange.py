"""Guards against requests that keep running locally after their caller has gone."""

from typing import cast

import pytest

from ..backends import Owner
from ..daemons import Exchange
from ..daemons.frames import Continue, End, Frame, OpeningFrame, Request, Reset
from ..local_exchange import open_local_exchange
from .fake_parts import make_head

pytestmark = pytest.mark.anyio


class FakeOwner:
    """Sends ``frames`` in response to a request, then records the next frame."""

    def __init__(self, frames: tuple[Frame, ...]) -> None:
        self.frames = frames
        self.seen: list[Frame] = []

    async def accept(self, exchange: Exchange, frame: OpeningFrame) -> None:
        for frame_to_send in self.frames:
            await exchange.send(frame_to_send)
        self.seen.append(await exchange.receive())


@pytest.mark.parametrize(
    ("frames", "seen"),
    [((Continue(1),), [Reset]), ((Continue(1), End(1)), [])],
    ids=["early", "after-the-end"],
)
async def test_leaving_early_resets_the_exchange(
    frames: tuple[Frame, ...], seen: list[type[Frame]]
) -> None:
    owner = FakeOwner(frames)
    async with open_local_exchange(cast(Owner, owner)) as exchange:
        await exchange.send(Request(exchange.id, make_head()))
        for _ in frames:
            await exchange.receive()
    assert [type(frame) for frame in owner.seen] == seen
