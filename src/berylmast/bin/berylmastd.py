"""Load balancer daemon that runs next to one backend server."""

import sys
from pathlib import Path

from cyclopts import App

from ..settings import LiveSettings, SettingsError, load_settings
from .run import EXIT_INVALID_SETTINGS, run_with_settings

app = App(name="berylmastd", help=__doc__)


@app.default
def run(settings: Path, *, check_settings: bool = False) -> None:
    """Run the daemon until it is stopped.

    Parameters
    ----------
    settings
        Settings file, JSON with comments.
    check_settings
        Validate the settings file and exit.
    """
    try:
        cfg = load_settings(settings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check_settings:
        print(f"{settings}: settings are valid")
        return
    run_with_settings(LiveSettings(cfg, settings))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
