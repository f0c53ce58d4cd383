"""One daemon's part in membership: its registrar, and its own role as one."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import anyio

from ..daemons import ConnectionLost, Exchange, ExchangeLost, Identity
from ..daemons.frames import Announce, Registrars, Reset, Sync
from ..errors import ErrorKind
from ..model import Endpoint, EndpointState
from ..platform import Platform
from ..telemetry import log_event
from .attachment import Attachment, OwnRecord
from .choice import Avoided, choose_registrar
from .directory import Directory
from .election import Election
from .finder import Finder, Place, make_claims
from .leases import Claim, Lease, pack_lease
from .links import Dial
from .registrar import Registrar

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
"""30,000 daemons without any registrar then cost 1,000 calls a second."""

REDIAL_S = 2.0
"""Longest time between two dials of registrars that failed before.

A dial costs the platform nothing. A daemon that was cut off has to catch up within 9 s.
"""

MOVE_SPREAD_S = 5.0
"""A new registrar does not get all its daemons at the same moment."""

WORKED_S = 10.0
"""An exchange that lasted this long shows that the registrar works."""


class Member:
    """Keeps a daemon attached to a registrar, and its directory up to date."""

    def __init__(
        self,
        identity: Identity,
        place: Place,
        directory: Directory,
        platform: Platform,
        dial: Dial,
        rng: Random,
        record: Endpoint | None = None,
    ) -> None:
        self.attached: Lease | None = None
        self.registrar: Registrar | None = None
        self.role: str | None = None
        self._identity = identity
        self._place = place
        self._directory = directory
        self._platform = platform
        self._dial = dial
        self._rng = rng
        self._own = OwnRecord(record, directory)
        self._services = set() if record is None else {record.service}
        self._leases: dict[str, Lease] = {}
        self._finder = Finder(identity, place, platform, dial, rng)
        self._avoided = Avoided(anyio.current_time)
        self._attachment: Attachment | None = None
        self._moving = False
        self._served: set[anyio.CancelScope] = set()
        self._election = Election(
            platform,
            place.failure_domain,
            place.registrars_per_domain,
            make_claims(identity, place),
            self._learn_one,
            self._nominate,
            rng,
        )
        directory.ask_with(self._ask_host)

    async def run(self) -> None:
        """Take part until cancelled."""
        async with anyio.create_task_group() as tg:
            if self._own.record is not None:
                tg.start_soon(self._election.run, self._serve_role)
            tg.start_soon(self._stay_attached)

    async def accept(self, exchange: Exchange, frame: Announce | Sync) -> None:
        """Serve a control exchange that another daemon opened."""
        scope = anyio.CancelScope()
        self._served.add(scope)
        try:
            with scope:
                if self.registrar is not None:
                    await self.registrar.accept(exchange, frame)
                else:
                    leases = tuple(pack_lease(lease) for lease in self._leases.values())
                    await exchange.send(Registrars(exchange.id, leases))
            await exchange.send(Reset(exchange.id, ErrorKind.CANCELLED))
        except ExchangeLost:
            pass
        finally:
            self._served.discard(scope)

    def announce_state(self, state: EndpointState) -> None:
        """Spread another state of the local backend server."""
        self._own.advance(state)
        if self._attachment is not None:
            self._attachment.note_record()

    def hand_over(self) -> None:
        """Give up the registrar role, if any, and take none: this process ends soon."""
        self._election.stop()

    def report(self) -> dict[str, object]:
        """Return what this daemon knows, for operators."""
        services = self._directory.services()
        return {
            "version": self._directory.document_version,
            "registrar": None if self.attached is None else self.attached.shard,
            "role": self.role,
            "services": len(services),
            "endpoints": sum(len(self._directory.endpoints(s)) for s in services),
            "store_calls": self._platform.calls,
        }

    async def _stay_attached(self) -> None:
        backoff_s = FIRST_BACKOFF_S
        if not await self._ask_seeds():
            await anyio.sleep(self._rng.uniform(0.0, self._place.start_spread_s))
            await self._list_leases()
        while True:
            lease = self._choose()
            if lease is not None:
                if await self._attach(lease):
                    backoff_s = FIRST_BACKOFF_S
                continue
            if await self._redial(backoff_s * self._rng.uniform(0.5, 1.0)):
                backoff_s = FIRST_BACKOFF_S
                continue
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            # The role taken meanwhile, or a registrar no longer avoided, needs no call.
            if self._choose() is None and not await self._ask_seeds():
                await self._list_leases()

    async def _redial(self, duration_s: float) -> bool:
        """Try the known registrars for a time; tell whether one of them worked."""
        end_s = anyio.current_time() + duration_s
        while (left_s := end_s - anyio.current_time()) > 0:
            await anyio.sleep(min(left_s, REDIAL_S * self._rng.uniform(0.5, 1.0)))
            known = [lease for lease in self._leases.values() if lease.daemon]
            if known and await self._attach(self._rng.choice(known)):
                return True
        return False

    async def _attach(self, lease: Lease) -> bool:
        """Attach to a registrar until that ends; tell whether it worked for a while."""
        started_s = anyio.current_time()
        place = self._place
        moved = False
        try:
            async with self._dial(lease.host, lease.port) as exchange:
                attachment = Attachment(
                    exchange, self._directory, self._own, self._services, self._learn
                )
                self.attached, self._attachment = lease, attachment
                await attachment.run(
                    self._identity.daemon, place.region, place.failure_domain
                )
                moved = self._moving
        except (ConnectionLost, ExchangeLost):
            pass
        finally:
            self.attached = self._attachment = None
            self._moving = False
        worked = anyio.current_time() - started_s >= WORKED_S
        if worked:
            self._avoided.clear(lease.daemon)
        if not moved:
            log_event("registrar lost", shard=lease.shard)
            self._avoided.add(lease.daemon)
        return worked or moved

    def _choose(self) -> Lease | None:
        place = self._place
        return choose_registrar(
            self._leases.values(),
            self._identity.daemon,
            place.region,
            place.failure_domain,
            self._avoided,
        )

    def _learn(self, leases: Iterable[Lease]) -> None:
        """Take the registrars that the own registrar knows."""
        self._leases = {lease.shard: lease for lease in leases}
        self._election.take_leases(self._leases, first_hand=False)
        self._consider_move()

    def _learn_one(self, lease: Lease) -> None:
        self._leases = {**self._leases, lease.shard: replace(lease, lapsed=False)}
        self._election.take_leases(self._leases, first_hand=False)
        self._consider_move()

    def _consider_move(self) -> None:
        """Move to a registrar that is now the better choice, after a random delay."""
        best = self._choose()
        if self._attachment is None or self._moving or best is None:
            return
        if self.attached is not None and best.daemon != self.attached.daemon:
            self._moving = True
            self._attachment.leave_after(self._rng.uniform(0.0, MOVE_SPREAD_S))

    async def _ask_seeds(self) -> bool:
        """Learn the registrars from a seed; tell whether any is usable."""
        leases = await self._finder.ask_seeds()
        if leases:
            self._learn(leases)
        return bool(leases) and self._choose() is not None

    async def _list_leases(self) -> None:
        leases = await self._finder.list_leases()
        if leases is not None:
            self._leases = leases
            self._election.take_leases(leases, first_hand=True)

    async def _serve_role(self, claim: Claim) -> None:
        try:
            async with anyio.create_task_group() as tg:
                registrar = Registrar(
                    self._platform,
                    claim.lease,
                    self._place.environment,
                    self._dial,
                    self._rng,
                    tg,
                )
                self.registrar, self.role = registrar, claim.lease.shard
                await registrar.run()
        finally:
            self.registrar = self.role = None
            for scope in self._served:
                scope.cancel()

    def _nominate(self, released: Lease) -> bool:
        return self.registrar is not None and self.registrar.nominate(released)

    def _ask_host(self, host: str) -> None:
        if self._attachment is not None:
            self._attachment.ask_host(host)
