"""Wires the parts of one daemon together and runs them."""

import os
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from itertools import count
from random import Random

import anyio
from anyio.abc import TaskGroup

from ._serve import make_server
from .backends import AttemptLedger, Owner
from .backends.client import BackendClient
from .backends.health import Health, follow_health, make_check
from .callers import make_app
from .callers.forward import Forwarder
from .callers.leaving import close_connections
from .daemons import (
    Accept,
    Exchange,
    ExchangeLost,
    Identity,
    PeerListener,
    PeerPool,
    connect_exchanges,
)
from .daemons.frames import Announce, OpeningFrame, Sync
from .lifecycle import LeaveReason, Lifecycle
from .limits import DEFAULT_LIMITS, AdmissionController, Limits, RetryBudget
from .membership import Directory
from .membership.finder import Place
from .membership.links import ControlMeter, make_dial
from .membership.member import Member
from .model import AttemptId, Endpoint, EndpointState, ServiceSlice
from .operators.daemon_admin import make_daemon_admin
from .platform import PlatformClient
from .routing import Prober, Router
from .settings import DaemonSettings
from .shutdown import serve_until_signal
from .telemetry import Sight, log_event


def make_incarnation() -> int:
    """Return a number that grows from one life of a daemon to the next."""
    return (int(time.time() * 1000) << 16) | int.from_bytes(os.urandom(2))


async def run_daemon(cfg: DaemonSettings, limits: Limits = DEFAULT_LIMITS) -> None:
    """Run one daemon until SIGTERM or SIGINT."""
    identity = Identity(cfg.daemon_id, make_incarnation())
    directory = Directory()
    sight = Sight(cfg.statsd)
    lifecycle = Lifecycle()
    admission = _make_admission(cfg, identity, directory, limits)
    owner = _make_owner(cfg, admission)
    router = Router(
        directory,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        rng=Random(),
    )
    client = PlatformClient(cfg.platform)
    meter = ControlMeter()
    member = _make_member(cfg, identity, directory, client, meter)
    async with anyio.create_task_group() as tg:
        pool = PeerPool(tg, identity, on_goaway=directory.mark_draining)
        prober = Prober(
            pool,
            router.probe_budget,
            find_stale=_make_stale_finder(router, cfg.daemon_id),
            record_load=router.record_load,
            rng=Random(),
        )
        tg.start_soon(prober.run)
        forwarder = Forwarder(
            router=router,
            retries=RetryBudget(),
            shedder=limits.shedder(Random()),
            open_exchange=_make_opener(pool, owner, cfg.daemon_id),
            next_attempt=_make_attempts(identity),
            endpoints=directory.endpoints,
        )
        accept = _make_accept(owner, member) if owner else None
        listener = PeerListener(cfg.peers, identity, accept)
        if admission is not None and owner is not None:
            await tg.start(owner.run)
            await tg.start(listener.run)
            lifecycle.add_listener(_make_leave_listener(admission, listener, member))
            lifecycle.add_stop_listener(member.hand_over)
            _start_health(tg, cfg, lifecycle)
        tg.start_soon(member.run)
        app = make_app(directory, cfg.limits, forwarder, sight)
        callers = make_server(
            close_connections(app, lambda: lifecycle.stopping),
            cfg.callers,
            cfg.limits,
        )
        admin = make_server(
            make_daemon_admin(
                sight,
                lifecycle,
                admission,
                router.summarise,
                _make_membership_report(member, meter, listener),
            ),
            cfg.admin,
        )
        tg.start_soon(admin.serve)
        log_event("started", daemon=cfg.daemon_id, callers=cfg.callers)
        await serve_until_signal(
            callers,
            lifecycle,
            cfg.drain,
            _make_request_counter(listener, admission),
        )
        log_event("stopped", daemon=cfg.daemon_id)
        tg.cancel_scope.cancel()


def _make_admission(
    cfg: DaemonSettings, identity: Identity, directory: Directory, limits: Limits
) -> AdmissionController | None:
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


def _make_owner(
    cfg: DaemonSettings, admission: AdmissionController | None
) -> Owner | None:
    if cfg.backend is None or admission is None:
        return None
    return Owner(admission, AttemptLedger(), BackendClient(cfg.backend, 260))


def _make_member(
    cfg: DaemonSettings,
    identity: Identity,
    directory: Directory,
    client: PlatformClient,
    meter: ControlMeter,
) -> Member:
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
    record = None if cfg.service is None else _make_endpoint(cfg, identity)
    dial = make_dial(identity, meter)
    return Member(identity, place, directory, client, dial, Random(), record)


def _make_accept(owner: Owner, member: Member) -> Accept:
    async def accept(exchange: Exchange, frame: OpeningFrame) -> None:
        if isinstance(frame, Announce | Sync):
            await member.accept(exchange, frame)
        else:
            await owner.accept(exchange, frame)

    return accept


def _make_membership_report(
    member: Member, meter: ControlMeter, listener: PeerListener
) -> Callable[[], object]:
    def report() -> object:
        dialled, accepted = meter.count(), listener.count_control_bytes()
        return {
            **member.report(),
            "control_bytes_sent": dialled[0] + accepted[0],
            "control_bytes_received": dialled[1] + accepted[1],
        }

    return report


def _make_request_counter(
    listener: PeerListener, admission: AdmissionController | None
) -> Callable[[], int]:
    """Count requests of other daemons, also those whose connection has ended."""

    def count_requests() -> int:
        running = 0 if admission is None else admission.report().in_flight
        return max(running, listener.open_exchanges)

    return count_requests


def _make_leave_listener(
    admission: AdmissionController, listener: PeerListener, member: Member
) -> Callable[[bool], None]:
    def on_change(leaving: bool) -> None:
        admission.draining = leaving
        draining, ready = EndpointState.DRAINING, EndpointState.READY
        member.announce_state(draining if leaving else ready)
        if leaving:
            listener.announce_leaving()

    return on_change


def _start_health(tg: TaskGroup, cfg: DaemonSettings, lifecycle: Lifecycle) -> None:
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


def _make_endpoint(cfg: DaemonSettings, identity: Identity) -> Endpoint:
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


def _make_attempts(identity: Identity) -> Callable[[], AttemptId]:
    counter = count(1)
    return lambda: AttemptId(identity.daemon, identity.incarnation, next(counter))


def _make_stale_finder(
    router: Router, daemon_id: str
) -> Callable[[], Sequence[Endpoint]]:
    """Return the endpoints to probe; the local one needs no connection to itself."""
    return lambda: [e for e in router.find_stale() if e.backend != daemon_id]


def _make_opener(
    pool: PeerPool, owner: Owner | None, daemon_id: str
) -> Callable[[Endpoint], AbstractAsyncContextManager[Exchange]]:
    def open_exchange(endpoint: Endpoint) -> AbstractAsyncContextManager[Exchange]:
        if owner is not None and endpoint.backend == daemon_id:
            return open_local(owner)
        return pool.exchange(endpoint)

    return open_exchange


@asynccontextmanager
async def open_local(owner: Owner) -> AsyncIterator[Exchange]:
    """Serve the local backend server without a socket."""
    entry_side, owner_side = connect_exchanges()

    async def accept() -> None:
        frame = await owner_side.receive()
        assert isinstance(frame, OpeningFrame)
        try:
            await owner.accept(owner_side, frame)
        except ExchangeLost:
            pass
        finally:
            entry_side.lose()

    lost: ExchangeLost | None = None
    async with anyio.create_task_group() as tg:
        tg.start_soon(accept)
        try:
            yield entry_side
        except ExchangeLost as exc:
            # Raised here, it would reach the caller inside an ExceptionGroup.
            lost = exc
        finally:
            owner_side.lose()
            entry_side.discard()
    if lost is not None:
        raise lost
