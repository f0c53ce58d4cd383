"""The evacuations that this daemon acts on.

Fault: a daemon that was cut off, a late message or a store that came back from a copy
of its data must not bring back evacuations that were removed, or hide new ones.
"""

from collections.abc import Callable

import anyio

from ..model import Evacuations
from ..telemetry import log_event


class ActiveEvacuations:
    """The newest known evacuations.

    ``current`` is None until any are known. ``failure_domains`` are the evacuated ones.
    """

    def __init__(self) -> None:
        self.current: Evacuations | None = None
        self.failure_domains: frozenset[str] = frozenset()
        self._refreshed_s = anyio.current_time()
        self._listeners: list[Callable[[frozenset[str]], None]] = []

    def add_listener(self, listener: Callable[[frozenset[str]], None]) -> None:
        """Call ``listener`` with the evacuated failure domains after each change."""
        self._listeners.append(listener)

    @property
    def age_s(self) -> float:
        """Return the time in seconds since the current value was last received."""
        return anyio.current_time() - self._refreshed_s

    def is_older(self, value: Evacuations) -> bool:
        """Return whether a value is older than the current one."""
        return self.current is not None and value.order < self.current.order

    def adopt(self, new: Evacuations, source: str) -> bool:
        """Act on a value unless it is older; return whether that changes anything."""
        if self.is_older(new):
            return False
        last, age_s = self.current, self.age_s
        self._refreshed_s = anyio.current_time()
        if last is not None and new.order == last.order:
            # Values of the same order differ only if a sender is faulty.
            return False
        self.current = new
        if last is None:
            log_event(
                "evacuations_known",
                era=new.era,
                revision=new.revision,
                count=len(new.failure_domains),
                source=source,
            )
        elif new.era > last.era:
            log_event("evacuations_era", era=new.era, last=last.era, source=source)
        return self._apply(new, source, age_s)

    def report(self) -> dict[str, object] | None:
        """Return the evacuations for the status report, None if none are known."""
        if self.current is None:
            return None
        return {
            "era": self.current.era,
            "revision": self.current.revision,
            "failure_domains": list(self.current.failure_domains),
            "age_s": round(self.age_s, 3),
        }

    def _apply(self, new: Evacuations, source: str, age_s: float) -> bool:
        before, self.failure_domains = (
            self.failure_domains,
            frozenset(new.failure_domains),
        )
        if before == self.failure_domains:
            return False
        for event, changed in (
            ("evacuation_in_force", self.failure_domains - before),
            ("evacuation_removed", before - self.failure_domains),
        ):
            for domain in sorted(changed):
                log_event(
                    event,
                    failure_domain=domain,
                    era=new.era,
                    revision=new.revision,
                    source=source,
                    last_heard_s=round(age_s, 3),
                )
        for listener in self._listeners:
            listener(self.failure_domains)
        return True
