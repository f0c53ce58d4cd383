"""Guards against requests, bodies or stored responses that leave the home regions."""

from dataclasses import replace
from typing import Any

import anyio
import pytest

from ...errors import ErrorKind
from ...membership import Directory
from ...model import Endpoint
from ...tests.fakes import SERVICE, FakeFleet, make_body, make_slice

pytestmark = pytest.mark.anyio

REGIONS = {"h1": "home", "h2": "home", "f1": "far", "f2": "far"}
HOME = frozenset({"home"})
WITH_BODY = {"idempotent": True, "method": "PUT"}
WITH_KEY = {"idempotency_key": "k1"}


def make_directory() -> Directory:
    directory = Directory()
    directory.put_slice(make_slice())
    for name, region in REGIONS.items():
        directory.put_endpoint(Endpoint(name, SERVICE, name, 1, region, name, 1, 1))
    return directory


@pytest.mark.parametrize("changes", [{}, WITH_BODY, WITH_KEY], ids=["", "body", "key"])
@pytest.mark.parametrize("may_spill", [False, True])
@pytest.mark.parametrize(
    ("homes", "stopped", "runs_at"),
    [
        (HOME, (), "h1 h2"),
        (HOME, ("h1",), "h2"),
        (HOME, ("h2",), "h1"),
        (HOME, ("h1", "h2"), ""),
        (frozenset({"nowhere"}), (), ""),
        (frozenset(), (), ""),
        (None, ("h1", "h2"), "f1 f2"),
    ],
    ids=["all", "h2", "h1", "lost", "unknown", "none", "unrestricted"],
)
async def test_nothing_is_sent_outside_the_homes(
    changes: dict[str, Any],
    may_spill: bool,
    homes: frozenset[str] | None,
    stopped: tuple[str, ...],
    runs_at: str,
) -> None:
    """Guards against retries, spilled requests and key holders in another region."""
    async with anyio.create_task_group() as tg:
        fleet = FakeFleet(tg, tuple(REGIONS), make_directory())
        fleet.slice = replace(fleet.slice, allows_spilling=may_spill)
        for name in stopped:
            fleet.stop(name)
        entry = fleet.entry()
        for number in range(8):
            body = {} if not changes else {"body": make_body(b"abc", length=3)}
            request_id = f"r{number}"
            call = await entry.call(
                home_regions=homes,
                request_id=request_id,
                has_body=bool(changes),
                **body,
                **changes,
            )
            if not runs_at:
                assert call.outcome == "not-run"
        ran_at = {name for name, b in fleet.backends.items() if b.runs}
        allowed = set(REGIONS) if homes is None else set()
        allowed |= {name for name, region in REGIONS.items() if region in (homes or ())}
        assert set(fleet.dials) <= allowed
        assert ran_at <= set(runs_at.split())
        holders_lost = "idempotency_key" in changes and bool(stopped)
        assert bool(ran_at) == (bool(runs_at) and not holders_lost)
        tg.cancel_scope.cancel()


@pytest.mark.parametrize("changes", [{}, WITH_KEY], ids=["", "key"])
async def test_refusal_is_immediate_and_names_the_homes(
    changes: dict[str, Any],
) -> None:
    async with anyio.create_task_group() as tg:
        fleet = FakeFleet(tg, tuple(REGIONS), make_directory())
        call = await fleet.entry().call(
            home_regions=frozenset({"moon", "mars"}), **changes
        )
        assert call.duration_s == 0
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.NO_BACKEND
        assert call.refusal.response_spec.status == 503
        assert "home regions mars, moon" in call.refusal.detail
        tg.cancel_scope.cancel()
