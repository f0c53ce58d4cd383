"""Writes whose outcome is found out even if their answer was lost."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from uuid import uuid4

import anyio
from result import Err, Ok, Result

from .objects import Conflict, Platform, PlatformObject, PlatformUnavailable

WRITERS = "writers"
"""Key of the tokens of the last writers, the newest first."""

KEPT_WRITERS = 8
"""A write is still recognised after this many less one later writes."""

RETRY_DELAYS_S = (0.1, 0.3, 0.9)


class PutFault(StrEnum):
    """Why a write is not reported as done."""

    CONFLICT = "conflict"
    NOT_WRITTEN = "not-written"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PutFailure:
    """A write that failed; ``stored`` is what was read back, if anything was."""

    fault: PutFault
    detail: str
    stored: PlatformObject | None = None


async def put_confirmed(
    platform: Platform,
    kind: str,
    name: str,
    spec: dict[str, Any],
    base: PlatformObject | None,
) -> Result[PlatformObject, PutFailure]:
    """Write an object that must still be at ``base``, None for one that is new.

    The object carries a token of this write. After a lost answer the object is read
    back: with the token the write took effect, otherwise it is tried again, which the
    expected version makes safe. The outcome is unknown only if the platform stays
    unreachable after a call that may have arrived.
    """
    token = uuid4().hex
    earlier = [] if base is None else base.spec.get(WRITERS, [])
    stamped = {**spec, WRITERS: [token, *earlier][:KEPT_WRITERS]}
    version = 0 if base is None else base.metadata.resource_version
    sent = False
    detail = ""
    for delay_s in (*RETRY_DELAYS_S, None):
        try:
            return Ok(await platform.put(kind, name, stamped, version))
        except PlatformUnavailable as exc:
            sent = sent or exc.sent
            detail = str(exc)
        except Conflict as exc:
            detail = str(exc)
        try:
            stored = await platform.get(kind, name)
        except PlatformUnavailable as exc:
            detail = str(exc)
        else:
            verdict = _judge(stored, token, version, detail)
            if verdict is not None:
                return verdict
        if delay_s is not None:
            await anyio.sleep(delay_s)
    fault = PutFault.UNKNOWN if sent else PutFault.NOT_WRITTEN
    return Err(PutFailure(fault, detail))


def _judge(
    stored: PlatformObject | None, token: str, version: int, detail: str
) -> Result[PlatformObject, PutFailure] | None:
    """Return the outcome that the stored object shows, None if there is none yet."""
    if stored is not None and token in stored.spec.get(WRITERS, []):
        return Ok(stored)
    found = 0 if stored is None else stored.metadata.resource_version
    if found != version:
        return Err(PutFailure(PutFault.CONFLICT, detail, stored))
    return None
