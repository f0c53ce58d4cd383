"""The fault matrix: faults by step, each cell in a fleet on a mock clock."""
