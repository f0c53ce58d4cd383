"""A clock that goes on while the process or its machine is suspended.

Fault: a suspended process doesn't notice that time passes, because the clock of the
event loop stands still. Loans and evidence would then be used after they expired.
"""

import time


def read_boot_clock_s() -> float:
    """Return seconds since the start of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
