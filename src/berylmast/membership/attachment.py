"""A daemon's side of the exchange with its registrar."""

from collections.abc import Callable, Iterable
from dataclasses import replace

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
from ..model import Endpoint, EndpointState, ServiceSlice
from ..telemetry import log_event
from .directory import Directory
from .leases import Lease, unpack_lease
from .links import receive_within_limit, run_beside, send_beats
from .records import pack_record, unpack_records
from .slices import decode_slice, digest_slice

FORGET_INTERVAL_S = 60.0
UNCALLED_S = 600.0
"""A service not called for this long is no longer held; the next call asks again."""


class OwnRecord:
    """The record of the local backend server, which only this daemon changes."""

    def __init__(self, record: Endpoint | None, directory: Directory) -> None:
        self.record = record
        self._directory = directory
        if record is not None:
            directory.put_endpoint(record)

    def advance(self, state: EndpointState | None = None, *, past: int = 0) -> None:
        """Raise ``seq`` beyond ``past`` and set another state if one is given."""
        if self.record is None:
            return
        self.record = replace(
            self.record,
            seq=max(self.record.seq, past) + 1,
            state=self.record.state if state is None else state,
        )
        self._directory.put_endpoint(self.record)


class Attachment:
    """Announces the own record, and adopts slices and endpoints for the directory."""

    def __init__(
        self,
        exchange: Exchange,
        directory: Directory,
        own: OwnRecord,
        services: set[str],
        on_leases: Callable[[Iterable[Lease]], None],
    ) -> None:
        self._exchange = exchange
        self._directory = directory
        self._own = own
        self._services = services
        self._on_leases = on_leases
        # The last slice received here of each service, None if it has been removed.
        self._offered: dict[str, ServiceSlice | None] = {}
        self._refused: set[str] = set()
        # Services given up: a slice still under way must not be taken for current.
        self._left: set[str] = set()
        self._hosts: dict[str, None] = {}
        self._record_changed = False
        self._wake = anyio.Event()
        self._leave_delay_s = 0.0
        self._leaving = anyio.Event()
        self._scope = anyio.CancelScope()

    async def run(self, daemon: str, region: str, failure_domain: str) -> None:
        """Serve the exchange until ``leave`` is called or the registrar ends it.

        Raises ExchangeLost if the registrar is gone or silent.
        """
        # A higher seq than on any earlier exchange wins over a registrar that marks
        # this daemon gone because it left.
        self._own.advance()
        record = self._own.record
        records = () if record is None else (pack_record(record),)
        await self._exchange.send(
            Announce(self._exchange.id, daemon, region, failure_domain, records)
        )
        await self._subscribe()
        with self._scope:
            await run_beside(
                self._receive, self._send, self._beat, self._leave, self._forget
            )

    def leave_after(self, delay_s: float) -> None:
        """End the exchange later, so that another registrar is chosen."""
        self._leave_delay_s = delay_s
        self._leaving.set()

    def ask_host(self, host: str) -> None:
        """Ask for the service of a host name."""
        self._hosts[host] = None
        self._left.clear()
        self._wake.set()

    def note_record(self) -> None:
        """Announce the own record, which has changed."""
        self._record_changed = True
        self._wake.set()

    async def _subscribe(self) -> None:
        wanted = []
        for service in sorted(self._services):
            held = self._directory.service(service)
            self._offered[service] = held
            wanted.append((service, digest_slice(held)))
        hosts = tuple(self._directory.waiting_hosts())
        await self._exchange.send(Subscribe(self._exchange.id, tuple(wanted), hosts))

    async def _beat(self) -> None:
        await send_beats(self._exchange, lambda: self._directory.document_version)

    async def _leave(self) -> None:
        await self._leaving.wait()
        await anyio.sleep(self._leave_delay_s)
        self._scope.cancel()

    async def _forget(self) -> None:
        own = self._own.record
        kept = () if own is None else (own.service,)
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            uncalled = self._directory.forget_uncalled(kept, UNCALLED_S)
            if uncalled:
                self._left.update(uncalled)
                for service in uncalled:
                    self._services.discard(service)
                    self._offered.pop(service, None)
                await self._exchange.send(
                    Unsubscribe(self._exchange.id, tuple(uncalled))
                )

    async def _send(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._record_changed and self._own.record is not None:
                self._record_changed = False
                records = (pack_record(self._own.record),)
                await self._exchange.send(Endpoints(self._exchange.id, records))
            if self._hosts:
                hosts, self._hosts = tuple(self._hosts), {}
                await self._exchange.send(Subscribe(self._exchange.id, (), hosts))

    async def _receive(self) -> None:
        while True:
            match await receive_within_limit(self._exchange):
                case Endpoints(records=records):
                    self._take_records(unpack_records(records))
                case Slice(version=version, service=service, text=text):
                    self._take_slice(service, version, text)
                case InForce(version=version):
                    self._take_version(version)
                case UnknownHost(host=host):
                    self._directory.mark_unknown(host)
                case Registrars(leases=leases):
                    self._on_leases([unpack_lease(item) for item in leases])
                case Beat():
                    pass
                case _:
                    return

    def _take_records(self, records: Iterable[Endpoint]) -> None:
        for record in records:
            own = self._own.record
            if own is None or record.backend != own.backend:
                self._directory.put_endpoint(record)
            elif record.order >= own.order and record.state is not own.state:
                # A registrar took this daemon for gone: a higher seq refutes that.
                self._own.advance(past=record.seq)
                self.note_record()

    def _take_slice(self, service: str, version: int, text: bytes) -> None:
        if service in self._left:
            return
        self._services.add(service)
        part = decode_slice(text, version) if text else None
        self._offered[service] = part
        self._refused.discard(service)
        if part is not None:
            self._directory.put_slice(part)
        elif not text:
            self._directory.drop_service(service, version)
        else:
            self._refused.add(service)
            log_event("slice refused", service=service, version=version)

    def _take_version(self, version: int) -> None:
        """Adopt a version whose slices are here, some unchanged since an older one."""
        if self._refused:
            return  # This daemon does not have all of the version in force.
        for part in self._offered.values():
            if part is not None:
                self._directory.put_slice(replace(part, version=version))
        if version > self._directory.document_version:
            self._directory.document_version = version
