"""Durations written with a unit."""

import re
from typing import Annotated

from pydantic import BeforeValidator

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}


def parse_seconds(value: object) -> object:
    """Convert a string such as ``1500ms`` or ``2.5s`` to seconds.

    Values of other types are returned unchanged. Raises ValueError for other strings.
    """
    if not isinstance(value, str):
        return value
    match = _DURATION.fullmatch(value)
    if match is None:
        raise ValueError(f"{value!r} is not a duration with the unit ms or s")
    return float(match[1]) * _SECONDS_PER_UNIT[match[2]]


Seconds = Annotated[float, BeforeValidator(parse_seconds)]
"""Seconds, given as a number or as a string with the unit ``ms`` or ``s``."""
