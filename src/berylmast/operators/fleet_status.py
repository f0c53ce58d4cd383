"""The state of an environment as the platform's objects tell it."""

from collections import Counter
from dataclasses import dataclass

from ..membership.leases import LEASE_KIND, read_claim
from ..membership.records import RecordTable
from ..membership.shard import ENDPOINT_KIND, read_shard
from ..model import Endpoint, EndpointState
from ..platform import Platform
from .revisions import read_revision


@dataclass(frozen=True, slots=True)
class RegistrarStatus:
    """A registrar's lease; ``renewed`` counts renewals by this holder.

    One read can't tell whether a lease has lapsed: no clock of two machines is
    compared. A live holder renews every 5 s.
    """

    shard: str
    holder: str
    region: str
    failure_domain: str
    address: str
    renewed: int


@dataclass(frozen=True, slots=True)
class EndpointCount:
    """Endpoints of one service and region in one state."""

    service: str
    region: str
    state: EndpointState
    count: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The accepted document, 0 and "" if there is none, registrars and endpoints."""

    environment: str
    version: int
    digest: str
    registrars: tuple[RegistrarStatus, ...]
    endpoints: tuple[EndpointCount, ...]
    records: tuple[Endpoint, ...]


async def read_fleet(client: Platform, environment: str) -> FleetStatus:
    """Read the objects of an environment with three calls.

    Raises PlatformUnavailable, RevisionDamaged.
    """
    revision = await read_revision(client, environment)
    records = await read_records(client)
    counts = Counter((r.service, r.region, r.state) for r in records)
    return FleetStatus(
        environment=environment,
        version=0 if revision is None else revision.version,
        digest="" if revision is None else revision.digest,
        registrars=await _read_registrars(client),
        endpoints=tuple(
            EndpointCount(*key, count) for key, count in sorted(counts.items())
        ),
        records=records,
    )


async def read_records(client: Platform) -> tuple[Endpoint, ...]:
    """Return the newest stored record of every backend server, sorted by name."""
    table = RecordTable()
    services = set()
    for item in (await client.list(ENDPOINT_KIND)).items:
        records = read_shard(item)
        table.merge(records)
        services |= {record.service for record in records}
    found = [record for service in services for record in table.of_service(service)]
    return tuple(sorted(found, key=lambda record: record.backend))


async def _read_registrars(client: Platform) -> tuple[RegistrarStatus, ...]:
    listing = await client.list(LEASE_KIND)
    found = []
    for item in sorted(listing.items, key=lambda item: item.metadata.name):
        claim = read_claim(item)
        if claim is None:
            continue
        lease = claim.lease
        found.append(
            RegistrarStatus(
                shard=lease.shard,
                holder=lease.daemon,
                region=lease.region,
                failure_domain=lease.failure_domain,
                address=f"{lease.host}:{lease.port}",
                renewed=int(item.spec.get("renewed", 0)),
            )
        )
    return tuple(found)
