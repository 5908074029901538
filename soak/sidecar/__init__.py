"""The sidecars under test: their configuration, their processes and the system calls that fail in them."""
