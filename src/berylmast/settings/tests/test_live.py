"""Guards against a reload that raises or applies part of an invalid file."""

import json
from pathlib import Path

import pytest

from .. import LiveSettings, load_settings

BASE = {
    "daemon_id": "d1",
    "environment": "e",
    "region": "n",
    "failure_domain": "n1",
    "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "admin": "127.0.0.1:3",
    "platform": "127.0.0.1:4",
    "leave_s": "2000ms",
}


@pytest.mark.parametrize(
    ("text", "leave_s", "reports"),
    [
        (json.dumps({**BASE, "leave_s": "3s"}), 3.0, [("applied", "leave_s")]),
        (json.dumps(BASE), 2.0, [("applied", "")]),
        (
            json.dumps({**BASE, "leave_s": 4, "region": "s"}),
            4.0,
            [("applied", "leave_s"), ("needs-restart", "region")],
        ),
        ("{", 2.0, ["refused"]),
        (json.dumps({**BASE, "leave_s": "soon"}), 2.0, ["refused"]),
    ],
    ids=["changed", "unchanged", "needs-restart", "cut-short", "bad-value"],
)
def test_reload(
    tmp_path: Path, text: str, leave_s: float, reports: list[object]
) -> None:
    path = tmp_path / "settings.json5"
    path.write_text(json.dumps(BASE))
    live = LiveSettings(load_settings(path), path)
    assert not live.file_changed
    path.write_text(text + " ")
    assert live.file_changed
    calls: list[tuple[str, str]] = []
    live.reload(lambda outcome, what: calls.append((outcome, what)))
    assert not live.file_changed
    assert live.cfg.leave_s == leave_s
    assert live.cfg.region == "n"
    outcomes: list[object] = [calls[0][0]] if reports == ["refused"] else list(calls)
    assert outcomes == reports
