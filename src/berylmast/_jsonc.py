"""Decodes JSON with comments and describes validation errors.

A description names the path of the key, the value and what is allowed there.
"""

import re
from collections.abc import Sequence
from difflib import get_close_matches
from typing import Any, get_args

import pyjson5
from pydantic import BaseModel, ValidationError

_POSITION = re.compile(r"near (\d+)")
_MAX_VALUE_CHARS = 60


class JsoncError(Exception):
    """The text is not valid JSON with comments; the message gives line and column."""


def decode_jsonc(text: str) -> object:
    """Decode JSON with comments and trailing commas.

    If an object repeats a key, the last value is used, because the library does not
    report duplicate keys. Raises JsoncError.
    """
    try:
        value: object = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as exc:
        raise JsoncError(_locate(str(exc.args[0]), text)) from exc
    return value


def _locate(message: str, text: str) -> str:
    found = _POSITION.search(message)
    if found is None:
        return message
    offset = min(int(found.group(1)), len(text))
    line = text.count("\n", 0, offset) + 1
    column = offset - (text.rfind("\n", 0, offset) + 1) + 1
    reason = _POSITION.sub("", message).replace("b'", "'").strip()
    return f"line {line}, column {column}: {reason}"


def describe_faults(model: type[BaseModel], exc: ValidationError) -> list[str]:
    """Return one line per error of a failed validation."""
    return [_describe(model, dict(fault)) for fault in exc.errors()]


def _describe(model: type[BaseModel], fault: dict[str, Any]) -> str:
    loc: Sequence[int | str] = fault["loc"]
    path = ".".join(str(part) for part in loc) or "document"
    if fault["type"] == "extra_forbidden":
        return f"{path}: unknown key{_suggest(model, loc)}"
    if fault["type"] == "missing":
        return f"{path}: required key is missing"
    message = str(fault["msg"])
    message = message[:1].lower() + message[1:]
    return f"{path}: {message}, got {_shorten(fault['input'])}"


def _suggest(model: type[BaseModel], loc: Sequence[int | str]) -> str:
    known = sorted(_find_fields(model, loc[:-1]))
    close = get_close_matches(str(loc[-1]), known, n=1)
    if close:
        return f"; did you mean {close[0]!r}?"
    return f"; known keys are {', '.join(known)}" if known else ""


def _find_fields(model: type[BaseModel], path: Sequence[int | str]) -> set[str]:
    current: Any = model
    for part in path:
        inner = _find_model(current)
        if inner is not None and part in inner.model_fields:
            current = inner.model_fields[str(part)].annotation
    found = _find_model(current)
    return set() if found is None else set(found.model_fields)


def _find_model(annotation: Any) -> type[BaseModel] | None:
    """Return the first model class in an annotation such as ``dict[str, Model]``."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for arg in get_args(annotation):
        found = _find_model(arg)
        if found is not None:
            return found
    return None


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    return text[:_MAX_VALUE_CHARS] + "…"
