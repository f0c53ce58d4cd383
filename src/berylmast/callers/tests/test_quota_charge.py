"""Guards against requests that run over their quota, or are charged twice."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
import pytest

from ...errors import ErrorKind, Refusal
from ...platform.requests import make_error_response
from ...tests.fakes import FailurePoint, FakeEntry, FakeFleet, run_fleet

pytestmark = pytest.mark.anyio


@dataclass
class FakeQuotas:
    """Quotas with a number of tokens for the tenant ``t``, given after a wait."""

    tokens: int = 1
    wait_s: float = 0.0
    charged: list[str] = field(default_factory=list)
    given_back: list[str] = field(default_factory=list)

    def has_quota(self, tenant: str) -> bool:
        return tenant == "t"

    async def charge(self, tenant: str) -> Refusal | None:
        await anyio.sleep(self.wait_s)
        if not self.tokens:
            return Refusal(ErrorKind.TENANT_LIMIT, "over the quota", 0.25)
        self.tokens -= 1
        self.charged.append(tenant)
        return None

    def give_back(self, tenant: str) -> None:
        self.tokens += 1
        self.given_back.append(tenant)


@asynccontextmanager
async def run_entry(quotas: FakeQuotas) -> AsyncIterator[tuple[FakeFleet, FakeEntry]]:
    async with run_fleet() as fleet:
        entry = fleet.entry()
        entry.forwarding_context = replace(entry.forwarding_context, quotas=quotas)
        yield fleet, entry


async def test_a_request_over_the_quota_does_not_run() -> None:
    quotas = FakeQuotas()
    async with run_entry(quotas) as (fleet, entry):
        calls = [await entry.call(tenant="t", request_id=f"r{n}") for n in range(3)]
    assert [call.outcome for call in calls] == ["answered", "not-run", "not-run"]
    assert calls[1].refusal is not None
    assert calls[1].refusal.kind is ErrorKind.TENANT_LIMIT
    assert fleet.count_runs().total() == 1


@pytest.mark.parametrize("tenant", ["", "other"])
async def test_a_tenant_without_a_quota_is_not_charged(tenant: str) -> None:
    quotas = FakeQuotas(tokens=0)
    async with run_entry(quotas) as (_, entry):
        assert (await entry.call(tenant=tenant)).outcome == "answered"
    assert quotas.charged == []


async def test_a_request_that_is_retried_is_charged_once() -> None:
    quotas = FakeQuotas(tokens=5)
    async with run_entry(quotas) as (fleet, entry):
        for backend in fleet.backends.values():
            backend.cut_at = FailurePoint.RUN
        call = await entry.call(tenant="t", idempotent=True)
    assert call.progress.attempts == 2
    assert quotas.charged == ["t"]
    assert quotas.given_back == []


async def test_a_request_that_did_not_run_gives_its_token_back() -> None:
    quotas = FakeQuotas()
    async with run_entry(quotas) as (fleet, entry):
        for name in fleet.backends:
            fleet.stop(name)
        assert (await entry.call(tenant="t")).outcome == "not-run"
    assert quotas.given_back == ["t"]


async def test_the_wait_for_a_token_counts_towards_the_deadline() -> None:
    async with run_entry(FakeQuotas(wait_s=0.1)) as (fleet, entry):
        for backend in fleet.backends.values():
            backend.service_time_s = 60.0
        call = await entry.call(tenant="t", deadline_ms=500)
    assert call.duration_s == pytest.approx(0.5, abs=0.01)


def test_the_platform_names_the_time_of_a_retry() -> None:
    response = make_error_response(Refusal(ErrorKind.TENANT_LIMIT, "", 0.25))
    assert response.status == 429
    assert dict(response.headers)[b"retry-after"] == b"0.250"
