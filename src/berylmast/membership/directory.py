"""The endpoints and document slices known to this daemon."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import replace

import anyio

from ..model import Endpoint, EndpointState, ServiceSlice
from .records import supersedes

MAX_GONE = 1_000
"""Records kept of backend servers that are gone, so that no stale copy revives them."""

MAX_WAITING_HOSTS = 64
"""Unknown host names asked for at a time; further ones are answered at once."""

UNKNOWN_HOST_S = 2.0
"""For how long a registrar's answer that a host is unknown is kept."""

MAX_UNKNOWN_HOSTS = 1_000
MAX_HOST_WAIT_S = 1.0


class Directory:
    """Keeps the newest slice of each service and the newest record of each endpoint.

    ``document_version`` is the version in force: that of the newest document of which
    this daemon has all slices that it needs.
    """

    def __init__(self) -> None:
        self.document_version = 0
        self._slices: dict[str, ServiceSlice] = {}
        self._dropped: dict[str, int] = {}
        self._hosts: dict[str, str] = {}
        self._claims: dict[str, set[str]] = {}
        self._endpoints: dict[str, dict[str, Endpoint]] = {}
        self._gone: dict[tuple[str, str], None] = {}
        self._ask_host: Callable[[str], None] | None = None
        self._waiting: dict[str, anyio.Event] = {}
        self._unknown: dict[str, float] = {}
        self._called_s: dict[str, float] = {}

    def service(self, name: str) -> ServiceSlice | None:
        """Return the slice in force for a service, None if there is none."""
        return self._slices.get(name)

    def services(self) -> list[str]:
        """Return the names of the services with a slice in force."""
        return list(self._slices)

    def find_service(self, host: str) -> ServiceSlice | None:
        """Return the slice of the service that answers to a host name."""
        name = self._hosts.get(host)
        return None if name is None else self._slices.get(name)

    def ask_with(self, ask_host: Callable[[str], None]) -> None:
        """Set the function that asks a registrar for the service of a host."""
        self._ask_host = ask_host

    async def wait_service(
        self, host: str, timeout_s: float = MAX_HOST_WAIT_S
    ) -> ServiceSlice | None:
        """Return the slice for a host name, asking a registrar for an unknown one.

        Waits at most ``timeout_s`` seconds, and never longer than MAX_HOST_WAIT_S.
        """
        found = self.find_service(host)
        now_s = anyio.current_time()
        if found is not None:
            self._called_s[found.service] = now_s
        if found is not None or self._ask_host is None or not host:
            return found
        if now_s - self._unknown.get(host, -UNKNOWN_HOST_S) < UNKNOWN_HOST_S:
            return None
        event = self._waiting.get(host)
        if event is None:
            if len(self._waiting) >= MAX_WAITING_HOSTS:
                return None
            event = self._waiting[host] = anyio.Event()
            self._ask_host(host)
        with anyio.move_on_after(min(timeout_s, MAX_HOST_WAIT_S)):
            await event.wait()
        if self._waiting.get(host) is event:
            del self._waiting[host]
        found = self.find_service(host)
        if found is not None:
            self._called_s[found.service] = anyio.current_time()
        return found

    def forget_uncalled(self, kept: Collection[str], limit_s: float) -> list[str]:
        """Drop services not called for ``limit_s`` seconds, and return their names.

        The version of each is remembered, so that it cannot revert later.
        """
        oldest_s = anyio.current_time() - limit_s
        uncalled = [
            name
            for name in self._slices
            if name not in kept and self._called_s.get(name, 0.0) < oldest_s
        ]
        for name in uncalled:
            self._dropped[name] = self._slices[name].version - 1
            self._remove(name)
            self._called_s.pop(name, None)
            for backend in self._endpoints.pop(name, {}):
                self._gone.pop((name, backend), None)
        return uncalled

    def waiting_hosts(self) -> list[str]:
        """Return the host names that requests wait for."""
        return list(self._waiting)

    def mark_unknown(self, host: str) -> None:
        """Note a registrar's answer that no service has a host name."""
        while len(self._unknown) >= MAX_UNKNOWN_HOSTS:
            del self._unknown[next(iter(self._unknown))]
        self._unknown[host] = anyio.current_time()
        self._wake(host)

    def endpoints(self, service: str) -> Sequence[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self._endpoints.get(service, {}).values()
            if endpoint.state is EndpointState.READY
        ]

    def put_slice(self, new: ServiceSlice) -> bool:
        """Adopt a slice unless its version is not higher than the one in force."""
        if self._slice_version(new.service) >= new.version:
            return False
        self._remove(new.service)
        self._dropped.pop(new.service, None)
        self._slices[new.service] = new
        for host in new.hosts:
            self._claims.setdefault(host, set()).add(new.service)
            self._settle_host(host)
            self._wake(host)
        return True

    def drop_service(self, service: str, version: int) -> bool:
        """Remove a service that a document version no longer has."""
        if self._slice_version(service) >= version:
            return False
        self._remove(service)
        self._dropped[service] = version
        return True

    def put_endpoint(self, new: Endpoint) -> bool:
        """Adopt a record unless a newer one of the same backend server is known."""
        records = self._endpoints.setdefault(new.service, {})
        if not supersedes(new, records.get(new.backend)):
            return False
        records[new.backend] = new
        key = (new.service, new.backend)
        self._gone.pop(key, None)
        if new.state is EndpointState.GONE:
            self._gone[key] = None
        while len(self._gone) > MAX_GONE:
            service, backend = next(iter(self._gone))
            del self._gone[(service, backend)]
            del self._endpoints[service][backend]
        return True

    def mark_draining(self, backend: str) -> None:
        """Stop choosing a backend server until it announces itself again."""
        for records in self._endpoints.values():
            endpoint = records.get(backend)
            if endpoint is not None and endpoint.state is EndpointState.READY:
                records[backend] = replace(endpoint, state=EndpointState.DRAINING)

    def _slice_version(self, service: str) -> int:
        known = self._slices.get(service)
        return self._dropped.get(service, 0) if known is None else known.version

    def _remove(self, service: str) -> None:
        old = self._slices.pop(service, None)
        if old is None:
            return
        for host in old.hosts:
            self._claims[host].discard(service)
            self._settle_host(host)

    def _settle_host(self, host: str) -> None:
        """Give a host to the service with the newest slice that has it.

        While a host moves from one service to another, slices of both may arrive in
        any order, also from a registrar with an older document.
        """
        claims = self._claims[host]
        if claims:
            self._hosts[host] = max(claims, key=lambda n: (self._slices[n].version, n))
        else:
            del self._claims[host], self._hosts[host]

    def _wake(self, host: str) -> None:
        event = self._waiting.pop(host, None)
        if event is not None:
            event.set()
