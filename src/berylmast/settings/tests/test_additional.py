"""Guards against settings of the environment that are lost or go before the file."""

from pathlib import Path

import pytest

from .. import SettingsError, load_settings

BASE = """{"daemon_id": "a", "environment": "e", "region": "r", "failure_domain": "d",
"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3",
"platform": "127.0.0.1:4" %s}"""


@pytest.mark.parametrize(
    ("file_text", "additional", "within_s"),
    [
        ("", None, None),
        ("", "{ }", None),
        ("", '{ "evacuations": { "within_s": "4s" }, }', 4.0),
        (', "evacuations": {"within_s": 3}', '{"evacuations": {"within_s": 4}}', 3.0),
    ],
)
def test_additional_settings_are_read_below_those_of_the_file(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    file_text: str,
    additional: str | None,
    within_s: float | None,
) -> None:
    monkeypatch.delenv("BERYLMAST_ADDITIONAL_SETTINGS", raising=False)
    if additional is not None:
        monkeypatch.setenv("BERYLMAST_ADDITIONAL_SETTINGS", additional)
    path = tmp_path / "settings.json5"
    path.write_text(BASE % file_text)
    evacuations = load_settings(path).evacuations
    assert (None if evacuations is None else evacuations.within_s) == within_s


@pytest.mark.parametrize("additional", ["{", '{"unknown": 1}', '{"quotas": 3}'])
def test_invalid_additional_settings_are_an_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, additional: str
) -> None:
    monkeypatch.setenv("BERYLMAST_ADDITIONAL_SETTINGS", additional)
    path = tmp_path / "settings.json5"
    path.write_text(BASE % "")
    with pytest.raises(SettingsError):
        load_settings(path)
