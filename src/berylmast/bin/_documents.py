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
from ._output import (
    CommandResult,
    ExitCode,
    OutputFormat,
    make_error_result,
    print_and_exit,
)

EnvironmentOption = Annotated[str, Parameter(help="Name of the environment.")]
PlatformOption = Annotated[
    str, Parameter(help="Object API of the platform, HOST:PORT.")
]

documents_app = App(name="documents")


def parse_address(text: str) -> Address:
    """Parse HOST:PORT; prints an error and exits if ``text`` is invalid."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        print_and_exit(
            make_error_result(ExitCode.INVALID, f"{text!r} is not HOST:PORT"), "text"
        )
    return Address(host=host, port=int(port))


def _run_with_platform(
    platform: str,
    output: OutputFormat,
    execute: Callable[[StoreClient], Awaitable[CommandResult]],
) -> None:
    """Run a command that uses the platform, print its result and exit."""

    async def run() -> CommandResult:
        client = StoreClient(parse_address(platform))
        try:
            return await execute(client)
        except PlatformUnavailable as exc:
            message = f"the platform can't be read, nothing was changed: {exc}"
            return make_error_result(ExitCode.UNAVAILABLE, message)
        except (InvalidRevision, DocumentError, ShiftError) as exc:
            return make_error_result(ExitCode.INVALID, str(exc))
        finally:
            await client.aclose()

    print_and_exit(anyio.run(run), output)


def _read_document_text(path: Path, output: OutputFormat) -> str:
    """Read and validate a document file; prints errors and exits if it is invalid."""
    try:
        text = path.read_text()
        parse_document(text)
    except (OSError, UnicodeDecodeError) as exc:
        print_and_exit(
            make_error_result(ExitCode.INVALID, f"cannot read {path}: {exc}"), output
        )
    except DocumentError as exc:
        errors = str(exc).splitlines()
        lines = "\n".join(f"{path}: {error}" for error in errors)
        print_and_exit(
            CommandResult(ExitCode.INVALID, lines, {"faults": errors}), output
        )
    return text


@documents_app.command
def check(document: Path, *, output: OutputFormat = "text") -> None:
    """Validate a document file.

    Example: berylmastctl check kalvola.json5
    """
    text = _read_document_text(document, output)
    digest = compute_digest(text)
    data = {"valid": True, "digest": digest}
    print_and_exit(
        CommandResult(ExitCode.OK, f"{document}: valid, digest {digest}", data), output
    )


@documents_app.command
def diff(
    document: Path,
    *,
    environment: EnvironmentOption,
    platform: PlatformOption,
    output: OutputFormat = "text",
) -> None:
    """Show the changes that applying a document file would make in an environment.

    Example: berylmastctl diff kalvola.json5 --environment trial --platform IP:PORT
    """
    text = _read_document_text(document, output)

    async def execute(client: StoreClient) -> CommandResult:
        stored = await read_revision(client, environment)
        before = None if stored is None else parse_document(stored.text)
        changes = diff_documents(before, parse_document(text))
        version = 0 if stored is None else stored.version
        lines = [f"against version {version} of {environment}:"]
        lines += [str(change) for change in changes] or ["no change"]
        data = {"base": version, "changes": [asdict(change) for change in changes]}
        return CommandResult(ExitCode.OK, "\n".join(lines), data)

    _run_with_platform(platform, output, execute)


@documents_app.command
def show(
    *,
    environment: EnvironmentOption,
    platform: PlatformOption,
    output: OutputFormat = "text",
) -> None:
    """Print the accepted document of an environment.

    Example: berylmastctl show --environment trial --platform IP:PORT
    """

    async def execute(client: StoreClient) -> CommandResult:
        stored = await read_revision(client, environment)
        if stored is None:
            message = f"environment {environment!r} has no document"
            return make_error_result(ExitCode.NOT_FOUND, message)
        return CommandResult(ExitCode.OK, stored.text, asdict(stored))

    _run_with_platform(platform, output, execute)


@documents_app.command
def apply(
    document: Path,
    *,
    base: Annotated[int, Parameter(help="Version that the document file is based on.")],
    environment: EnvironmentOption,
    platform: PlatformOption,
    output: OutputFormat = "text",
) -> None:
    """Store a document file as the next version after the base version.

    Exits with 3 if the base is not the stored version, with 4 if the platform
    responds neither to the write nor to the reads that check its outcome.

    Example: berylmastctl apply kalvola.json5 --base 0 --environment trial --platform
    IP:PORT
    """
    text = _read_document_text(document, output)

    async def execute(client: StoreClient) -> CommandResult:
        apply_result = await apply_revision(client, environment, text, base)
        return _make_apply_result(environment, text, apply_result)

    _run_with_platform(platform, output, execute)


@documents_app.command
def promote(
    *,
    source: Annotated[str, Parameter(help="Environment to copy the document from.")],
    target: Annotated[str, Parameter(help="Environment to copy the document to.")],
    digest: Annotated[
        str, Parameter(help="Digest of the tested document, or its start.")
    ],
    base: Annotated[int, Parameter(help="Version in the target that is replaced.")],
    platform: PlatformOption,
    target_platform: Annotated[
        str | None, Parameter(help="Object API of the target if it differs.")
    ] = None,
    output: OutputFormat = "text",
) -> None:
    """Copy an accepted document byte for byte into another environment.

    Example: berylmastctl promote --source trial --target production --digest 3f5a
    --base 6 --platform IP:PORT
    """

    async def execute(client: StoreClient) -> CommandResult:
        stored = await read_revision(client, source)
        if stored is None:
            message = f"environment {source!r} has no document"
            return make_error_result(ExitCode.NOT_FOUND, message)
        if not digest or not stored.digest.startswith(digest):
            message = f"{source} is at digest {stored.digest}, not {digest}"
            return make_error_result(ExitCode.CONFLICT, message)
        if compute_digest(stored.text) != stored.digest:
            return make_error_result(
                ExitCode.INVALID, f"{source}: the stored digest does not match the text"
            )
        parse_document(stored.text)
        target_client = StoreClient(parse_address(target_platform or platform))
        try:
            apply_result = await apply_revision(
                target_client, target, stored.text, base
            )
        finally:
            await target_client.aclose()
        return _make_apply_result(target, stored.text, apply_result)

    _run_with_platform(platform, output, execute)


@documents_app.command
def shift(
    service: str,
    step: int,
    *,
    environment: EnvironmentOption,
    platform: PlatformOption,
    output: OutputFormat = "text",
) -> None:
    """Set the current step of a service's shift in the accepted document.

    Example: berylmastctl shift orders 2 --environment production --platform IP:PORT
    """

    async def execute(client: StoreClient) -> CommandResult:
        stored = await read_revision(client, environment)
        if stored is None:
            message = f"environment {environment!r} has no document"
            return make_error_result(ExitCode.NOT_FOUND, message)
        text = set_shift_step(stored.text, service, step)
        parse_document(text)
        if text == stored.text:
            message = f"step {step} is already the current step"
            return CommandResult(ExitCode.OK, message, {"version": stored.version})
        apply_result = await apply_revision(client, environment, text, stored.version)
        return _make_apply_result(environment, text, apply_result)

    _run_with_platform(platform, output, execute)


def _make_apply_result(
    environment: str,
    text: str,
    apply_result: Result[Revision, ApplyConflict | ApplyUnknown],
) -> CommandResult:
    if apply_result.is_ok():
        revision = apply_result.unwrap()
        message = (
            f"{environment}: version {revision.version} accepted, "
            f"digest {revision.digest}"
        )
        data = {"version": revision.version, "digest": revision.digest}
        return CommandResult(ExitCode.OK, message, data)
    error = apply_result.unwrap_err()
    if isinstance(error, ApplyUnknown) and not error.sent:
        message = f"the platform can't be read, nothing was changed: {error.reason}"
        return make_error_result(ExitCode.UNAVAILABLE, message)
    if isinstance(error, ApplyUnknown):
        message = f"{environment}: outcome unknown, check the version before retrying: "
        return make_error_result(ExitCode.UNKNOWN, message + error.reason)
    return _make_conflict_result(environment, text, error)


def _make_conflict_result(
    environment: str, text: str, conflict: ApplyConflict
) -> CommandResult:
    """Return the differences between the stored document and the one to apply."""
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
    return CommandResult(ExitCode.CONFLICT, "\n".join(lines), data)
