"""Claims, renews and releases the lease of a registrar role."""

from typing import Any

import anyio
from result import Result

from ..platform import (
    Platform,
    PlatformObject,
    PutFailure,
    PutFault,
    put_confirmed,
)
from .leases import LEASE_KIND, RENEW_INTERVAL_S, Claim, read_claim

RELEASE_LIMIT_S = 1.0
"""A stopping holder does not wait longer for the platform; its lease then lapses."""


def _make_spec(claim: Claim, renewed: int) -> dict[str, Any]:
    lease = claim.lease
    return {
        "daemon": lease.daemon,
        "region": lease.region,
        "failure_domain": lease.failure_domain,
        "host": lease.host,
        "port": lease.port,
        "incarnation": claim.incarnation,
        "renewed": renewed,
    }


async def claim_lease(
    platform: Platform, claim: Claim, base: PlatformObject | None
) -> Result[PlatformObject, PutFailure]:
    """Take a lease that is still at ``base``, None for one that does not exist."""
    spec = _make_spec(claim, 0)
    return await put_confirmed(platform, LEASE_KIND, claim.lease.shard, spec, base)


async def hold_lease(
    platform: Platform,
    claim: Claim,
    stored: PlatformObject,
    stopping: anyio.Event,
) -> bool:
    """Renew a lease until another daemon holds it or ``stopping`` is set.

    Returns True if the lease has been released because of ``stopping``.

    A failed renewal is not the end: while the platform is down nobody else can take
    the lease. A holder that was paused learns from the version conflict.
    """
    renewed = 0
    while True:
        with anyio.move_on_after(RENEW_INTERVAL_S):
            await stopping.wait()
        if stopping.is_set():
            return await _release_lease(platform, claim, stored)
        renewed += 1
        spec = _make_spec(claim, renewed)
        result = await put_confirmed(
            platform, LEASE_KIND, claim.lease.shard, spec, stored
        )
        if result.is_ok():
            stored = result.unwrap()
            continue
        failure = result.unwrap_err()
        if failure.fault is not PutFault.CONFLICT:
            continue
        found = None if failure.stored is None else read_claim(failure.stored)
        if failure.stored is None or found != claim:
            return False
        # An earlier renewal with an unknown outcome has taken effect after all.
        stored = failure.stored


async def _release_lease(
    platform: Platform, claim: Claim, stored: PlatformObject
) -> bool:
    """Empty the holder of a lease that is still at ``stored``; tell whether it is.

    After a renewal of unknown outcome the version differs, and the lease lapses.
    """
    spec = {**_make_spec(claim, 0), "daemon": ""}
    with anyio.move_on_after(RELEASE_LIMIT_S):
        result = await put_confirmed(
            platform, LEASE_KIND, claim.lease.shard, spec, stored
        )
        return result.is_ok()
    return False
