"""Starts the daemon on the platform, with the settings that the platform names."""

import os
import signal
import sys
from pathlib import Path

# A reload asked for while the modules below are loaded would end the process. The
# settings are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from berylmast.bin.run import run_settings  # noqa: E402

if __name__ == "__main__":
    sys.exit(run_settings(Path(os.environ["BERYLMAST_SETTINGS"])))
