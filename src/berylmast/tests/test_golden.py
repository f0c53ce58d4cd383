"""Guards against unintended changes of the messages between the components."""

from difflib import unified_diff

import pytest

from .golden_sessions import DIRECTORY, SESSIONS, get_path, record_session


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session_is_as_recorded(name: str) -> None:
    wanted, got = get_path(name).read_text(), record_session(name)
    before, after = wanted.splitlines(), got.splitlines()
    diff = unified_diff(before, after, "recorded", "now", lineterm="")
    assert got == wanted, "\n" + "\n".join(diff)


def test_every_file_belongs_to_a_session() -> None:
    assert {path.stem for path in DIRECTORY.iterdir()} == set(SESSIONS)
