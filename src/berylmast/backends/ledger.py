"""Deduplicates attempts: the owner dispatches no attempt id twice.

Memory is bounded. Ended attempts are kept for ``RETENTION_S``, at most ``MAX_ENDED`` of
them. Their responses are kept for ``ANSWER_RETENTION_S`` within ``MAX_KEPT_BYTES``.
The number of running attempts is bounded by admission control.

An evicted id still can't run again. The ids of an entry are ordered by (incarnation,
counter). For each entry, the highest evicted id is kept as a floor, and no id at or
below it is accepted. An entry takes an id from its counter when it sends the Request,
so only a Request that arrives ``RETENTION_S`` late (or less if ``MAX_ENDED`` forces an
earlier eviction) could be a first one at or below the floor. Its outcome is reported as
unknown.

Floors are kept for ``MAX_FLOORS`` entries, which is more than the target fleet has
daemons. The floor that was raised longest ago is dropped first. Only after that could
an id it covered run again.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, replace

import anyio

from ..errors import ErrorKind
from ..model import AttemptId, AttemptState, KeptAnswer

RETENTION_S = 60.0
"""An entry queries an attempt within seconds of losing its connection."""

MAX_ENDED = 32_768
"""At about 0.4 kB per attempt without a response this is 13 MB, enough for 546 attempts
per second over ``RETENTION_S``."""

ANSWER_RETENTION_S = 30.0
MAX_KEPT_BYTES = 4 * 1024 * 1024
MAX_FLOORS = 65_536


@dataclass(frozen=True, slots=True)
class Ending:
    """The known state of an attempt.

    ``kind`` and ``detail`` have the same meaning as in ``Refuse`` and ``Fail``.
    """

    state: AttemptState
    kind: ErrorKind | None = None
    detail: str = ""
    answer: KeptAnswer | None = None


REVOKED = Ending(
    AttemptState.REFUSED, ErrorKind.ATTEMPT_REVOKED, "the attempt never arrived"
)


class AttemptLedger:
    """Stores the attempts that this incarnation of the daemon has received."""

    def __init__(self) -> None:
        self._running: dict[AttemptId, anyio.Event] = {}
        self._ended: OrderedDict[AttemptId, tuple[float, Ending]] = OrderedDict()
        self._kept: deque[tuple[float, AttemptId, int]] = deque()
        self._kept_bytes = 0
        self._floors: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._running) + len(self._ended)

    def begin(self, attempt: AttemptId) -> bool:
        """Record a new attempt before dispatch; return False if its id was used."""
        if self.peek(attempt).state is not AttemptState.NOT_SEEN:
            return False
        self._running[attempt] = anyio.Event()
        return True

    def finish(self, attempt: AttemptId, ending: Ending) -> None:
        """Record how a running attempt ended and wake the tasks that wait for it."""
        event = self._running.pop(attempt)
        self._remember(attempt, ending)
        event.set()

    def peek(self, attempt: AttemptId) -> Ending:
        """Return the state of an attempt without revoking an unseen one."""
        self._evict()
        if attempt in self._running:
            return Ending(AttemptState.RUNNING)
        if attempt in self._ended:
            return self._ended[attempt][1]
        floor = self._floors.get(attempt.entry)
        if floor is not None and _order(attempt) <= floor:
            return Ending(AttemptState.FORGOTTEN)
        return Ending(AttemptState.NOT_SEEN)

    def query(self, attempt: AttemptId) -> Ending:
        """Return the state of an attempt; an unseen one is revoked and can't run."""
        ending = self.peek(attempt)
        if ending.state is AttemptState.NOT_SEEN:
            self._remember(attempt, REVOKED)
        return ending

    async def wait_end(self, attempt: AttemptId) -> Ending:
        """Wait until an attempt is no longer running and return its state."""
        event = self._running.get(attempt)
        if event is not None:
            await event.wait()
        return self.peek(attempt)

    def _remember(self, attempt: AttemptId, ending: Ending) -> None:
        now_s = anyio.current_time()
        self._ended[attempt] = (now_s, ending)
        if ending.answer is not None:
            size = len(ending.answer.body)
            self._kept.append((now_s, attempt, size))
            self._kept_bytes += size
        self._evict()

    def _evict(self) -> None:
        now_s = anyio.current_time()
        while self._kept and (
            now_s - self._kept[0][0] >= ANSWER_RETENTION_S
            or self._kept_bytes > MAX_KEPT_BYTES
        ):
            self._drop_answer()
        while self._ended:
            attempt, (ended_s, _) = next(iter(self._ended.items()))
            if now_s - ended_s < RETENTION_S and len(self._ended) <= MAX_ENDED:
                return
            del self._ended[attempt]
            self._raise_floor(attempt)

    def _drop_answer(self) -> None:
        _, attempt, size = self._kept.popleft()
        self._kept_bytes -= size
        if attempt in self._ended:
            ended_s, ending = self._ended[attempt]
            self._ended[attempt] = (ended_s, replace(ending, answer=None))

    def _raise_floor(self, attempt: AttemptId) -> None:
        known = self._floors.pop(attempt.entry, (0, 0))
        self._floors[attempt.entry] = max(known, _order(attempt))
        if len(self._floors) > MAX_FLOORS:
            self._floors.popitem(last=False)


def _order(attempt: AttemptId) -> tuple[int, int]:
    return (attempt.incarnation, attempt.counter)
