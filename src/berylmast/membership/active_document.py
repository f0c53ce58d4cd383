"""The active configuration of this daemon."""

import json
from collections.abc import Callable

from result import Result

from ..routes import Configuration
from ..telemetry import log_event
from .directory import Directory

ParseConfiguration = Callable[[object], Result[Configuration, str]]


class ActiveDocument:
    """The active configuration, replaced only by a valid one of a higher version.

    ``text`` is its JSON text, empty if there is no configuration yet.
    """

    def __init__(self, parse: ParseConfiguration, directory: Directory) -> None:
        self.current: Configuration | None = None
        self.text = b""
        self._parse = parse
        self._directory = directory

    @property
    def version(self) -> int:
        """Return the version of the active configuration, 0 if there is none."""
        return 0 if self.current is None else self.current.version

    def accepts_service(self, service: str) -> bool:
        """Return True if a service is configured or there is no configuration yet."""
        return self.current is None or service in self.current.services

    def get_idle_timeout_s(self, default_s: float) -> float:
        """Return the idle timeout of callers' connections in seconds."""
        if self.current is None or self.current.limits is None:
            return default_s
        return self.current.limits.idle_timeout_s

    def get_header_timeout_s(self) -> float | None:
        """Return the timeout in seconds for receiving the head of a request.

        None if the configuration sets none.
        """
        if self.current is None or self.current.limits is None:
            return None
        return self.current.limits.header_timeout_s

    def adopt_text(self, text: bytes, source: str) -> bool:
        """Activate a configuration given as JSON text.

        Returns False if it is invalid or not newer.
        """
        try:
            spec = json.loads(text)
        except (ValueError, RecursionError) as exc:
            log_event("document_rejected", source=source, reason=repr(exc))
            return False
        return self.adopt(spec, source)

    def adopt(self, spec: object, source: str) -> bool:
        """Activate a decoded configuration.

        Returns False if it is invalid or not newer.
        """
        parsed = self._parse(spec)
        if parsed.is_err():
            log_event("document_rejected", source=source, reason=parsed.unwrap_err())
            return False
        new = parsed.unwrap()
        if new.version <= self.version:
            return False
        dropped = set(self._directory.services()) - set(new.services)
        self.current = new
        self.text = json.dumps(spec).encode()
        self._directory.document_version = new.version
        for service in new.services.values():
            self._directory.put_slice(service)
        for name in dropped:
            self._directory.drop_service(name, new.version)
        log_event("document_in_force", version=new.version, source=source)
        return True
