"""Watches the store while this daemon is a watcher, and polls it otherwise.

Load pattern: as in ``watchers``. The configuration and the evacuations are followed in
the same way, but with other calls and times.
"""

from collections.abc import Awaitable, Callable
from random import Random

import anyio

from ..platform.objects import PlatformUnavailable
from .fleet_view import FleetView
from .store_calls import Backoff
from .watchers import WatchRole

WATCH_DELAY_S = 0.15
"""Delay after a change before the next watch, so that several changes in quick
succession cost one call."""

FLEET_SEARCH_TIME_S = 3.0
"""Time after which a daemon that knows no other one starts to watch. When a whole fleet
starts, nobody knows who the watchers are until the first records are stored."""

_FLEET_SEARCH_POLL_S = 0.1

ROLE_CHECK_INTERVAL_S = 1.0
"""Interval at which a daemon checks whether it has become a watcher."""

ISOLATION_CHECK_INTERVAL_S = 0.25

POLL_INTERVAL_PER_DAEMON_S = 1.0
"""The interval between two polls of a daemon grows with the fleet, so that the fleet
as a whole polls about once per second."""

MIN_POLL_INTERVAL_S = 3.0
MAX_POLL_INTERVAL_S = 120.0


async def run_watch(
    fleet: FleetView,
    backoff: Backoff,
    watch: Callable[[WatchRole], Awaitable[bool]],
    on_role: Callable[[WatchRole], None] = lambda _role: None,
) -> None:
    """Call ``watch`` repeatedly while this daemon is a watcher.

    ``watch`` waits for one change and returns whether there was one. ``on_role`` is
    called when the role has changed.
    """
    await _wait_for_fleet(fleet)
    last_role = WatchRole.NONE
    while True:
        role = fleet.get_watch_role()
        if role is not last_role:
            on_role(role)
            last_role = role
        if role is WatchRole.NONE:
            await _wait_for_role_check(fleet)
            continue
        try:
            changed = await watch(role)
        except PlatformUnavailable as exc:
            await backoff.wait(exc)
            continue
        backoff.reset()
        if changed:
            await anyio.sleep(WATCH_DELAY_S)


async def run_polls(
    fleet: FleetView,
    backoff: Backoff,
    poll: Callable[[], Awaitable[None]],
    get_interval_s: Callable[[], float],
) -> None:
    """Call ``poll`` at intervals while this daemon is not a watcher.

    ``get_interval_s`` returns the time in seconds until the next call.
    """
    while True:
        await anyio.sleep(get_interval_s())
        if fleet.get_watch_role() is not WatchRole.NONE:
            continue
        try:
            await poll()
        except PlatformUnavailable as exc:
            await backoff.wait(exc)
            continue
        backoff.reset()


def compute_poll_interval_s(fleet_size: int, rng: Random) -> float:
    """Return the time in seconds to the next poll by a daemon of the fleet."""
    interval_s = max(MIN_POLL_INTERVAL_S, fleet_size * POLL_INTERVAL_PER_DAEMON_S)
    return min(interval_s, MAX_POLL_INTERVAL_S) * rng.uniform(0.5, 1.5)


async def _wait_for_fleet(fleet: FleetView) -> None:
    with anyio.move_on_after(FLEET_SEARCH_TIME_S):
        while fleet.size == 1:
            await anyio.sleep(_FLEET_SEARCH_POLL_S)


async def _wait_for_role_check(fleet: FleetView) -> None:
    with anyio.move_on_after(ROLE_CHECK_INTERVAL_S):
        while not fleet.is_isolated:
            await anyio.sleep(ISOLATION_CHECK_INTERVAL_S)
