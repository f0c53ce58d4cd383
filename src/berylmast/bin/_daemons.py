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
from ._output import (
    CommandResult,
    ExitCode,
    OutputFormat,
    format_table,
    make_error_result,
    print_and_exit,
)

CALL_TIMEOUT_S = 3.0
MAX_CONCURRENT_CALLS = 50

DaemonAddresses = Annotated[
    list[str], Parameter(name="--daemon", help="Admin address, HOST:PORT; repeatable.")
]

daemons_app = App(name="daemons")


class DaemonUnreachable(Exception):
    """A call to a daemon's admin interface failed or was not answered as expected."""


async def call_daemon(address: Address, method: str, path: str) -> Any:
    """Call the admin interface of one daemon and return the decoded JSON response.

    Raises DaemonUnreachable.
    """
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                method, f"http://{address}{path}", extensions={"timeout": timeouts}
            )
        data = json.loads(response.content)
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        ValueError,
    ) as exc:
        raise DaemonUnreachable(f"{address}: {exc!r}") from exc
    if response.status != 200:
        raise DaemonUnreachable(f"{address}: status {response.status}: {data}")
    return data


async def call_daemons(
    addresses: Sequence[Address], method: str, path: str
) -> tuple[dict[str, Any], dict[str, str]]:
    """Call daemons concurrently and return their responses and errors by address."""
    responses: dict[str, Any] = {}
    errors: dict[str, str] = {}
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def call_one(address: Address) -> None:
        async with limiter:
            try:
                responses[str(address)] = await call_daemon(address, method, path)
            except DaemonUnreachable as exc:
                errors[str(address)] = str(exc)

    async with anyio.create_task_group() as tg:
        for address in addresses:
            tg.start_soon(call_one, address)
    return responses, errors


def _call_all_daemons(daemon: list[str], method: str, path: str) -> tuple[Any, Any]:
    return anyio.run(call_daemons, [parse_address(d) for d in daemon], method, path)


def _print_responses_and_exit(
    table: str, responses: dict[str, Any], errors: dict[str, str], output: OutputFormat
) -> None:
    code = ExitCode.UNAVAILABLE if errors else ExitCode.OK
    text = "\n".join([table, *errors.values()])
    print_and_exit(
        CommandResult(code, text, {"daemons": responses, "errors": errors}), output
    )


@daemons_app.command
def histogram(*, daemon: DaemonAddresses, output: OutputFormat = "text") -> None:
    """Show latency percentiles per service, priority and tenant.

    Example: berylmastctl histogram --daemon IP:PORT
    """
    responses, errors = _call_all_daemons(daemon, "GET", "/histograms")
    fields = ["service", "priority", "tenant", "count"]
    fields += ["p50_ms", "p90_ms", "p99_ms", "p999_ms", "max_ms"]
    rows = [
        [address, *(entry[field] for field in fields)]
        for address, entries in sorted(responses.items())
        for entry in entries
    ]
    _print_responses_and_exit(
        format_table(["daemon", *fields], rows), responses, errors, output
    )


@daemons_app.command
def drain(*, daemon: DaemonAddresses, output: OutputFormat = "text") -> None:
    """Stop sending new requests to the backend servers of these daemons.

    Example: berylmastctl drain --daemon IP:PORT
    """
    _request_state_change(daemon, "/drain", output)


@daemons_app.command
def undrain(*, daemon: DaemonAddresses, output: OutputFormat = "text") -> None:
    """Cancel an operator's drain.

    Example: berylmastctl undrain --daemon IP:PORT
    """
    _request_state_change(daemon, "/undrain", output)


def _request_state_change(daemon: list[str], path: str, output: OutputFormat) -> None:
    responses, errors = _call_all_daemons(daemon, "POST", path)
    rows = [
        [address, ",".join(response["reasons"]) or "ready"]
        for address, response in sorted(responses.items())
    ]
    _print_responses_and_exit(
        format_table(["daemon", "state"], rows), responses, errors, output
    )


@daemons_app.command
def explain(
    host: str,
    method: str,
    path: str,
    *,
    daemon: Annotated[str, Parameter(help="Admin address, HOST:PORT.")],
    output: OutputFormat = "text",
) -> None:
    """Show how a daemon would classify and route a request.

    Lists the candidate backend servers and the one that would be chosen.

    Example: berylmastctl explain orders POST /orders --daemon IP:PORT
    """
    query = urlencode({"host": host, "method": method, "path": path})
    address = parse_address(daemon)
    try:
        response = anyio.run(call_daemon, address, "GET", f"/explain?{query}")
    except DaemonUnreachable as exc:
        print_and_exit(make_error_result(ExitCode.UNAVAILABLE, str(exc)), output)
    if "error" in response:
        print_and_exit(make_error_result(ExitCode.NOT_FOUND, response["error"]), output)
    candidates = response["candidates"]
    lines = [
        f"{key}: {value}" for key, value in response.items() if key != "candidates"
    ]
    if candidates:
        fields = list(candidates[0])
        rows = [[entry[field] for field in fields] for entry in candidates]
        lines.append(format_table(fields, rows))
    print_and_exit(CommandResult(ExitCode.OK, "\n".join(lines), response), output)
