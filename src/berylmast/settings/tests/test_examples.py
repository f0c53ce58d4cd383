"""Guards against example settings with a missing key or an outdated default."""

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, get_args

import pytest
from pydantic import BaseModel
from pydantic.fields import FieldInfo

from .. import Address, DaemonSettings, load_settings

FOLDER = Path(__file__).parents[4] / "examples" / "daemons"
EXAMPLES = sorted(FOLDER.glob("*.json5"))


def find_model(type_hint: Any) -> type[BaseModel] | None:
    for option in (type_hint, *get_args(type_hint)):
        if isinstance(option, type) and issubclass(option, BaseModel):
            return None if option is Address else option
    return None


def list_fields(model: type[BaseModel]) -> Iterator[tuple[str, FieldInfo]]:
    for name, field in model.model_fields.items():
        yield name, field
        nested = find_model(field.annotation)
        if nested is not None:
            yield from list_fields(nested)


def find_comment(text: str, key: str, start: int) -> tuple[str, int]:
    """Return the comment before a key, and the position after the key."""
    match = re.compile(rf'((?:^ *//.*\n)*)^ *"{key}":', re.M).search(text, start)
    assert match is not None, f"{key} is missing"
    return match[1], match.end()


def test_each_deployment_has_an_example() -> None:
    assert [path.stem for path in EXAMPLES] == ["canchaluz", "kalvola"]


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_documents_every_key_with_its_default(path: Path) -> None:
    load_settings(path)
    text, position = path.read_text(), 0
    for name, field in list_fields(DaemonSettings):
        comment, position = find_comment(text, name, position)
        if field.is_required():
            assert "required" in comment, name
        elif not isinstance(field.default, BaseModel):
            stated = json.dumps(field.default).replace("()", "[]")
            assert re.search(rf"default {re.escape(stated)}[,.;]", comment), name
