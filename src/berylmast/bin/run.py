"""Runs a daemon from a settings file."""

import gc
import sys
from importlib import import_module
from pathlib import Path

import anyio

from ..adapter import Adapter
from ..daemon import run_daemon
from ..settings import Interface, LiveSettings, SettingsError, load_settings
from ..telemetry import configure_logs

EXIT_SETTINGS = 2


def run_settings(path: Path) -> int:
    """Run the daemon of a settings file until it stops; returns the exit status."""
    try:
        cfg = load_settings(path)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    run_configured(LiveSettings(cfg, path))
    return 0


def run_configured(live: LiveSettings) -> None:
    """Run the daemon of checked settings until it is stopped."""
    stop_logs = configure_logs()
    _prepare_collector()
    adapter = load_adapter(live.cfg.interface)
    try:
        anyio.run(run_daemon, live, adapter, backend_options={"use_uvloop": True})
    finally:
        stop_logs()


def load_adapter(interface: Interface) -> Adapter:
    """Return the adapter of an interface.

    Only that one is imported: what a daemon imports decides how soon it is back after
    a restart.
    """
    if interface is Interface.PLATFORM:
        return import_module("berylmast.platform.adapter").PLATFORM  # type: ignore[no-any-return]
    return import_module("berylmast.own_interface").OWN  # type: ignore[no-any-return]


def _prepare_collector() -> None:
    """Keep the loaded modules out of the garbage collector's full passes.

    They are most of the heap and never freed; scanning them delays the requests under
    way by tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
