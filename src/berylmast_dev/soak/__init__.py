"""Randomized soak: real processes on loopback under faults, with promises checked."""
