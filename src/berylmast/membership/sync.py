"""Announces the local backend server and follows the platform's objects."""

from dataclasses import asdict

import anyio
from pydantic import TypeAdapter

from ..model import Endpoint
from ..operators import make_slice, parse_document
from ..platform import PlatformClient, PlatformUnavailable
from .directory import Directory

POLL_INTERVAL_S = 0.5
ENDPOINT_KIND = "endpoints"
DOCUMENT_KIND = "documents"

_ENDPOINT = TypeAdapter(Endpoint)


async def announce_endpoint(client: PlatformClient, endpoint: Endpoint) -> None:
    """Write the record of the local backend server, retrying until it is stored."""
    while True:
        try:
            await client.put(ENDPOINT_KIND, endpoint.backend, asdict(endpoint), None)
            return
        except PlatformUnavailable:
            await anyio.sleep(POLL_INTERVAL_S)


async def follow_platform(
    client: PlatformClient, directory: Directory, environment: str
) -> None:
    """Keep the directory up to date until cancelled."""
    while True:
        try:
            await _pull_objects(client, directory, environment)
        except PlatformUnavailable:
            pass  # What is known stays in force.
        await anyio.sleep(POLL_INTERVAL_S)


async def _pull_objects(
    client: PlatformClient, directory: Directory, environment: str
) -> None:
    stored = await client.get(DOCUMENT_KIND, environment)
    if stored is not None:
        document = parse_document(stored.spec["text"])
        for service in document.services:
            directory.put_slice(make_slice(document, service, stored.spec["version"]))
    for item in await client.list(ENDPOINT_KIND):
        directory.put_endpoint(_ENDPOINT.validate_python(item.spec))
