"""Starts the fleets that the tests of the membership share."""

import anyio

from ..document_sync import WATCH_TIMEOUTS_S
from .fleet import Fleet

JOIN_LIMIT_S = 3.0
SPREAD_LIMIT_S = 10.0

NAMES = ("a0", "a1", "b0", "b1")


async def start_all(fleet: Fleet) -> None:
    """Start four daemons in two regions and wait until each knows all of them."""
    fleet.apply(1, orders=6)
    for name in NAMES:
        fleet.start(name, "n1" if name[0] == "a" else "s1")
    await fleet.wait_until(lambda: all_know(fleet, *NAMES), JOIN_LIMIT_S)
    await fleet.wait_until(lambda: fleet.versions() == {1}, JOIN_LIMIT_S)


async def start_domains(fleet: Fleet, daemons_per_domain: int) -> None:
    """Start daemons in two failure domains of one region and let them settle."""
    fleet.apply(1, orders=6)
    for domain in ("n1", "n2"):
        for number in range(daemons_per_domain):
            fleet.start(f"{domain}-{number}", domain)
    await fleet.wait_until(lambda: all_know(fleet, *fleet.daemons), SPREAD_LIMIT_S)
    await fleet.wait_until(lambda: fleet.versions() == {1}, SPREAD_LIMIT_S)
    # Watches that began before the fleet was known have ended by now.
    await anyio.sleep(max(WATCH_TIMEOUTS_S.values()))


def all_know(fleet: Fleet, *backends: str) -> bool:
    """Return whether every daemon knows exactly these backend servers."""
    return all(fleet.known(name) == set(backends) for name in fleet.daemons)
