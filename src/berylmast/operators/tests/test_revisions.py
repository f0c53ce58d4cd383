"""Guards against a misreported write outcome and lost updates."""

from typing import Any, cast

import anyio
import pytest

from ...platform import Conflict, ObjectStore, PlatformUnavailable, StoredObject
from ..revisions import ApplyConflict, ApplyUnknown, apply_revision, read_revision

pytestmark = pytest.mark.anyio


class FakeStore:
    """Store of one object with conditional updates and failing writes.

    The response to the first ``lost_responses`` writes is lost; the first
    ``lost_writes`` writes are not executed.
    """

    def __init__(self, lost_responses: int = 0, lost_writes: int = 0) -> None:
        self.stored: StoredObject | None = None
        self.outage = False
        self._lost_responses = lost_responses
        self._lost_writes = lost_writes

    async def get(self, kind: str, name: str) -> StoredObject | None:
        await anyio.sleep(0.01)
        if self.outage:
            raise PlatformUnavailable("outage")
        return self.stored

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], revision: int | None
    ) -> StoredObject:
        await anyio.sleep(0.01)
        if self._lost_writes:
            self._lost_writes -= 1
            raise PlatformUnavailable("request lost")
        stored = 0 if self.stored is None else self.stored.revision
        if revision != stored:
            raise Conflict("revision")
        self.stored = StoredObject(name, stored + 1, spec)
        if self._lost_responses:
            self._lost_responses -= 1
            raise PlatformUnavailable("response lost")
        return self.stored


def as_client(fake: FakeStore) -> ObjectStore:
    return cast(ObjectStore, fake)


@pytest.mark.parametrize(
    ("fake", "accepted"),
    [
        (FakeStore(), True),
        (FakeStore(lost_responses=1), True),
        (FakeStore(lost_writes=1), False),
    ],
    ids=["plain", "response-lost", "write-lost"],
)
async def test_result_matches_the_store(fake: FakeStore, accepted: bool) -> None:
    applied = await apply_revision(as_client(fake), "trial", "{}", 0)
    assert applied.is_ok() is accepted
    assert (fake.stored is not None) is accepted
    if not accepted:
        assert isinstance(applied.unwrap_err(), ApplyUnknown)


async def test_outage_after_the_write_is_reported_as_unknown() -> None:
    fake = FakeStore(lost_responses=1)

    async def fail_later() -> None:
        await anyio.sleep(0.015)
        fake.outage = True

    async with anyio.create_task_group() as tg:
        tg.start_soon(fail_later)
        applied = await apply_revision(as_client(fake), "trial", "{}", 0)
    assert isinstance(applied.unwrap_err(), ApplyUnknown)


@pytest.mark.parametrize("lost_responses", [0, 1, 3])
async def test_one_concurrent_apply_succeeds_and_the_others_conflict(
    lost_responses: int,
) -> None:
    fake = FakeStore(lost_responses=lost_responses)
    client = as_client(fake)
    results = {}

    async def apply(number: int) -> None:
        results[number] = await apply_revision(client, "trial", f"{{}} // {number}", 0)

    async with anyio.create_task_group() as tg:
        for number in range(8):
            tg.start_soon(apply, number)
    winners = [number for number, result in results.items() if result.is_ok()]
    stored = await read_revision(client, "trial")
    assert stored is not None
    assert stored.version == 1
    assert [f"{{}} // {number}" for number in winners] == [stored.text]
    for number in set(results) - set(winners):
        error = results[number].unwrap_err()
        assert isinstance(error, ApplyConflict)
        assert error.stored is not None
        assert error.stored.text == stored.text


async def test_change_on_an_old_base_is_a_conflict() -> None:
    client = as_client(FakeStore())
    await apply_revision(client, "trial", "{}", 0)
    applied = await apply_revision(client, "trial", "{} // late", 0)
    assert isinstance(applied.unwrap_err(), ApplyConflict)
    assert (await apply_revision(client, "trial", "{} // next", 1)).is_ok()
