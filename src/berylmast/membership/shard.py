"""The endpoint object of one registrar: records of its daemons, written in batches."""

from typing import Any

import anyio
from pydantic import TypeAdapter, ValidationError

from ..daemons.frames import Record
from ..model import Endpoint, EndpointState
from ..platform import (
    Platform,
    PlatformObject,
    PlatformUnavailable,
    PutFault,
    put_confirmed,
)
from .records import RecordTable, pack_record, unpack_records

ENDPOINT_KIND = "endpoints"
WRITE_INTERVAL_S = 1.0
MAX_BACKOFF_S = 5.0

KEEP_GONE_S = 600.0
"""For how long a shard names backend servers that are gone: longer than any watch
or link of another registrar stays behind while it holds its lease."""

_RECORDS = TypeAdapter(list[Record])


def read_shard(item: PlatformObject) -> list[Endpoint]:
    """Return the records of an endpoint object, none if it is damaged."""
    try:
        return unpack_records(_RECORDS.validate_python(item.spec.get("records", [])))
    except ValidationError:
        return []


class ShardWriter:
    """Writes the records that this registrar answers for."""

    def __init__(self, platform: Platform, shard: str, table: RecordTable) -> None:
        self._platform = platform
        self._shard = shard
        self._table = table
        self._own: dict[str, float] = {}
        self._stored: PlatformObject | None = None
        self._changed = anyio.Event()

    async def load(self) -> list[Endpoint]:
        """Return the records of the last holder of this shard.

        Retries until the platform answers: only its object names daemons that ended
        together with their registrar.
        """
        backoff_s = WRITE_INTERVAL_S
        while True:
            try:
                self._stored = await self._platform.get(ENDPOINT_KIND, self._shard)
                break
            except PlatformUnavailable:
                await anyio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        records = [] if self._stored is None else read_shard(self._stored)
        for record in records:
            self._own.setdefault(record.backend, anyio.current_time())
        return records

    def own(self, backend: str) -> None:
        """Answer for a backend server from now on."""
        self._own[backend] = anyio.current_time()

    def note_change(self) -> None:
        """Write the shard soon."""
        self._changed.set()

    def records(self) -> list[Endpoint]:
        """Return the records of the shard; those long gone are dropped."""
        oldest_s = anyio.current_time() - KEEP_GONE_S
        records = []
        for backend, since_s in list(self._own.items()):
            record = self._table.get(backend)
            gone = record is not None and record.state is EndpointState.GONE
            if gone and since_s < oldest_s:
                del self._own[backend]
            elif record is not None:
                records.append(record)
        return records

    async def run(self) -> None:
        """Write after changes, at most once per WRITE_INTERVAL_S, until cancelled."""
        backoff_s = WRITE_INTERVAL_S
        while True:
            await self._changed.wait()
            await anyio.sleep(WRITE_INTERVAL_S)
            self._changed = anyio.Event()
            if await self._write():
                backoff_s = WRITE_INTERVAL_S
            else:
                self._changed.set()
                await anyio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _write(self) -> bool:
        """Write the shard if it has changed; tell whether it is now stored."""
        packed = [list(pack_record(record)) for record in self.records()]
        spec: dict[str, Any] = {"records": packed}
        if self._stored is not None and self._stored.spec.get("records") == packed:
            return True
        result = await put_confirmed(
            self._platform, ENDPOINT_KIND, self._shard, spec, self._stored
        )
        if result.is_ok():
            self._stored = result.unwrap()
            return True
        failure = result.unwrap_err()
        if failure.fault is PutFault.CONFLICT:
            # Either an earlier write of unknown outcome or another holder's: records
            # are ordered by themselves, so writing over it reverts nothing.
            self._stored = failure.stored
        return False
