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
        raise JsoncError(_add_position(str(exc.args[0]), text)) from exc
    return value


def _add_position(message: str, text: str) -> str:
    match = _POSITION.search(message)
    if match is None:
        return message
    offset = min(int(match.group(1)), len(text))
    line = text.count("\n", 0, offset) + 1
    column = offset - (text.rfind("\n", 0, offset) + 1) + 1
    reason = _POSITION.sub("", message).replace("b'", "'").strip()
    return f"line {line}, column {column}: {reason}"


def format_validation_errors(model: type[BaseModel], exc: ValidationError) -> list[str]:
    """Return one line per error of a failed validation."""
    return [_format_error(model, dict(error)) for error in exc.errors()]


def _format_error(model: type[BaseModel], error: dict[str, Any]) -> str:
    loc: Sequence[int | str] = error["loc"]
    path = ".".join(str(part) for part in loc) or "document"
    if error["type"] == "extra_forbidden":
        return f"{path}: unknown key{_suggest_key(model, loc)}"
    if error["type"] == "missing":
        return f"{path}: required key is missing"
    message = str(error["msg"])
    message = message[:1].lower() + message[1:]
    return f"{path}: {message}, got {_format_value(error['input'])}"


def _suggest_key(model: type[BaseModel], loc: Sequence[int | str]) -> str:
    known = sorted(_find_field_names(model, loc[:-1]))
    close = get_close_matches(str(loc[-1]), known, n=1)
    if close:
        return f"; did you mean {close[0]!r}?"
    return f"; known keys are {', '.join(known)}" if known else ""


def _find_field_names(model: type[BaseModel], path: Sequence[int | str]) -> set[str]:
    annotation: Any = model
    for part in path:
        model_class = _find_model_class(annotation)
        if model_class is not None and part in model_class.model_fields:
            annotation = model_class.model_fields[str(part)].annotation
    found = _find_model_class(annotation)
    return set() if found is None else set(found.model_fields)


def _find_model_class(annotation: Any) -> type[BaseModel] | None:
    """Return the first model class in an annotation such as ``dict[str, Model]``."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for arg in get_args(annotation):
        found = _find_model_class(arg)
        if found is not None:
            return found
    return None


def _format_value(value: object) -> str:
    text = repr(value)
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    return text[:_MAX_VALUE_CHARS] + "…"
