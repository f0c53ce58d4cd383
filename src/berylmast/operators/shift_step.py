"""Sets the active step of a shift in a document's text and keeps its comments."""

import json
import re

from .document import DocumentError, parse_document
from .models import Document


class ShiftError(Exception):
    """The step of a shift can't be set."""


def set_shift_step(text: str, service: str, step: int) -> str:
    """Return the document's text with another active step in a service's shift.

    Only the value of ``current`` changes. Raises ShiftError if the service has no shift
    or no such step, or if ``current`` is absent and must be added first.
    """
    document = parse_document(text)
    configured = document.services.get(service)
    if configured is None:
        known = ", ".join(document.services)
        raise ShiftError(f"unknown service {service!r}; known: {known}")
    if configured.shift is None:
        raise ShiftError(f"service {service!r} has no shift")
    if not 0 <= step < len(configured.shift.steps):
        raise ShiftError(
            f"service {service!r} has only steps 0 to {len(configured.shift.steps) - 1}"
        )
    for match in re.finditer(r"""["']?current["']?\s*:\s*(\d+)""", text):
        changed = text[: match.start(1)] + str(step) + text[match.end(1) :]
        if _only_step_differs(document, changed, service, step):
            return changed
    if configured.shift.current == step:
        return text
    raise ShiftError(f"add the key 'current' to the shift of {service!r} first")


def _only_step_differs(
    document: Document, changed: str, service: str, step: int
) -> bool:
    try:
        after = parse_document(changed).model_dump(mode="json")
    except DocumentError:
        return False
    before = document.model_dump(mode="json")
    before["services"][service]["shift"]["current"] = step
    return json.dumps(before, sort_keys=True) == json.dumps(after, sort_keys=True)
