"""Endpoint records as objects of the store."""

from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..model import Endpoint

KIND = "berylmast-endpoints"
"""The objects are named after the backend server's id."""

_ADAPTER = TypeAdapter(Endpoint)


def format_record(endpoint: Endpoint) -> dict[str, Any]:
    """Return the ``spec`` of a record's object."""
    data: dict[str, Any] = _ADAPTER.dump_python(endpoint, mode="json")
    return data


def parse_record(spec: object) -> Result[Endpoint, str]:
    """Return the record of an object's ``spec``, or why it can't be used."""
    try:
        return Ok(_ADAPTER.validate_python(spec))
    except ValidationError as exc:
        return Err(str(exc).splitlines()[0])
