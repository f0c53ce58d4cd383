"""Names of evacuated failure domains in the store."""

from collections.abc import Iterable

from pydantic import TypeAdapter, ValidationError

from ..identifiers import MAX_FRAME_INT, MAX_ID_LENGTH, Name
from ..model import Evacuations
from ..telemetry import escape_text, log_event
from .objects import PlatformUnavailable

EVACUATION_KIND = "evacuations"
"""Kind of the objects that evacuate a failure domain; each is named after it."""

MAX_EVACUATIONS = 256
"""Most evacuated failure domains. The longest names of them fit into one frame."""

_NAME_ADAPTER: TypeAdapter[str] = TypeAdapter(Name)


def make_evacuations(era: int, revision: int, names: Iterable[str]) -> Evacuations:
    """Return the evacuations at a revision of the store.

    Raises PlatformUnavailable for a revision that no frame to another daemon carries.
    """
    if not 0 <= revision <= MAX_FRAME_INT:
        raise PlatformUnavailable(f"invalid revision of the store: {revision}")
    return Evacuations(era, revision, select_failure_domains(names))


def select_failure_domains(names: Iterable[str]) -> tuple[str, ...]:
    """Return the names that a failure domain can have, in order; log the others.

    An invalid object of another writer must not hide the valid ones.
    """
    usable = []
    for name in sorted(names):
        try:
            usable.append(_NAME_ADAPTER.validate_python(name))
        except ValidationError as exc:
            shown = escape_text(name, MAX_ID_LENGTH)
            log_event(
                "evacuation_unreadable", name=shown, reason=exc.errors()[0]["msg"]
            )
    if len(usable) > MAX_EVACUATIONS:
        log_event("evacuations_too_many", count=len(usable), limit=MAX_EVACUATIONS)
    return tuple(usable[:MAX_EVACUATIONS])
