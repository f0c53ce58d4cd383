"""Development only: simulators of external systems, demos and benchmarks."""
