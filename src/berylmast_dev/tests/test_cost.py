"""Guards against a path of a request that grows by a call here and a call there."""

from typing import Any

import pytest

from ..bench_cost import count_calls_of_a_request

pytestmark = pytest.mark.anyio

MAX_CALLS_A_SIDE = 400
"""The target of issue 41. Calls are counted, not timed."""


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


async def test_request_makes_at_most_its_number_of_function_calls() -> None:
    calls = await count_calls_of_a_request()
    assert calls.entry <= MAX_CALLS_A_SIDE
    assert calls.owner <= MAX_CALLS_A_SIDE
