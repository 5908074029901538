"""Benchmarks of the processor time, memory and discovery traffic of the sidecar.

`python -m benchmarks.membership_cost` and `python -m benchmarks.control_cost`, each with `--help`.
The figures depend on the machine and on what else runs there. The sidecar does not import this package.
"""
