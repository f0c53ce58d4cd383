"""Settings that can be reloaded while the daemon runs."""

from collections.abc import Callable
from pathlib import Path

from ._load import SettingsError, load_settings
from ._models import DaemonSettings

APPLIED = frozenset({"service", "leave_s", "retries", "drain"})
"""Settings that take effect on reload; a change to any other needs a restart."""


class LiveSettings:
    """The active settings; ``reload`` reads the file again.

    ``cfg`` has the values of the last valid file for the settings in ``APPLIED``, and
    the values at startup for all others. Without a path ``reload`` does nothing.
    """

    def __init__(self, cfg: DaemonSettings, path: Path | None = None) -> None:
        self.cfg = cfg
        self._path = path
        self._stamp = self._read_stamp()

    @property
    def changed(self) -> bool:
        """Tell whether the file's modification time or size changed since the read."""
        return self._read_stamp() != self._stamp

    def reload(self, report: Callable[[str, str], None]) -> None:
        """Read the file and apply the changes that need no restart.

        ``report`` is called with the outcome (``applied``, ``needs-restart`` or
        ``refused``) and the names of the settings or, for ``refused``, the errors. An
        invalid file leaves the active settings unchanged.
        """
        if self._path is None:
            return
        self._stamp = self._read_stamp()
        try:
            new = load_settings(self._path)
        except SettingsError as exc:
            report("refused", str(exc))
            return
        names = {
            name
            for name in DaemonSettings.model_fields
            if getattr(new, name) != getattr(self.cfg, name)
        }
        applied = names & APPLIED
        values = {name: getattr(new, name) for name in applied}
        self.cfg = self.cfg.model_copy(update=values)
        report("applied", ",".join(sorted(applied)))
        if names - APPLIED:
            report("needs-restart", ",".join(sorted(names - APPLIED)))

    def _read_stamp(self) -> tuple[float, int] | None:
        if self._path is None:
            return None
        try:
            stat = self._path.stat()
        except OSError:
            # The file may be in the middle of a replacement; the next check finds it.
            return None
        return (stat.st_mtime, stat.st_size)
