"""Headers that the owner sets on requests to the backend server."""

from dataclasses import replace

from ..model import RequestHead

_DEADLINE = b"berylmast-deadline-ms"
_RETRY = b"berylmast-retry"
_REQUEST_ID = b"x-request-id"
_MANAGED_HEADERS = frozenset({_DEADLINE, _RETRY, _REQUEST_ID})


def make_backend_head(head: RequestHead, remaining_ms: int) -> RequestHead:
    """Return the request head to send to the backend server.

    Adds the request id, the remaining time in milliseconds and, on a retry, the retry
    header. Backend servers copy these headers to nested calls, so that retries do not
    multiply along a chain of calls.
    """
    headers = [
        (key, value)
        for key, value in head.headers
        if key.lower() not in _MANAGED_HEADERS
    ]
    headers.append((_REQUEST_ID, head.request_id.encode("latin-1")))
    headers.append((_DEADLINE, str(remaining_ms).encode()))
    if head.retry:
        headers.append((_RETRY, b"1"))
    return replace(head, deadline_ms=remaining_ms, headers=headers)
