"""Asks the backend server at an address who it is."""

from collections.abc import Awaitable, Callable

import anyio

from ..http_client import ConnectionCut, HttpClient, ServerUnreachable, discard_body
from ..model import Headers
from ..settings import Address

QUERY_TIMEOUT_S = 0.3
"""Longest wait for a response. The sender of a report treats a response to it that
takes a second as lost."""


def make_sender_query(
    address: Address,
    client: HttpClient,
    get_path: Callable[[], str],
    read_sender: Callable[[Headers], str],
) -> Callable[[], Awaitable[str]]:
    """Return a function that returns the id that a health response names.

    It returns an empty text if there is no response in time, or none with an id.
    ``get_path`` returns the path of the health endpoint, empty if there is none.
    """
    headers = [(b"host", str(address).encode())]

    async def ask_sender() -> str:
        path = get_path()
        if not path:
            return ""
        try:
            with anyio.fail_after(QUERY_TIMEOUT_S):
                async with client.send("GET", path, headers, None) as response:
                    await discard_body(response)
                    return read_sender(response.headers)
        except (ServerUnreachable, ConnectionCut, TimeoutError):
            return ""

    return ask_sender
