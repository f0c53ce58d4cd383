"""The newest configuration that this daemon has accepted."""

import json
from collections.abc import Callable

from result import Result

from ..routes import Configuration
from ..telemetry import log_event
from .directory import Directory

Parse = Callable[[object], Result[Configuration, str]]


class HeldDocument:
    """Holds the configuration in force; an older version never replaces it.

    One that can't be used leaves the last good one in force.
    """

    def __init__(self, parse: Parse, directory: Directory) -> None:
        self.current: Configuration | None = None
        self.text = b""
        self._parse = parse
        self._directory = directory

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return 0 if self.current is None else self.current.version

    def knows_service(self, service: str) -> bool:
        """Tell whether a service is configured, or no configuration is known yet."""
        return self.current is None or service in self.current.services

    def get_idle_s(self, default_s: float) -> float:
        """Return the idle time of callers' connections in seconds."""
        if self.current is None or self.current.limits is None:
            return default_s
        return self.current.limits.idle_timeout_s

    def get_header_timeout_s(self) -> float | None:
        """Return the time in which a request's head must be whole, in seconds."""
        if self.current is None or self.current.limits is None:
            return None
        return self.current.limits.header_timeout_s

    def adopt_text(self, text: bytes, source: str) -> bool:
        """Adopt a configuration as JSON text; False if it is not newer or unusable."""
        try:
            spec = json.loads(text)
        except ValueError as exc:
            log_event("document_rejected", source=source, reason=repr(exc))
            return False
        return self.adopt(spec, source)

    def adopt(self, spec: object, source: str) -> bool:
        """Adopt a decoded configuration; False if it is not newer or unusable."""
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
