"""Guards against a write reported as failed that took effect, or the reverse."""

import pytest

from berylmast_dev.objects import ObjectTable

from ..confirm import PutFault, put_confirmed
from ..objects import PlatformObject
from .fake import FakePlatform

pytestmark = pytest.mark.anyio


def make_platform() -> FakePlatform:
    table = ObjectTable()
    table.put("things", "a", {"n": 1}, 0)
    return FakePlatform(table)


async def read(platform: FakePlatform) -> PlatformObject:
    found = await platform.get("things", "a")
    assert found is not None
    return found


@pytest.mark.parametrize("lost", [0, 1, 2, 3])
async def test_write_with_lost_answer_is_done_once(lost: int) -> None:
    platform = make_platform()
    base = await read(platform)
    platform.lose_puts = lost
    result = await put_confirmed(platform, "things", "a", {"n": 2}, base)
    assert result.is_ok()
    stored = await read(platform)
    assert stored == result.unwrap()
    assert stored.spec["n"] == 2
    assert stored.metadata.resource_version == base.metadata.resource_version + 1


async def test_other_writer_is_a_conflict_with_its_object() -> None:
    platform = make_platform()
    base = await read(platform)
    platform.table.put("things", "a", {"n": 9, "writers": ["other"]}, None)
    failure = (
        await put_confirmed(platform, "things", "a", {"n": 2}, base)
    ).unwrap_err()
    assert failure.fault is PutFault.CONFLICT
    assert failure.stored is not None
    assert failure.stored.spec["n"] == 9
    assert (await read(platform)).spec["n"] == 9


async def test_write_overwritten_before_the_read_back_is_done() -> None:
    platform = make_platform()
    base = await read(platform)
    platform.lose_puts = 1
    plain_get = platform.get

    async def overwrite_then_get(kind: str, name: str) -> PlatformObject | None:
        platform.get = plain_get  # type: ignore[method-assign]
        first = await plain_get(kind, name)
        assert first is not None
        later = await put_confirmed(platform, kind, name, {"n": 3}, first)
        assert later.is_ok()
        return await plain_get(kind, name)

    platform.get = overwrite_then_get  # type: ignore[method-assign]
    result = await put_confirmed(platform, "things", "a", {"n": 2}, base)
    assert result.is_ok()
    assert (await read(platform)).spec["n"] == 3


@pytest.mark.parametrize(
    ("fault", "expected"),
    [("down", PutFault.UNKNOWN), ("refused", PutFault.NOT_WRITTEN)],
)
async def test_unreachable_platform_gives_a_truthful_outcome(
    fault: str, expected: PutFault
) -> None:
    platform = make_platform()
    base = await read(platform)
    setattr(platform, fault, True)
    failure = (
        await put_confirmed(platform, "things", "a", {"n": 2}, base)
    ).unwrap_err()
    assert failure.fault is expected
