"""Commands that call daemons: histogram, explain, drain, undrain."""

import json
from collections.abc import Sequence
from typing import Annotated, Any
from urllib.parse import urlencode

import anyio
import httpcore
from cyclopts import App, Parameter

from ..settings import Address
from ._documents import parse_address
from ._output import Exit, Output, Report, finish, format_table, make_error

CALL_TIMEOUT_S = 3.0
MAX_PARALLEL_CALLS = 50

Daemons = Annotated[
    list[str], Parameter(name="--daemon", help="Admin address, HOST:PORT; repeatable.")
]

daemons = App(name="daemons")


class DaemonUnreachable(Exception):
    """A call to a daemon's admin interface failed or was not answered as expected."""


async def call_daemon(address: Address, method: str, path: str) -> Any:
    """Call the admin interface of one daemon and return the decoded JSON response.

    Raises DaemonUnreachable.
    """
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            res = await pool.request(
                method, f"http://{address}{path}", extensions={"timeout": timeouts}
            )
        data = json.loads(res.content)
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        ValueError,
    ) as exc:
        raise DaemonUnreachable(f"{address}: {exc!r}") from exc
    if res.status != 200:
        raise DaemonUnreachable(f"{address}: status {res.status}: {data}")
    return data


async def call_daemons(
    addresses: Sequence[Address], method: str, path: str
) -> tuple[dict[str, Any], dict[str, str]]:
    """Call daemons concurrently and return their responses and errors by address."""
    answers: dict[str, Any] = {}
    errors: dict[str, str] = {}
    limiter = anyio.CapacityLimiter(MAX_PARALLEL_CALLS)

    async def call(address: Address) -> None:
        async with limiter:
            try:
                answers[str(address)] = await call_daemon(address, method, path)
            except DaemonUnreachable as exc:
                errors[str(address)] = str(exc)

    async with anyio.create_task_group() as tg:
        for address in addresses:
            tg.start_soon(call, address)
    return answers, errors


def _call_all(daemon: list[str], method: str, path: str) -> tuple[Any, Any]:
    return anyio.run(call_daemons, [parse_address(d) for d in daemon], method, path)


def _finish(
    table: str, answers: dict[str, Any], errors: dict[str, str], output: Output
) -> None:
    code = Exit.UNAVAILABLE if errors else Exit.OK
    text = "\n".join([table, *errors.values()])
    finish(Report(code, text, {"daemons": answers, "errors": errors}), output)


@daemons.command
def histogram(*, daemon: Daemons, output: Output = "text") -> None:
    """Show latency percentiles per service, priority and tenant.

    Example: berylmastctl histogram --daemon IP:PORT
    """
    answers, errors = _call_all(daemon, "GET", "/histograms")
    fields = ["service", "priority", "tenant", "count"]
    fields += ["p50_ms", "p90_ms", "p99_ms", "p999_ms", "max_ms"]
    rows = [
        [address, *(entry[field] for field in fields)]
        for address, entries in sorted(answers.items())
        for entry in entries
    ]
    _finish(format_table(["daemon", *fields], rows), answers, errors, output)


@daemons.command
def drain(*, daemon: Daemons, output: Output = "text") -> None:
    """Stop sending new requests to the backend servers of these daemons.

    Example: berylmastctl drain --daemon IP:PORT
    """
    _change_state(daemon, "/drain", output)


@daemons.command
def undrain(*, daemon: Daemons, output: Output = "text") -> None:
    """Cancel an operator's drain.

    Example: berylmastctl undrain --daemon IP:PORT
    """
    _change_state(daemon, "/undrain", output)


def _change_state(daemon: list[str], path: str, output: Output) -> None:
    answers, errors = _call_all(daemon, "POST", path)
    rows = [
        [address, ",".join(answer["reasons"]) or "ready"]
        for address, answer in sorted(answers.items())
    ]
    _finish(format_table(["daemon", "state"], rows), answers, errors, output)


@daemons.command
def explain(
    host: str,
    method: str,
    path: str,
    *,
    daemon: Annotated[str, Parameter(help="Admin address, HOST:PORT.")],
    output: Output = "text",
) -> None:
    """Show how a daemon would classify and route a request.

    Lists the candidate backend servers and the one that would be chosen.

    Example: berylmastctl explain orders POST /orders --daemon IP:PORT
    """
    query = urlencode({"host": host, "method": method, "path": path})
    address = parse_address(daemon)
    try:
        answer = anyio.run(call_daemon, address, "GET", f"/explain?{query}")
    except DaemonUnreachable as exc:
        finish(make_error(Exit.UNAVAILABLE, str(exc)), output)
    if "error" in answer:
        finish(make_error(Exit.NOT_FOUND, answer["error"]), output)
    candidates = answer["candidates"]
    lines = [f"{key}: {value}" for key, value in answer.items() if key != "candidates"]
    if candidates:
        fields = list(candidates[0])
        rows = [[entry[field] for field in fields] for entry in candidates]
        lines.append(format_table(fields, rows))
    finish(Report(Exit.OK, "\n".join(lines), answer), output)
