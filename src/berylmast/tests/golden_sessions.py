"""Records golden sessions: ``python -m berylmast.tests.golden_sessions --write``.

Each file under ``golden`` lists the messages of one session in order. Only this command
writes the files; the tests compare them with new recordings.
"""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import trio._core._run as trio_run
from trio.testing import MockClock

from . import golden_control, golden_requests
from .golden_log import SessionLog

GOLDEN_DIR = Path(__file__).parent / "golden"

SESSIONS: dict[str, Callable[[SessionLog], Awaitable[None]]] = {
    **golden_requests.SESSIONS,
    **golden_control.SESSIONS,
}


def record_session(name: str) -> str:
    """Run a session on a mock clock with a fixed schedule; return its log as text."""
    session = SESSIONS[name]
    log = SessionLog()
    # trio schedules tasks in random order; a fixed seed gives every run the same order.
    # trio supports that only if Hypothesis has set this flag, but the command doesn't
    # load Hypothesis.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(1)
    clock = MockClock(autojump_threshold=0)
    anyio.run(session, log, backend="trio", backend_options={"clock": clock})
    title = (session.__doc__ or "").strip()
    return "\n".join([f"# {title}", *log.lines, ""])


def get_golden_path(name: str) -> Path:
    """Return the path of a session's file."""
    return GOLDEN_DIR / f"{name}.txt"


def main(args: list[str]) -> int:
    """Write the files if called with ``--write``; return the exit status."""
    if args != ["--write"]:
        print("usage: python -m berylmast.tests.golden_sessions --write")
        return 2
    GOLDEN_DIR.mkdir(exist_ok=True)
    for name in SESSIONS:
        get_golden_path(name).write_text(record_session(name))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
