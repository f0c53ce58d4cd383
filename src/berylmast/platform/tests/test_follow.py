"""Guards against a watch that stops without notice, and against lost changes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest

from berylmast_dev.objects import ObjectTable

from ..follow import MAX_BACKOFF_S, SILENCE_LIMIT_S, follow_objects
from ..objects import EventType, Listing, WatchEvent
from .fake import FakePlatform

pytestmark = pytest.mark.anyio


class Reader:
    """Keeps what ``follow_objects`` reports."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}
        self.lost = 0

    def take_list(self, listing: Listing) -> None:
        self.values = {i.metadata.name: i.spec["n"] for i in listing.items}

    def take_event(self, event: WatchEvent) -> None:
        if event.object is None:
            return
        if event.type is EventType.DELETED:
            del self.values[event.object.metadata.name]
        else:
            self.values[event.object.metadata.name] = event.object.spec["n"]

    def note_lost(self) -> None:
        self.lost += 1


@asynccontextmanager
async def follow() -> AsyncIterator[tuple[FakePlatform, Reader]]:
    platform = FakePlatform(ObjectTable())
    platform.table.put("things", "a", {"n": 1}, 0)
    reader = Reader()

    async def run() -> None:
        await follow_objects(
            platform,
            "things",
            on_list=reader.take_list,
            on_event=reader.take_event,
            on_lost=reader.note_lost,
            rng=Random(1),
        )

    async with anyio.create_task_group() as tg:
        tg.start_soon(run)
        await anyio.sleep(0.5)
        yield platform, reader
        tg.cancel_scope.cancel()


async def test_changes_arrive_at_once_and_quiet_costs_no_calls() -> None:
    async with follow() as (platform, reader):
        assert reader.values == {"a": 1}
        platform.table.put("things", "b", {"n": 2}, 0)
        platform.table.put("other", "x", {"n": 7}, 0)
        platform.table.delete("things", "a", None)
        await anyio.sleep(0.1)
        assert reader.values == {"b": 2}
        await anyio.sleep(600)
        assert platform.log == [("list", "things"), ("watch", "things")]


async def test_silent_watch_is_established_again_within_the_limit() -> None:
    async with follow() as (platform, reader):
        platform.silent = True
        await anyio.sleep(1.5)
        platform.table.put("things", "a", {"n": 5}, None)
        platform.silent = False
        await anyio.sleep(SILENCE_LIMIT_S + 1.5)
        assert reader.lost == 1
        assert reader.values == {"a": 5}
        assert platform.log.count(("list", "things")) == 1, "a resume needs no list"


async def test_compaction_during_an_outage_leads_to_a_new_list() -> None:
    async with follow() as (platform, reader):
        platform.down = True
        await anyio.sleep(20)
        platform.table.put("things", "a", {"n": 6}, None)
        platform.table.put("things", "c", {"n": 7}, None)
        platform.table.compact()
        platform.down = False
        await anyio.sleep(MAX_BACKOFF_S + 3)
        assert reader.values == {"a": 6, "c": 7}


async def test_calls_during_a_long_outage_are_bounded() -> None:
    async with follow() as (platform, _):
        platform.refused = platform.down = True
        before = platform.calls
        await anyio.sleep(600)
        assert platform.calls - before <= 600 / (MAX_BACKOFF_S / 2) + 10
