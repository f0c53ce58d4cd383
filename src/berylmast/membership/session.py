"""A registrar's side of the exchange with one attached daemon."""

import math
from collections.abc import Iterable
from dataclasses import replace
from typing import Protocol

import anyio

from ..daemons import Exchange
from ..daemons.frames import (
    Announce,
    Beat,
    Endpoints,
    InForce,
    Registrars,
    Slice,
    Subscribe,
    UnknownHost,
    Unsubscribe,
)
from ..model import Endpoint, EndpointState
from .leases import Lease, pack_lease
from .links import BEAT_LIMIT_S, run_beside
from .records import RecordTable, choose_subset, cut_records, unpack_records
from .slices import CutDocument

COALESCE_S = 0.1
"""Pause after each batch of frames to a daemon, in which further changes gather."""

ENDPOINTS_INTERVAL_S = 1.0
"""Shortest interval of endpoint changes to one daemon, so that a mass restart costs
one frame a second. The first change after a pause and what is asked for go at once."""


class Hub(Protocol):
    """What a session needs of its registrar."""

    table: RecordTable
    document: CutDocument

    def leases(self) -> Iterable[Lease]:
        """Return the registrars to tell daemons about."""

    def take_announced(self, session: "Session", records: Iterable[Endpoint]) -> None:
        """Take records that the session's daemon announced."""


class Session:
    """What one attached daemon holds, and what it must still be sent."""

    def __init__(self, hub: Hub, exchange: Exchange, frame: Announce) -> None:
        self.daemon = frame.daemon
        self.record: Endpoint | None = None
        self._hub = hub
        self._exchange = exchange
        self._region = frame.region
        self.failure_domain = frame.failure_domain
        # A role that this daemon shall claim at once.
        self._nomination: Lease | None = None
        self._digests: dict[str, str] = {}
        self._held: dict[str, dict[str, Endpoint]] = {}
        self._sent_version = -1
        self._hosts: dict[str, None] = {}
        self._stale: dict[str, None] = {}
        self._disputes: list[Endpoint] = []
        self._leases_changed = True
        self._next_endpoints_s = 0.0
        self._wake = anyio.Event()
        self._announced = unpack_records(frame.records)
        self._scope = anyio.CancelScope()
        self._heard_s = anyio.current_time()

    async def run(self) -> None:
        """Serve the daemon until ``end_if_silent`` ends it.

        Raises ExchangeLost when the daemon is gone.
        """
        self._hub.take_announced(self, self._announced)
        self._exchange.on_beat = self._answer_beat
        with self._scope:
            await run_beside(self._receive, self._send)

    def end_if_silent(self, now_s: float) -> None:
        """End the session if nothing was received for BEAT_LIMIT_S.

        The registrar checks all sessions together: a timer for each would have to be
        set again at every heartbeat.
        """
        if now_s - self._heard_s >= BEAT_LIMIT_S:
            self._scope.cancel()

    def note_services(self, services: Iterable[str]) -> None:
        """Note that endpoints of these services have changed."""
        stale = [service for service in services if service in self._held]
        if stale:
            self._stale.update(dict.fromkeys(stale))
            self._wake.set()

    def note_document(self) -> None:
        """Note that another document is in force."""
        self._wake.set()

    def note_dispute(self, record: Endpoint) -> None:
        """Show the daemon a record that has it gone; it announces itself again."""
        self._disputes.append(record)
        self._next_endpoints_s = 0.0
        self._wake.set()

    def nominate(self, released: Lease) -> None:
        """Let the daemon claim a released lease without the usual random delay.

        It is shown as a lapsed lease of the daemon's own, which nobody else claims.
        """
        self._nomination = replace(released, daemon=self.daemon, lapsed=True)
        self.note_leases()

    def note_leases(self) -> None:
        """Note that registrars have changed."""
        self._leases_changed = True
        self._wake.set()

    def _answer_beat(self, _version: int) -> None:
        self._heard_s = anyio.current_time()
        self._exchange.send_beat(self._hub.document.version)

    async def _receive(self) -> None:
        while True:
            frame = await self._exchange.receive()
            self._heard_s = anyio.current_time()
            match frame:
                case Beat(version=version):
                    # Arrived before the session began.
                    self._answer_beat(version)
                case Subscribe(services=services, hosts=hosts):
                    self._subscribe(services, hosts)
                case Unsubscribe(services=services):
                    for service in services:
                        self._held.pop(service, None)
                        self._digests.pop(service, None)
                        self._stale.pop(service, None)
                case Endpoints(records=records):
                    self._hub.take_announced(self, unpack_records(records))
                case _:
                    return

    def _subscribe(
        self, services: Iterable[tuple[str, str]], hosts: Iterable[str]
    ) -> None:
        for service, digest in services:
            self._add_service(service, digest)
        self._hosts.update(dict.fromkeys(hosts))
        # Even without a new slice the daemon must learn the version in force.
        self._sent_version = -1
        self._wake.set()

    def _add_service(self, service: str, digest: str) -> None:
        if service not in self._held:
            self._digests[service] = digest
            self._held[service] = {}
            self._stale[service] = None
            self._next_endpoints_s = 0.0

    async def _send(self) -> None:
        while True:
            deadline_s = self._next_endpoints_s if self._stale else math.inf
            with anyio.CancelScope(deadline=deadline_s):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self._leases_changed:
                await self._send_leases()
            await self._send_hosts()
            # Endpoints first: a request that waits for a slice can then be forwarded.
            if anyio.current_time() >= self._next_endpoints_s:
                await self._send_endpoints()
            await self._send_document()
            await anyio.sleep(COALESCE_S)

    async def _send_leases(self) -> None:
        self._leases_changed = False
        own = self._nomination
        leases = tuple(
            pack_lease(own if own is not None and lease.shard == own.shard else lease)
            for lease in self._hub.leases()
        )
        await self._exchange.send(Registrars(self._exchange.id, leases))

    async def _send_hosts(self) -> None:
        if self._hub.document.version == 0:
            return  # A new registrar cannot yet tell which hosts are unknown.
        hosts, self._hosts = self._hosts, {}
        for host in hosts:
            service = self._hub.document.hosts.get(host)
            if service is None:
                await self._exchange.send(UnknownHost(self._exchange.id, host))
            elif service not in self._held:
                self._add_service(service, "")
            else:
                # The slice sent before was lost on the way to being adopted.
                self._digests[service] = ""
            self._sent_version = -1

    async def _send_endpoints(self) -> None:
        stale, self._stale = self._stale, {}
        changed, self._disputes = self._disputes, []
        for service in stale:
            changed += self._update_held(service)
        if changed:
            self._next_endpoints_s = anyio.current_time() + ENDPOINTS_INTERVAL_S
        for part in cut_records(changed):
            await self._exchange.send(Endpoints(self._exchange.id, part))

    def _update_held(self, service: str) -> list[Endpoint]:
        """Return the records of a service that the daemon lacks."""
        records = self._hub.table.of_service(service)
        ready = [r for r in records if r.state is EndpointState.READY]
        wanted = choose_subset(ready, self.daemon, self._region, self.failure_domain)
        held = self._held[service]
        left = set(held) - {record.backend for record in records}
        records += [replace(held[name], state=EndpointState.GONE) for name in left]
        names = {record.backend for record in wanted} | set(held)
        changed = [
            record
            for record in records
            if record.backend in names and held.get(record.backend) != record
        ]
        for record in changed:
            if record.state is EndpointState.GONE:
                held.pop(record.backend, None)
            else:
                held[record.backend] = record
        return changed

    async def _send_document(self) -> None:
        document = self._hub.document
        if document.version == 0 or document.version == self._sent_version:
            return
        for service, digest in self._digests.items():
            wanted = document.digests.get(service, "")
            if wanted == digest:
                continue
            self._digests[service] = wanted
            text = document.texts.get(service, b"")
            await self._exchange.send(
                Slice(self._exchange.id, document.version, service, text)
            )
        await self._exchange.send(InForce(self._exchange.id, document.version))
        self._sent_version = document.version
