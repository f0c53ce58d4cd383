"""Test setup: the paused clock is the default, random seeds are fixed."""

from typing import Any

import pytest
import trio._core._run as trio_run
from hypothesis import settings
from trio.testing import MockClock

# Fixed examples: the same commit gives the same verdict on every run.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")

REAL_CLOCK = ("asyncio", {"use_uvloop": True})


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    """Run async tests on trio, whose clock jumps when every task waits."""
    # trio shuffles its tasks; a fixed seed gives every run the same order.
    trio_run._r.seed(1)
    return ("trio", {"clock": MockClock(autojump_threshold=0)})


@pytest.fixture
def real_clock() -> tuple[str, dict[str, Any]]:
    """Return the backend of the daemon, for tests with sockets or processes.

    A test module uses it by overriding the ``anyio_backend`` fixture with it.
    """
    return REAL_CLOCK
