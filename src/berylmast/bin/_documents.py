"""Commands for documents: check, diff, apply, promote, shift, show."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import anyio
from cyclopts import App, Parameter
from result import Result

from ..operators import DocumentError, parse_document
from ..operators.changes import diff_documents
from ..operators.revisions import (
    ApplyConflict,
    ApplyUnknown,
    InvalidRevision,
    Revision,
    apply_revision,
    compute_digest,
    read_revision,
)
from ..operators.shift_step import ShiftError, set_shift_step
from ..platform import PlatformUnavailable, StoreClient
from ..settings import Address
from ._output import Exit, Output, Report, finish, make_error

Environment = Annotated[str, Parameter(help="Name of the environment.")]
Platform = Annotated[str, Parameter(help="Object API of the platform, HOST:PORT.")]

documents = App(name="documents")


def parse_address(text: str) -> Address:
    """Parse HOST:PORT; prints an error and exits if ``text`` is invalid."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        finish(make_error(Exit.INVALID, f"{text!r} is not HOST:PORT"), "text")
    return Address(host=host, port=int(port))


def _run(
    platform: str, output: Output, act: Callable[[StoreClient], Awaitable[Report]]
) -> None:
    """Run a command that uses the platform, print its result and exit."""

    async def run() -> Report:
        client = StoreClient(parse_address(platform))
        try:
            return await act(client)
        except PlatformUnavailable as exc:
            message = f"the platform can't be read, nothing was changed: {exc}"
            return make_error(Exit.UNAVAILABLE, message)
        except (InvalidRevision, DocumentError, ShiftError) as exc:
            return make_error(Exit.INVALID, str(exc))
        finally:
            await client.aclose()

    finish(anyio.run(run), output)


def _read_text(path: Path, output: Output) -> str:
    """Read and validate a document file; prints errors and exits if it is invalid."""
    try:
        text = path.read_text()
        parse_document(text)
    except (OSError, UnicodeDecodeError) as exc:
        finish(make_error(Exit.INVALID, f"cannot read {path}: {exc}"), output)
    except DocumentError as exc:
        faults = str(exc).splitlines()
        lines = "\n".join(f"{path}: {fault}" for fault in faults)
        finish(Report(Exit.INVALID, lines, {"faults": faults}), output)
    return text


@documents.command
def check(document: Path, *, output: Output = "text") -> None:
    """Validate a document file.

    Example: berylmastctl check kalvola.json5
    """
    text = _read_text(document, output)
    digest = compute_digest(text)
    data = {"valid": True, "digest": digest}
    finish(Report(Exit.OK, f"{document}: valid, digest {digest}", data), output)


@documents.command
def diff(
    document: Path,
    *,
    environment: Environment,
    platform: Platform,
    output: Output = "text",
) -> None:
    """Show the changes that applying a document file would make in an environment.

    Example: berylmastctl diff kalvola.json5 --environment trial --platform IP:PORT
    """
    text = _read_text(document, output)

    async def act(client: StoreClient) -> Report:
        stored = await read_revision(client, environment)
        before = None if stored is None else parse_document(stored.text)
        changes = diff_documents(before, parse_document(text))
        version = 0 if stored is None else stored.version
        lines = [f"against version {version} of {environment}:"]
        lines += [str(change) for change in changes] or ["no change"]
        data = {"base": version, "changes": [asdict(change) for change in changes]}
        return Report(Exit.OK, "\n".join(lines), data)

    _run(platform, output, act)


@documents.command
def show(
    *, environment: Environment, platform: Platform, output: Output = "text"
) -> None:
    """Print the accepted document of an environment.

    Example: berylmastctl show --environment trial --platform IP:PORT
    """

    async def act(client: StoreClient) -> Report:
        stored = await read_revision(client, environment)
        if stored is None:
            message = f"environment {environment!r} has no document"
            return make_error(Exit.NOT_FOUND, message)
        return Report(Exit.OK, stored.text, asdict(stored))

    _run(platform, output, act)


@documents.command
def apply(
    document: Path,
    *,
    base: Annotated[int, Parameter(help="Version that the document file is based on.")],
    environment: Environment,
    platform: Platform,
    output: Output = "text",
) -> None:
    """Store a document file as the next version after the base version.

    Exits with 3 if the base is not the stored version, with 4 if the platform
    responds neither to the write nor to the reads that check its outcome.

    Example: berylmastctl apply kalvola.json5 --base 0 --environment trial --platform
    IP:PORT
    """
    text = _read_text(document, output)

    async def act(client: StoreClient) -> Report:
        applied = await apply_revision(client, environment, text, base)
        return _report_applied(environment, text, applied)

    _run(platform, output, act)


@documents.command
def promote(
    *,
    source: Annotated[str, Parameter(help="Environment to copy the document from.")],
    target: Annotated[str, Parameter(help="Environment to copy the document to.")],
    digest: Annotated[
        str, Parameter(help="Digest of the tested document, or its start.")
    ],
    base: Annotated[int, Parameter(help="Version in the target that is replaced.")],
    platform: Platform,
    target_platform: Annotated[
        str | None, Parameter(help="Object API of the target if it differs.")
    ] = None,
    output: Output = "text",
) -> None:
    """Copy an accepted document byte for byte into another environment.

    Example: berylmastctl promote --source trial --target production --digest 3f5a
    --base 6 --platform IP:PORT
    """

    async def act(client: StoreClient) -> Report:
        stored = await read_revision(client, source)
        if stored is None:
            message = f"environment {source!r} has no document"
            return make_error(Exit.NOT_FOUND, message)
        if not digest or not stored.digest.startswith(digest):
            message = f"{source} is at digest {stored.digest}, not {digest}"
            return make_error(Exit.CONFLICT, message)
        if compute_digest(stored.text) != stored.digest:
            return make_error(
                Exit.INVALID, f"{source}: the stored digest does not match the text"
            )
        parse_document(stored.text)
        other = StoreClient(parse_address(target_platform or platform))
        try:
            applied = await apply_revision(other, target, stored.text, base)
        finally:
            await other.aclose()
        return _report_applied(target, stored.text, applied)

    _run(platform, output, act)


@documents.command
def shift(
    service: str,
    step: int,
    *,
    environment: Environment,
    platform: Platform,
    output: Output = "text",
) -> None:
    """Set the current step of a service's shift in the accepted document.

    Example: berylmastctl shift orders 2 --environment production --platform IP:PORT
    """

    async def act(client: StoreClient) -> Report:
        stored = await read_revision(client, environment)
        if stored is None:
            message = f"environment {environment!r} has no document"
            return make_error(Exit.NOT_FOUND, message)
        text = set_shift_step(stored.text, service, step)
        parse_document(text)
        if text == stored.text:
            message = f"step {step} is already the current step"
            return Report(Exit.OK, message, {"version": stored.version})
        applied = await apply_revision(client, environment, text, stored.version)
        return _report_applied(environment, text, applied)

    _run(platform, output, act)


def _report_applied(
    environment: str, text: str, applied: Result[Revision, ApplyConflict | ApplyUnknown]
) -> Report:
    if applied.is_ok():
        revision = applied.unwrap()
        message = (
            f"{environment}: version {revision.version} accepted, "
            f"digest {revision.digest}"
        )
        data = {"version": revision.version, "digest": revision.digest}
        return Report(Exit.OK, message, data)
    error = applied.unwrap_err()
    if isinstance(error, ApplyUnknown) and not error.sent:
        message = f"the platform can't be read, nothing was changed: {error.reason}"
        return make_error(Exit.UNAVAILABLE, message)
    if isinstance(error, ApplyUnknown):
        message = f"{environment}: outcome unknown, check the version before retrying: "
        return make_error(Exit.UNKNOWN, message + error.reason)
    return _report_conflict(environment, text, error)


def _report_conflict(environment: str, text: str, conflict: ApplyConflict) -> Report:
    """Report the differences between the stored document and the one to apply."""
    stored = conflict.stored
    version = 0 if stored is None else stored.version
    before = None if stored is None else parse_document(stored.text)
    changes = diff_documents(before, parse_document(text))
    lines = [
        f"{environment}: conflict, based on version {conflict.base}, "
        f"but version {version} is stored; stored -> yours:"
    ]
    lines += [f"  {change}" for change in changes] or ["  no difference"]
    data = {
        "error": "conflict",
        "base": conflict.base,
        "stored": version,
        "changes": [asdict(change) for change in changes],
    }
    return Report(Exit.CONFLICT, "\n".join(lines), data)
