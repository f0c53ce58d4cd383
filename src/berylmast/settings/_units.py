"""Values of settings that are written with their unit."""

import re
from typing import Annotated

from pydantic import BeforeValidator

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_SECONDS = {"ms": 0.001, "s": 1.0}


def parse_seconds(value: object) -> object:
    """Return seconds for a text such as ``1500ms`` or ``2.5s``.

    Other types are returned as they are. Raises ValueError for any other text.
    """
    if not isinstance(value, str):
        return value
    match = _DURATION.fullmatch(value)
    if match is None:
        raise ValueError(f"{value!r} is not a number with the unit ms or s")
    return float(match[1]) * _SECONDS[match[2]]


Seconds = Annotated[float, BeforeValidator(parse_seconds)]
"""Seconds, written as a number or as text with the unit ``ms`` or ``s``."""
