"""The wire form of slices, and the documents whose slices can be distributed."""

import json
from dataclasses import replace

from pydantic import TypeAdapter

from ..model import ServiceSlice
from .document import DocumentError, make_slice, parse_document
from .models import Document

MAX_SLICE_BYTES = 200_000
"""A slice travels in one frame, which may have 256 KiB."""

SLICE = TypeAdapter(ServiceSlice)


def encode_slice(part: ServiceSlice) -> bytes:
    """Return a slice as JSON that is the same in every process and version.

    Sets are sorted: their order differs between processes, and the digest must not.
    """
    data = SLICE.dump_python(replace(part, version=0), mode="json")
    data["hosts"] = sorted(data["hosts"])
    for route in data["routes"]:
        route["methods"] = sorted(route["methods"])
    return json.dumps(data, separators=(",", ":")).encode()


def parse_acceptable(text: str) -> Document:
    """Read and check a document as before it is accepted.

    Registrars refuse a document with a slice that is too large, so that it would be
    accepted but never come into force. Raises DocumentError with one line per fault.
    """
    document = parse_document(text)
    faults = []
    for service in document.services:
        size = len(encode_slice(make_slice(document, service, 0)))
        if size > MAX_SLICE_BYTES:
            faults.append(
                f"services.{service}: {size} bytes when distributed, "
                f"at most {MAX_SLICE_BYTES} are allowed"
            )
    if faults:
        raise DocumentError("\n".join(faults))
    return document
