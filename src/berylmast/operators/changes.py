"""Difference between two documents, value by value."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .models import Document

_ABSENT = object()


@dataclass(frozen=True, slots=True)
class Change:
    """One changed value; None stands for an absent value."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.path}: {self.before!r} -> {self.after!r}"


def diff_documents(before: Document | None, after: Document | None) -> list[Change]:
    """Return the changed values, sorted by path."""
    return list(_diff_values("", _to_comparable(before), _to_comparable(after)))


def _to_comparable(document: Document | None) -> Any:
    return _ABSENT if document is None else _normalize(document.model_dump(mode="json"))


def _normalize(value: Any) -> Any:
    """Sort lists of strings and turn other lists into mappings by index.

    Lists of strings may come from sets, whose order carries no meaning.
    """
    if isinstance(value, dict):
        return {key: _normalize(item) for key, item in value.items()}
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        return sorted(value)
    if isinstance(value, list):
        return {str(index): _normalize(item) for index, item in enumerate(value)}
    return value


def _diff_values(path: str, before: Any, after: Any) -> Iterator[Change]:
    if isinstance(before, dict) or isinstance(after, dict):
        old = before if isinstance(before, dict) else {}
        new = after if isinstance(after, dict) else {}
        for key in sorted(old.keys() | new.keys()):
            inner_path = f"{path}.{key}" if path else key
            yield from _diff_values(
                inner_path, old.get(key, _ABSENT), new.get(key, _ABSENT)
            )
    elif _none_if_absent(before) != _none_if_absent(after):
        yield Change(path, _none_if_absent(before), _none_if_absent(after))


def _none_if_absent(value: Any) -> Any:
    return None if value is _ABSENT else value
