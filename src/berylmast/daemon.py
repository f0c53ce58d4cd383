"""Wires the parts of one daemon together and runs them."""

import os
import time
from random import Random

import anyio

from ._serve import make_server
from .callers import make_app
from .callers.classify import make_classifier
from .callers.forward import Forwarder
from .callers.leaving import close_connections
from .daemons import Identity, PeerListener, PeerPool
from .lifecycle import Lifecycle
from .limits import DEFAULT_LIMITS, Limits, RetryBudget
from .local_exchange import make_opener
from .membership import Directory
from .membership.links import ControlMeter
from .operators.daemon_admin import make_daemon_admin
from .operators.explaining import make_explain
from .platform import PlatformClient
from .routing import Prober, Router
from .settings import DaemonSettings
from .shutdown import serve_until_signal
from .telemetry import Sight, log_event, make_statsd_report
from .wiring import (
    make_accept,
    make_admission,
    make_attempts,
    make_leave_listener,
    make_member,
    make_membership_report,
    make_owner,
    make_request_counter,
    make_stale_finder,
    start_health,
)


def make_incarnation() -> int:
    """Return a number that grows from one life of a daemon to the next."""
    return (int(time.time() * 1000) << 16) | int.from_bytes(os.urandom(2))


async def run_daemon(cfg: DaemonSettings, limits: Limits = DEFAULT_LIMITS) -> None:
    """Run one daemon until SIGTERM or SIGINT."""
    identity = Identity(cfg.daemon_id, make_incarnation())
    directory = Directory()
    statsd = make_statsd_report(cfg.statsd)
    sight = Sight(statsd)
    lifecycle = Lifecycle()
    admission = make_admission(cfg, identity, directory, limits)
    owner = make_owner(cfg, admission)
    router = Router(
        directory,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        rng=Random(),
    )
    client = PlatformClient(cfg.platform)
    meter = ControlMeter()
    member = make_member(cfg, identity, directory, client, meter)
    async with anyio.create_task_group() as tg:
        if statsd is not None:
            tg.start_soon(statsd.run)
        pool = PeerPool(tg, identity, on_goaway=directory.mark_draining)
        prober = Prober(
            pool,
            router.probe_budget,
            find_stale=make_stale_finder(router, cfg.daemon_id),
            record_load=router.record_load,
            rng=Random(),
        )
        tg.start_soon(prober.run)
        forwarder = Forwarder(
            router=router,
            retries=RetryBudget(),
            shedder=limits.shedder(Random()),
            open_exchange=make_opener(
                pool, owner, lambda endpoint: endpoint.backend == cfg.daemon_id
            ),
            next_attempt=make_attempts(identity),
            endpoints=directory.endpoints,
        )
        accept = make_accept(owner, member) if owner else None
        listener = PeerListener(cfg.peers, identity, accept)
        if admission is not None and owner is not None:
            await tg.start(owner.run)
            await tg.start(listener.run)
            lifecycle.add_listener(make_leave_listener(admission, listener, member))
            lifecycle.add_stop_listener(member.hand_over)
            start_health(tg, cfg, lifecycle)
        tg.start_soon(member.run)
        classify = make_classifier(directory, cfg.limits, forwarder.next_attempt)
        app = make_app(classify, cfg.limits, forwarder, sight)
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
                make_membership_report(member, meter, listener),
                make_explain(directory, router),
            ),
            cfg.admin,
        )
        tg.start_soon(admin.serve)
        log_event("started", daemon=cfg.daemon_id, callers=cfg.callers)
        await serve_until_signal(
            callers,
            lifecycle,
            cfg.drain,
            make_request_counter(listener, admission),
        )
        log_event("stopped", daemon=cfg.daemon_id)
        tg.cancel_scope.cancel()
