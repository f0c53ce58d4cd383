"""Measures what attached daemons cost one registrar, as a Markdown table.

One real daemon is the registrar; this process holds the attachments, so that their
processor time is not counted. The figures are those of one machine.
"""

import time
from dataclasses import dataclass
from random import Random

import anyio
from anyio.abc import TaskGroup
from cyclopts import App

from berylmast.daemons import ConnectionLost, ExchangeLost, Identity
from berylmast.membership.attachment import Attachment, OwnRecord
from berylmast.membership.directory import Directory
from berylmast.membership.links import ControlMeter, make_dial
from berylmast.model import Endpoint

from .bench_control import print_table
from .control_fleet import DAEMONS_PER_SERVICE, ControlFleet, run_control_fleet
from .fleet import HOST

SETTLE_S = 5.0
START_SPREAD_S = 3.0
MAX_CORE_PERCENT = 2.6
MAX_MEMORY_BYTES = 128e6
MAX_BYTES_PER_S = 3_000.0
"""What one daemon may spend on control, by the target size."""


@dataclass(frozen=True, slots=True)
class Cost:
    """What a registrar spends with some daemons attached."""

    attached: int
    sent: float
    received: float
    core_percent: float
    memory_bytes: float


async def hold_attachment(host: str, port: int, number: int) -> None:
    """Stay attached as one daemon with a backend server of its own."""
    name = f"attached{number}"
    service = f"service-{number // DAEMONS_PER_SERVICE}"
    record = Endpoint(name, service, HOST, 1, "north", "n1", 1, 1)
    dial = make_dial(Identity(name, 1), ControlMeter())
    directory = Directory()
    own = OwnRecord(record, directory)
    await anyio.sleep(Random(number).uniform(0.0, START_SPREAD_S))
    while True:
        try:
            async with dial(host, port) as exchange:
                attachment = Attachment(
                    exchange, directory, own, {service}, lambda leases: None
                )
                await attachment.run(name, "north", "n1")
        except (ConnectionLost, ExchangeLost):
            await anyio.sleep(1.0)


async def measure_cost(fleet: ControlFleet, attached: int, seconds: float) -> Cost:
    """Measure the registrar at rest with the daemons now attached."""
    await anyio.sleep(START_SPREAD_S + SETTLE_S)
    started_s = time.monotonic()
    before = (await fleet.sample())["d0"]
    await anyio.sleep(seconds)
    after = (await fleet.sample())["d0"]
    took_s = time.monotonic() - started_s

    def rate(key: str) -> float:
        return float(after.report[key] - before.report[key]) / took_s

    return Cost(
        attached,
        rate("control_bytes_sent"),
        rate("control_bytes_received"),
        100 * (after.process.cpu_s - before.process.cpu_s) / took_s,
        float(after.process.memory_bytes),
    )


def print_slopes(first: Cost, last: Cost) -> None:
    """Print the cost per attached daemon and how many daemons the limits allow."""
    rows: list[list[object]] = []
    limits = (
        ("sent B/s", first.sent, last.sent, MAX_BYTES_PER_S),
        ("received B/s", first.received, last.received, MAX_BYTES_PER_S),
        ("core %", first.core_percent, last.core_percent, MAX_CORE_PERCENT),
        ("memory B", first.memory_bytes, last.memory_bytes, MAX_MEMORY_BYTES),
    )
    for name, low, high, limit in limits:
        slope = (high - low) / max(1, last.attached - first.attached)
        fits = int((limit - low) / slope) if slope > 0 else "any"
        rows.append([name, low, f"{slope:.4f}", limit, fits])
    head = ["figure", f"with {first.attached}", "per daemon", "limit", "daemons"]
    print_table(head, rows)


cli = App(name="bench_registrar", help=__doc__)


@cli.default
def run(*, attached: tuple[int, ...] = (0, 125, 250), seconds: float = 20.0) -> None:
    """Measure at rest with growing numbers of attached daemons.

    Parameters
    ----------
    attached
        Numbers of attached daemons, in rising order.
    seconds
        Length of each measurement.
    """
    anyio.run(_run, attached, seconds, backend_options={"use_uvloop": True})


async def _run(attached: tuple[int, ...], seconds: float) -> None:
    async with run_control_fleet(1, 0.0) as fleet, anyio.create_task_group() as tg:
        await fleet.wait_all(lambda report: report["role"] is not None)
        costs = []
        running = 0
        for count in attached:
            _start_attachments(tg, fleet, running, count)
            running = max(running, count)
            costs.append(await measure_cost(fleet, count, seconds))
        head = ["attached", "sent B/s", "received B/s", "core %", "memory MB"]
        rows: list[list[object]] = [
            [c.attached, c.sent, c.received, c.core_percent, c.memory_bytes / 1e6]
            for c in costs
        ]
        print_table(head, rows)
        print_slopes(costs[0], costs[-1])
        tg.cancel_scope.cancel()


def _start_attachments(
    tg: TaskGroup, fleet: ControlFleet, running: int, wanted: int
) -> None:
    for number in range(running, wanted):
        tg.start_soon(hold_attachment, HOST, fleet.ports["d0"] + 1, number)


if __name__ == "__main__":
    cli()
