"""Runs a daemon from a settings file."""

import gc
import sys
from pathlib import Path

import anyio

from ..daemon import run_daemon
from ..node import run_node
from ..settings import DaemonSettings, Interface, SettingsError, load_settings
from ..telemetry import configure_logs

EXIT_SETTINGS = 2


def run_settings(path: Path) -> int:
    """Run the daemon of a settings file until it stops; returns the exit status."""
    try:
        cfg = load_settings(path)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    run_configured(cfg)
    return 0


def run_configured(cfg: DaemonSettings) -> None:
    """Run the daemon of checked settings until it is stopped."""
    configure_logs()
    _prepare_collector()
    if cfg.interface is Interface.PLATFORM:
        from ..platform.adapter import PLATFORM

        anyio.run(run_node, cfg, PLATFORM, backend_options={"use_uvloop": True})
    else:
        anyio.run(run_daemon, cfg, backend_options={"use_uvloop": True})


def _prepare_collector() -> None:
    """Keep the loaded modules out of the garbage collector's full passes.

    They are most of the heap and never freed; scanning them delays the requests under
    way by tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
