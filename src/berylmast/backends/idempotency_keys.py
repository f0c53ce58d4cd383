"""Stores the callers' idempotency keys that this daemon is responsible for.

A key is kept for ``KEY_RETENTION_S`` after its request ended. If no end was reported,
it is kept for as long after the request's deadline, and the outcome of the request is
unknown from the deadline on. At most ``MAX_KEYS`` keys are stored. When that many are
stored, new keys are refused: evicting a key could let its request run twice. Stored
responses take at most ``MAX_STORED_BYTES``; the oldest are dropped first.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

import anyio

from ..daemons.frames import KeyBegin, KeyFinish
from ..model import AttemptId, KeyStatus, StoredResponse

KEY_RETENTION_S = 600.0
MAX_KEYS = 65_536
"""At about 0.7 kB per key without a response this is 46 MB, enough for 109 new keys per
second over ``KEY_RETENTION_S``."""

MAX_STORED_BYTES = 8 * 1024 * 1024

_KeyId = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The stored state of one key.

    ``retention_start_s`` is when its retention time starts: the deadline while the
    request runs, then the time at which the request ended.
    """

    token: AttemptId
    fingerprint: str
    status: KeyStatus
    retention_start_s: float
    response: StoredResponse | None = None


class IdempotencyKeyLedger:
    """Stores keys by (service, tenant, key)."""

    def __init__(self) -> None:
        self._records: OrderedDict[_KeyId, KeyRecord] = OrderedDict()
        self._stored_bytes = 0

    def begin(self, frame: KeyBegin) -> tuple[KeyStatus, StoredResponse | None]:
        """Assign the key to the requesting attempt, or return its stored state."""
        now_s = anyio.current_time()
        key = (frame.service, frame.tenant, frame.key)
        self._evict(now_s)
        record = self._records.get(key)
        if record is not None and now_s - record.retention_start_s >= KEY_RETENTION_S:
            self._drop(key)
            record = None
        if record is None:
            if len(self._records) >= MAX_KEYS:
                return KeyStatus.FULL, None
            deadline_s = now_s + frame.deadline_ms / 1000
            self._records[key] = KeyRecord(
                frame.token, frame.fingerprint, KeyStatus.RUNNING, deadline_s
            )
            return KeyStatus.NEW, None
        return _resolve_existing(record, frame, now_s)

    def finish(self, frame: KeyFinish) -> None:
        """Record the end of the request that holds the key; ignore any other token."""
        key = (frame.service, frame.tenant, frame.key)
        record = self._records.get(key)
        if record is None or record.token != frame.token:
            return
        self._drop(key)
        if frame.status is KeyStatus.NOT_RUN:
            return
        response = None
        if frame.answer_status:
            response = StoredResponse(frame.answer_status, frame.headers, frame.body)
            self._stored_bytes += len(frame.body)
        self._records[key] = replace(
            record,
            status=frame.status,
            retention_start_s=anyio.current_time(),
            response=response,
        )
        self._drop_oldest_responses()

    def _evict(self, now_s: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if now_s - record.retention_start_s < KEY_RETENTION_S:
                return
            self._drop(key)

    def _drop_oldest_responses(self) -> None:
        if self._stored_bytes <= MAX_STORED_BYTES:
            return
        for key, record in self._records.items():
            if record.response is not None:
                self._stored_bytes -= len(record.response.body)
                self._records[key] = replace(record, response=None)
            if self._stored_bytes <= MAX_STORED_BYTES:
                return

    def _drop(self, key: _KeyId) -> None:
        record = self._records.pop(key)
        if record.response is not None:
            self._stored_bytes -= len(record.response.body)


def _resolve_existing(
    record: KeyRecord, frame: KeyBegin, now_s: float
) -> tuple[KeyStatus, StoredResponse | None]:
    if record.fingerprint != frame.fingerprint:
        return KeyStatus.MISMATCH, None
    if record.status is not KeyStatus.RUNNING:
        return record.status, record.response
    if record.token == frame.token:
        # The same request begins again because the first reply was lost.
        return KeyStatus.NEW, None
    if now_s >= record.retention_start_s:
        return KeyStatus.UNKNOWN, None
    return KeyStatus.RUNNING, None
