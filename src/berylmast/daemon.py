"""Wires the parts of one daemon together and runs them."""

import os
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from itertools import count
from random import Random

import anyio

from ._serve import HttpServer, make_server
from .backends import AttemptLedger, Owner
from .backends.client import BackendClient
from .callers import make_app
from .callers.forward import Forwarder
from .daemons import (
    Accept,
    Exchange,
    Identity,
    PeerListener,
    PeerPool,
    connect_exchanges,
)
from .daemons.frames import Announce, OpeningFrame, Sync
from .limits import AdmissionController, RetryBudget
from .membership import ControlMeter, Directory, Member, Place, make_dial
from .model import AttemptId, Endpoint, ServiceSlice
from .operators.admin import make_admin_app
from .platform import PlatformClient
from .routing import Router
from .settings import DaemonSettings
from .telemetry import Sight, log_event


def make_incarnation() -> int:
    """Return a number that grows from one life of a daemon to the next."""
    return (int(time.time() * 1000) << 16) | int.from_bytes(os.urandom(2))


async def run_daemon(cfg: DaemonSettings) -> None:
    """Run one daemon until SIGTERM or SIGINT."""
    identity = Identity(cfg.daemon_id, make_incarnation())
    directory = Directory()
    sight = Sight(cfg.statsd)
    owner = _make_owner(cfg, identity, directory)
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
        forwarder = Forwarder(
            router=router,
            retries=RetryBudget(),
            open_exchange=_make_opener(pool, owner, cfg.daemon_id),
            next_attempt=_make_attempts(identity),
        )
        listener: PeerListener | None = None
        if owner is not None:
            accept = _make_accept(owner, member)
            listener = PeerListener(cfg.peers, identity, accept)
            await tg.start(listener.run)
        tg.start_soon(member.run)
        callers = make_server(
            make_app(directory, cfg.limits, forwarder, sight), cfg.callers
        )
        reports = {"status": _make_status(sight, member, meter, listener)}
        admin = make_server(make_admin_app(reports), cfg.admin)
        tg.start_soon(callers.serve)
        tg.start_soon(admin.serve)
        log_event("started", daemon=cfg.daemon_id, callers=cfg.callers)
        await _wait_signal([callers, admin])
        log_event("stopped", daemon=cfg.daemon_id)
        tg.cancel_scope.cancel()


def _make_owner(
    cfg: DaemonSettings, identity: Identity, directory: Directory
) -> Owner | None:
    if cfg.backend is None or cfg.service is None:
        return None
    service = cfg.service

    def get_slice() -> ServiceSlice:
        found = directory.service(service)
        assert found is not None
        return found

    admission = AdmissionController(cfg.daemon_id, identity.incarnation, get_slice)
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


def _make_status(
    sight: Sight, member: Member, meter: ControlMeter, listener: PeerListener | None
) -> Callable[[], object]:
    def report() -> object:
        sent, received = meter.count()
        if listener is not None:
            accepted = listener.count_control_bytes()
            sent, received = sent + accepted[0], received + accepted[1]
        membership = {
            **member.report(),
            "control_bytes_sent": sent,
            "control_bytes_received": received,
        }
        return {**sight.summarise(), "membership": membership}

    return report


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


def _make_opener(
    pool: PeerPool, owner: Owner | None, daemon_id: str
) -> Callable[[Endpoint], AbstractAsyncContextManager[Exchange]]:
    def open_exchange(endpoint: Endpoint) -> AbstractAsyncContextManager[Exchange]:
        if owner is not None and endpoint.backend == daemon_id:
            return _open_local(owner)
        return pool.exchange(endpoint)

    return open_exchange


@asynccontextmanager
async def _open_local(owner: Owner) -> AsyncIterator[Exchange]:
    """Serve the local backend server without a socket."""
    entry_side, owner_side = connect_exchanges()

    async def accept() -> None:
        frame = await owner_side.receive()
        assert isinstance(frame, OpeningFrame)
        try:
            await owner.accept(owner_side, frame)
        finally:
            entry_side.lose()

    async with anyio.create_task_group() as tg:
        tg.start_soon(accept)
        try:
            yield entry_side
        finally:
            owner_side.lose()
            entry_side.discard()


async def _wait_signal(servers: list[HttpServer]) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            log_event("stopping", signal=signum.name)
            break
    for server in servers:
        server.should_exit = True
    while any(server.started for server in servers):
        await anyio.sleep(0.05)
        if all(not server.server_state.connections for server in servers):
            return
