"""Settings that may change while the daemon runs."""

from collections.abc import Callable
from pathlib import Path

from ._load import SettingsError, load_settings
from ._models import DaemonSettings

APPLIED = frozenset({"service", "leave_s", "retries", "drain"})
"""Settings that are in force at once; a change of another one needs a new start."""


class LiveSettings:
    """The settings in force; ``reload`` reads the file again.

    ``cfg`` is the newest valid file's content for the settings in APPLIED, and that of
    the start for all others. Without a path nothing is reloaded.
    """

    def __init__(self, cfg: DaemonSettings, path: Path | None = None) -> None:
        self.cfg = cfg
        self._path = path
        self._stamp = self._read_stamp()

    @property
    def changed(self) -> bool:
        """Tell whether the file differs from the one that was read last."""
        return self._read_stamp() != self._stamp

    def reload(self, report: Callable[[str, str], None]) -> None:
        """Read the file and apply what can be applied.

        ``report`` is told the outcome, ``applied``, ``needs-restart`` or ``refused``,
        and the settings or the faults that it concerns. A file that is not valid leaves
        the settings in force.
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
            # It is being replaced; the next look finds it.
            return None
        return (stat.st_mtime, stat.st_size)
