"""Connects the components of one daemon and runs them."""

import os
import time
from functools import partial
from random import Random

import anyio

from ._http_server import make_server
from .adapter import Adapter
from .callers import make_app
from .callers.connection_close import close_connections_while_stopping
from .callers.forward import ForwardingContext
from .daemon_metrics import make_metrics_reader
from .daemons import Identity, PeerListener, PeerPool
from .lifecycle import Lifecycle
from .limits import Limits
from .local_exchange import make_exchange_opener
from .membership import Directory
from .membership.active_document import ActiveDocument
from .membership.document_sync import DocumentSync
from .membership.evacuation_sync import EvacuationSync
from .membership.fleet_view import FleetView
from .membership.gossip import Gossip
from .membership.record_sync import RecordSync
from .membership.registry import EndpointRegistry
from .membership.store_calls import StoreStatus
from .model import DaemonLocation, Endpoint
from .operators.daemon_admin import make_daemon_admin
from .operators.explain import make_explain_handler
from .operators.metrics_app import make_metrics_app
from .operators.readiness import add_readiness_path
from .reload import follow_settings
from .routing import Prober, Router
from .settings import LiveSettings
from .shutdown import serve_until_signal
from .supervision import run_supervised
from .telemetry import (
    RequestRecorder,
    log_event,
    make_metrics_renderer,
    make_statsd_reporter,
)
from .tenancy import QuotaFleet, Quotas
from .tenancy.boot_clock import read_boot_clock_s
from .wiring import (
    DaemonComponents,
    LocalBackend,
    make_attempt_id_factory,
    make_evacuations,
    make_exchange_handler,
    make_freshness,
    make_hedging,
    make_membership_report,
    make_request_counter,
    make_retry_budget,
    make_stale_endpoint_finder,
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
    own_address = (cfg.peer_address.host, cfg.peer_address.port)
    directory = Directory()
    registry = EndpointRegistry(directory)
    active_document = ActiveDocument(adapter.parse_configuration, directory)
    freshness = make_freshness(cfg, active_document)
    lifecycle = Lifecycle()
    statsd = make_statsd_reporter(cfg.statsd)
    recorder = RequestRecorder(statsd)
    router = Router(
        directory,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        rng=rng,
        address=own_address,
        get_evacuated=lambda: (
            frozenset() if evacuations is None else evacuations.failure_domains
        ),
    )
    local_backend = LocalBackend.make(
        cfg, identity, adapter, limits, directory, router.get_median_full_slowdown
    )
    evacuations = make_evacuations(cfg, local_backend)
    location = DaemonLocation(*own_address, cfg.region, cfg.failure_domain)
    fleet_view = FleetView(registry, location, rng)
    store = adapter.make_store(cfg)
    store_status = StoreStatus()
    record_sync = RecordSync(store, registry, own_address, store_status, rng)
    async with anyio.create_task_group() as tg:
        if statsd is not None:
            tg.start_soon(run_supervised, "statsd", statsd.run)
        pool = PeerPool(tg, identity, on_goaway=directory.mark_draining)
        tg.start_soon(run_supervised, "pool", pool.run)
        gossip = Gossip(
            pool,
            registry,
            active_document,
            fleet_view,
            rng,
            freshness,
            evacuations,
            on_store_era=record_sync.record_peer_era,
        )
        record_sync.set_era_listener(gossip.spread_store_era)
        quotas = Quotas(
            QuotaFleet(
                location,
                identity,
                lambda: registry.knows_daemon(own_address),
                lambda: registry.peers(own_address).all,
                pool.open_exchange,
            ),
            lambda: live.cfg.quotas,
            lambda: active_document.current,
            read_boot_clock_s,
        )
        document_sync = DocumentSync(
            store,
            active_document,
            store_status,
            rng,
            fleet_view,
            gossip.spread_document,
            freshness,
        )
        evacuation_sync: EvacuationSync | None = None
        if evacuations is not None and cfg.evacuations is not None:
            evacuation_sync = EvacuationSync(
                store,
                evacuations,
                store_status,
                rng,
                fleet_view,
                gossip.spread_document,
                cfg.evacuations.within_s,
            )
        owner = local_backend.owner if local_backend else None
        listener = PeerListener(
            cfg.peers,
            identity,
            make_exchange_handler(owner, gossip, quotas),
            gossip.handle_tell,
        )

        def publish(record: Endpoint) -> None:
            registry.merge([record])
            gossip.broadcast([record])
            if not lifecycle.stopping:
                record_sync.set_own_record(record)

        await tg.start(listener.run)
        if local_backend is not None:
            await tg.start(local_backend.owner.run)
            components = DaemonComponents(
                identity,
                active_document,
                lifecycle,
                record_sync,
                publish,
                registry.get,
                location,
                listener,
            )
            local_backend.start_tracking(tg, live, adapter, components)
        tg.start_soon(run_supervised, "record_sync", record_sync.run)
        tg.start_soon(run_supervised, "document_sync", document_sync.run)
        if evacuation_sync is not None:
            tg.start_soon(run_supervised, "evacuation_sync", evacuation_sync.run)
        tg.start_soon(run_supervised, "gossip", gossip.run)
        tg.start_soon(run_supervised, "quotas", quotas.run)
        tg.start_soon(run_supervised, "settings", partial(follow_settings, live))
        prober = Prober(
            pool,
            router.probe_budget,
            find_stale_endpoints=make_stale_endpoint_finder(router, cfg.daemon_id),
            record_load=router.record_load,
            rng=rng,
        )
        tg.start_soon(run_supervised, "prober", prober.run)
        forwarding_context = ForwardingContext(
            router=router,
            retries=make_retry_budget(live, registry),
            shedder=limits.make_shedder(rng),
            open_exchange=make_exchange_opener(
                pool,
                owner,
                lambda endpoint: (endpoint.host, endpoint.port) == own_address,
            ),
            next_attempt=make_attempt_id_factory(identity),
            endpoints=directory.endpoints,
            quotas=quotas,
            hedging=make_hedging(cfg),
        )
        classify = adapter.make_classifier(
            live,
            directory,
            active_document,
            rng,
            forwarding_context.next_attempt,
            freshness,
        )
        app = make_app(
            classify,
            cfg.limits,
            forwarding_context,
            recorder,
            adapter.make_error_response,
        )
        caller_server = make_server(
            close_connections_while_stopping(app, lambda: lifecycle.stopping),
            cfg.callers,
            cfg.limits,
            get_idle_timeout_s=lambda: active_document.get_idle_timeout_s(
                cfg.limits.keep_alive_s
            ),
            get_header_timeout_s=active_document.get_header_timeout_s,
        )
        admin = make_daemon_admin(
            recorder,
            lifecycle,
            local_backend.admission if local_backend else None,
            router.summarize,
            make_membership_report(
                active_document,
                registry,
                store,
                store_status,
                freshness,
                evacuations,
            ),
            make_explain_handler(directory, router, lambda: active_document.current),
            quotas.report,
        )

        def is_ready() -> bool:
            if evacuation_sync is not None and not evacuation_sync.settled:
                return False
            return active_document.current is not None and not lifecycle.leaving

        admin_with_readiness = add_readiness_path(admin, adapter.ready_path, is_ready)
        tg.start_soon(make_server(admin_with_readiness, cfg.admin).serve)
        if cfg.metrics is not None:
            render = make_metrics_renderer(
                recorder,
                make_metrics_reader(
                    active_document,
                    registry,
                    store,
                    store_status,
                    local_backend,
                    freshness,
                    evacuations,
                    quotas,
                    forwarding_context.hedging,
                ),
            )
            tg.start_soon(make_server(make_metrics_app(render), cfg.metrics).serve)
        log_event("started", daemon=cfg.daemon_id, callers=cfg.callers)
        await serve_until_signal(
            caller_server,
            lifecycle,
            lambda: live.cfg.drain,
            make_request_counter(
                listener, local_backend.admission if local_backend else None
            ),
            forwarding_context.withdrawals.begin,
        )
        log_event("stopped", daemon=cfg.daemon_id)
        tg.cancel_scope.cancel()
