"""Decodes JSON of which single values may be unreadable."""

import json
import re
from typing import Any

MAX_DEPTH = 64
"""Deeper values are replaced. The decoder of the standard library has no limit of its
own but the stack, which depends on the caller."""

_STRING_OR_BRACKET = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)
_NULL = "null"


def decode_json(data: bytes) -> Any:
    """Decode JSON text; raise ValueError if it is none.

    A value that can't be decoded does not hide the others: one that is nested too
    deeply and a number that is too long become None, bytes that are not UTF-8 lone
    surrogates.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = _cut_deep_values(data.decode("utf-8", "surrogateescape"))
        return json.loads(text, strict=False, parse_int=_parse_int)


def _cut_deep_values(text: str) -> str:
    parts = []
    depth = 0
    kept_to = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        token = match[0]
        if token in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [text[kept_to : match.start()], _NULL]
        elif token in "]}":
            if depth == MAX_DEPTH + 1:
                kept_to = match.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("the JSON text ends within a value")
    return "".join([*parts, text[kept_to:]])


def _parse_int(text: str) -> int | None:
    try:
        return int(text)
    except ValueError:
        # The interpreter limits the digits, as the conversion takes quadratic time.
        return None
