"""Command-line entry points: the daemon and the operators' tool."""
