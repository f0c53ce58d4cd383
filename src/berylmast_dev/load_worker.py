"""Load generator process; several of them together can overload a fleet.

Reads a ``LoadSpec`` as JSON from standard input and writes a ``LoadSummary`` as JSON to
standard output.
"""

import sys
from collections import Counter

import anyio
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel

from .load import LoadClass, LoadResult, run_load


class LoadSpec(BaseModel):
    """The requests that one process sends, and the entries that it sends them to."""

    entries: list[tuple[str, int]]
    item: LoadClass
    seconds: float
    seed: int


class LoadSummary(BaseModel):
    """Results of one or more load generator processes.

    ``histogram`` is an encoded HdrHistogram of the latencies of answered requests.
    """

    answered: int = 0
    outcomes: dict[str, int] = {}
    not_run_ids: list[str] = []
    histogram: str = ""

    @property
    def offered(self) -> int:
        """Return the number of requests sent."""
        return self.answered + sum(self.outcomes.values())

    def merge(self, other: "LoadSummary") -> "LoadSummary":
        """Return the two summaries combined."""
        latencies = self.decode_latencies()
        if other.histogram:
            latencies.decode_and_add(other.histogram.encode())
        return LoadSummary(
            answered=self.answered + other.answered,
            outcomes=dict(Counter(self.outcomes) + Counter(other.outcomes)),
            not_run_ids=self.not_run_ids + other.not_run_ids,
            histogram=latencies.encode().decode(),
        )

    def decode_latencies(self) -> HdrHistogram:
        """Return the histogram of the latencies, in microseconds."""
        latencies = LoadResult().latencies_us
        if self.histogram:
            latencies.decode_and_add(self.histogram.encode())
        return latencies


async def _run(spec: LoadSpec) -> LoadSummary:
    results = await run_load(spec.entries, [spec.item], spec.seconds, spec.seed)
    result = results[spec.item.name]
    return LoadSummary(
        answered=result.answered,
        outcomes=result.outcomes,
        not_run_ids=result.not_run_ids,
        histogram=result.latencies_us.encode().decode(),
    )


if __name__ == "__main__":
    load_spec = LoadSpec.model_validate_json(sys.stdin.read())
    summary = anyio.run(_run, load_spec, backend_options={"use_uvloop": True})
    print(summary.model_dump_json())
