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

EXIT_INVALID_SETTINGS = 2


def run_settings(path: Path) -> int:
    """Run the daemon of a settings file until it stops and return the exit status."""
    try:
        cfg = load_settings(path)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    run_with_settings(LiveSettings(cfg, path))
    return 0


def run_with_settings(live_settings: LiveSettings) -> None:
    """Run a daemon with validated settings until it stops."""
    stop_logs = configure_logs()
    _freeze_loaded_objects()
    adapter = load_adapter(live_settings.cfg.interface)
    try:
        anyio.run(
            run_daemon, live_settings, adapter, backend_options={"use_uvloop": True}
        )
    finally:
        stop_logs()


def load_adapter(interface: Interface) -> Adapter:
    """Import and return the adapter of an interface.

    Only the adapter in use is imported, since imports determine how long a restart
    takes.
    """
    if interface is Interface.PLATFORM:
        return import_module("berylmast.platform.adapter").PLATFORM  # type: ignore[no-any-return]
    return import_module("berylmast.own_interface").OWN  # type: ignore[no-any-return]


def _freeze_loaded_objects() -> None:
    """Exclude the loaded modules from full garbage collections.

    They are most of the heap and are never freed; scanning them would delay the
    requests in flight by tens of milliseconds. Collections may have been disabled for
    the imports and start here.
    """
    gc.freeze()
    gc.enable()
