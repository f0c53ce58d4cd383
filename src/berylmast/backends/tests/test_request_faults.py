"""Tests that an unexpected error ends only the request in which it is raised.

Guards against a daemon that ends with all its requests because of one of them.
"""

from dataclasses import replace
from typing import Any, NoReturn

import anyio
import pytest

from ...errors import ErrorKind, Outcome
from ...tests.fakes import FakeFleet, run_fleet
from ..interface import OWN_INTERFACE
from ..owner import Owner

pytestmark = pytest.mark.anyio

BEFORE_DISPATCH = (Outcome.NOT_RUN, ErrorKind.BACKEND_UNREACHABLE, 0)
DURING_DISPATCH = (Outcome.UNKNOWN, ErrorKind.INTERNAL, 1)


def fail(*args: object) -> NoReturn:
    raise RuntimeError("fault")


def fail_in_head(fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    interface = replace(OWN_INTERFACE, make_head=fail)
    monkeypatch.setattr(fleet.owners["b1"], "_interface", interface)


def fail_in_admission(fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet.admissions["b1"], "acquire", fail)


def fail_in_response(fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    interface = replace(OWN_INTERFACE, classify=fail)
    monkeypatch.setattr(fleet.owners["b1"], "_interface", interface)


def fail_in_ledger(fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet.ledgers["b1"], "begin", fail)


@pytest.mark.parametrize("local", [False, True], ids=["remote", "local"])
@pytest.mark.parametrize("idempotent", [False, True], ids=["unsafe", "idempotent"])
@pytest.mark.parametrize(
    ("inject", "expected"),
    [
        (fail_in_head, BEFORE_DISPATCH),
        (fail_in_admission, BEFORE_DISPATCH),
        (fail_in_response, DURING_DISPATCH),
        (fail_in_ledger, (Outcome.UNKNOWN, ErrorKind.INTERNAL, 0)),
    ],
)
async def test_error_in_one_request_ends_neither_the_others_nor_the_daemon(
    inject: Any,
    expected: tuple[Outcome, ErrorKind, int],
    idempotent: bool,
    local: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcome, kind, runs = expected
    async with run_fleet("b1") as fleet:
        entry = fleet.entry(local="b1" if local else None)
        answered: list[str] = []

        async def call_beside() -> None:
            call = await entry.call(request_id="beside")
            answered.append(call.outcome)

        async with anyio.create_task_group() as tg:
            tg.start_soon(call_beside)
            await anyio.sleep(0.1)
            with monkeypatch.context() as patch:
                inject(fleet, patch)
                # A marked retry gets no second attempt.
                failed = await entry.call(idempotent=idempotent, retry=True)
        assert answered == ["answered"]
        assert failed.refusal is not None
        assert failed.outcome == outcome
        assert failed.refusal.kind is kind
        assert fleet.count_runs().get("r1", 0) == runs
        assert fleet.admissions["b1"].in_flight == 0
        assert (await entry.call(request_id="later")).outcome == "answered"


async def test_error_after_a_lost_connection_ends_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request goes on without its entry, so no connection catches its error."""
    async with run_fleet("b1") as fleet:
        entry = fleet.entry()
        owner: Owner = fleet.owners["b1"]
        async with anyio.create_task_group() as tg:
            tg.start_soon(entry.call)
            await anyio.sleep(0.1)
            monkeypatch.setattr(owner, "_on_load", fail)
            monkeypatch.setattr(owner._log, "log_ended", fail)
            fleet.cut("b1")
        await anyio.sleep(10)
        monkeypatch.undo()
        assert fleet.admissions["b1"].in_flight == 0
        assert (await entry.call(request_id="later")).outcome == "answered"
