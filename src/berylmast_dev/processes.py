"""Figures of a process as the kernel counts them."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_UTIME = 11
_STIME = 12
_RSS = 21


@dataclass(frozen=True, slots=True)
class ProcessFigures:
    """Processor time used so far in seconds, and resident memory in bytes."""

    cpu_s: float
    memory_bytes: int


def read_process(pid: int) -> ProcessFigures:
    """Read the figures of one process; raises OSError if it has ended."""
    text = Path(f"/proc/{pid}/stat").read_text()
    # The name in brackets may contain spaces; the fields after it do not.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_UTIME]) + int(fields[_STIME])
    return ProcessFigures(ticks / _TICKS_PER_S, int(fields[_RSS]) * _PAGE_BYTES)
