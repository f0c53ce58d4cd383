"""The daemon beside a backend server."""

import gc
import sys
from pathlib import Path

import anyio
from cyclopts import App

from ..daemon import run_daemon
from ..settings import SettingsError, load_settings
from ..telemetry import configure_logs

EXIT_SETTINGS = 2

app = App(name="berylmastd", help=__doc__)


@app.default
def run(settings: Path, *, check_settings: bool = False) -> None:
    """Run one daemon.

    Parameters
    ----------
    settings
        Settings file: JSON with comments.
    check_settings
        Check the settings file and exit.
    """
    try:
        cfg = load_settings(settings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if check_settings:
        print(f"{settings}: settings are valid")
        return
    configure_logs()
    _prepare_collector()
    anyio.run(run_daemon, cfg, backend_options={"use_uvloop": True})


def _prepare_collector() -> None:
    """Keep the loaded modules out of the garbage collector's full passes.

    They are most of the heap and never freed; scanning them delays the requests under
    way by tens of milliseconds.
    """
    gc.collect()
    gc.freeze()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
