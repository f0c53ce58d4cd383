"""Conversion of endpoint records to and from objects of the store."""

import json
from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..model import Endpoint
from .objects import StoredObject

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
    except ValidationError as exc:
        error = exc.errors()[0]
        return Err(f"{error['loc']}: {error['msg']}")
    except RecursionError as exc:
        return Err(str(exc))


def parse_object(item: StoredObject) -> Result[Endpoint, str]:
    """Validate an object of the store; the error says what is invalid.

    A record of another backend server than the one that the object is named after must
    not replace the record of that one.
    """
    parsed = parse_record(item.spec)
    if parsed.is_ok() and parsed.unwrap().backend != item.name:
        return Err("the record names another backend server than its object")
    return parsed
