"""A document cut into slices per service, and their wire form."""

import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from hashlib import sha256

import anyio
import anyio.lowlevel
from pydantic import ValidationError

from ..model import ServiceSlice
from ..operators import DocumentError, make_slice, parse_document
from ..operators.wire import MAX_SLICE_BYTES, SLICE, encode_slice
from ..telemetry import log_event

MAX_DOCUMENT_BYTES = 1_000_000
"""The platform holds no larger values."""

SERVICES_PER_STEP = 10
"""Services cut without a pause, about 1 ms."""


@dataclass(frozen=True, slots=True)
class CutDocument:
    """A document's slices by service; the digests do not depend on the version."""

    version: int
    text: str
    texts: dict[str, bytes]
    digests: dict[str, str]
    hosts: dict[str, str]


EMPTY_DOCUMENT = CutDocument(0, "", {}, {}, {})


def cut_document(text: str, version: int) -> CutDocument:
    """Parse a document and cut it; raises DocumentError if it is not acceptable."""
    return _assemble(text, version, list(_iter_parts(text)))


async def cut_document_in_steps(text: str, version: int) -> CutDocument:
    """Cut a document like ``cut_document``, letting requests run in between.

    A document of 0.9 MB takes about 0.2 s to cut, nearly half of it to parse at once.
    """
    parts = []
    for part in _iter_parts(text):
        parts.append(part)
        if len(parts) % SERVICES_PER_STEP == 0:
            await anyio.lowlevel.checkpoint()
    return _assemble(text, version, parts)


def _iter_parts(text: str) -> Iterator[tuple[ServiceSlice, bytes]]:
    document = parse_document(text)
    for service in document.services:
        part = make_slice(document, service, 0)
        data = encode_slice(part)
        if len(data) > MAX_SLICE_BYTES:
            raise DocumentError(f"services.{service}: {len(data)} bytes are too large")
        yield part, data


def _assemble(
    text: str, version: int, parts: list[tuple[ServiceSlice, bytes]]
) -> CutDocument:
    return CutDocument(
        version=version,
        text=text,
        texts={part.service: data for part, data in parts},
        digests={part.service: _digest(data) for part, data in parts},
        hosts={host: part.service for part, _ in parts for host in part.hosts},
    )


class DocumentIntake:
    """Cuts the newest document offered, one at a time; skips those overtaken.

    ``newest`` is the highest version offered, also if it was not acceptable.
    """

    def __init__(self, on_cut: Callable[[CutDocument], None]) -> None:
        self._on_cut = on_cut
        self.newest = 0
        self._offered: tuple[str, int] | None = None
        self._wake = anyio.Event()

    def offer(self, text: str, version: int) -> None:
        """Take a document unless a newer one has been offered or cut."""
        if version > self.newest:
            self.newest = version
            self._offered = (text, version)
            self._wake.set()

    async def run(self) -> None:
        """Cut offered documents until cancelled; unacceptable ones are logged."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._offered is None:
                continue
            (text, version), self._offered = self._offered, None
            try:
                self._on_cut(await cut_document_in_steps(text, version))
            except DocumentError as exc:
                log_event("document refused", version=version, reason=str(exc))


def decode_slice(data: bytes, version: int) -> ServiceSlice | None:
    """Return the slice of a version, None if it is not one that this daemon knows."""
    try:
        return replace(SLICE.validate_json(data), version=version)
    except ValidationError:
        return None


def digest_slice(part: ServiceSlice | None) -> str:
    """Return the digest of a slice whatever its version, empty for None."""
    return "" if part is None else _digest(encode_slice(part))


def compress_document(text: str) -> bytes:
    """Return a document for a transfer between registrars."""
    return zlib.compress(text.encode(), 6)


def expand_document(data: bytes) -> str:
    """Return a transferred document.

    Raises DocumentError if it is damaged or larger than the platform allows.
    """
    expander = zlib.decompressobj()
    try:
        text = expander.decompress(data, MAX_DOCUMENT_BYTES * 2)
        if expander.unconsumed_tail or not expander.eof:
            raise DocumentError("the document is too large or not whole")
        return text.decode()
    except (zlib.error, UnicodeDecodeError) as exc:
        raise DocumentError(f"damaged document: {exc}") from exc


def _digest(data: bytes) -> str:
    return sha256(data).hexdigest()[:16]
