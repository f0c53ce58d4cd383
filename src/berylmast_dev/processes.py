"""Processor time and resident memory of a process, read from ``/proc``."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_UTIME_FIELD = 11
_STIME_FIELD = 12
_RSS_FIELD = 21


@dataclass(frozen=True, slots=True)
class ProcessStats:
    """Processor time used since the start, and resident memory."""

    cpu_s: float
    memory_bytes: int


def read_process_stats(pid: int) -> ProcessStats:
    """Read the figures of one process.

    Raises OSError if the process has ended.
    """
    text = Path(f"/proc/{pid}/stat").read_text()
    # The command name is in parentheses and may contain spaces; later fields do not.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])
    return ProcessStats(ticks / _TICKS_PER_S, int(fields[_RSS_FIELD]) * _PAGE_BYTES)
