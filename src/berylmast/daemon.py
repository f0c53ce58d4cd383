"""Connects the components of one daemon and runs them."""

import os
import time
from random import Random

import anyio

from ._serve import make_server
from .adapter import Adapter
from .callers import make_app
from .callers.connection_close import close_connections_while_stopping
from .callers.forward import ForwardingContext
from .daemons import Identity, PeerListener, PeerPool
from .lifecycle import Lifecycle
from .limits import Limits
from .local_exchange import make_opener
from .membership import Directory
from .membership.active_document import ActiveDocument
from .membership.gossip import Gossip
from .membership.registry import EndpointRegistry
from .membership.store_sync import StoreSync
from .model import Endpoint
from .operators.daemon_admin import make_daemon_admin
from .operators.explain import make_explain_handler
from .operators.metrics_app import make_metrics_app
from .operators.readiness import add_readiness_path
from .reload import follow_settings
from .routing import Prober, Router
from .settings import LiveSettings
from .shutdown import serve_until_signal
from .telemetry import (
    RequestRecorder,
    log_event,
    make_metrics_renderer,
    make_statsd_reporter,
)
from .wiring import (
    LocalBackend,
    Surroundings,
    make_accept,
    make_attempts,
    make_membership_report,
    make_request_counter,
    make_retry_budget,
    make_stale_finder,
    make_value_reader,
)


def make_incarnation() -> int:
    """Return a number that is higher at each start of a daemon than at the last."""
    return (int(time.time() * 1000) << 16) | int.from_bytes(os.urandom(2))


async def run_daemon(
    live: LiveSettings, adapter: Adapter, limits: Limits | None = None
) -> None:
    """Run one daemon until SIGTERM or SIGINT.

    ``limits`` replaces the admission control and load shedding of the adapter.
    """
    cfg = live.cfg
    limits = limits or adapter.limits
    rng = Random()
    identity = Identity(cfg.daemon_id, make_incarnation())
    own = (cfg.peer_address.host, cfg.peer_address.port)
    directory = Directory()
    roster = EndpointRegistry(directory)
    held = ActiveDocument(adapter.parse_configuration, directory)
    lifecycle = Lifecycle()
    statsd = make_statsd_reporter(cfg.statsd)
    sight = RequestRecorder(statsd)
    router = Router(
        directory,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        rng=rng,
        address=own,
    )
    local = LocalBackend.make(
        cfg, identity, adapter, limits, directory, router.get_median_full_slowdown
    )
    anchor = StoreSync(adapter.make_store(cfg), roster, held, rng)
    async with anyio.create_task_group() as tg:
        if statsd is not None:
            tg.start_soon(statsd.run)
        pool = PeerPool(tg, identity, on_goaway=directory.mark_draining)
        gossip = Gossip(pool, roster, held, own, cfg.region, rng)
        owner = local.owner if local else None
        listener = PeerListener(
            cfg.peers, identity, make_accept(owner, gossip), gossip.handle_tell
        )

        def publish(record: Endpoint) -> None:
            roster.merge([record])
            gossip.broadcast([record])
            if not lifecycle.stopping:
                anchor.set_own_record(record)

        await tg.start(listener.run)
        if local is not None:
            await tg.start(local.owner.run)
            parts = Surroundings(identity, held, lifecycle, anchor, publish, listener)
            local.follow(tg, live, adapter, parts)
        tg.start_soon(anchor.run)
        tg.start_soon(gossip.run)
        tg.start_soon(follow_settings, live)
        prober = Prober(
            pool,
            router.probe_budget,
            find_stale_endpoints=make_stale_finder(router, cfg.daemon_id),
            record_load=router.record_load,
            rng=rng,
        )
        tg.start_soon(prober.run)
        forwarder = ForwardingContext(
            router=router,
            retry_budget=make_retry_budget(live, roster),
            shedder=limits.make_shedder(rng),
            open_exchange=make_opener(
                pool, owner, lambda endpoint: (endpoint.host, endpoint.port) == own
            ),
            next_attempt=make_attempts(identity),
            get_endpoints=directory.endpoints,
        )
        classify = adapter.make_classifier(
            live, directory, held, rng, forwarder.next_attempt
        )
        app = make_app(
            classify, cfg.limits, forwarder, sight, adapter.make_error_answer
        )
        callers = make_server(
            close_connections_while_stopping(app, lambda: lifecycle.stopping),
            cfg.callers,
            cfg.limits,
            get_idle_s=lambda: held.get_idle_timeout_s(cfg.limits.keep_alive_s),
            get_header_timeout_s=held.get_header_timeout_s,
        )
        admin = make_daemon_admin(
            sight,
            lifecycle,
            local.admission if local else None,
            router.summarise,
            make_membership_report(held, roster, anchor),
            make_explain_handler(directory, router),
        )

        def is_ready() -> bool:
            return held.current is not None and not lifecycle.leaving

        ready = add_readiness_path(admin, adapter.ready_path, is_ready)
        tg.start_soon(make_server(ready, cfg.admin).serve)
        if cfg.metrics is not None:
            render = make_metrics_renderer(
                sight, make_value_reader(held, roster, anchor, local)
            )
            tg.start_soon(make_server(make_metrics_app(render), cfg.metrics).serve)
        log_event("started", daemon=cfg.daemon_id, callers=cfg.callers)
        await serve_until_signal(
            callers,
            lifecycle,
            lambda: live.cfg.drain,
            make_request_counter(listener, local.admission if local else None),
        )
        log_event("stopped", daemon=cfg.daemon_id)
        tg.cancel_scope.cancel()
