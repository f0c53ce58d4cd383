"""Processor time and resident memory of a process, read from ``/proc``."""

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
    """Processor time used since the start, and resident memory."""

    cpu_s: float
    memory_bytes: int


def read_process(pid: int) -> ProcessFigures:
    """Read the figures of one process.

    Raises OSError if the process has ended.
    """
    text = Path(f"/proc/{pid}/stat").read_text()
    # The command name is in parentheses and may contain spaces; later fields do not.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_UTIME]) + int(fields[_STIME])
    return ProcessFigures(ticks / _TICKS_PER_S, int(fields[_RSS]) * _PAGE_BYTES)
