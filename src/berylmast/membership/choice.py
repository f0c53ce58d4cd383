"""Which registrar a daemon attaches to, and which roles it may take."""

from collections.abc import Callable, Iterable, Mapping

from .leases import Lease, name_shard
from .records import weigh

FIRST_AVOID_S = 2.0
MAX_AVOID_S = 30.0


class Avoided:
    """Registrars that failed lately, each avoided for a growing time."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._until: dict[str, tuple[float, float]] = {}

    def add(self, daemon: str) -> None:
        """Avoid a registrar for twice as long as the last time."""
        _, last_s = self._until.get(daemon, (0.0, FIRST_AVOID_S / 2))
        pause_s = min(MAX_AVOID_S, last_s * 2)
        self._until[daemon] = (self._now() + pause_s, pause_s)

    def clear(self, daemon: str) -> None:
        """Forget the failures of a registrar that has worked."""
        self._until.pop(daemon, None)

    def __contains__(self, daemon: str) -> bool:
        until_s, _ = self._until.get(daemon, (0.0, 0.0))
        return self._now() < until_s


def choose_registrar(
    leases: Iterable[Lease],
    daemon: str,
    region: str,
    failure_domain: str,
    avoided: Avoided,
) -> Lease | None:
    """Return the registrar for a daemon, None if all are avoided.

    The own failure domain comes first, then the region; within these the rendezvous
    hash spreads the daemons. A lapsed lease is a last resort: its holder may be alive.
    """

    def rank(lease: Lease) -> tuple[bool, int, int]:
        if lease.failure_domain == failure_domain:
            distance = 0
        else:
            distance = 1 if lease.region == region else 2
        return (lease.lapsed, distance, -weigh(daemon, lease.shard))

    usable = [lease for lease in leases if lease.daemon and lease.daemon not in avoided]
    return min(usable, key=rank, default=None)


def find_vacancy(
    leases: Mapping[str, Lease], failure_domain: str, registrars: int
) -> str | None:
    """Return a registrar role of a failure domain that nobody holds."""
    for number in range(registrars):
        shard = name_shard(failure_domain, number)
        lease = leases.get(shard)
        if lease is None or lease.lapsed:
            return shard
    return None
