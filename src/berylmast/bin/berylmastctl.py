"""The operators' command line."""

import sys
from pathlib import Path

import anyio
from cyclopts import App

from ..operators import DocumentError, parse_document
from ..platform import Conflict, PlatformClient, PlatformUnavailable
from ..settings import Address

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4

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
        stored = await client.get("documents", environment)
        based_on = 0 if stored is None else stored.metadata.resource_version
        version = 1 if stored is None else stored.spec["version"] + 1
        spec = {"version": version, "text": text}
        await client.put("documents", environment, spec, based_on)
    except Conflict as exc:
        print(f"conflict: {exc}", file=sys.stderr)
        return EXIT_CONFLICT
    except PlatformUnavailable as exc:
        print(f"outcome unknown: {exc}", file=sys.stderr)
        return EXIT_UNKNOWN
    finally:
        await client.aclose()
    print(f"{environment}: version {version} accepted")
    return 0


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
