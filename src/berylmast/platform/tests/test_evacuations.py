"""Guards against evacuations that are read wrongly from the store."""

from typing import Any

import pytest

from berylmast_dev.objects import ObjectTable

from ...identifiers import MAX_FRAME_INT
from ...model import Evacuations
from ..evacuations import EVACUATION_KIND, MAX_EVACUATIONS, make_evacuations
from ..objects import (
    Changes,
    Listing,
    ObjectChange,
    PlatformUnavailable,
    RevisionExpired,
    StoredObject,
)
from ..platform_store import PlatformStore
from .fake_store import FakeStore

pytestmark = pytest.mark.anyio

BASE = Evacuations(2, 5, ("z1",))


class FixedStore(FakeStore):
    """Answers each list and watch with fixed content."""

    def __init__(self, answer: Any) -> None:
        super().__init__(ObjectTable())
        self.answer = answer

    async def list(
        self, kind: str, *, stale: bool = False, timeout_s: float | None = None
    ) -> Listing:
        assert kind == EVACUATION_KIND
        listing: Listing = self.answer
        return listing

    async def wait_changes(self, kind: str, revision: int, wait_s: float) -> Changes:
        assert (kind, revision) == (EVACUATION_KIND, BASE.revision)
        changes: Changes = self.answer
        return changes


def make_store(answer: Any) -> PlatformStore:
    return PlatformStore(FixedStore(answer), "c", "current", EVACUATION_KIND)


def make_object(name: str, spec: object = None, deleting: bool = False) -> StoredObject:
    return StoredObject(name, 1, spec, deleting)


@pytest.mark.parametrize(
    ("items", "failure_domains"),
    [
        ([], ()),
        ([make_object("z2"), make_object("z1")], ("z1", "z2")),
        ([make_object("z1", spec) for spec in ("x",)], ("z1",)),
        ([make_object("z1", {"a": [1]})], ("z1",)),
        ([make_object("z1", deleting=True)], ()),
        ([make_object("z1", deleting=True), make_object("z2")], ("z2",)),
        ([make_object(""), make_object("z1")], ("z1",)),
        ([make_object("x" * 129), make_object("z1")], ("z1",)),
        ([make_object("\ud800"), make_object("z1")], ("z1",)),
    ],
)
async def test_object_names_are_the_evacuated_failure_domains(
    items: list[StoredObject], failure_domains: tuple[str, ...]
) -> None:
    """An unreadable entry of another writer must not hide sound ones."""
    store = make_store(Listing(7, tuple(items), 2))
    assert await store.read_evacuations() == Evacuations(2, 7, failure_domains)
    stale = await store.read_evacuations(stale=True)
    assert stale == Evacuations(2, 0, failure_domains)


@pytest.mark.parametrize(
    ("changes", "failure_domains"),
    [
        ([], ("z1",)),
        ([("z2", False, False)], ("z1", "z2")),
        ([("z1", True, True)], ()),
        ([("z1", True, False)], ()),
        ([("z1", False, True)], ()),
        ([("z1", True, True), ("z1", False, False)], ("z1",)),
        ([("z2", False, False), ("z2", True, True)], ("z1",)),
        ([("\ud800", False, False), ("z2", False, False)], ("z1", "z2")),
        ([("unknown", True, True)], ("z1",)),
    ],
)
async def test_changes_apply_in_order(
    changes: list[tuple[str, bool, bool]], failure_domains: tuple[str, ...]
) -> None:
    """``changes`` are name, deleted, deleting."""
    events = tuple(
        ObjectChange(make_object(name, {}, deleting), deleted)
        for name, deleted, deleting in changes
    )
    store = make_store(Changes(9, events, 2))
    assert await store.wait_evacuations(BASE, 1.0) == Evacuations(2, 9, failure_domains)


@pytest.mark.parametrize("era", [0, 1, 3])
async def test_answer_of_another_era_is_not_applied(era: int) -> None:
    """Its revisions can't be compared with those of the known evacuations."""
    store = make_store(Changes(9, (), era))
    with pytest.raises(RevisionExpired):
        await store.wait_evacuations(BASE, 1.0)


@pytest.mark.parametrize("revision", [-1, MAX_FRAME_INT + 1])
def test_revision_that_no_frame_carries_is_refused(revision: int) -> None:
    with pytest.raises(PlatformUnavailable):
        make_evacuations(1, revision, [])


def test_number_of_evacuations_is_bounded() -> None:
    """More would not fit into a frame, and no comparison would succeed."""
    names = [f"z{number}" for number in range(2 * MAX_EVACUATIONS)]
    found = make_evacuations(1, 1, names).failure_domains
    assert len(found) == MAX_EVACUATIONS


async def test_store_without_the_kind_is_not_called() -> None:
    client = FakeStore(ObjectTable())
    store = PlatformStore(client, "c", "current")
    assert await store.read_evacuations() == Evacuations(0, 0)
    assert await store.wait_evacuations(Evacuations(0, 0), 1.0) == Evacuations(0, 0)
    assert client.calls == 0
