"""State of an environment, read from the platform's object store."""

from collections import Counter
from dataclasses import dataclass

from ..model import Endpoint, EndpointState
from ..platform import ObjectStore
from ..platform.records import ENDPOINT_KIND, parse_object
from .revisions import read_revision


@dataclass(frozen=True, slots=True)
class EndpointCount:
    """Number of endpoints of one service and region in one state."""

    service: str
    region: str
    state: EndpointState
    count: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Accepted document version and endpoints of an environment.

    ``version`` is 0 and ``digest`` is empty if no document has been accepted.
    """

    environment: str
    version: int
    digest: str
    endpoints: tuple[EndpointCount, ...]
    records: tuple[Endpoint, ...]


async def read_fleet_status(client: ObjectStore, environment: str) -> FleetStatus:
    """Read the state of an environment with two calls to the store.

    Raises PlatformUnavailable, InvalidRevision.
    """
    revision = await read_revision(client, environment)
    records = await read_records(client)
    counts = Counter((r.service, r.region, r.state) for r in records)
    return FleetStatus(
        environment=environment,
        version=0 if revision is None else revision.version,
        digest="" if revision is None else revision.digest,
        endpoints=tuple(
            EndpointCount(*key, count) for key, count in sorted(counts.items())
        ),
        records=records,
    )


async def read_records(client: ObjectStore) -> tuple[Endpoint, ...]:
    """Return the stored endpoint records, sorted by backend server id.

    Invalid records are skipped.
    """
    parsed = [parse_object(i) for i in (await client.list(ENDPOINT_KIND)).items]
    records = [result.unwrap() for result in parsed if result.is_ok()]
    return tuple(sorted(records, key=lambda record: record.backend))
