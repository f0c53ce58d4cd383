"""Tests that no attempt id is dispatched twice and that memory use is bounded."""

import anyio
import pytest

from ...errors import ErrorKind
from ...model import AttemptId, AttemptState, StoredResponse
from .. import ledger as module
from ..ledger import (
    RESPONSE_RETENTION_S,
    RETENTION_S,
    AttemptLedger,
    AttemptRecord,
)

pytestmark = pytest.mark.anyio

FINISHED = AttemptRecord(
    AttemptState.FINISHED, response=StoredResponse(200, [], b"x" * 100)
)
REFUSED = AttemptRecord(AttemptState.REFUSED, ErrorKind.OVERLOADED)


def make_id(counter: int, incarnation: int = 1, entry: str = "e1") -> AttemptId:
    return AttemptId(entry, incarnation, counter)


@pytest.mark.parametrize("record", [None, FINISHED, REFUSED])
@pytest.mark.parametrize("later_s", [0.0, RETENTION_S - 1, RETENTION_S + 1, 1e6])
async def test_id_is_never_dispatched_twice(
    record: AttemptRecord | None, later_s: float
) -> None:
    ledger = AttemptLedger()
    assert ledger.begin(make_id(5))
    if record is not None:
        ledger.finish(make_id(5), record)
    await anyio.sleep(later_s)
    assert not ledger.begin(make_id(5))


@pytest.mark.parametrize("later_s", [0.0, RETENTION_S + 1])
async def test_queried_id_can_never_run(later_s: float) -> None:
    ledger = AttemptLedger()
    assert ledger.query_or_revoke(make_id(5)).state is AttemptState.NOT_SEEN
    await anyio.sleep(later_s)
    assert not ledger.begin(make_id(5))
    assert ledger.query_or_revoke(make_id(5)).state is not AttemptState.NOT_SEEN


async def test_evicted_id_is_reported_forgotten_not_unseen() -> None:
    """An attempt that ran must not be reported as not seen, which means not run."""
    ledger = AttemptLedger()
    ledger.begin(make_id(5))
    ledger.finish(make_id(5), FINISHED)
    await anyio.sleep(RETENTION_S)
    assert ledger.query_or_revoke(make_id(5)).state is AttemptState.FORGOTTEN
    assert len(ledger) == 0


@pytest.mark.parametrize(
    ("attempt", "accepted"),
    [
        (make_id(4), False),
        (make_id(5), False),
        (make_id(6), True),
        (make_id(1, incarnation=2), True),
        (make_id(9, incarnation=0), False),
        (make_id(1, entry="e2"), True),
    ],
)
async def test_watermark_rejects_only_ids_that_may_have_been_evicted(
    attempt: AttemptId, accepted: bool
) -> None:
    ledger = AttemptLedger()
    ledger.begin(make_id(5))
    ledger.finish(make_id(5), REFUSED)
    await anyio.sleep(RETENTION_S)
    assert ledger.begin(attempt) is accepted


async def test_count_is_bounded_and_evicted_ids_stay_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_ENDED", 10)
    ledger = AttemptLedger()
    for counter in range(1, 101):
        assert ledger.begin(make_id(counter))
        ledger.finish(make_id(counter), REFUSED)
    assert len(ledger) == 10
    assert not any(ledger.begin(make_id(counter)) for counter in range(1, 101))


async def test_stored_responses_are_bounded_in_time_and_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_STORED_BYTES", 250)
    ledger = AttemptLedger()
    for counter in range(1, 6):
        ledger.begin(make_id(counter))
        ledger.finish(make_id(counter), FINISHED)

    def count_kept() -> int:
        records = [ledger.look_up(make_id(counter)) for counter in range(1, 6)]
        assert all(e.state is AttemptState.FINISHED for e in records)
        return sum(e.response is not None for e in records)

    assert count_kept() == 2
    await anyio.sleep(RESPONSE_RETENTION_S)
    assert count_kept() == 0
