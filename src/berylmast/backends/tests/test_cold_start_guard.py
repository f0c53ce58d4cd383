"""Replays servers that become cold under full load, against the bound in any second.

A cold server crashes if it gets more. A warm one must be neither slowed nor queried
much, and one that is cold must still get what it tolerates.
"""

import anyio
import pytest

from ...model import Headers
from ...settings import ColdServerSettings
from ..cold_start_guard import UNANSWERED_LIMIT_S
from .cold_service import BACKEND, SETTINGS, ColdServer, OwnerRun

pytestmark = pytest.mark.anyio

FULL_LOAD_PER_S = 200.0
BACKEND_ID = (b"x-instance-id", BACKEND.encode())


def get_bound(rate_per_s: float) -> float:
    return rate_per_s * SETTINGS.overrun + SETTINGS.slack


@pytest.mark.parametrize("rate_per_s", [1.0, 10.0, 40.0])
@pytest.mark.parametrize("per_s", [60.0, FULL_LOAD_PER_S])
@pytest.mark.parametrize("cold_s", [0.7, 4.0])
async def test_server_that_becomes_cold_between_two_reports_stays_within_the_bound(
    rate_per_s: float, per_s: float, cold_s: float
) -> None:
    server = ColdServer()
    async with anyio.create_task_group() as tg:
        owner = OwnerRun(server, rate_per_s)
        tg.start_soon(owner.run)
        tg.start_soon(owner.report)
        tg.start_soon(owner.send, per_s, 6.0)
        await anyio.sleep(3.1)
        server.cold_until_s = anyio.current_time() + cold_s
        await anyio.sleep(4.0)
        tg.cancel_scope.cancel()
    assert server.count_most_in_a_second() <= get_bound(rate_per_s)
    # At one request a second a short cold time may end before the next start.
    assert len(server.cold_arrivals_s) >= rate_per_s * (cold_s - 1)


@pytest.mark.parametrize("rate_per_s", [2.0, 10.0, 40.0])
async def test_whole_service_that_comes_back_cold_serves_what_the_limit_allows(
    rate_per_s: float,
) -> None:
    """All servers start cold under full load; the rest is refused at once."""
    cold_s = 6.0
    servers = [ColdServer(cold_until_s=anyio.current_time() + cold_s) for _ in range(4)]
    owners = [OwnerRun(server, rate_per_s) for server in servers]
    async with anyio.create_task_group() as tg:
        for owner in owners:
            tg.start_soon(owner.run)
            tg.start_soon(owner.report)
            tg.start_soon(owner.send, FULL_LOAD_PER_S / 4, cold_s)
        await anyio.sleep(cold_s + 1.0)
        tg.cancel_scope.cancel()
    for owner, server in zip(owners, servers, strict=True):
        assert server.count_most_in_a_second() <= get_bound(rate_per_s)
        # Nothing may start in the first second, which the previous run may have used.
        allowed = rate_per_s * (cold_s - 1.02)
        assert len(server.cold_arrivals_s) >= 0.95 * allowed - 1
        assert all(refusal.not_run for refusal in owner.refusals)
        assert owner.longest_refusal_s <= 0.51


@pytest.mark.parametrize("cold", [True, False])
@pytest.mark.parametrize("pause_s", [0.0, 0.2, 0.8, 2.0])
async def test_restart_of_the_owner_adds_nothing_to_the_bound(
    cold: bool, pause_s: float
) -> None:
    """The new run knows neither the starts of the last one nor that it is cold."""
    server = ColdServer()
    rate_per_s = 10.0
    async with anyio.create_task_group() as tg:
        first = OwnerRun(server, rate_per_s)
        tg.start_soon(first.run)
        tg.start_soon(first.report)
        tg.start_soon(first.send, FULL_LOAD_PER_S, 3.0)
        await anyio.sleep(2.9)
        if cold:
            server.cold_until_s = anyio.current_time() + 4.0
        await anyio.sleep(0.1)
        tg.cancel_scope.cancel()
    await anyio.sleep(pause_s)
    async with anyio.create_task_group() as tg:
        second = OwnerRun(server, rate_per_s)
        tg.start_soon(second.run)
        tg.start_soon(second.send, FULL_LOAD_PER_S, 2.0)
        await anyio.sleep(1.4)
        tg.start_soon(second.report)
        await anyio.sleep(1.0)
        tg.cancel_scope.cancel()
    assert server.count_most_in_a_second() <= get_bound(rate_per_s)
    if not cold:
        assert second.served >= 390, "a warm server was slowed by the restart"


@pytest.mark.parametrize(("rate_per_s", "most_queries_per_s"), [(10.0, 8), (40.0, 3)])
async def test_busy_warm_server_is_neither_slowed_nor_queried_often(
    rate_per_s: float, most_queries_per_s: int
) -> None:
    """Five slots and 40 ms for each request: 125 requests a second at most."""
    for_s = 20.0
    server = ColdServer(service_time_s=0.04)
    served = {}
    for settings in (SETTINGS, None):
        async with anyio.create_task_group() as tg:
            owner = OwnerRun(server, rate_per_s, settings)
            tg.start_soon(owner.run)
            tg.start_soon(owner.report)
            await owner.send(120.0, for_s)
            tg.cancel_scope.cancel()
        served[settings is not None] = owner.served
    assert served[True] >= 0.999 * served[False]
    assert server.health_calls <= most_queries_per_s * for_s


async def test_fast_warm_server_with_a_low_cold_rate_is_queried_within_the_limit() -> (
    None
):
    """At most 60 health checks a second are allowed."""
    server = ColdServer(service_time_s=0.01)
    async with anyio.create_task_group() as tg:
        owner = OwnerRun(server, 1.0)
        tg.start_soon(owner.run)
        tg.start_soon(owner.report)
        await owner.send(FULL_LOAD_PER_S, 10.0)
        tg.cancel_scope.cancel()
    assert server.health_calls <= 50 * 10
    assert owner.served >= 1_600


@pytest.mark.parametrize(
    ("health_s", "headers"),
    [
        (float("inf"), None),
        (0.001, [BACKEND_ID, (b"x-cold-ms", b"-5")]),
        (0.001, [BACKEND_ID, (b"x-cold-ms", b"inf")]),
        (0.001, [BACKEND_ID, (b"x-cold-ms", b"soon")]),
        (0.001, [(b"x-instance-id", b"other"), (b"x-cold-ms", b"0")]),
        (0.001, []),
    ],
    ids=["hangs", "negative", "infinite", "malformed", "other-server", "nothing"],
)
async def test_health_path_without_a_usable_answer_leaves_the_server_limited(
    health_s: float, headers: Headers | None
) -> None:
    """Nobody knows when the server becomes cold, so it counts as cold."""
    server = ColdServer(health_s=health_s, health_headers=headers)
    rate_per_s = 10.0
    async with anyio.create_task_group() as tg:
        owner = OwnerRun(server, rate_per_s)
        tg.start_soon(owner.run)
        tg.start_soon(owner.report)
        tg.start_soon(owner.send, FULL_LOAD_PER_S, 8.0)
        await anyio.sleep(4.0)
        server.cold_until_s = anyio.current_time() + 10.0
        await anyio.sleep(4.0)
        tg.cancel_scope.cancel()
    most = server.count_most_in_a_second()
    assert rate_per_s - 1 <= most <= get_bound(rate_per_s)
    assert server.health_calls <= 8 / 0.2 + 1
    guard = owner.guard
    assert guard is not None
    invalid = headers is not None and any(
        value in (b"-5", b"inf", b"soon") for _, value in headers
    )
    assert (guard.invalid_statement_count > 0) == invalid


async def test_health_path_that_answers_again_ends_the_limit() -> None:
    server = ColdServer(health_s=float("inf"))
    async with anyio.create_task_group() as tg:
        owner = OwnerRun(server)
        tg.start_soon(owner.run)
        tg.start_soon(owner.report)
        tg.start_soon(owner.send, 100.0, 6.0)
        await anyio.sleep(UNANSWERED_LIMIT_S + 1.0)
        assert owner.admission.report().rate_limit == 10.0
        server.health_s = 0.001
        await anyio.sleep(0.6)
        assert owner.admission.report().rate_limit is None
        tg.cancel_scope.cancel()


async def test_delayed_warm_report_does_not_end_what_a_response_stated() -> None:
    server = ColdServer()
    async with anyio.create_task_group() as tg:
        owner = OwnerRun(server)
        tg.start_soon(owner.run)
        owner.send_report(1, 0.0)
        tg.start_soon(owner.send, FULL_LOAD_PER_S, 6.0)
        await anyio.sleep(2.0)
        server.cold_until_s = anyio.current_time() + 3.0
        await anyio.sleep(0.3)
        owner.send_report(2, 0.0)
        await anyio.sleep(4.0)
        tg.cancel_scope.cancel()
    assert server.count_most_in_a_second() <= get_bound(10.0)


async def test_end_of_the_cold_time_starts_the_requests_that_wait() -> None:
    server = ColdServer(cold_until_s=anyio.current_time() + 3.0)
    async with anyio.create_task_group() as tg:
        owner = OwnerRun(server, 0.5)
        tg.start_soon(owner.run)
        owner.send_report(1, 3.0)
        tg.start_soon(owner.send, 10.0, 1.0, 30_000)
        await anyio.sleep(3.6)
        assert owner.served == 10
        tg.cancel_scope.cancel()


async def test_report_states_the_effective_limit_to_entries() -> None:
    server = ColdServer(cold_until_s=anyio.current_time() + 2.0)
    async with anyio.create_task_group() as tg:
        owner = OwnerRun(server)
        tg.start_soon(owner.run)
        assert owner.admission.report().rate_limit == 10.0, "unknown counts as cold"
        owner.send_report(1, 2.0)
        report = owner.admission.report()
        assert (report.rate_limit, report.rate_share) == (10.0, 20.0)
        await anyio.sleep(2.1)
        assert owner.admission.report().rate_limit is None
        tg.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("settings", "rate_per_s"),
    [(None, 10.0), (SETTINGS, None)],
    ids=["no-settings", "no-rate-of-the-service"],
)
async def test_without_settings_or_rate_nothing_is_limited_or_queried(
    settings: ColdServerSettings | None, rate_per_s: float | None
) -> None:
    server = ColdServer(cold_until_s=anyio.current_time() + 100.0)
    async with anyio.create_task_group() as tg:
        owner = OwnerRun(server, rate_per_s, settings)
        tg.start_soon(owner.run)
        tg.start_soon(owner.report)
        await owner.send(FULL_LOAD_PER_S, 2.0)
        tg.cancel_scope.cancel()
    assert owner.served == 400
    assert server.health_calls == 0
    report = owner.admission.report()
    assert (report.rate_limit, report.rate_share) == (None, None)
