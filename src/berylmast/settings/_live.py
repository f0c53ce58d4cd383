"""Settings that can be reloaded while the daemon runs."""

from collections.abc import Callable
from pathlib import Path

from ._load import SettingsError, load_settings
from ._models import DaemonSettings

RELOADABLE_SETTINGS = frozenset({"service", "leave_s", "retries", "drain"})
"""Settings that take effect on reload; a change to any other needs a restart."""


class LiveSettings:
    """The active settings; ``reload`` reads the file again.

    ``cfg`` has the values of the last valid file for ``RELOADABLE_SETTINGS``, and the
    values at startup for all others. Without a path ``reload`` does nothing.
    """

    def __init__(self, cfg: DaemonSettings, path: Path | None = None) -> None:
        self.cfg = cfg
        self._path = path
        self._last_signature = self._read_file_signature()

    @property
    def file_changed(self) -> bool:
        """Return whether the file's modification time or size has changed."""
        return self._read_file_signature() != self._last_signature

    def reload(self, report: Callable[[str, str], None]) -> None:
        """Read the file and apply the changes that need no restart.

        ``report`` is called with the outcome (``applied``, ``needs-restart`` or
        ``refused``) and the names of the settings or, for ``refused``, the errors. An
        invalid file leaves the active settings unchanged.
        """
        if self._path is None:
            return
        self._last_signature = self._read_file_signature()
        try:
            new_settings = load_settings(self._path)
        except SettingsError as exc:
            report("refused", str(exc))
            return
        changed_names = {
            name
            for name in DaemonSettings.model_fields
            if getattr(new_settings, name) != getattr(self.cfg, name)
        }
        applied = changed_names & RELOADABLE_SETTINGS
        values = {name: getattr(new_settings, name) for name in applied}
        self.cfg = self.cfg.model_copy(update=values)
        report("applied", ",".join(sorted(applied)))
        if changed_names - RELOADABLE_SETTINGS:
            report(
                "needs-restart", ",".join(sorted(changed_names - RELOADABLE_SETTINGS))
            )

    def _read_file_signature(self) -> tuple[float, int] | None:
        if self._path is None:
            return None
        try:
            stat = self._path.stat()
        except OSError:
            # The file may be in the middle of a replacement; the next check finds it.
            return None
        return (stat.st_mtime, stat.st_size)
