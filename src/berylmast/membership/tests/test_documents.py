"""Guards against an accepted document that reverts or does not reach a daemon."""

import anyio
import pytest

from ...daemons import connect_exchanges
from ...daemons.frames import Frame, InForce, Slice
from ...operators import DocumentError
from .. import Directory
from ..attachment import Attachment, OwnRecord
from ..slices import (
    compress_document,
    cut_document,
    decode_slice,
    digest_slice,
    expand_document,
)
from .fleet import make_text, run_fleet

pytestmark = pytest.mark.anyio


def make_offer(version: int, slots: int, *, gone: bool = False) -> list[Frame]:
    """Return the frames of a registrar that sends one slice and its version."""
    text = b"" if gone else cut_document(make_text(orders=slots), 1).texts["orders"]
    return [Slice(1, version, "orders", text), InForce(1, version)]


async def feed(directory: Directory, frames: list[Frame]) -> None:
    """Attach to a registrar that sends these frames and then ends."""
    near, far = connect_exchanges()
    own = OwnRecord(None, directory)
    attachment = Attachment(near, directory, own, {"orders"}, lambda leases: None)
    for frame in frames:
        await far.send(frame)
    far.lose()
    near.lose()
    for frame in frames:
        match frame:
            case Slice(version=version, service=service, text=text):
                attachment._take_slice(service, version, text)
            case InForce(version=version):
                attachment._take_version(version)


@pytest.mark.parametrize(
    ("offers", "slots", "version"),
    [
        # A stale registrar after a newer one, which later catches up.
        ([make_offer(5, 6), make_offer(4, 7)], 6, 5),
        ([make_offer(5, 6), make_offer(4, 7) + make_offer(6, 7)], 7, 6),
        # Version 6 has the content of version 4, which this registrar sent before.
        ([make_offer(5, 6), [*make_offer(4, 7), InForce(1, 6)]], 7, 6),
        ([make_offer(5, 6), make_offer(6, 6, gone=True), make_offer(5, 6)], None, 6),
        ([make_offer(6, 6, gone=True), make_offer(7, 8)], 8, 7),
        # A slice that cannot be read leaves the one in force, and its version.
        ([make_offer(5, 6), [Slice(1, 6, "orders", b"{}"), InForce(1, 6)]], 6, 5),
    ],
)
async def test_only_higher_versions_are_adopted(
    offers: list[list[Frame]], slots: int | None, version: int
) -> None:
    directory = Directory()
    for frames in offers:
        await feed(directory, frames)
    found = directory.service("orders")
    assert (None if found is None else found.slots) == slots
    assert directory.document_version == version


def test_digest_depends_on_content_only() -> None:
    first = cut_document(make_text(orders=6, drawings=4), 1)
    second = cut_document(make_text(orders=6, drawings=5), 2)
    assert first.digests["orders"] == second.digests["orders"]
    assert first.digests["drawings"] != second.digests["drawings"]
    part = decode_slice(first.texts["orders"], 9)
    assert part is not None
    assert part.version == 9
    assert digest_slice(part) == first.digests["orders"]


@pytest.mark.parametrize("damage", [b"", b"x" * 50])
def test_damaged_transfer_is_refused(damage: bytes) -> None:
    data = compress_document(make_text(orders=6))
    assert expand_document(data) == make_text(orders=6)
    with pytest.raises(DocumentError):
        expand_document(data[:20] + damage)


async def test_change_reaches_only_those_that_need_it() -> None:
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6, drawings=6)
        fleet.start("a0", "n1", "orders")
        fleet.start("a1", "n1", "drawings")
        await anyio.sleep(10)
        before = fleet.daemons["a0"].directory.service("orders")
        fleet.apply(2, orders=6, drawings=9)
        await fleet.wait_until(lambda: fleet.versions() == {2}, 2.0)
        drawings = fleet.daemons["a1"].directory.service("drawings")
        orders = fleet.daemons["a0"].directory.service("orders")
        assert drawings is not None and orders is not None and before is not None
        assert (drawings.slots, drawings.version) == (9, 2)
        assert orders.hosts is before.hosts, "an unchanged slice is not sent again"


async def test_service_taken_out_of_the_document_is_dropped() -> None:
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6, drawings=6)
        daemon = fleet.start("a0", "n1", "orders")
        await anyio.sleep(10)
        fleet.apply(2, drawings=6)
        await fleet.wait_until(lambda: fleet.versions() == {2}, 2.0)
        assert daemon.directory.find_service("orders.example") is None
        assert await daemon.directory.wait_service("orders.example") is None
        fleet.apply(3, orders=4)
        await fleet.wait_until(lambda: fleet.versions() == {3}, 2.0)
        assert daemon.directory.find_service("orders.example") is not None


async def test_host_added_by_a_later_document_is_found() -> None:
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        daemon = fleet.start("a0", "n1", "orders")
        await anyio.sleep(10)
        assert await daemon.directory.wait_service("drawings.example") is None
        fleet.apply(2, orders=6, drawings=6)
        await anyio.sleep(5)
        assert await daemon.directory.wait_service("drawings.example") is not None


@pytest.mark.parametrize(
    "text",
    [
        "{",
        '{"services": {}}',
        # Its slice does not fit into a frame.
        make_text(orders=6).replace("orders.example", "x" * 300_000),
    ],
)
async def test_bad_document_in_the_store_leaves_the_last_one(text: str) -> None:
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        daemon = fleet.start("a0", "n1", "orders")
        await anyio.sleep(10)
        fleet.table.put("documents", "test", {"version": 2, "text": text}, None)
        await anyio.sleep(5)
        assert daemon.directory.service("orders") is not None
        assert fleet.versions() == {1}
        fleet.apply(3, orders=7)
        await fleet.wait_until(lambda: fleet.versions() == {3}, 2.0)


async def test_version_lower_than_the_one_in_force_is_ignored() -> None:
    async with run_fleet() as fleet:
        fleet.apply(5, orders=6)
        fleet.start("a0", "n1", "orders")
        await anyio.sleep(10)
        fleet.apply(4, orders=9)
        await anyio.sleep(10)
        found = fleet.daemons["a0"].directory.service("orders")
        assert found is not None
        assert (found.slots, fleet.versions()) == (6, {5})


async def test_service_no_longer_called_is_forgotten_and_found_again() -> None:
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6, drawings=6, catalogue=6)
        fleet.start("a1", "n1", "drawings")
        directory = fleet.start("a0", "n1", "orders").directory
        await anyio.sleep(10)
        for host in ("drawings.example", "catalogue.example"):
            assert await directory.wait_service(host) is not None
        for _ in range(12):
            await anyio.sleep(60)
            assert await directory.wait_service("catalogue.example") is not None
        assert set(directory.services()) == {"orders", "catalogue"}
        assert fleet.known("a0", "drawings") == set()
        frames = fleet.frames
        fleet.apply(2, orders=6, drawings=9, catalogue=6)
        await anyio.sleep(2)
        assert fleet.frames > frames
        assert directory.service("drawings") is None, "the registrar sends no more"
        found = await directory.wait_service("drawings.example")
        assert found is not None
        assert found.slots == 9
        assert fleet.known("a0", "drawings") == {"a1"}


async def test_refused_version_is_not_fetched_again_and_again() -> None:
    """A document of a newer release may be unreadable here for a whole upgrade."""
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        fleet.start("a0", "n1", "orders")
        fleet.start("b0", "s1", "orders")
        await anyio.sleep(15)
        newer, older = (fleet.daemons[name].member.registrar for name in ("a0", "b0"))
        assert newer is not None and older is not None
        older.adopt_document("{", 2)
        newer.adopt_document(make_text(orders=7), 2)
        await anyio.sleep(1)
        assert (newer.document.version, older.document.version) == (2, 1)
        frames = fleet.frames
        await anyio.sleep(100)
        beats = 100 // 2 * 2 * 3
        assert fleet.frames - frames < beats * 1.1
