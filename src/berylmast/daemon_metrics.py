"""The values that a daemon serves at its metrics address."""

from collections.abc import Callable

import anyio

from .limits.hedging import CopyResult, Hedging, UnsentReason
from .membership.active_document import ActiveDocument
from .membership.active_evacuations import ActiveEvacuations
from .membership.registry import EndpointRegistry
from .membership.store import Store
from .membership.store_calls import StoreStatus
from .telemetry import Counter, Gauge, get_event_count
from .tenancy import QuotaRefusalReason, Quotas
from .tenancy.freshness import Freshness
from .wiring import LocalBackend

Metric = Gauge | Counter


def make_metrics_reader(
    active_document: ActiveDocument,
    registry: EndpointRegistry,
    store: Store,
    store_status: StoreStatus,
    local_backend: LocalBackend | None,
    freshness: Freshness | None = None,
    evacuations: ActiveEvacuations | None = None,
    quotas: Quotas | None = None,
    hedging: Hedging | None = None,
) -> Callable[[], list[Metric]]:
    """Return a function that reads the current metric values of this daemon."""

    def read_values() -> list[Metric]:
        version = active_document.version
        metrics: list[Metric] = [
            Gauge("configuration_version", "Version in force", version),
            Gauge("endpoint_records", "Records known", len(registry.records())),
            Gauge(
                "store_up",
                "1 if the store answered last",
                int(bool(store_status.up)),
            ),
            Counter("store_calls", "Calls to the store", store.calls),
        ]
        if store.era.current:
            metrics.append(Gauge("store_era", "Era of the store", store.era.current))
        metrics += _read_rejections()
        if freshness is not None:
            metrics += _read_freshness(freshness)
        if evacuations is not None:
            metrics += _read_evacuations(evacuations)
        if quotas is not None:
            metrics += _read_quotas(quotas)
        if local_backend is not None:
            metrics += _read_load(local_backend)
            metrics += _read_notices(local_backend)
            metrics += _read_attempts(local_backend)
            metrics += _read_cold_state(local_backend)
        if hedging is not None:
            metrics += _read_hedging(hedging)
        return metrics

    return read_values


def _read_freshness(freshness: Freshness) -> list[Metric]:
    return [
        Gauge(
            "configuration_current_age_ms",
            "Time since the configuration is known to have been current, -1 if unknown",
            freshness.get_age_ms(),
        ),
        Counter(
            "keys_not_current",
            "Requests with a key that were refused because that time is too long",
            freshness.refusals,
        ),
    ]


def _read_evacuations(evacuations: ActiveEvacuations) -> list[Metric]:
    known = evacuations.current
    return [
        Gauge(
            "evacuated_failure_domains",
            "Failure domains that get no requests, -1 if not known",
            -1 if known is None else len(known.failure_domains),
        ),
        Gauge(
            "evacuations_age_seconds",
            "Time since the evacuations in force were last received, also unchanged",
            evacuations.age_s,
        ),
    ]


_FAULT_EVENTS = ("fault", "request_fault", "dispatch_fault", "task_failed")


def _read_rejections() -> list[Metric]:
    return [
        Counter(
            "reports_unusable",
            "Reports of servers that were rejected",
            get_event_count("report_unusable"),
        ),
        Counter(
            "records_unreadable",
            "Endpoint records that were skipped, each time they were read",
            get_event_count("record_unreadable"),
        ),
        Counter(
            "documents_rejected",
            "Configurations that were rejected",
            get_event_count("document_rejected"),
        ),
        Counter(
            "faults",
            "Unexpected errors, each of which ended one request, task or connection",
            sum(get_event_count(event) for event in _FAULT_EVENTS),
        ),
    ]


def _read_quotas(quotas: Quotas) -> list[Metric]:
    counts = quotas.counts
    if not counts.is_used:
        return []
    return [
        Counter("quota_charged", "Requests that got a token", counts.charged),
        Counter(
            "quota_exchanges_opened",
            "Exchanges with lenders, each with the loan requests of several tenants",
            counts.exchanges_opened,
        ),
        Counter(
            "quota_exchanges_served",
            "Exchanges that other daemons opened to borrow",
            counts.exchanges_served,
        ),
        *(
            Counter(
                f"quota_refused_{reason.replace('-', '_')}",
                "Requests over their tenant's quota",
                counts.refused[reason],
            )
            for reason in QuotaRefusalReason
        ),
    ]


def _read_load(local_backend: LocalBackend) -> list[Metric]:
    load = local_backend.admission.report()
    query_count = local_backend.load_monitor.query_count
    return [
        Gauge("backend_in_flight", "Requests at the server", load.in_flight),
        Gauge("backend_queued", "Requests that wait for a slot", load.queued),
        Gauge("backend_slots", "Slots that ordinary work gets", load.limit),
        Gauge("backend_slowdown", "1 if work takes as usual", load.slowdown),
        Gauge(
            "backend_full_slowdown",
            "How much longer work takes at a nearly full server, 0 if unknown",
            load.full_slowdown,
        ),
        Counter("load_questions", "Questions for load", query_count),
    ]


def _read_notices(local_backend: LocalBackend) -> list[Metric]:
    notices = local_backend.notices
    return [
        Gauge(
            "backend_rate_limit",
            "Requests a second that the server accepts, -1 without a limit",
            -1.0 if notices.rate_limit is None else notices.rate_limit,
        ),
        Gauge(
            "backend_leaving",
            "1 if the server states that it is leaving",
            int(notices.leaving),
        ),
        Counter(
            "backend_notices",
            "Responses that state a limit or a leave",
            notices.notice_count,
        ),
        Counter(
            "backend_invalid_limits",
            "Responses with a limit that can't be used",
            notices.invalid_limit_count,
        ),
    ]


def _read_cold_state(local_backend: LocalBackend) -> list[Metric]:
    guard = local_backend.cold_guard
    if guard is None:
        return []
    return [
        Gauge(
            "backend_cold",
            "1 if the server is limited because it is or may be cold",
            int(guard.is_cold(anyio.current_time())),
        ),
        Counter(
            "backend_cold_queries",
            "Health queries that asked whether the server is cold",
            guard.query_count,
        ),
        Counter(
            "backend_invalid_cold_times",
            "Health responses with a cold time that can't be used",
            guard.invalid_statement_count,
        ),
    ]


def _read_attempts(local_backend: LocalBackend) -> list[Metric]:
    counts = local_backend.owner.counts
    return [
        Counter("attempts_on_time", "Answered on time", counts.on_time),
        Counter("attempts_late", "Answered after the objective", counts.late),
        Counter("attempts_failed", "Failed at the server", counts.failed),
        Counter("attempts_refused", "Refused, not run", counts.refused),
    ]


def _read_hedging(hedging: Hedging) -> list[Metric]:
    metrics: list[Metric] = [
        Counter("copies_sent", "Second copies of late requests", hedging.sent)
    ]
    metrics += [
        Counter(
            "copies_ended",
            "Second copies by how they ended",
            hedging.results[result],
            (("result", result),),
        )
        for result in CopyResult
    ]
    metrics += [
        Counter(
            "copies_not_sent",
            "Late requests that got no copy, by reason",
            hedging.unsent[reason],
            (("reason", reason),),
        )
        for reason in UnsentReason
    ]
    metrics += [
        Gauge(
            "copy_delay_seconds",
            "Time after which a request of a route is late; absent without one",
            delay_s,
            (("route", route),),
        )
        for route, delay_s in hedging.list_delays_s().items()
    ]
    return metrics
