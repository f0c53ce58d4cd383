"""Guards against changes of exit codes and output that operators' scripts rely on."""

import json
from pathlib import Path

import pytest

from ..berylmastctl import app
from ..berylmastd import app as daemon_app

EXAMPLE_DOCUMENT = Path(__file__).parents[4] / "examples" / "kalvola.json5"
# Nothing listens on the discard port of the loopback address.
CLOSED_ADDRESS = "127.0.0.1:9"
PLATFORM_OPTION = f"--platform={CLOSED_ADDRESS}"


@pytest.mark.parametrize(
    ("command", "code", "text"),
    [
        (["check", str(EXAMPLE_DOCUMENT)], 0, "valid, digest"),
        (["check", "no-such-file"], 2, "cannot read no-such-file"),
        (["check", "{bad}"], 2, "unknown key"),
        (
            ["show", "--environment", "trial", "--platform", CLOSED_ADDRESS],
            5,
            "nothing was changed",
        ),
        (["show", "--environment", "trial", "--platform", "x"], 2, "not HOST:PORT"),
        (["status", "--daemon", CLOSED_ADDRESS], 5, CLOSED_ADDRESS),
        (
            [
                "apply",
                str(EXAMPLE_DOCUMENT),
                "--base=0",
                "--environment=x",
                PLATFORM_OPTION,
            ],
            5,
            "nothing was changed",
        ),
        (["status"], 2, "give --daemon"),
        (
            ["status", "--daemon", CLOSED_ADDRESS, "--admin-port", "9"],
            2,
            "needs --platform",
        ),
        (["status", "--platform", CLOSED_ADDRESS], 2, "give --daemon"),
        (
            ["status", "--environment", "trial", "--platform", CLOSED_ADDRESS],
            5,
            "the platform can't be read",
        ),
        (["drain", "--daemon", CLOSED_ADDRESS], 5, CLOSED_ADDRESS),
        (
            ["explain", "orders", "GET", "/", "--daemon", CLOSED_ADDRESS],
            5,
            CLOSED_ADDRESS,
        ),
        (["chek", str(EXAMPLE_DOCUMENT)], 2, 'Unknown command "chek"'),
    ],
)
def test_exit_code_and_message(
    command: list[str],
    code: int,
    text: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    invalid_document = tmp_path / "bad.json5"
    invalid_document.write_text('{"servces": {}}')
    command = [str(invalid_document) if part == "{bad}" else part for part in command]
    with pytest.raises(SystemExit) as caught:
        app(command)
    out, err = capsys.readouterr()
    assert caught.value.code == code
    assert text in out + err


def test_json_output_of_document_errors(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    invalid_document = tmp_path / "bad.json5"
    invalid_document.write_text('{"services": {}}')
    with pytest.raises(SystemExit) as caught:
        app(["check", str(invalid_document), "--output", "json"])
    assert caught.value.code == 2
    assert json.loads(capsys.readouterr().out)["faults"]


@pytest.mark.parametrize(
    ("text", "code", "message"),
    [
        ("{}", 2, "daemon_id: required key is missing"),
        ('{"regoin": "x"}', 2, "regoin: unknown key; did you mean 'region'?"),
        ("{", 2, "line 1"),
    ],
)
def test_daemon_rejects_invalid_settings(
    text: str,
    code: int,
    message: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "settings.json5"
    path.write_text(text)
    with pytest.raises(SystemExit) as caught:
        daemon_app([str(path), "--check-settings"])
    assert caught.value.code == code
    assert message in capsys.readouterr().err
