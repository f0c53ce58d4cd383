"""The quotas of several daemons in one process, with an in-memory network.

Daemons restart, are cut off or suspended, and know different daemons. Each charged
request is recorded, so that tests can check the bound over all daemons.
"""

from collections.abc import AsyncIterator, Iterable, Mapping
from contextlib import asynccontextmanager
from functools import partial

import anyio
from anyio.abc import TaskGroup

from ...daemons import ConnectionLost, Exchange, Identity, make_exchange_pair
from ...daemons.frames import Borrow, Lend
from ...errors import Refusal
from ...model import DaemonLocation, Endpoint
from ...routes import Configuration, Tenant
from ...settings import QuotaSettings
from ..quotas import QuotaFleet, Quotas

Rates = Mapping[str, tuple[float, float]]
"""Rate per second and burst of each tenant."""

BOUND = QuotaSettings()
LINK_DELAY_S = 0.001
REGION_DELAY_S = 0.008


def make_configuration(rates: Rates, version: int = 1) -> Configuration:
    """Return a configuration with the rate and burst of each tenant."""
    tenants = {
        name: Tenant(name, rate_per_s=rate, burst=burst)
        for name, (rate, burst) in rates.items()
    }
    return Configuration(version, {}, {}, tenants=tenants)


class SuspendableQuotas(Quotas):
    """Quotas of a daemon whose process can be suspended."""

    suspended = False

    def _tick(self) -> None:
        if not self.suspended:
            super()._tick()


class SimulatedDaemon:
    """One daemon; ``known`` are the other daemons that it knows."""

    def __init__(self, fleet: "SimulatedFleet", number: int, region: str) -> None:
        self.fleet = fleet
        self.name = f"n{number}"
        self.location = DaemonLocation(
            f"10.0.0.{number}", 7000, region, f"{region}{number % 2}"
        )
        self.endpoint = Endpoint(
            self.name,
            "s",
            self.location.host,
            7000,
            region,
            self.location.failure_domain,
            1,
            1,
        )
        self.known: tuple[Endpoint, ...] = ()
        self.configuration: Configuration | None = None
        self.incarnation = 0
        self.up = False
        self._scope = anyio.CancelScope()

    def start(self) -> None:
        """Start a new run of the daemon, which remembers nothing."""
        self.incarnation += 1
        self.up = True
        self.quotas = SuspendableQuotas(
            QuotaFleet(
                self.location,
                Identity(self.name, self.incarnation),
                lambda: True,
                lambda: self.known,
                partial(self.fleet.open_exchange, self),
            ),
            lambda: BOUND,
            lambda: self.configuration,
            anyio.current_time,
        )
        self._scope = anyio.CancelScope()
        self.fleet.tg.start_soon(self._run, self.quotas, self._scope)

    def stop(self) -> None:
        """End the daemon without a notice."""
        self.up = False
        self._scope.cancel()

    async def _run(self, quotas: Quotas, scope: anyio.CancelScope) -> None:
        with scope:
            await quotas.run()

    async def request(self, tenant: str) -> Refusal | None:
        """Make a request of a caller; it is lost if the daemon does not run."""
        if not self.up or self.quotas.suspended:
            return None
        refusal = await self.quotas.charge(tenant)
        if refusal is None:
            self.fleet.runs.setdefault(tenant, []).append(anyio.current_time())
        else:
            self.fleet.refusals.append(refusal)
        return refusal


class SimulatedFleet:
    """Daemons in two regions; ``cuts`` holds pairs of names without a link."""

    def __init__(self, tg: TaskGroup, size: int, configuration: Configuration) -> None:
        self.tg = tg
        self.daemons = [SimulatedDaemon(self, n, "ab"[n % 2]) for n in range(size)]
        self.cuts: set[frozenset[str]] = set()
        self.runs: dict[str, list[float]] = {}
        self.refusals: list[Refusal] = []
        self.messages = 0
        for daemon in self.daemons:
            daemon.configuration = configuration
        self.know(self.daemons)

    def know(self, daemons: Iterable[SimulatedDaemon]) -> None:
        """Make every daemon know the given ones."""
        endpoints = tuple(daemon.endpoint for daemon in daemons)
        for daemon in self.daemons:
            daemon.known = tuple(e for e in endpoints if e is not daemon.endpoint)

    def cut(self, left: Iterable[int], right: Iterable[int]) -> None:
        """Cut the links between two groups of daemons."""
        self.cuts |= {frozenset({f"n{a}", f"n{b}"}) for a in left for b in right}

    @asynccontextmanager
    async def open_exchange(
        self, sender: SimulatedDaemon, endpoint: Endpoint
    ) -> AsyncIterator[Exchange]:
        """Open an exchange as the pool does; a cut link is silent."""
        receiver = next(d for d in self.daemons if d.endpoint is endpoint)
        if not receiver.up:
            raise ConnectionLost(f"cannot reach {receiver.name}")
        sender_side, receiver_side = make_exchange_pair()
        self.tg.start_soon(self._serve, sender, receiver, receiver_side)
        try:
            yield sender_side
        finally:
            receiver_side.mark_lost()

    async def _serve(
        self, sender: SimulatedDaemon, receiver: SimulatedDaemon, side: Exchange
    ) -> None:
        frame = await side.receive()
        assert isinstance(frame, Borrow)
        self.messages += 1
        quotas = receiver.quotas
        if not await self._travel(sender, receiver, quotas):
            return
        inner, outer = make_exchange_pair()
        await quotas.serve(inner, frame)
        reply = await outer.receive()
        assert isinstance(reply, Lend)
        if not await self._travel(receiver, sender, sender.quotas) or side.lost:
            return
        await side.send(reply)

    async def _travel(
        self, sender: SimulatedDaemon, receiver: SimulatedDaemon, quotas: Quotas
    ) -> bool:
        """Wait until a frame arrives; return whether it does."""
        same_region = sender.location.region == receiver.location.region
        await anyio.sleep(LINK_DELAY_S if same_region else REGION_DELAY_S)
        assert isinstance(quotas, SuspendableQuotas)
        while quotas.suspended:
            await anyio.sleep(0.01)
        is_cut = frozenset({sender.name, receiver.name}) in self.cuts
        return receiver.up and receiver.quotas is quotas and not is_cut

    async def load(
        self, tenant: str, rate_per_s: float, numbers: Iterable[int], span_s: float
    ) -> float:
        """Send evenly spaced requests to daemons in turn; return the share that ran."""
        daemons = [self.daemons[number] for number in numbers]
        ran = sent = 0

        async def send(daemon: SimulatedDaemon) -> None:
            nonlocal ran
            refusal = await daemon.request(tenant)
            ran += refusal is None

        async with anyio.create_task_group() as tg:
            end_s = anyio.current_time() + span_s
            while anyio.current_time() < end_s:
                tg.start_soon(send, daemons[sent % len(daemons)])
                sent += 1
                await anyio.sleep(1 / rate_per_s)
        return ran / sent


@asynccontextmanager
async def run_quota_fleet(
    size: int, rates: Rates, *, settle_s: float = 4.5
) -> AsyncIterator[SimulatedFleet]:
    """Run a fleet whose tenants have the given rates and bursts.

    By default the lenders lend when the block begins.
    """
    async with anyio.create_task_group() as tg:
        fleet = SimulatedFleet(tg, size, make_configuration(rates))
        for daemon in fleet.daemons:
            daemon.start()
        await anyio.sleep(settle_s)
        yield fleet
        tg.cancel_scope.cancel()


def count_most(times: Iterable[float], window_s: float = BOUND.window_s) -> int:
    """Return the most requests in any window."""
    ordered = sorted(times)
    most = first = 0
    for index, time_s in enumerate(ordered):
        while ordered[first] < time_s - window_s:
            first += 1
        most = max(most, index - first + 1)
    return most


def get_bound(rate_per_s: float, burst: float) -> float:
    """Return the most requests that may run in a window."""
    quota = rate_per_s * BOUND.window_s + burst
    return quota * (1 + BOUND.overrun) + BOUND.slack
