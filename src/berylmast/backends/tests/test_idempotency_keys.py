"""Tests that idempotency keys are kept long enough and within their limits."""

import anyio
import pytest

from ...daemons.frames import KeyBegin, KeyFinish
from ...model import AttemptId, KeyStatus
from .. import idempotency_keys as module
from ..idempotency_keys import KEY_RETENTION_S, IdempotencyKeyLedger

pytestmark = pytest.mark.anyio


def begin(key: str, token: int = 1, deadline_ms: int = 1000) -> KeyBegin:
    return KeyBegin(1, "s", "t", key, "f", AttemptId("e", 1, token), deadline_ms)


def finish(key: str, token: int = 1, body: bytes = b"") -> KeyFinish:
    status = KeyStatus.FINISHED
    return KeyFinish(1, "s", "t", key, AttemptId("e", 1, token), status, 200, [], body)


async def test_full_ledger_refuses_new_keys_instead_of_evicting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_KEYS", 2)
    ledger = IdempotencyKeyLedger()
    assert [ledger.begin(begin(k))[0] for k in "abc"] == [
        KeyStatus.NEW,
        KeyStatus.NEW,
        KeyStatus.FULL,
    ]
    await anyio.sleep(KEY_RETENTION_S + 2)
    assert ledger.begin(begin("c"))[0] is KeyStatus.NEW


async def test_repeated_begin_succeeds_only_with_the_same_token() -> None:
    ledger = IdempotencyKeyLedger()
    tokens = (1, 1, 2)
    assert [ledger.begin(begin("a", token))[0] for token in tokens] == [
        KeyStatus.NEW,
        KeyStatus.NEW,
        KeyStatus.RUNNING,
    ]


async def test_finish_with_another_token_is_ignored() -> None:
    ledger = IdempotencyKeyLedger()
    ledger.begin(begin("a", 1))
    ledger.finish(finish("a", 2))
    assert ledger.begin(begin("a", 3))[0] is KeyStatus.RUNNING


async def test_stored_responses_are_bounded_in_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_STORED_BYTES", 250)
    ledger = IdempotencyKeyLedger()
    for key in "abcd":
        ledger.begin(begin(key))
        ledger.finish(finish(key, body=b"x" * 100))
    states = [ledger.begin(begin(key, 2)) for key in "abcd"]
    assert [status for status, _ in states] == [KeyStatus.FINISHED] * 4
    assert [stored is not None for _, stored in states] == [False, False, True, True]


@pytest.mark.parametrize("deadline_ms", [1000, 3_600_000])
async def test_running_key_is_unknown_for_the_retention_time_after_its_deadline(
    deadline_ms: int,
) -> None:
    ledger = IdempotencyKeyLedger()
    ledger.begin(begin("a", 1, deadline_ms))
    await anyio.sleep(deadline_ms / 1000)
    assert ledger.begin(begin("a", 2))[0] is KeyStatus.UNKNOWN
    await anyio.sleep(KEY_RETENTION_S - 1)
    assert ledger.begin(begin("a", 2))[0] is KeyStatus.UNKNOWN
    await anyio.sleep(1)
    assert ledger.begin(begin("a", 2))[0] is KeyStatus.NEW
