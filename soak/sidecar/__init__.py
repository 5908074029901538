"""The sidecars under test: their configurations, their processes and the faults of their system calls."""
