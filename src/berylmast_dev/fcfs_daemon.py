"""A daemon without priorities or load shedding: the baseline of ``bench_floods``."""

from pathlib import Path

import anyio
from cyclopts import App
from result import Err, Ok, Result

from berylmast.daemon import run_daemon
from berylmast.errors import ErrorKind, Refusal
from berylmast.limits import AdaptiveAdmission, Limits, NoShedder, Permit
from berylmast.model import AttemptResult, LoadReport, RequestHead
from berylmast.own_interface import OWN
from berylmast.settings import LiveSettings, load_settings
from berylmast.telemetry import configure_logs

QUEUE_WAIT_S = 0.25


class FcfsAdmission(AdaptiveAdmission):
    """Grants slots to requests in order of arrival."""

    _semaphore: anyio.Semaphore | None = None
    _running = 0
    _waiting = 0

    async def acquire(self, head: RequestHead) -> Result[Permit, Refusal]:
        """Wait for a slot until QUEUE_WAIT_S or the deadline of the request passes."""
        service = self._get_slice()
        if service is None:
            return Err(Refusal(ErrorKind.NO_BACKEND, "no document yet"))
        if self._semaphore is None:
            self._semaphore = anyio.Semaphore(service.slots)
        self._waiting += 1
        try:
            with anyio.move_on_after(min(QUEUE_WAIT_S, head.deadline_ms / 1000)):
                await self._semaphore.acquire()
                self._running += 1
                return Ok(Permit(self._release_slot))
        finally:
            self._waiting -= 1
        return Err(Refusal(ErrorKind.OVERLOADED, "no slot became free in time"))

    def _release_slot(self, result: AttemptResult | None) -> None:
        assert self._semaphore is not None
        self._running -= 1
        self._semaphore.release()

    def report(self) -> LoadReport:
        """Return the number of running and queued requests."""
        self._seq += 1
        return LoadReport(
            backend=self._backend,
            incarnation=self._incarnation,
            seq=self._seq,
            in_flight=self._running,
            queued=self._waiting,
            limit=0,
            latency_ms=0.0,
            error_rate=0.0,
        )


cli = App(name="fcfs_daemon", help=__doc__)


@cli.default
def run(settings: Path) -> None:
    """Run one daemon."""
    configure_logs()
    limits = Limits(
        lambda inputs: FcfsAdmission(
            inputs.daemon_id, inputs.incarnation, inputs.get_slice
        ),
        lambda _rng: NoShedder(),
    )
    live_settings = LiveSettings(load_settings(settings))
    anyio.run(
        run_daemon, live_settings, OWN, limits, backend_options={"use_uvloop": True}
    )


if __name__ == "__main__":
    cli()
