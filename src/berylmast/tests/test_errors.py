"""Guards against error responses that omit the outcome or state a wrong one.

A caller that is told ``not-run`` retries its request, so a kind that may occur after
dispatch must not state it.
"""

from pathlib import Path
from typing import Any

import pytest

from ..callers.response import CallerResponse
from ..errors import RESPONSE_SPECS, ErrorKind, Outcome, Refusal

pytestmark = pytest.mark.anyio

OPERATIONS = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"

# Kinds that occur after dispatch or when it is unknown whether dispatch took place.
MAY_HAVE_RUN = {
    ErrorKind.BODY_TOO_LARGE_UNKNOWN,
    ErrorKind.BODY_CUT,
    ErrorKind.DEADLINE_UNKNOWN,
    ErrorKind.PEER_LOST,
    ErrorKind.BACKEND_CUT,
    ErrorKind.ANSWER_CUT,
    ErrorKind.ANSWER_INVALID,
    ErrorKind.DUPLICATE_RUNNING,
    ErrorKind.DUPLICATE_UNKNOWN,
    ErrorKind.CANCELLED,
    ErrorKind.INTERNAL,
}


@pytest.mark.parametrize("kind", list(ErrorKind))
async def test_error_response_states_its_outcome(kind: ErrorKind) -> None:
    sent: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    await CallerResponse(send, "r1").send_error(Refusal(kind, "detail"))
    headers = dict(sent[0]["headers"])
    assert sent[0]["status"] == RESPONSE_SPECS[kind].status >= 400
    assert headers[b"berylmast-outcome"].decode() in set(Outcome)
    assert headers[b"berylmast-outcome"].decode() == RESPONSE_SPECS[kind].outcome
    assert headers[b"berylmast-error"].decode() == kind
    assert headers[b"x-request-id"] == b"r1"
    assert (b"retry-after" in headers) == (
        RESPONSE_SPECS[kind].retry_after_s is not None
    )


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_not_run_is_claimed_only_by_kinds_before_dispatch(kind: ErrorKind) -> None:
    assert Refusal(kind, "").not_run == (kind not in MAY_HAVE_RUN)


def test_table_is_complete() -> None:
    assert set(RESPONSE_SPECS) == set(ErrorKind)


@pytest.mark.parametrize("kind", ErrorKind)
def test_operations_page_states_the_response_of_each_kind(kind: ErrorKind) -> None:
    rows = [row.split("|") for row in OPERATIONS.read_text().splitlines()]
    found = [row[2].strip() for row in rows if len(row) > 4 and f"`{kind}`" in row[1]]
    response_spec = RESPONSE_SPECS[kind]
    assert found == [f"{response_spec.status} {response_spec.outcome}"]
