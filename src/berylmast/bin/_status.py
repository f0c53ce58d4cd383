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
from ._output import Exit, Output, Report, finish, format_table, make_error

SHORT_DIGEST = 12
_UNREACHABLE = "unreachable"

fleet = App(name="fleet")


@fleet.command
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
    output: Output = "text",
) -> None:
    """Show the state of daemons, of the fleet, or of both.

    Exits with 5 if a daemon is unreachable, otherwise with 7 if a daemon uses an older
    document version than the accepted one.

    Example: berylmastctl status --platform IP:PORT --environment trial --daemon IP:PORT
    """
    if (platform is None) != (environment is None) or not (platform or daemon):
        message = "give --daemon, or --platform with --environment, or all three"
        finish(make_error(Exit.INVALID, message), output)
    store = None if platform is None else parse_address(platform)
    addresses = [parse_address(text) for text in daemon or []]
    if admin_port is not None and store is None:
        message = "--admin-port needs --platform, which lists the instances"
        finish(make_error(Exit.INVALID, message), output)
    try:
        report = anyio.run(_read, store, environment or "", addresses, admin_port)
    except PlatformUnavailable as exc:
        message = f"the platform can't be read: {exc}"
        report = make_error(Exit.UNAVAILABLE, message)
    except InvalidRevision as exc:
        report = make_error(Exit.INVALID, str(exc))
    finish(report, output)


async def _read(
    store: Address | None,
    environment: str,
    addresses: list[Address],
    admin_port: int | None,
) -> Report:
    found = None
    if store is not None:
        client = StoreClient(store)
        try:
            found = await read_fleet_status(client, environment)
        finally:
            await client.aclose()
    if found is not None and admin_port is not None:
        addresses = addresses + list_admin_addresses(found, admin_port)
    answers, errors = await call_daemons(addresses, "GET", "/status")
    return make_report(found, answers, errors)


def list_admin_addresses(found: FleetStatus, port: int) -> list[Address]:
    """Return the admin address of every instance with an endpoint that is not gone.

    Endpoint records do not contain the admin address. Instances differ in their host
    but share the other settings, so one admin port applies to all.
    """
    gone = EndpointState.GONE
    hosts = {record.host for record in found.records if record.state is not gone}
    return [Address(host=host, port=port) for host in sorted(hosts)]


def make_report(
    found: FleetStatus | None, answers: dict[str, Any], errors: dict[str, str]
) -> Report:
    """Return the result of ``status``.

    A daemon lags if its document version is older than the accepted one.
    """
    accepted = 0 if found is None else found.version
    lagging = [a for a, answer in answers.items() if _get_version(answer) < accepted]
    parts = [] if found is None else _format_fleet(found)
    if answers:
        parts.append(_format_daemons(answers, lagging))
    parts += [f"{_UNREACHABLE}: {error}" for error in errors.values()]
    data: dict[str, Any] = {"daemons": answers, "errors": errors, "lagging": lagging}
    if found is not None:
        data["fleet"] = asdict(found)
    code = Exit.LAGGING if lagging else Exit.OK
    return Report(Exit.UNAVAILABLE if errors else code, "\n\n".join(parts), data)


def _get_version(answer: dict[str, Any]) -> int:
    return int((answer.get("membership") or {}).get("version", 0))


def _format_fleet(found: FleetStatus) -> list[str]:
    title = f"{found.environment}: no document accepted"
    if found.version:
        digest = found.digest[:SHORT_DIGEST]
        title = f"{found.environment}: version {found.version} accepted, {digest}"
    endpoints = [[e.service, e.region, e.state, e.count] for e in found.endpoints]
    return [
        title,
        format_table(["service", "region", "state", "endpoints"], endpoints),
    ]


def _format_daemons(answers: dict[str, Any], lagging: list[str]) -> str:
    rows = []
    for address, answer in sorted(answers.items()):
        load = answer["load"] or {}
        leaving = answer["lifecycle"]["reasons"]
        version = (answer.get("membership") or {}).get("version", "-")
        rows.append(
            [
                address,
                f"leaving ({','.join(leaving)})" if leaving else "ready",
                load.get("in_flight", "-"),
                load.get("queued", "-"),
                load.get("limit", "-"),
                f"{version} lagging" if address in lagging else version,
            ]
        )
    header = ["daemon", "state", "in flight", "queued", "limit", "version"]
    return format_table(header, rows)
