"""Measures what the sidecar costs.

`python -m benchmarks.membership_cost` and `python -m benchmarks.control_cost`, each with `--help`.
The figures depend on the machine and on whatever else runs there. The sidecar does not load this package.
"""
