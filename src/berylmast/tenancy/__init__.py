"""Tenants: the keys of their requests, and how current the keys are known to be."""
