"""The endpoints and document slices known to this daemon."""

from collections.abc import Sequence
from dataclasses import replace

from ..model import Endpoint, EndpointState, ServiceSlice


class Directory:
    """Keeps the newest slice of each service and the newest record of each endpoint."""

    def __init__(self) -> None:
        self._slices: dict[str, ServiceSlice] = {}
        self._hosts: dict[str, str] = {}
        self._endpoints: dict[str, dict[str, Endpoint]] = {}

    def service(self, name: str) -> ServiceSlice | None:
        """Return the slice in force for a service, None if there is none."""
        return self._slices.get(name)

    def find_service(self, host: str) -> ServiceSlice | None:
        """Return the slice of the service that answers to a host name."""
        name = self._hosts.get(host)
        return None if name is None else self._slices.get(name)

    def endpoints(self, service: str) -> Sequence[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self._endpoints.get(service, {}).values()
            if endpoint.state is EndpointState.READY
        ]

    def put_slice(self, new: ServiceSlice) -> bool:
        """Adopt a slice unless its version is not higher than the one in force."""
        old = self._slices.get(new.service)
        if old is not None and old.version >= new.version:
            return False
        if old is not None:
            for host in old.hosts:
                self._hosts.pop(host, None)
        self._slices[new.service] = new
        for host in new.hosts:
            self._hosts[host] = new.service
        return True

    def put_endpoint(self, new: Endpoint) -> bool:
        """Adopt a record unless a newer one of the same backend server is known."""
        records = self._endpoints.setdefault(new.service, {})
        old = records.get(new.backend)
        if old is not None and old.order >= new.order:
            return False
        records[new.backend] = new
        return True

    def mark_draining(self, backend: str) -> None:
        """Stop choosing a backend server until it announces itself again."""
        for records in self._endpoints.values():
            endpoint = records.get(backend)
            if endpoint is not None:
                records[backend] = replace(endpoint, state=EndpointState.DRAINING)
