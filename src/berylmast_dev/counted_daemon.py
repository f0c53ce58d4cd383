"""Runs the daemon and counts its function calls, written to a file on SIGUSR1."""

import cProfile
import os
import pstats
import signal
from pathlib import Path

from berylmast.bin.berylmastd import main

COUNT_FILE_VARIABLE = "BERYLMAST_CALL_COUNT_FILE"


def _count_until_signal(path: Path) -> None:
    profile = cProfile.Profile()

    def write_count(_signal: int, _frame: object) -> None:
        profile.disable()
        count = pstats.Stats(profile).total_calls  # type: ignore[attr-defined]
        path.with_suffix(".new").write_text(str(count))
        path.with_suffix(".new").replace(path)
        profile.enable()

    signal.signal(signal.SIGUSR1, write_count)
    profile.enable()


if __name__ == "__main__":
    _count_until_signal(Path(os.environ[COUNT_FILE_VARIABLE]))
    main()
