"""Accepted versions of a document in the platform's store."""

from dataclasses import dataclass
from hashlib import sha256
from uuid import uuid4

import anyio
from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from ..platform import Conflict, ObjectStore, PlatformUnavailable, StoredObject

DOCUMENT_KIND = "documents"
CONFIRM_ATTEMPTS = 5
CONFIRM_PAUSE_S = 0.5


class _Spec(BaseModel):
    model_config = ConfigDict(extra="ignore")
    version: int
    text: str
    digest: str
    token: str


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted version; ``digest`` is the SHA-256 of the text in hexadecimal.

    ``store_revision`` is that of the object, ``version`` grows by one per acceptance.
    """

    environment: str
    version: int
    text: str
    digest: str
    token: str
    store_revision: int


@dataclass(frozen=True, slots=True)
class ApplyConflict:
    """Another version was accepted than the one that the change was based on."""

    base: int
    stored: Revision | None


@dataclass(frozen=True, slots=True)
class ApplyUnknown:
    """The platform answered neither the write nor the reads that followed.

    ``sent`` is False if it did not even answer the read before the write.
    """

    reason: str
    sent: bool = True


class RevisionDamaged(Exception):
    """The stored object is not a document of this system."""


def compute_digest(text: str) -> str:
    """Return the SHA-256 of a document's bytes."""
    return sha256(text.encode()).hexdigest()


async def read_revision(client: ObjectStore, environment: str) -> Revision | None:
    """Return the accepted version of an environment, None if there is none.

    Raises PlatformUnavailable, RevisionDamaged.
    """
    stored = await client.get(DOCUMENT_KIND, environment)
    return None if stored is None else _parse(environment, stored)


def _parse(environment: str, stored: StoredObject) -> Revision:
    try:
        spec = _Spec.model_validate(stored.spec)
    except ValidationError as exc:
        raise RevisionDamaged(f"{DOCUMENT_KIND}/{environment}: {exc}") from exc
    return Revision(
        environment,
        spec.version,
        spec.text,
        spec.digest,
        spec.token,
        stored.revision,
    )


async def apply_revision(
    client: ObjectStore, environment: str, text: str, base: int
) -> Result[Revision, ApplyConflict | ApplyUnknown]:
    """Store a checked text as the version that follows ``base`` (0: the first).

    A write whose answer was lost is read back and recognised by its token, so that
    the result is what the store holds.
    """
    token = uuid4().hex
    try:
        stored = await read_revision(client, environment)
    except PlatformUnavailable as exc:
        return Err(ApplyUnknown(str(exc), sent=False))
    if (0 if stored is None else stored.version) != base:
        return Err(ApplyConflict(base, stored))
    spec = {
        "version": base + 1,
        "text": text,
        "digest": compute_digest(text),
        "token": token,
    }
    expected = 0 if stored is None else stored.store_revision
    try:
        written = await client.put(DOCUMENT_KIND, environment, spec, expected)
        return Ok(_parse(environment, written))
    except (Conflict, PlatformUnavailable) as exc:
        # A conflict too may be our own write, if the client or a proxy repeated it.
        return await _confirm(client, environment, base, token, str(exc))


async def _confirm(
    client: ObjectStore, environment: str, base: int, token: str, reason: str
) -> Result[Revision, ApplyConflict | ApplyUnknown]:
    for _ in range(CONFIRM_ATTEMPTS):
        try:
            stored = await read_revision(client, environment)
        except PlatformUnavailable:
            await anyio.sleep(CONFIRM_PAUSE_S)
            continue
        if stored is not None and stored.token == token:
            return Ok(stored)
        if stored is not None and stored.version > base:
            return Err(ApplyConflict(base, stored))
        # The write may still be under way inside the platform: look again.
        await anyio.sleep(CONFIRM_PAUSE_S)
    return Err(ApplyUnknown(reason))
