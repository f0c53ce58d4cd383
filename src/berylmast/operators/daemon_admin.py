"""Reports and actions of a daemon's admin interface."""

from dataclasses import asdict

from ..lifecycle import LeaveReason, Lifecycle
from ..limits import Admission
from ..telemetry import RequestRecorder
from .admin import ASGIApp, QueryHandler, ReportHandler, make_admin_app


def make_daemon_admin(
    recorder: RequestRecorder,
    lifecycle: Lifecycle,
    admission: Admission | None,
    report_routing: ReportHandler,
    report_membership: ReportHandler,
    explain: QueryHandler,
    report_quotas: ReportHandler = lambda: None,
) -> ASGIApp:
    """Return the admin app: status, histograms, routing, explain, drain, undrain."""

    def report_lifecycle() -> object:
        return {"leaving": lifecycle.leaving, "reasons": lifecycle.reasons}

    def report_status() -> object:
        status = {
            "lifecycle": report_lifecycle(),
            "load": None if admission is None else asdict(admission.report()),
            "membership": report_membership(),
            "requests": recorder.export_counts(),
        }
        quotas = report_quotas()
        return status if quotas is None else {**status, "quotas": quotas}

    def drain() -> object:
        lifecycle.add(LeaveReason.OPERATOR)
        return report_lifecycle()

    def undrain() -> object:
        lifecycle.remove(LeaveReason.OPERATOR)
        return report_lifecycle()

    reports = {
        "status": report_status,
        "histograms": recorder.export_percentiles,
        "routing": report_routing,
    }
    actions = {"drain": drain, "undrain": undrain}
    return make_admin_app(reports, actions, {"explain": explain})
