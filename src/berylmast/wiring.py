"""Creates the components of one daemon from its settings."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from itertools import count

from anyio.abc import TaskGroup

from ._serve import make_server
from .adapter import Adapter
from .backends import AttemptLedger, Owner
from .backends.backend_state import BackendReport, BackendState
from .backends.health import Health, make_http_check, monitor_health
from .backends.load_monitor import LoadMonitor
from .backends.report_handler import BackendReportHandler, DaemonLocation
from .daemons import Exchange, ExchangeHandler, Identity, PeerListener
from .daemons.frames import Compare, OpeningFrame
from .http_client import HttpClient
from .lifecycle import LeaveReason, Lifecycle
from .limits import Admission, Limits, RetryBudget
from .membership import Directory
from .membership.active_document import ActiveDocument
from .membership.gossip import Gossip
from .membership.registry import EndpointRegistry
from .membership.store_sync import StoreSync
from .model import AttemptId, Endpoint, ServiceSlice
from .routing import Router
from .settings import DaemonSettings, LiveSettings
from .telemetry import Counter, Gauge, log_event

BACKEND_CONNECTIONS = 1_000
"""Far above the slots of a backend server: only admission limits its requests."""

Publish = Callable[[Endpoint], None]


@dataclass(frozen=True, slots=True)
class Surroundings:
    """The components of a daemon that depend on the state of its backend server."""

    identity: Identity
    held: ActiveDocument
    lifecycle: Lifecycle
    anchor: StoreSync
    publish: Publish
    listener: PeerListener


@dataclass(frozen=True, slots=True)
class LocalBackend:
    """The components that send requests to the local backend server."""

    admission: Admission
    owner: Owner
    announced: BackendState
    meter: LoadMonitor

    @classmethod
    def make(
        cls,
        cfg: DaemonSettings,
        identity: Identity,
        adapter: Adapter,
        limits: Limits,
        directory: Directory,
        get_usual_slowdown: Callable[[], float],
    ) -> "LocalBackend | None":
        """Create the components; return None if the settings name no backend server.

        ``get_usual_slowdown`` returns the typical slowdown of other backend servers
        that are nearly full, 0.0 if unknown.
        """
        if cfg.backend is None or cfg.service is None:
            return None
        announced = BackendState()
        get_slice = make_slice_getter(announced, directory)
        client = HttpClient(cfg.backend, BACKEND_CONNECTIONS)

        def get_load_path() -> str:
            found = get_slice()
            return "" if found is None else found.health_path

        read_load = adapter.backend.read_load
        meter = LoadMonitor(cfg.backend, client, get_load_path, read_load)
        admission = limits.make_admission(
            cfg.daemon_id, identity.incarnation, get_slice, meter, get_usual_slowdown
        )
        owner = Owner(
            admission,
            AttemptLedger(),
            client,
            interface=adapter.backend,
            get_backend=lambda: announced.current.backend if announced.current else "",
            on_load=meter.record,
        )
        return cls(admission, owner, announced, meter)

    def follow(
        self,
        tg: TaskGroup,
        live: LiveSettings,
        adapter: Adapter,
        parts: Surroundings,
    ) -> None:
        """Start tracking the backend server by its own reports or by health checks."""
        cfg = live.cfg
        reporting = BackendReportHandler(
            self.announced,
            self.admission,
            DaemonLocation(
                cfg.peer_address.host,
                cfg.peer_address.port,
                cfg.region,
                cfg.failure_domain,
            ),
            str(cfg.backend),
            lambda: live.cfg.leave_s,
            parts.held.accepts_service,
            parts.publish,
            parts.anchor.wait_stored,
            tg,
        )

        def on_change(leaving: bool) -> None:
            reporting.set_leaving(leaving, at_once=cfg.announcements is None)
            if leaving:
                parts.listener.send_goaway()

        parts.lifecycle.add_listener(on_change)
        if cfg.announcements is not None:
            app = adapter.make_report_app(
                reporting.handle_report, reporting.handle_departure, _log_unusable
            )
            tg.start_soon(make_server(app, cfg.announcements).serve)
        else:
            tg.start_soon(reporting.handle_report, make_own_report(cfg, parts.identity))
            start_health(tg, cfg, parts.lifecycle)


def _log_unusable(backend: str, reason: str) -> None:
    log_event("report_unusable", backend=backend, reason=reason)


def make_own_report(cfg: DaemonSettings, identity: Identity) -> BackendReport:
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


def start_health(tg: TaskGroup, cfg: DaemonSettings, lifecycle: Lifecycle) -> None:
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
    announced: BackendState, directory: Directory
) -> Callable[[], ServiceSlice | None]:
    """Return a function that returns the slice of the local backend server's service.

    The slots are those that the backend server reports, if any. If a new document drops
    the service, the last slice is used, because other daemons may still send requests.
    The function returns None until a report and a slice are known.
    """
    last: ServiceSlice | None = None

    def get_slice() -> ServiceSlice | None:
        nonlocal last
        report = announced.current
        if report is None:
            return None
        found = directory.service(report.service)
        if found is None:
            return last if last and last.service == report.service else None
        if (
            last is None
            or found.version != last.version
            or found.service != last.service
        ):
            last = found
        if report.slots and report.slots != last.slots:
            last = replace(last, slots=report.slots)
        return last

    return get_slice


def make_accept(owner: Owner | None, gossip: Gossip) -> ExchangeHandler:
    """Return the handler of exchanges that other daemons open."""

    async def accept(exchange: Exchange, frame: OpeningFrame) -> None:
        if isinstance(frame, Compare):
            await gossip.serve_comparison(exchange, frame)
        elif owner is not None:
            await owner.accept(exchange, frame)

    return accept


def make_membership_report(
    held: ActiveDocument, roster: EndpointRegistry, anchor: StoreSync
) -> Callable[[], object]:
    """Return a function that builds the membership section of the status report."""

    def report() -> object:
        return {
            "version": held.version,
            "records": len(roster.records()),
            "store_up": anchor.store_status.up,
            "store_calls": anchor.calls,
        }

    return report


def make_value_reader(
    held: ActiveDocument,
    roster: EndpointRegistry,
    anchor: StoreSync,
    local: LocalBackend | None,
) -> Callable[[], list[Gauge | Counter]]:
    """Return a function that reads the current metric values of this daemon."""

    def read_values() -> list[Gauge | Counter]:
        values: list[Gauge | Counter] = [
            Gauge("configuration_version", "Version in force", held.version),
            Gauge("endpoint_records", "Records known", len(roster.records())),
            Gauge(
                "store_up",
                "1 if the store answered last",
                int(bool(anchor.store_status.up)),
            ),
            Counter("store_calls", "Calls to the store", anchor.calls),
        ]
        if local is not None:
            load = local.admission.report()
            values += [
                Gauge("backend_in_flight", "Requests at the server", load.in_flight),
                Gauge("backend_queued", "Requests that wait for a slot", load.queued),
                Gauge("backend_slots", "Slots that ordinary work gets", load.limit),
                Gauge("backend_slowdown", "1 if work takes as usual", load.slowdown),
                Gauge(
                    "backend_full_slowdown",
                    "How much longer work takes at a nearly full server, 0 if unknown",
                    load.full_slowdown,
                ),
                Counter(
                    "load_questions", "Questions for load", local.meter.query_count
                ),
            ]
            counts = local.owner.counts
            values += [
                Counter("attempts_on_time", "Answered on time", counts.on_time),
                Counter("attempts_late", "Answered after the objective", counts.late),
                Counter("attempts_failed", "Failed at the server", counts.failed),
                Counter("attempts_refused", "Refused, not run", counts.refused),
            ]
        return values

    return read_values


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


def make_retry_budget(live: LiveSettings, roster: EndpointRegistry) -> RetryBudget:
    """Return this daemon's share of the fleet's retry budget.

    It uses half of the allowed retries: calls that a retried request makes in turn
    count as retries too.
    """
    if live.cfg.retries is None:
        return RetryBudget()
    own = (live.cfg.peer_address.host, live.cfg.peer_address.port)

    def get_burst() -> float:
        retries = live.cfg.retries
        daemons = len(roster.peers(own)) + 1
        return 0.0 if retries is None else retries.slack / (2 * daemons)

    def get_ratio() -> float:
        retries = live.cfg.retries
        return 0.0 if retries is None else retries.ratio / 2

    return RetryBudget(get_burst, get_ratio)


def make_attempts(identity: Identity) -> Callable[[], AttemptId]:
    """Return a function that returns a new attempt id on each call."""
    counter = count(1)
    return lambda: AttemptId(identity.daemon, identity.incarnation, next(counter))


def make_stale_finder(
    router: Router, daemon_id: str
) -> Callable[[], Sequence[Endpoint]]:
    """Return a function that lists the endpoints to probe.

    The local endpoint is left out, since it is reached without a connection.
    """
    return lambda: [e for e in router.find_stale_endpoints() if e.backend != daemon_id]
