"""The functions through which the product speaks the platform's protocol."""

from ..adapter import Adapter
from ..callers.routed import CallerHeaders
from .anchor import PlatformStore
from .configuration import parse_configuration
from .reports import make_report_app
from .requests import (
    PLATFORM_INTERFACE,
    make_error_answer,
    read_attempt_id,
    read_deadline_ms,
    set_origin,
)
from .store import StoreClient

READY_PATH = "/v1/ready"

PLATFORM = Adapter(
    make_store=lambda address: PlatformStore(StoreClient(address)),
    parse_configuration=parse_configuration,
    caller_headers=CallerHeaders(read_attempt_id, read_deadline_ms, set_origin),
    make_error_answer=make_error_answer,
    backend=PLATFORM_INTERFACE,
    make_report_app=make_report_app,
    ready_path=READY_PATH,
)
