"""Creates the components of one daemon from its settings."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from itertools import count

import anyio
from anyio.abc import TaskGroup

from ._http_server import make_server
from .adapter import Adapter
from .backends import AttemptLedger, Owner
from .backends.backend_state import BackendReport, BackendState
from .backends.cold_start_guard import ColdStartGuard
from .backends.health import Health, make_http_check, monitor_health
from .backends.load_monitor import LoadMonitor
from .backends.notice_tracker import NoticeTracker
from .backends.report_handler import BackendReportHandler
from .backends.sender_query import make_sender_query
from .daemons import Exchange, ExchangeHandler, Identity, PeerListener
from .daemons.frames import Borrow, Compare, OpeningFrame
from .http_client import HttpClient
from .lifecycle import LeaveReason, Lifecycle
from .limits import Admission, AdmissionInputs, Limits, RetryBudget
from .limits.hedging import Hedging
from .membership import Directory
from .membership.active_document import ActiveDocument
from .membership.active_evacuations import ActiveEvacuations
from .membership.gossip import Gossip
from .membership.record_sync import RecordSync
from .membership.registry import EndpointRegistry
from .membership.store import Store
from .membership.store_calls import StoreStatus
from .model import (
    AttemptId,
    DaemonLocation,
    Endpoint,
    Headers,
    ServiceSlice,
)
from .routing import Router
from .settings import DaemonSettings, LiveSettings
from .supervision import run_supervised
from .telemetry import log_event
from .tenancy import Quotas
from .tenancy.freshness import Freshness

BACKEND_CONNECTIONS = 1_000
"""Far above the slots of a backend server: only admission limits its requests."""

HEALTH_QUERY_TIMEOUT_S = 0.2
"""Longest wait for the health response that confirms that the server is warm."""

PublishEndpoint = Callable[[Endpoint], None]


@dataclass(frozen=True, slots=True)
class DaemonComponents:
    """The components of a daemon that depend on the state of its backend server."""

    identity: Identity
    active_document: ActiveDocument
    lifecycle: Lifecycle
    record_sync: RecordSync
    publish: PublishEndpoint
    get_record: Callable[[str], Endpoint | None]
    location: DaemonLocation
    listener: PeerListener


@dataclass(frozen=True, slots=True)
class LocalBackend:
    """The components that send requests to the local backend server."""

    admission: Admission
    owner: Owner
    backend_state: BackendState
    load_monitor: LoadMonitor
    notices: NoticeTracker
    ask_sender: Callable[[], Awaitable[str]]
    cold_guard: ColdStartGuard | None

    @classmethod
    def make(
        cls,
        cfg: DaemonSettings,
        identity: Identity,
        adapter: Adapter,
        limits: Limits,
        directory: Directory,
        get_median_full_slowdown: Callable[[], float],
    ) -> "LocalBackend | None":
        """Create the components; return None if the settings name no backend server.

        ``get_median_full_slowdown`` returns the median slowdown of other backend
        servers while they are nearly full, 0.0 if unknown.
        """
        if cfg.backend is None or cfg.service is None:
            return None
        backend_state = BackendState()
        notices = NoticeTracker(lambda: backend_state.current)
        get_slice = make_slice_getter(backend_state, directory)
        client = HttpClient(cfg.backend, BACKEND_CONNECTIONS)

        def get_health_path() -> str:
            service_slice = get_slice()
            return "" if service_slice is None else service_slice.health_path

        def get_backend() -> str:
            return backend_state.current.backend if backend_state.current else ""

        def record_health_notice(headers: Headers) -> None:
            backend = get_backend()
            notice = adapter.backend.read_health_notice(backend, headers)
            if notice is not None:
                notices.record_health(backend, notice)

        def record_cold_statement(sent_s: float, status: int, headers: Headers) -> None:
            if cold_guard is not None:
                statement = adapter.backend.read_cold_statement(
                    get_backend(), status, headers
                )
                cold_guard.record_health(statement, sent_s)

        load_monitor = LoadMonitor(
            cfg.backend,
            client,
            get_health_path,
            adapter.backend.read_load,
            record_health_notice,
            record_cold_statement,
        )
        cold_guard = _make_cold_guard(cfg, backend_state, get_slice, load_monitor)
        admission = limits.make_admission(
            AdmissionInputs(
                cfg.daemon_id,
                identity.incarnation,
                get_slice,
                load_monitor,
                get_median_full_slowdown,
                notices,
                cold_guard,
            )
        )
        owner = Owner(
            admission,
            AttemptLedger(),
            client,
            interface=adapter.backend,
            get_backend=get_backend,
            on_load=load_monitor.record,
            on_notice=notices.record_response,
            on_known_rate_limit=notices.adopt_rate_limit,
        )
        ask_sender = make_sender_query(
            cfg.backend, client, get_health_path, adapter.backend.read_health_sender
        )
        return cls(
            admission,
            owner,
            backend_state,
            load_monitor,
            notices,
            ask_sender,
            cold_guard,
        )

    def start_tracking(
        self,
        tg: TaskGroup,
        live: LiveSettings,
        adapter: Adapter,
        components: DaemonComponents,
    ) -> None:
        """Start tracking the backend server by its own reports or by health checks."""
        cfg = live.cfg
        report_handler = BackendReportHandler(
            self.backend_state,
            self.admission,
            components.location,
            str(cfg.backend),
            lambda: live.cfg.leave_s,
            components.active_document.accepts_service,
            components.publish,
            components.record_sync.wait_stored,
            components.get_record,
            lambda: self.notices.leaving,
            tg,
            report_gap_s=None if cfg.announcements is None else cfg.report_gap_s,
            ask_sender=self.ask_sender,
        )
        self.notices.set_leaving_listener(report_handler.handle_leaving_notice)

        def on_change(leaving: bool) -> None:
            report_handler.set_leaving(leaving, at_once=cfg.announcements is None)
            if leaving:
                components.listener.send_goaway()

        components.lifecycle.add_listener(on_change)
        if self.cold_guard is not None:
            tg.start_soon(run_supervised, "cold_guard", self.cold_guard.run)
        if cfg.announcements is not None:
            app = adapter.make_report_app(
                report_handler.handle_report,
                report_handler.handle_departure,
                _log_invalid_message,
            )
            tg.start_soon(make_server(app, cfg.announcements).serve)
        else:
            tg.start_soon(
                report_handler.handle_report,
                make_static_report(cfg, components.identity),
            )
            start_health_monitor(tg, cfg, components.lifecycle)


def _make_cold_guard(
    cfg: DaemonSettings,
    backend_state: BackendState,
    get_slice: Callable[[], ServiceSlice | None],
    load_monitor: LoadMonitor,
) -> ColdStartGuard | None:
    """Return the guard of a cold server, None if the settings ask for none."""
    if cfg.cold_servers is None:
        return None
    query_health = partial(load_monitor.query, HEALTH_QUERY_TIMEOUT_S)
    guard = ColdStartGuard(
        cfg.cold_servers, get_slice, query_health, anyio.current_time()
    )
    backend_state.set_report_listener(guard.record_report)
    return guard


def _log_invalid_message(backend: str, reason: str) -> None:
    log_event("report_unusable", backend=backend, reason=reason)


def make_static_report(cfg: DaemonSettings, identity: Identity) -> BackendReport:
    """Return the report of a backend server that does not send reports itself."""
    return BackendReport(
        backend=cfg.daemon_id,
        service=cfg.service or "",
        address=str(cfg.backend),
        slots=0,
        draining=False,
        born_ms=identity.incarnation,
        sequence=1,
    )


def start_health_monitor(
    tg: TaskGroup, cfg: DaemonSettings, lifecycle: Lifecycle
) -> None:
    """Start health checks of the backend server, if the settings name an endpoint."""
    if cfg.health is None or cfg.backend is None:
        return

    def on_change(health: Health) -> None:
        if health is Health.READY:
            lifecycle.remove(LeaveReason.HEALTH)
        else:
            lifecycle.add(LeaveReason.HEALTH)

    # Requests are accepted only once the backend server reports that it is ready.
    lifecycle.add(LeaveReason.HEALTH)
    check = make_http_check(cfg.backend, cfg.health)
    tg.start_soon(monitor_health, check, cfg.health, on_change)


def make_slice_getter(
    backend_state: BackendState, directory: Directory
) -> Callable[[], ServiceSlice | None]:
    """Return a function that returns the slice of the local backend server's service.

    The slots are those that the backend server reports, if any. If a new document drops
    the service, the last slice is used, because other daemons may still send requests.
    The function returns None until a report and a slice are known.
    """
    last: ServiceSlice | None = None

    def get_slice() -> ServiceSlice | None:
        nonlocal last
        report = backend_state.current
        if report is None:
            return None
        service_slice = directory.service(report.service)
        if service_slice is None:
            return last if last and last.service == report.service else None
        if (
            last is None
            or service_slice.version != last.version
            or service_slice.service != last.service
        ):
            last = service_slice
        if report.slots and report.slots != last.slots:
            last = replace(last, slots=report.slots)
        return last

    return get_slice


def make_exchange_handler(
    owner: Owner | None, gossip: Gossip, quotas: Quotas
) -> ExchangeHandler:
    """Return the handler of exchanges that other daemons open."""

    async def accept(exchange: Exchange, frame: OpeningFrame) -> None:
        if isinstance(frame, Compare):
            await gossip.serve_comparison(exchange, frame)
        elif isinstance(frame, Borrow):
            await quotas.serve(exchange, frame)
        elif owner is not None:
            await owner.accept(exchange, frame)

    return accept


def make_membership_report(
    active_document: ActiveDocument,
    registry: EndpointRegistry,
    store: Store,
    store_status: StoreStatus,
    freshness: Freshness | None = None,
    evacuations: ActiveEvacuations | None = None,
) -> Callable[[], object]:
    """Return a function that builds the membership section of the status report.

    With ``freshness``, it contains the age in ms of the evidence that the version is
    current, -1 without evidence.
    """

    def report() -> object:
        values: dict[str, object] = {
            "version": active_document.version,
            "records": len(registry.records()),
            "store_up": store_status.up,
            "store_calls": store.calls,
        }
        if freshness is not None:
            values["current_age_ms"] = freshness.get_age_ms()
        if evacuations is not None:
            values["evacuations"] = evacuations.report()
        return values

    return report


def make_freshness(
    cfg: DaemonSettings, active_document: ActiveDocument
) -> Freshness | None:
    """Return the age tracker of the configuration, None without strict revocation."""
    if cfg.key_revocation is None:
        return None
    return Freshness(cfg.key_revocation.within_s, lambda: active_document.version)


def make_request_counter(
    listener: PeerListener, admission: Admission | None
) -> Callable[[], int]:
    """Return a function that counts the requests in progress for other daemons.

    It includes requests whose connection has ended.
    """

    def count_requests() -> int:
        running = 0 if admission is None else admission.in_flight
        return max(running, listener.open_exchange_count)

    return count_requests


def make_evacuations(
    cfg: DaemonSettings, local_backend: LocalBackend | None
) -> ActiveEvacuations | None:
    """Return the evacuations, which the local backend server's admission follows.

    Returns None if the settings have no section for them.
    """
    if cfg.evacuations is None:
        return None
    evacuations = ActiveEvacuations()
    if local_backend is not None:
        admission = local_backend.admission

        def set_evacuated(failure_domains: frozenset[str]) -> None:
            admission.evacuated = cfg.failure_domain in failure_domains

        evacuations.add_listener(set_evacuated)
    return evacuations


def make_retry_budget(live: LiveSettings, registry: EndpointRegistry) -> RetryBudget:
    """Return this daemon's share of the fleet's retry budget.

    It uses half of the allowed retries: calls that a retried request makes in turn
    count as retries too.
    """
    if live.cfg.retries is None:
        return RetryBudget()
    own_address = (live.cfg.peer_address.host, live.cfg.peer_address.port)

    def get_burst() -> float:
        retries = live.cfg.retries
        daemons = len(registry.peers(own_address).all) + 1
        return 0.0 if retries is None else retries.slack / (2 * daemons)

    def get_ratio() -> float:
        retries = live.cfg.retries
        return 0.0 if retries is None else retries.ratio / 2

    return RetryBudget(get_burst, get_ratio)


def make_hedging(cfg: DaemonSettings) -> Hedging | None:
    """Return the decisions on copies of late requests, None if the settings have none.

    Each daemon keeps to the ratio for its own requests, so all of them together do.
    """
    return None if cfg.hedging is None else Hedging(cfg.hedging.extra_ratio)


def make_attempt_id_factory(identity: Identity) -> Callable[[], AttemptId]:
    """Return a function that returns a new attempt id on each call."""
    counter = count(1)
    return lambda: AttemptId(identity.daemon, identity.incarnation, next(counter))


def make_stale_endpoint_finder(
    router: Router, daemon_id: str
) -> Callable[[], Sequence[Endpoint]]:
    """Return a function that lists the endpoints to probe.

    The local endpoint is left out, since it is reached without a connection.
    """
    return lambda: [e for e in router.find_stale_endpoints() if e.backend != daemon_id]
