"""An index of the other daemons of the fleet."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..model import Endpoint, EndpointState

PeerAddress = tuple[str, int]


@dataclass(frozen=True, slots=True)
class PeerIndex:
    """One record for each other daemon, in order of the addresses."""

    all: tuple[Endpoint, ...] = ()
    by_region: Mapping[str, tuple[Endpoint, ...]] = field(default_factory=dict)
    by_domain: Mapping[str, tuple[Endpoint, ...]] = field(default_factory=dict)


def get_address(endpoint: Endpoint) -> PeerAddress:
    """Return the address of the daemon beside a backend server."""
    return (endpoint.host, endpoint.port)


def index_peers(records: Iterable[Endpoint], own_address: PeerAddress) -> PeerIndex:
    """Index the daemons at other addresses whose backend servers are not gone."""
    by_address = {
        get_address(record): record
        for record in records
        if record.state is not EndpointState.GONE
    }
    by_address.pop(own_address, None)
    peers = tuple(by_address[address] for address in sorted(by_address))
    by_region: dict[str, list[Endpoint]] = {}
    by_domain: dict[str, list[Endpoint]] = {}
    for peer in peers:
        by_region.setdefault(peer.region, []).append(peer)
        by_domain.setdefault(peer.failure_domain, []).append(peer)
    return PeerIndex(
        peers,
        {region: tuple(found) for region, found in by_region.items()},
        {domain: tuple(found) for domain, found in by_domain.items()},
    )
