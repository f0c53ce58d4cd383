"""Randomized fault tests on real processes on loopback, checked against invariants."""
