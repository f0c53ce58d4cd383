"""Command ``status``: the state of daemons and of the fleet in the platform's store."""

from dataclasses import asdict
from typing import Annotated, Any

import anyio
from cyclopts import App, Parameter

from ..model import EndpointState
from ..operators.fleet_status import FleetStatus, read_fleet_status
from ..operators.revisions import InvalidRevision
from ..platform import PlatformUnavailable, StoreClient
from ..settings import Address
from ._daemons import call_daemons
from ._documents import parse_address
from ._output import (
    CommandResult,
    ExitCode,
    OutputFormat,
    format_table,
    make_error_result,
    print_and_exit,
)

SHORT_DIGEST_CHARS = 12
_UNREACHABLE = "unreachable"

fleet_app = App(name="fleet")


@fleet_app.command
def status(
    *,
    platform: Annotated[
        str | None, Parameter(help="Object API of the platform, HOST:PORT.")
    ] = None,
    environment: Annotated[
        str | None, Parameter(help="Name of the environment, with --platform.")
    ] = None,
    daemon: Annotated[
        list[str] | None, Parameter(help="Admin address, HOST:PORT; repeatable.")
    ] = None,
    admin_port: Annotated[
        int | None,
        Parameter(help="Query all known instances on this port, with --platform."),
    ] = None,
    output: OutputFormat = "text",
) -> None:
    """Show the state of daemons, of the fleet, or of both.

    Exits with 5 if a daemon is unreachable, otherwise with 7 if a daemon uses an older
    document version than the accepted one.

    Example: berylmastctl status --platform IP:PORT --environment trial --daemon IP:PORT
    """
    if (platform is None) != (environment is None) or not (platform or daemon):
        message = "give --daemon, or --platform with --environment, or all three"
        print_and_exit(make_error_result(ExitCode.INVALID, message), output)
    platform_address = None if platform is None else parse_address(platform)
    addresses = [parse_address(text) for text in daemon or []]
    if admin_port is not None and platform_address is None:
        message = "--admin-port needs --platform, which lists the instances"
        print_and_exit(make_error_result(ExitCode.INVALID, message), output)
    try:
        result = anyio.run(
            _read_status, platform_address, environment or "", addresses, admin_port
        )
    except PlatformUnavailable as exc:
        message = f"the platform can't be read: {exc}"
        result = make_error_result(ExitCode.UNAVAILABLE, message)
    except InvalidRevision as exc:
        result = make_error_result(ExitCode.INVALID, str(exc))
    print_and_exit(result, output)


async def _read_status(
    platform_address: Address | None,
    environment: str,
    addresses: list[Address],
    admin_port: int | None,
) -> CommandResult:
    fleet_status = None
    if platform_address is not None:
        client = StoreClient(platform_address)
        try:
            fleet_status = await read_fleet_status(client, environment)
        finally:
            await client.aclose()
    if fleet_status is not None and admin_port is not None:
        addresses = addresses + list_admin_addresses(fleet_status, admin_port)
    responses, errors = await call_daemons(addresses, "GET", "/status")
    return make_status_result(fleet_status, responses, errors)


def list_admin_addresses(fleet_status: FleetStatus, port: int) -> list[Address]:
    """Return the admin address of every instance with an endpoint that is not gone.

    Endpoint records do not contain the admin address. Instances differ in their host
    but share the other settings, so one admin port applies to all.
    """
    gone = EndpointState.GONE
    hosts = {record.host for record in fleet_status.records if record.state is not gone}
    return [Address(host=host, port=port) for host in sorted(hosts)]


def make_status_result(
    fleet_status: FleetStatus | None, responses: dict[str, Any], errors: dict[str, str]
) -> CommandResult:
    """Return the result of ``status``.

    A daemon lags if its document version is older than the accepted one.
    """
    accepted_version = 0 if fleet_status is None else fleet_status.version
    lagging = [
        address
        for address, response in responses.items()
        if _get_document_version(response) < accepted_version
    ]
    sections = [] if fleet_status is None else _format_fleet(fleet_status)
    if responses:
        sections.append(_format_daemons(responses, lagging))
    sections += [f"{_UNREACHABLE}: {error}" for error in errors.values()]
    data: dict[str, Any] = {"daemons": responses, "errors": errors, "lagging": lagging}
    if fleet_status is not None:
        data["fleet"] = asdict(fleet_status)
    code = ExitCode.LAGGING if lagging else ExitCode.OK
    return CommandResult(
        ExitCode.UNAVAILABLE if errors else code, "\n\n".join(sections), data
    )


def _get_document_version(response: dict[str, Any]) -> int:
    return int((response.get("membership") or {}).get("version", 0))


def _format_fleet(fleet_status: FleetStatus) -> list[str]:
    title = f"{fleet_status.environment}: no document accepted"
    if fleet_status.version:
        digest = fleet_status.digest[:SHORT_DIGEST_CHARS]
        title = (
            f"{fleet_status.environment}: version {fleet_status.version} accepted, "
            f"{digest}"
        )
    endpoints = [
        [e.service, e.region, e.state, e.count] for e in fleet_status.endpoints
    ]
    return [
        title,
        format_table(["service", "region", "state", "endpoints"], endpoints),
    ]


def _format_daemons(responses: dict[str, Any], lagging: list[str]) -> str:
    rows = []
    for address, response in sorted(responses.items()):
        load = response["load"] or {}
        leave_reasons = response["lifecycle"]["reasons"]
        version = (response.get("membership") or {}).get("version", "-")
        rows.append(
            [
                address,
                f"leaving ({','.join(leave_reasons)})" if leave_reasons else "ready",
                load.get("in_flight", "-"),
                load.get("queued", "-"),
                load.get("limit", "-"),
                f"{version} lagging" if address in lagging else version,
            ]
        )
    header = ["daemon", "state", "in flight", "queued", "limit", "version"]
    return format_table(header, rows)
