"""Starts the daemon on the platform with the settings file that the platform provides.

The environment variable BERYLMAST_SETTINGS holds its path.
"""

import gc
import os
import signal
import sys
from pathlib import Path

# By default SIGHUP terminates a process, so a reload request during the imports below
# would stop the daemon. Ignoring it loses nothing: the settings are read afterwards.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Imports create few cycles; collections during them would lengthen every restart.
gc.disable()

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from berylmast.bin.run import run_settings  # noqa: E402

if __name__ == "__main__":
    sys.exit(run_settings(Path(os.environ["BERYLMAST_SETTINGS"])))
