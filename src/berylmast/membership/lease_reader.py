"""Reads the leases of other registrars, few at a time."""

from collections.abc import Callable
from random import Random
from typing import Protocol

import anyio

from ..platform import Platform, PlatformUnavailable
from .leases import LEASE_KIND, LeaseTable

LIST_INTERVAL_S = 60.0
"""Mean interval of lists of all leases: 120 of them are about 36 KB."""

READ_INTERVAL_S = 4.0
"""Interval of reads of one lease, and of lists while a registrar is not heard of."""

SUSPECT_LIMIT_S = 60.0
"""Lists are rare again after this time: a registrar may be removed for good."""

MAX_GAP_S = 2 * READ_INTERVAL_S + 2.0
"""Reads further apart than this, a call that timed out included, prove no lapse."""

LINK_SPREAD_S = 0.3
"""Longest delay of the read after a link has changed; further changes join it.

It doubles up to READ_INTERVAL_S while links keep changing: a restart of everything
would otherwise cause several lists a second of each registrar.
"""


class Links(Protocol):
    """What the reader needs of the exchanges between registrars."""

    link_changed: anyio.Event
    changed_shards: set[str]

    def is_linked(self, shard: str) -> bool:
        """Tell whether the holder of a shard is heard of."""


class LeaseReader:
    """Keeps a lease table up to date without receiving every renewal.

    Each registrar reads the lease after its own in the order of names, so that a
    holder that is heard of but cut off the platform is noticed too. All leases are
    listed rarely, and often for a while when a registrar is not heard of. A new or
    lost exchange causes a read at once.
    """

    def __init__(
        self,
        platform: Platform,
        table: LeaseTable,
        shard: str,
        links: Links,
        rng: Random,
        on_read: Callable[[], None],
    ) -> None:
        self._platform = platform
        self._table = table
        self._shard = shard
        self._links = links
        self._rng = rng
        self._on_read = on_read
        self._next_list_s = 0.0
        self._unheard_s: float | None = None

    async def run(self) -> None:
        """Read until cancelled."""
        await self._list()
        spread_s = LINK_SPREAD_S
        while True:
            with anyio.move_on_after(READ_INTERVAL_S):
                await self._links.link_changed.wait()
                await anyio.sleep(self._rng.uniform(spread_s / 2, spread_s))
            if self._links.changed_shards:
                spread_s = min(READ_INTERVAL_S, spread_s * 2)
            else:
                spread_s = LINK_SPREAD_S
            self._links.link_changed = anyio.Event()
            changed, self._links.changed_shards = self._links.changed_shards, set()
            if self._must_list(changed):
                await self._list()
            else:
                await self._get(next(iter(changed), None) or self._find_next())

    def _must_list(self, changed: set[str]) -> bool:
        now_s = anyio.current_time()
        if len(changed) > 1 or now_s >= self._next_list_s or not self._table.observing:
            return True
        if all(map(self._links.is_linked, self._others())):
            self._unheard_s = None
            return False
        if self._unheard_s is None:
            self._unheard_s = now_s
        return not changed and now_s - self._unheard_s < SUSPECT_LIMIT_S

    def _others(self) -> list[str]:
        return sorted(set(self._table.leases()) - {self._shard})

    def _find_next(self) -> str | None:
        others = self._others()
        later = [shard for shard in others if shard > self._shard]
        return next(iter(later or others), None)

    async def _list(self) -> None:
        try:
            self._table.take_listing(await self._platform.list(LEASE_KIND))
        except PlatformUnavailable:
            self._table.lose()
            return
        interval_s = LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        self._next_list_s = anyio.current_time() + interval_s
        self._on_read()

    async def _get(self, shard: str | None) -> None:
        if shard is None:
            return
        try:
            item = await self._platform.get(LEASE_KIND, shard)
        except PlatformUnavailable:
            self._table.lose()
            return
        if item is not None:
            self._table.take_object(item)
        self._on_read()
