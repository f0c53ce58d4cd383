"""The fault matrix: one small fleet per cell, faults, invariants, the table."""
