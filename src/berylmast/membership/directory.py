"""The endpoints and per-service configuration slices known to this daemon."""

from collections.abc import Sequence
from dataclasses import replace

from ..model import Endpoint, EndpointState, ServiceSlice
from .records import supersedes

MAX_GONE_RECORDS = 1_000
"""Maximum number of records kept of backend servers that are gone.

Without its record, an older copy from another daemon would make such a backend server
available again.
"""


class Directory:
    """Keeps the newest slice of each service and the newest record of each endpoint.

    ``document_version`` is the version of the active document, 0 if there is none.
    """

    def __init__(self) -> None:
        self.document_version = 0
        self._slices: dict[str, ServiceSlice] = {}
        self._dropped_versions: dict[str, int] = {}
        self._service_by_host: dict[str, str] = {}
        self._services_by_host: dict[str, set[str]] = {}
        self._endpoints: dict[str, dict[str, Endpoint]] = {}
        self._gone: dict[tuple[str, str], None] = {}

    def service(self, name: str) -> ServiceSlice | None:
        """Return the slice of a service, None if there is none."""
        return self._slices.get(name)

    def services(self) -> list[str]:
        """Return the names of the services that have a slice."""
        return list(self._slices)

    def find_service(self, host: str) -> ServiceSlice | None:
        """Return the slice of the service that a host name belongs to."""
        name = self._service_by_host.get(host)
        return None if name is None else self._slices.get(name)

    def endpoints(self, service: str) -> Sequence[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        return [
            endpoint
            for endpoint in self._endpoints.get(service, {}).values()
            if endpoint.state is EndpointState.READY
        ]

    def put_slice(self, new: ServiceSlice) -> bool:
        """Store a slice if its version is higher than the known one.

        Returns whether it was stored. For a dropped service, the known version is the
        one that dropped it.
        """
        if self._slice_version(new.service) >= new.version:
            return False
        self._remove_slice(new.service)
        self._dropped_versions.pop(new.service, None)
        self._slices[new.service] = new
        for host in new.hosts:
            self._services_by_host.setdefault(host, set()).add(new.service)
            self._assign_host(host)
        return True

    def drop_service(self, service: str, version: int) -> bool:
        """Remove a service that is missing from a document of the given version.

        Returns whether the version was higher than the known one.
        """
        if self._slice_version(service) >= version:
            return False
        self._remove_slice(service)
        self._dropped_versions[service] = version
        return True

    def put_endpoint(self, new: Endpoint) -> bool:
        """Store a record if it supersedes the known one; return whether it does."""
        records = self._endpoints.setdefault(new.service, {})
        if not supersedes(new, records.get(new.backend)):
            return False
        records[new.backend] = new
        key = (new.service, new.backend)
        self._gone.pop(key, None)
        if new.state is EndpointState.GONE:
            self._gone[key] = None
        while len(self._gone) > MAX_GONE_RECORDS:
            service, backend = next(iter(self._gone))
            del self._gone[(service, backend)]
            del self._endpoints[service][backend]
        return True

    def mark_draining(self, backend: str) -> None:
        """Mark a backend server as draining until a newer record replaces this one."""
        for records in self._endpoints.values():
            endpoint = records.get(backend)
            if endpoint is not None and endpoint.state is EndpointState.READY:
                records[backend] = replace(endpoint, state=EndpointState.DRAINING)

    def _slice_version(self, service: str) -> int:
        known = self._slices.get(service)
        return (
            self._dropped_versions.get(service, 0) if known is None else known.version
        )

    def _remove_slice(self, service: str) -> None:
        old = self._slices.pop(service, None)
        if old is None:
            return
        for host in old.hosts:
            self._services_by_host[host].discard(service)
            self._assign_host(host)

    def _assign_host(self, host: str) -> None:
        """Assign a host to the service with the newest slice that lists it.

        While a host moves from one service to another, two slices may list it, as they
        are updated one after the other in any order.
        """
        candidates = self._services_by_host[host]
        if candidates:
            self._service_by_host[host] = max(
                candidates, key=lambda n: (self._slices[n].version, n)
            )
        else:
            del self._services_by_host[host], self._service_by_host[host]
