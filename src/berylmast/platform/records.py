"""Conversion of endpoint records to and from objects of the store."""

import json
from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..model import Endpoint

ENDPOINT_KIND = "berylmast-endpoints"
"""Kind of the endpoint objects; each is named after its backend server's id."""

_ENDPOINT_ADAPTER = TypeAdapter(Endpoint)


def format_record(endpoint: Endpoint) -> dict[str, Any]:
    """Return the ``spec`` of the object that stores an endpoint record."""
    data: dict[str, Any] = _ENDPOINT_ADAPTER.dump_python(endpoint, mode="json")
    return data


def parse_record(spec: object) -> Result[Endpoint, str]:
    """Validate an object's ``spec``; the error says what is invalid.

    A field of another JSON type is invalid: the record of another writer must not pass
    for one of a daemon.
    """
    try:
        # Strict validation accepts the text of a state in JSON only.
        text = json.dumps(spec)
        return Ok(_ENDPOINT_ADAPTER.validate_json(text, strict=True))
    except (ValidationError, RecursionError) as exc:
        return Err(str(exc).splitlines()[0])
