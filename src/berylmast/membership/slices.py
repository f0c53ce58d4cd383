"""A document cut into slices per service, and their wire form."""

import zlib
from dataclasses import dataclass, replace
from hashlib import sha256

from pydantic import TypeAdapter, ValidationError

from ..model import ServiceSlice
from ..operators import DocumentError, make_slice, parse_document

MAX_DOCUMENT_BYTES = 1_000_000
"""The platform holds no larger values."""

_SLICE = TypeAdapter(ServiceSlice)


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
    document = parse_document(text)
    slices = [make_slice(document, service, 0) for service in document.services]
    texts = {part.service: encode_slice(part) for part in slices}
    return CutDocument(
        version=version,
        text=text,
        texts=texts,
        digests={name: _digest(data) for name, data in texts.items()},
        hosts={host: part.service for part in slices for host in part.hosts},
    )


def encode_slice(part: ServiceSlice) -> bytes:
    """Return a slice as JSON that is the same in every process and version.

    Sets are sorted: their order differs between processes, and the digest must not.
    """
    data = _SLICE.dump_python(replace(part, version=0), mode="json")
    data["hosts"] = sorted(data["hosts"])
    for route in data["routes"]:
        route["methods"] = sorted(route["methods"])
    return TypeAdapter(dict).dump_json(data)


def decode_slice(data: bytes, version: int) -> ServiceSlice | None:
    """Return the slice of a version, None if it is not one that this daemon knows."""
    try:
        return replace(_SLICE.validate_json(data), version=version)
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
