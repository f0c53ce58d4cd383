"""Reads and writes the accepted document version in the platform's store."""

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


class _RevisionSpec(BaseModel):
    model_config = ConfigDict(extra="ignore")
    version: int
    text: str
    digest: str
    token: str


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted version of a document.

    ``version`` grows by one per accepted change, ``store_revision`` is the revision of
    the stored object. ``digest`` is the SHA-256 of the text in hexadecimal. ``token``
    identifies the write that stored the version.
    """

    environment: str
    version: int
    text: str
    digest: str
    token: str
    store_revision: int


@dataclass(frozen=True, slots=True)
class ApplyConflict:
    """The stored version differs from the version that the change was based on."""

    base: int
    stored: Revision | None


@dataclass(frozen=True, slots=True)
class ApplyUnknown:
    """It is unknown whether the document was stored.

    The platform confirmed neither the write nor the outcome by later reads. ``sent`` is
    False if the read before the write failed, so that nothing was written.
    """

    reason: str
    sent: bool = True


class InvalidRevision(Exception):
    """The stored object is not a valid document revision."""


def compute_digest(text: str) -> str:
    """Return the SHA-256 of a document's text in hexadecimal."""
    return sha256(text.encode()).hexdigest()


async def read_revision(client: ObjectStore, environment: str) -> Revision | None:
    """Return the accepted version of an environment; None if there is none.

    Raises PlatformUnavailable, InvalidRevision.
    """
    stored = await client.get(DOCUMENT_KIND, environment)
    return None if stored is None else _parse_revision(environment, stored)


def _parse_revision(environment: str, stored: StoredObject) -> Revision:
    try:
        spec = _RevisionSpec.model_validate(stored.spec)
    except ValidationError as exc:
        raise InvalidRevision(f"{DOCUMENT_KIND}/{environment}: {exc}") from exc
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
    """Store a validated document as version ``base`` + 1; ``base`` 0 stores the first.

    If the outcome of the write is unknown, the object is read again and compared by
    token, so that the result matches the stored version.
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
        return Ok(_parse_revision(environment, written))
    except (Conflict, PlatformUnavailable) as exc:
        # A conflict may be caused by this write if the client or a proxy repeated it.
        return await _resolve_write_outcome(client, environment, base, token, str(exc))


async def _resolve_write_outcome(
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
        # The platform may still be processing the write.
        await anyio.sleep(CONFIRM_PAUSE_S)
    return Err(ApplyUnknown(reason))
