"""Takes and holds registrar roles of the own failure domain."""

from collections.abc import Callable, Coroutine, Mapping
from random import Random
from typing import Any

import anyio

from ..platform import Platform, PlatformObject, PlatformUnavailable
from ..telemetry import log_event
from .choice import find_vacancy
from .holding import claim_lease, hold_lease
from .leases import LEASE_KIND, Claim, Lease, read_claim

CANDIDATE_SPREAD_S = 5.0
"""Random delay before a claim: of 250 daemons about ten try before the first one's
success is known to the others."""

MAX_BACKOFF_S = 60.0
"""Longest interval of claims while the platform is down or claims keep failing."""

HAND_OVER_LIMIT_S = 1.0
"""Time for the nominated daemon to claim; its one call takes milliseconds."""

HAND_OVER_POLL_S = 0.1

Serve = Callable[[Claim], Coroutine[Any, Any, None]]
"""Serves as registrar until cancelled."""


class Election:
    """Decides when this daemon becomes a registrar.

    ``make_claim`` returns this daemon's claim to a shard; ``learn`` is told of leases
    that a claim showed; ``nominate`` lets one attached daemon claim a released lease
    and tells whether there is any.
    """

    def __init__(
        self,
        platform: Platform,
        failure_domain: str,
        registrars: int,
        make_claim: Callable[[str], Claim],
        learn: Callable[[Lease], None],
        nominate: Callable[[Lease], bool],
        rng: Random,
    ) -> None:
        self._platform = platform
        self._failure_domain = failure_domain
        self._registrars = registrars
        self._make_claim = make_claim
        self._learn = learn
        self._nominate = nominate
        self._stopping = anyio.Event()
        self._rng = rng
        self._leases: Mapping[str, Lease] = {}
        self._first_hand = False
        self._wake = anyio.Event()

    def take_leases(self, leases: Mapping[str, Lease], *, first_hand: bool) -> None:
        """Consider the leases known now.

        ``first_hand`` leases were just read from the platform after a random delay,
        so that a claim needs no further one.
        """
        self._leases = leases
        self._first_hand = first_hand
        self._wake.set()

    def stop(self) -> None:
        """Hand over the role held, if any, and claim none from now on."""
        self._stopping.set()
        self._wake.set()

    async def run(self, serve: Serve) -> None:
        """Claim vacant roles and serve them, until stopped."""
        backoff_s = CANDIDATE_SPREAD_S
        while not self._stopping.is_set():
            await self._wake.wait()
            self._wake = anyio.Event()
            shard = self._find_vacancy()
            if shard is None:
                backoff_s = CANDIDATE_SPREAD_S
                continue
            if self._must_wait(shard):
                await anyio.sleep(self._rng.uniform(0.0, backoff_s))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            if self._stopping.is_set() or self._find_vacancy() != shard:
                continue
            stored = await self._claim(shard)
            if stored is not None:
                await self._hold(shard, stored, serve)
            self._first_hand = False
            self._wake.set()

    def _must_wait(self, shard: str) -> bool:
        lease = self._leases.get(shard)
        if lease is None:
            return not self._first_hand
        # Nobody else knows sooner that an earlier process of this daemon has ended.
        return lease.daemon != self._make_claim(shard).lease.daemon

    def _find_vacancy(self) -> str | None:
        return find_vacancy(self._leases, self._failure_domain, self._registrars)

    async def _claim(self, shard: str) -> PlatformObject | None:
        lapsed = self._leases.get(shard)
        try:
            base = await self._platform.get(LEASE_KIND, shard)
        except PlatformUnavailable:
            return None
        holder = None if base is None else read_claim(base)
        if holder is not None and not self._may_replace(holder, lapsed):
            self._learn(holder.lease)
            return None
        result = await claim_lease(self._platform, self._make_claim(shard), base)
        if result.is_ok():
            return result.unwrap()
        stored = result.unwrap_err().stored
        winner = None if stored is None else read_claim(stored)
        if winner is not None:
            self._learn(winner.lease)
        return None

    def _may_replace(self, holder: Claim, lapsed: Lease | None) -> bool:
        own = self._make_claim(holder.lease.shard)
        if holder.lease.daemon in ("", own.lease.daemon):
            return True
        return lapsed is not None and lapsed.daemon == holder.lease.daemon

    async def _hold(self, shard: str, stored: PlatformObject, serve: Serve) -> None:
        claim = self._make_claim(shard)
        log_event("registrar role taken", shard=shard)
        self._learn(claim.lease)
        async with anyio.create_task_group() as tg:
            tg.start_soon(serve, claim)
            if await hold_lease(self._platform, claim, stored, self._stopping):
                await self._hand_over(claim.lease)
            log_event("registrar role lost", shard=shard)
            tg.cancel_scope.cancel()

    async def _hand_over(self, lease: Lease) -> None:
        """Let one attached daemon take the role over before the others are let go."""
        if self._nominate(lease):
            with anyio.move_on_after(HAND_OVER_LIMIT_S):
                while not await self._has_holder(lease.shard):
                    await anyio.sleep(HAND_OVER_POLL_S)

    async def _has_holder(self, shard: str) -> bool:
        try:
            stored = await self._platform.get(LEASE_KIND, shard)
        except PlatformUnavailable:
            return False
        claim = None if stored is None else read_claim(stored)
        if claim is None or not claim.lease.daemon:
            return False
        self._learn(claim.lease)
        return True
