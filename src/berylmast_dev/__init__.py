"""Development only: stand-ins for outside systems, the demo, the benchmarks."""
