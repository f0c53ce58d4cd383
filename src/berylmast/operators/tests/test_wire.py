"""Guards against accepting a document that registrars refuse to distribute."""

import json
from pathlib import Path

import pytest

from ...bin.berylmastctl import app
from ..document import DocumentError
from ..wire import MAX_SLICE_BYTES, parse_acceptable

ROUTE = {"idempotent": True, "priority": "p", "deadline_ms": 1000}
NEEDED_ROUTES = 1_500


def make_text(count: int) -> str:
    routes = [{**ROUTE, "path": f"/{'x' * 100}{n}"} for n in range(count)]
    service = {"hosts": ["big"], "slots": 1, "routes": routes}
    small = {"hosts": ["small"], "slots": 1, "routes": [{**ROUTE, "path": "/"}]}
    document = {"priorities": [{"name": "p"}], "services": {"b": service, "s": small}}
    return json.dumps(document)


def test_document_with_a_slice_that_is_too_large() -> None:
    with pytest.raises(DocumentError) as caught:
        parse_acceptable(make_text(NEEDED_ROUTES))
    assert str(caught.value).startswith("services.b: ")
    assert str(MAX_SLICE_BYTES) in str(caught.value)
    assert len(parse_acceptable(make_text(10)).services) == 2


def test_command_names_the_slice(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "big.json5"
    path.write_text(make_text(NEEDED_ROUTES))
    with pytest.raises(SystemExit) as caught:
        app(["check", str(path)])
    assert caught.value.code == 2
    assert "services.b: " in capsys.readouterr().err
