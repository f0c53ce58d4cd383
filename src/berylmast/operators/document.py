"""Parses and validates a document and splits it into one slice per service."""

from pydantic import ValidationError

from .._jsonc import JsoncError, decode_jsonc, format_validation_errors
from ..model import Budgets, Priority, Route, ServiceSlice, ShiftStep
from ..routing import POLICIES
from .document_checks import find_errors
from .models import MAX_DOCUMENT_BYTES, Document, ServiceModel


class DocumentError(Exception):
    """The document is invalid; the message has one line per error."""


def parse_document(text: str) -> Document:
    """Parse and validate a document written as JSON with comments.

    Raises DocumentError with one line per error.
    """
    try:
        size = len(text.encode())
    except UnicodeEncodeError as exc:
        # JSON from the platform's store may contain an unpaired surrogate.
        raise DocumentError(f"character {exc.start}: not valid Unicode") from exc
    if size > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f"the document has {size} bytes, at most {MAX_DOCUMENT_BYTES} are allowed"
        )
    try:
        document = Document.model_validate(decode_jsonc(text))
    except JsoncError as exc:
        raise DocumentError(str(exc)) from exc
    except ValidationError as exc:
        raise DocumentError("\n".join(format_validation_errors(Document, exc))) from exc
    errors = find_errors(document, POLICIES)
    if errors:
        raise DocumentError("\n".join(errors))
    return document


def make_slice(document: Document, service: str, version: int) -> ServiceSlice:
    """Return the slice of a document that applies to one service."""
    model = document.services[service]
    return ServiceSlice(
        service=service,
        version=version,
        hosts=model.hosts,
        routes=_make_routes(model),
        priorities=tuple(Priority(p.name, p.floor) for p in document.priorities),
        policy=model.policy,
        slots=model.slots,
        connections=model.connections,
        shift=_make_shift_steps(model),
        shift_current=0 if model.shift is None else model.shift.current,
        tenant_header=document.tenant_header,
        budgets=Budgets(**document.budgets.model_dump()),
        max_body_bytes=model.max_body_bytes,
        ejection=model.ejection,
    )


def _make_routes(model: ServiceModel) -> tuple[Route, ...]:
    return tuple(
        Route(
            methods=route.methods,
            path_prefix=route.path,
            idempotent=route.idempotent,
            priority=route.priority,
            deadline_ms=route.deadline_ms,
        )
        for route in model.routes
    )


def _make_shift_steps(model: ServiceModel) -> tuple[ShiftStep, ...]:
    if model.shift is None:
        return ()
    return tuple(
        ShiftStep(
            weights=step.weights,
            starts_at_s=None if step.starts_at is None else step.starts_at.timestamp(),
        )
        for step in model.shift.steps
    )
