"""The operators' command line."""

import sys
from pathlib import Path

import anyio
from cyclopts import App

from ..membership.feeds import DOCUMENT_KIND
from ..operators import DocumentError, parse_document
from ..platform import (
    PlatformClient,
    PlatformUnavailable,
    PutFailure,
    PutFault,
    put_confirmed,
)
from ..settings import Address

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNAVAILABLE = 5
EXITS = {
    PutFault.CONFLICT: EXIT_CONFLICT,
    PutFault.NOT_WRITTEN: EXIT_UNAVAILABLE,
    PutFault.UNKNOWN: EXIT_UNKNOWN,
}

app = App(name="berylmastctl", help=__doc__)


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


@app.command
def apply(document: Path, *, environment: str, platform: str) -> None:
    """Store a document as the next version of its environment.

    Parameters
    ----------
    document
        The document: JSON with comments.
    environment
        Name of the environment.
    platform
        Address of the platform's object API, HOST:PORT.
    """
    text = document.read_text()
    try:
        parse_document(text)
    except DocumentError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    sys.exit(anyio.run(_apply, text, environment, _parse_address(platform)))


async def _apply(text: str, environment: str, platform: Address) -> int:
    client = PlatformClient(platform)
    try:
        stored = await client.get(DOCUMENT_KIND, environment)
        version = 1 if stored is None else stored.spec["version"] + 1
        spec = {"version": version, "text": text}
        result = await put_confirmed(client, DOCUMENT_KIND, environment, spec, stored)
    except PlatformUnavailable as exc:
        print(f"not applied: the platform cannot be read: {exc}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    finally:
        await client.aclose()
    if result.is_ok():
        print(f"{environment}: version {version} accepted")
        return 0
    failure = result.unwrap_err()
    print(_describe_failure(failure, environment, version), file=sys.stderr)
    return EXITS[failure.fault]


def _describe_failure(failure: PutFailure, environment: str, version: int) -> str:
    match failure.fault:
        case PutFault.CONFLICT:
            found = None if failure.stored is None else failure.stored.spec["version"]
            return (
                f"conflict: {environment} is at version {found}, no longer at "
                f"{version - 1}; nothing was applied"
            )
        case PutFault.NOT_WRITTEN:
            return f"not applied: the platform cannot be reached: {failure.detail}"
        case PutFault.UNKNOWN:
            return (
                f"outcome unknown: version {version} of {environment} may have been "
                f"accepted; read the document before another attempt: {failure.detail}"
            )


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
