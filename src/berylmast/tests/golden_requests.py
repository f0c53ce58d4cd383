"""Golden sessions of the request path: caller, entry, owner and backend server."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import anyio

from ..callers.app import TRAILERS_KEY, make_app
from ..callers.classify import make_classifier
from ..callers.tests.test_at_most_once import inject_fault_at
from ..daemons import frames
from ..daemons.frames import Frame
from ..model import Headers, Priority, Route
from ..operators import make_slice, parse_document
from ..operators.shift_step import set_shift_step
from ..settings import LimitSettings
from ..telemetry import RequestRecorder
from .fakes import SERVICE, FailurePoint, FakeEntry, FakeFleet, run_fleet
from .golden_log import LoggedBackend, SessionLog, format_headers, format_value

ROUTES = (
    Route(frozenset({"GET"}), "/", True, "normal", 2_000),
    Route(frozenset({"POST"}), "/", False, "urgent", 10_000),
)
PRIORITIES = (Priority("urgent", 0.5), Priority("normal", 0.2))
HEADERS = [(b"content-type", b"text/plain")]
PART_PAUSE_S = 0.05
FAULTS = {"cut": "the link is cut", "restarted": "the owner is restarted"}

SHIFT_DOCUMENT = """{
  "priorities": [{"name": "urgent"}],
  "services": {"orders": {
    "hosts": ["orders.test"], "policy": "random", "slots": 6,
    "regions": {"r": {"backends": 1}, "s": {"backends": 1}},
    "routes": [{"idempotent": false, "priority": "urgent", "deadline_ms": 2000}],
    "shift": {"current": 0, "steps": [{"weights": {"r": 1}}, {"weights": {"s": 1}}]},
  }},
}"""


@dataclass
class StreamedBody:
    """A request body of unknown length, in parts, and its trailers."""

    parts: tuple[bytes, ...]
    trailers: Headers


async def make_logged_call(
    log: SessionLog,
    entry: FakeEntry,
    request_id: str,
    method: str = "POST",
    upload: StreamedBody | None = None,
    **headers: str,
) -> None:
    """Make a call over ASGI and log it."""
    classify = make_classifier(
        entry.fleet.directory, LimitSettings(), entry.forwarding_context.next_attempt
    )
    app = make_app(
        classify, LimitSettings(), entry.forwarding_context, RequestRecorder(None)
    )
    caller, name = "caller", entry.identity.daemon
    fields = [(b"host", b"orders.test"), (b"x-request-id", request_id.encode())]
    fields += [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()]
    if upload is not None:
        fields.append((b"transfer-encoding", b"chunked"))
    scope: dict[str, Any] = {
        "type": "http",
        "method": method,
        "path": "/orders",
        "raw_path": b"/orders",
        "query_string": b"",
        "headers": fields,
        TRAILERS_KEY: [],
    }
    parts = [] if upload is None else list(upload.parts)
    ended = False

    async def receive() -> dict[str, Any]:
        nonlocal ended
        if ended:
            await anyio.sleep_forever()
        if parts:
            await anyio.sleep(PART_PAUSE_S)
            log.add_message(caller, name, f"body {format_value(parts[0])}")
            return {"type": "http.request", "body": parts.pop(0), "more_body": True}
        ended = True
        if upload is not None:
            scope[TRAILERS_KEY].extend(upload.trailers)
            log.add_message(caller, name, f"end {format_headers(upload.trailers)}")
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            text = f"{message['status']} {format_headers(message['headers'])}"
            log.add_message(name, caller, text)
            return
        if message["body"]:
            log.add_message(name, caller, f"body {format_value(message['body'])}")
        if not message.get("more_body", False):
            log.add_message(name, caller, "end")

    log.add_message(caller, name, f"{method} /orders {format_headers(fields)}")
    await app(scope, receive, send)


@asynccontextmanager
async def run_logged_fleet(
    log: SessionLog,
    lost_frame_type: type[Frame] | None = None,
    fault: str = "",
    **locations: str,
) -> AsyncIterator[FakeFleet]:
    """Run b1 and b2, of which b1 is in the entry's failure domain.

    ``fault`` is injected at the first frame of ``lost_frame_type``, if given.
    ``locations`` sets the region and the failure domain of a backend server, one letter
    each.
    """
    async with run_fleet("b1", "b2") as fleet:
        for name, location in {"b1": "rf", "b2": "rg", **locations}.items():
            record = fleet.endpoint(name)
            fleet.directory.put_endpoint(
                replace(
                    record,
                    incarnation=2,
                    region=location[0],
                    failure_domain=location[1],
                )
            )
        fleet.slice = replace(
            fleet.slice, version=2, routes=ROUTES, priorities=PRIORITIES
        )
        fleet.directory.put_slice(fleet.slice)
        for name in list(fleet.backends):
            fleet.backends[name] = LoggedBackend(name, headers=HEADERS, log=log)
            fleet.restart(name)
        if lost_frame_type is not None:
            inject_fault_at(fleet, lost_frame_type, fault)
        fleet.on_frame = log.make_frame_hook(
            fleet.on_frame, f"fault: {FAULTS.get(fault)}"
        )
        log.start()
        yield fleet


async def plain_request(log: SessionLog) -> None:
    """A request without a body and its response in two parts."""
    async with run_logged_fleet(log) as fleet:
        await make_logged_call(log, fleet.entry(), "r1", "GET")


async def streamed_body(log: SessionLog) -> None:
    """A body of unknown length is sent after Continue; its trailers follow."""
    upload = StreamedBody((b"first part, ", b"second part"), [(b"checksum", b"c1")])
    async with run_logged_fleet(log) as fleet:
        await make_logged_call(log, fleet.entry(), "r1", upload=upload)


async def refusal_and_retry(log: SessionLog) -> None:
    """A refusal before dispatch lets a non-idempotent request run elsewhere."""
    async with run_logged_fleet(log) as fleet:
        fleet.backends["b1"].cut_at = FailurePoint.CONNECT
        await make_logged_call(log, fleet.entry(), "r1")


async def stored_response(log: SessionLog) -> None:
    """The link is cut before the response; a query over a new link returns it."""
    async with run_logged_fleet(log, frames.Response, "cut") as fleet:
        await make_logged_call(log, fleet.entry(), "r1")


async def not_seen(log: SessionLog) -> None:
    """The link is cut before the request arrives; the query finds "not seen"."""
    async with run_logged_fleet(log, frames.Request, "cut") as fleet:
        await make_logged_call(log, fleet.entry(), "r1")


async def owner_restarted(log: SessionLog) -> None:
    """The owner has another incarnation, so the outcome is unknown."""
    async with run_logged_fleet(log, frames.Continue, "restarted") as fleet:
        await make_logged_call(log, fleet.entry(), "r1")


async def repeated_key(log: SessionLog) -> None:
    """A key repeated through another entry gets the stored response and runs once."""
    async with run_logged_fleet(log) as fleet:
        await make_logged_call(log, fleet.entry("e1"), "r1", idempotency_key="k1")
        await make_logged_call(log, fleet.entry("e2"), "r2", idempotency_key="k1")


async def drain(log: SessionLog) -> None:
    """A drained backend server finishes its request and gets no other."""
    async with run_logged_fleet(log) as fleet:
        entry = fleet.entry()
        async with anyio.create_task_group() as tg:
            tg.start_soon(make_logged_call, log, entry, "r1")
            await anyio.sleep(0.1)
            log.add_note("operator: drain b1")
            fleet.drain("b1")
            await anyio.sleep(0.01)
            await make_logged_call(log, entry, "r2")


async def shift(log: SessionLog) -> None:
    """A document moves a service from region r to region s."""
    async with run_logged_fleet(log, b2="sg") as fleet:
        entry = fleet.entry()
        texts = (SHIFT_DOCUMENT, set_shift_step(SHIFT_DOCUMENT, SERVICE, 1))
        for step, text in enumerate(texts):
            fleet.slice = make_slice(parse_document(text), SERVICE, 3 + step)
            fleet.directory.put_slice(fleet.slice)
            log.add_note(f"document version {3 + step} in force: shift step {step}")
            await make_logged_call(log, entry, f"r{step + 1}")


SESSIONS = {
    "01_request": plain_request,
    "02_streamed_body": streamed_body,
    "03_refusal_and_retry": refusal_and_retry,
    "04_kept_answer": stored_response,
    "05_not_seen": not_seen,
    "06_owner_restarted": owner_restarted,
    "07_repeated_key": repeated_key,
    "08_drain": drain,
    "11_shift": shift,
}
