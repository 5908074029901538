"""Shared by all parts of the sidecar: clock, timers, metrics, sockets, addresses and resource limits."""
