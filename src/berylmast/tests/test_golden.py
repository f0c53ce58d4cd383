"""Guards against unintended changes of the messages between the components."""

from difflib import unified_diff

import pytest

from .golden_sessions import GOLDEN_DIR, SESSIONS, get_golden_path, record_session


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session_is_as_recorded(name: str) -> None:
    recorded, actual = get_golden_path(name).read_text(), record_session(name)
    before, after = recorded.splitlines(), actual.splitlines()
    diff = unified_diff(before, after, "recorded", "now", lineterm="")
    assert actual == recorded, "\n" + "\n".join(diff)


def test_every_file_belongs_to_a_session() -> None:
    assert {path.stem for path in GOLDEN_DIR.iterdir()} == set(SESSIONS)
