"""Runs the daemon with a wall clock offset by a number of seconds read from a file."""

import os
import time
from pathlib import Path

from berylmast.bin.berylmastd import main

from .soak_fleet import SKEW_FILE_VARIABLE


def _offset_wall_clock(path: Path) -> None:
    real = time.time

    def read() -> float:
        return real() + (float(path.read_text()) if path.exists() else 0.0)

    time.time = read


if __name__ == "__main__":
    _offset_wall_clock(Path(os.environ[SKEW_FILE_VARIABLE]))
    main()
