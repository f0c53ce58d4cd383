"""Wires and runs a daemon whose backend server reports itself over an adapter."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import anyio

from ._serve import make_server
from .adapter import Adapter
from .backends import AttemptLedger, Owner
from .backends.announced import AnnouncedBackend
from .backends.client import BackendClient
from .backends.reporting import BackendReporting, Place
from .callers import make_app
from .callers.app import App
from .callers.forward import Forwarder
from .callers.leaving import close_connections
from .callers.routed import make_routed_classifier
from .daemon import make_incarnation
from .daemons import Accept, Exchange, Identity, PeerListener, PeerPool
from .daemons.frames import Compare, OpeningFrame
from .lifecycle import Lifecycle
from .limits import RetryBudget
from .limits.shedder import NoShedder
from .limits.slots import SlotAdmission
from .local_exchange import make_opener
from .membership import Directory
from .membership.anchoring import Anchor
from .membership.gossip import Gossip
from .membership.held import HeldDocument
from .membership.roster import Roster
from .model import Endpoint, ServiceSlice
from .operators.daemon_admin import make_daemon_admin
from .operators.explaining import make_explain
from .routing import Router
from .routing.split import SplitChooser
from .settings import DaemonSettings
from .shutdown import serve_until_signal
from .telemetry import Sight, log_event
from .wiring import make_attempts

BACKEND_CONNECTIONS = 64


async def run_node(cfg: DaemonSettings, adapter: Adapter) -> None:
    """Run one daemon until SIGTERM or SIGINT."""
    assert cfg.backend is not None
    assert cfg.announcements is not None
    rng = Random()
    identity = Identity(cfg.daemon_id, make_incarnation())
    own = (cfg.peers.host, cfg.peers.port)
    directory = Directory()
    roster = Roster(directory)
    held = HeldDocument(adapter.parse_configuration, directory)
    lifecycle = Lifecycle()
    sight = Sight(None)
    announced = AnnouncedBackend()
    admission = SlotAdmission(
        cfg.daemon_id, 0, make_slot_slice(announced, directory), rng
    )
    owner = Owner(
        admission,
        AttemptLedger(),
        BackendClient(cfg.backend, BACKEND_CONNECTIONS),
        interface=adapter.backend,
        get_backend=lambda: announced.current.backend if announced.current else "",
        on_load=admission.record_load,
    )
    router = Router(
        directory,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        rng=rng,
        address=own,
    )
    anchor = Anchor(adapter.make_store(cfg.platform), roster, held, rng)
    async with anyio.create_task_group() as tg:
        pool = PeerPool(tg, identity, on_goaway=directory.mark_draining)
        gossip = Gossip(pool, roster, held, own, cfg.region, rng)
        listener = PeerListener(
            cfg.peers, identity, make_accept(owner, gossip), gossip.take_told
        )

        def publish(record: Endpoint) -> None:
            roster.merge([record])
            gossip.tell([record])
            if not lifecycle.stopping:
                anchor.set_own(record)

        reporting = BackendReporting(
            announced,
            admission,
            Place(*own, cfg.region, cfg.failure_domain),
            str(cfg.backend),
            cfg.leave_s,
            lambda service: held.current is None or service in held.current.services,
            publish,
            anchor.wait_stored,
            tg,
        )

        def on_change(leaving: bool) -> None:
            if leaving:
                reporting.stop()
                listener.announce_leaving()

        lifecycle.add_listener(on_change)
        forwarder = Forwarder(
            router=router,
            retries=make_retry_budget(cfg, roster, own),
            shedder=NoShedder(),
            open_exchange=make_opener(
                pool, owner, lambda endpoint: (endpoint.host, endpoint.port) == own
            ),
            next_attempt=make_attempts(identity),
            endpoints=directory.endpoints,
        )
        classify = make_routed_classifier(
            held,
            adapter.caller_headers,
            SplitChooser(rng).choose,
            forwarder.next_attempt,
            lambda: cfg.service or "",
        )
        app = make_app(
            classify, cfg.limits, forwarder, sight, adapter.make_error_answer
        )
        callers = make_server(
            close_connections(app, lambda: lifecycle.stopping),
            cfg.callers,
            cfg.limits,
            get_idle_s=lambda: (
                held.current.limits.idle_timeout_s
                if held.current is not None
                else float(cfg.limits.keep_alive_s)
            ),
        )
        admin = make_daemon_admin(
            sight,
            lifecycle,
            admission,
            router.summarise,
            lambda: {"document": held.version, "records": len(roster.records())},
            make_explain(directory, router),
        )

        def is_ready() -> bool:
            return (
                held.current is not None
                and anchor.listed.is_set()
                and not lifecycle.leaving
            )

        await tg.start(owner.run)
        await tg.start(listener.run)
        tg.start_soon(anchor.run)
        tg.start_soon(gossip.run)
        ready_app = answer_readiness(admin, adapter.ready_path, is_ready)
        tg.start_soon(make_server(ready_app, cfg.admin).serve)
        report_app = adapter.make_report_app(
            reporting.take_report,
            reporting.take_departure,
            lambda backend, why: log_event(
                "report_unusable", backend=backend, reason=why
            ),
        )
        tg.start_soon(make_server(report_app, cfg.announcements).serve)
        log_event("started", daemon=cfg.daemon_id, callers=cfg.callers)
        await serve_until_signal(
            callers,
            lifecycle,
            cfg.drain,
            lambda: max(admission.in_flight, listener.open_exchanges),
        )
        log_event("stopped", daemon=cfg.daemon_id)
        tg.cancel_scope.cancel()


def make_slot_slice(
    announced: AnnouncedBackend, directory: Directory
) -> Callable[[], ServiceSlice | None]:
    """Return the function that gives the local service with the reported slots."""

    def get_slice() -> ServiceSlice | None:
        report = announced.current
        if report is None:
            return None
        service = directory.service(report.service)
        return None if service is None else replace(service, slots=report.slots)

    return get_slice


def make_accept(owner: Owner, gossip: Gossip) -> Accept:
    """Return the function that serves exchanges of other daemons."""

    async def accept(exchange: Exchange, frame: OpeningFrame) -> None:
        if isinstance(frame, Compare):
            await gossip.accept(exchange, frame)
        else:
            await owner.accept(exchange, frame)

    return accept


def make_retry_budget(
    cfg: DaemonSettings, roster: Roster, own: tuple[str, int]
) -> RetryBudget:
    """Return this daemon's share of the fleet's retry budget."""

    def get_burst() -> float:
        daemons = len(roster.peers(own)) + 1
        return cfg.retries.slack / (2 * daemons)

    return RetryBudget(get_burst, ratio=cfg.retries.ratio / 2)


def answer_readiness(admin: App, path: str, is_ready: Callable[[], bool]) -> App:
    """Return the admin app with a path that answers 200 while callers may come."""

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http" or scope["path"] != path:
            await admin(scope, receive, send)
            return
        status = 200 if is_ready() else 503
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})

    return app
