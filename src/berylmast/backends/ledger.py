"""Deduplicates attempts: the owner dispatches no attempt id twice.

Memory is bounded. Ended attempts are kept for ``RETENTION_S``, at most ``MAX_ENDED`` of
them. Their responses are kept for ``RESPONSE_RETENTION_S`` within ``MAX_STORED_BYTES``.
The number of running attempts is bounded by admission control.

An evicted id still can't run again. The ids of an entry are ordered by (incarnation,
counter). For each entry, the highest evicted id is kept as its watermark, and no id at
or below the watermark is accepted. An entry takes an id from its counter when it sends
the Request, so only a Request that arrives ``RETENTION_S`` late (or less if
``MAX_ENDED`` forces an earlier eviction) can be rejected without having been received
before. Its outcome is reported as unknown.

Watermarks are kept for ``MAX_WATERMARKS`` entries, which is more than the target fleet
has daemons. The watermark that was raised longest ago is dropped first. Only after that
could an id it covered run again.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, replace

import anyio

from ..errors import ErrorKind
from ..model import AttemptId, AttemptState, StoredResponse

RETENTION_S = 60.0
"""An entry queries an attempt within seconds of losing its connection."""

MAX_ENDED = 32_768
"""At about 0.4 kB per attempt without a response this is 13 MB, enough for 546 attempts
per second over ``RETENTION_S``."""

RESPONSE_RETENTION_S = 30.0
MAX_STORED_BYTES = 4 * 1024 * 1024
MAX_WATERMARKS = 65_536


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """The known state of an attempt.

    ``kind`` and ``detail`` have the same meaning as in ``Refuse`` and ``Fail``.
    """

    state: AttemptState
    kind: ErrorKind | None = None
    detail: str = ""
    response: StoredResponse | None = None


REVOKED = AttemptRecord(
    AttemptState.REFUSED, ErrorKind.ATTEMPT_REVOKED, "the attempt never arrived"
)


class AttemptLedger:
    """Stores the attempts that this incarnation of the daemon has received."""

    def __init__(self) -> None:
        self._running: dict[AttemptId, anyio.Event] = {}
        self._ended: OrderedDict[AttemptId, tuple[float, AttemptRecord]] = OrderedDict()
        self._stored_responses: deque[tuple[float, AttemptId, int]] = deque()
        self._stored_bytes = 0
        self._watermarks: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._running) + len(self._ended)

    def begin(self, attempt: AttemptId) -> bool:
        """Record a new attempt before dispatch; return False if its id was used."""
        if self.look_up(attempt).state is not AttemptState.NOT_SEEN:
            return False
        self._running[attempt] = anyio.Event()
        return True

    def finish(self, attempt: AttemptId, record: AttemptRecord) -> None:
        """Record how a running attempt ended and wake the tasks that wait for it."""
        event = self._running.pop(attempt)
        self._store_ended(attempt, record)
        event.set()

    def look_up(self, attempt: AttemptId) -> AttemptRecord:
        """Return the state of an attempt without revoking an unseen one."""
        self._evict()
        if attempt in self._running:
            return AttemptRecord(AttemptState.RUNNING)
        if attempt in self._ended:
            return self._ended[attempt][1]
        watermark = self._watermarks.get(attempt.entry)
        if watermark is not None and _sort_key(attempt) <= watermark:
            return AttemptRecord(AttemptState.FORGOTTEN)
        return AttemptRecord(AttemptState.NOT_SEEN)

    def query_or_revoke(self, attempt: AttemptId) -> AttemptRecord:
        """Return the state of an attempt; an unseen one is revoked and can't run."""
        record = self.look_up(attempt)
        if record.state is AttemptState.NOT_SEEN:
            self._store_ended(attempt, REVOKED)
        return record

    async def wait_until_ended(self, attempt: AttemptId) -> AttemptRecord:
        """Wait until an attempt is no longer running and return its state."""
        event = self._running.get(attempt)
        if event is not None:
            await event.wait()
        return self.look_up(attempt)

    def _store_ended(self, attempt: AttemptId, record: AttemptRecord) -> None:
        now_s = anyio.current_time()
        self._ended[attempt] = (now_s, record)
        if record.response is not None:
            size = len(record.response.body)
            self._stored_responses.append((now_s, attempt, size))
            self._stored_bytes += size
        self._evict()

    def _evict(self) -> None:
        now_s = anyio.current_time()
        while self._stored_responses and (
            now_s - self._stored_responses[0][0] >= RESPONSE_RETENTION_S
            or self._stored_bytes > MAX_STORED_BYTES
        ):
            self._drop_oldest_response()
        while self._ended:
            attempt, (ended_s, _) = next(iter(self._ended.items()))
            if now_s - ended_s < RETENTION_S and len(self._ended) <= MAX_ENDED:
                return
            del self._ended[attempt]
            self._raise_watermark(attempt)

    def _drop_oldest_response(self) -> None:
        _, attempt, size = self._stored_responses.popleft()
        self._stored_bytes -= size
        if attempt in self._ended:
            ended_s, record = self._ended[attempt]
            self._ended[attempt] = (ended_s, replace(record, response=None))

    def _raise_watermark(self, attempt: AttemptId) -> None:
        known = self._watermarks.pop(attempt.entry, (0, 0))
        self._watermarks[attempt.entry] = max(known, _sort_key(attempt))
        if len(self._watermarks) > MAX_WATERMARKS:
            self._watermarks.popitem(last=False)


def _sort_key(attempt: AttemptId) -> tuple[int, int]:
    return (attempt.incarnation, attempt.counter)
