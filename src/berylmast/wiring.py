"""Makes the parts of one daemon from its settings."""

from collections.abc import Callable, Sequence
from itertools import count
from random import Random

from anyio.abc import TaskGroup

from .backends import AttemptLedger, Owner
from .backends.client import BackendClient
from .backends.health import Health, follow_health, make_check
from .daemons import Accept, Exchange, Identity, PeerListener
from .daemons.frames import Announce, OpeningFrame, Sync
from .lifecycle import LeaveReason, Lifecycle
from .limits import AdmissionController, Limits
from .membership import Directory
from .membership.finder import Place
from .membership.links import ControlMeter, make_dial
from .membership.member import Member
from .model import AttemptId, Endpoint, EndpointState, ServiceSlice
from .operators.models import MAX_CONNECTIONS
from .platform import PlatformClient
from .routing import Router
from .settings import DaemonSettings


def make_admission(
    cfg: DaemonSettings, identity: Identity, directory: Directory, limits: Limits
) -> AdmissionController | None:
    """Return the admission of the local backend server, None if there is none."""
    if cfg.backend is None or cfg.service is None:
        return None
    get_slice = make_slice_getter(directory, cfg.service)
    return limits.admission(cfg.daemon_id, identity.incarnation, get_slice)


def make_slice_getter(
    directory: Directory, service: str
) -> Callable[[], ServiceSlice | None]:
    """Return the function that reads the slice of the local backend server's service.

    Other daemons may still send requests after a document without the service: then
    the last slice is used. None until a first slice has arrived.
    """
    last: ServiceSlice | None = None

    def get_slice() -> ServiceSlice | None:
        nonlocal last
        last = directory.service(service) or last
        return last

    return get_slice


def make_owner(
    cfg: DaemonSettings, admission: AdmissionController | None
) -> Owner | None:
    """Return the owner of the local backend server, None if there is none."""
    if cfg.backend is None or admission is None:
        return None
    return Owner(
        admission, AttemptLedger(), BackendClient(cfg.backend, MAX_CONNECTIONS)
    )


def make_member(
    cfg: DaemonSettings,
    identity: Identity,
    directory: Directory,
    client: PlatformClient,
    meter: ControlMeter,
) -> Member:
    """Return this daemon's part in membership."""
    place = Place(
        environment=cfg.environment,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        host=cfg.peers.host,
        port=cfg.peers.port,
        seeds=tuple((seed.host, seed.port) for seed in cfg.seeds),
        registrars_per_domain=cfg.registrars_per_domain,
        start_spread_s=cfg.start_spread_s,
    )
    record = None if cfg.service is None else make_endpoint(cfg, identity)
    dial = make_dial(identity, meter)
    return Member(identity, place, directory, client, dial, Random(), record)


def make_accept(owner: Owner, member: Member) -> Accept:
    """Return the function that serves exchanges: control frames and requests."""

    async def accept(exchange: Exchange, frame: OpeningFrame) -> None:
        if isinstance(frame, Announce | Sync):
            await member.accept(exchange, frame)
        else:
            await owner.accept(exchange, frame)

    return accept


def make_membership_report(
    member: Member, meter: ControlMeter, listener: PeerListener
) -> Callable[[], object]:
    """Return the membership part of the status report."""

    def report() -> object:
        dialled, accepted = meter.count(), listener.count_control_bytes()
        return {
            **member.report(),
            "control_bytes_sent": dialled[0] + accepted[0],
            "control_bytes_received": dialled[1] + accepted[1],
        }

    return report


def make_request_counter(
    listener: PeerListener, admission: AdmissionController | None
) -> Callable[[], int]:
    """Count requests of other daemons, also those whose connection has ended."""

    def count_requests() -> int:
        running = 0 if admission is None else admission.report().in_flight
        return max(running, listener.open_exchanges)

    return count_requests


def make_leave_listener(
    admission: AdmissionController, listener: PeerListener, member: Member
) -> Callable[[bool], None]:
    """Return what happens when this instance leaves or is ready again."""

    def on_change(leaving: bool) -> None:
        admission.draining = leaving
        draining, ready = EndpointState.DRAINING, EndpointState.READY
        member.announce_state(draining if leaving else ready)
        if leaving:
            listener.announce_leaving()

    return on_change


def start_health(tg: TaskGroup, cfg: DaemonSettings, lifecycle: Lifecycle) -> None:
    """Follow the backend server's health endpoint, if the settings name one."""
    if cfg.health is None or cfg.backend is None:
        return

    def on_change(health: Health) -> None:
        if health is Health.READY:
            lifecycle.remove(LeaveReason.HEALTH)
        else:
            lifecycle.add(LeaveReason.HEALTH)

    # Work is taken only once the backend server says that it is ready.
    lifecycle.add(LeaveReason.HEALTH)
    check = make_check(cfg.backend, cfg.health)
    tg.start_soon(follow_health, check, cfg.health, on_change)


def make_endpoint(cfg: DaemonSettings, identity: Identity) -> Endpoint:
    """Return the first record of the local backend server."""
    assert cfg.service is not None
    return Endpoint(
        backend=cfg.daemon_id,
        service=cfg.service,
        host=cfg.peers.host,
        port=cfg.peers.port,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        incarnation=identity.incarnation,
        seq=1,
    )


def make_attempts(identity: Identity) -> Callable[[], AttemptId]:
    """Return the function that gives the next attempt id."""
    counter = count(1)
    return lambda: AttemptId(identity.daemon, identity.incarnation, next(counter))


def make_stale_finder(
    router: Router, daemon_id: str
) -> Callable[[], Sequence[Endpoint]]:
    """Return the endpoints to probe; the local one needs no connection to itself."""
    return lambda: [e for e in router.find_stale() if e.backend != daemon_id]
