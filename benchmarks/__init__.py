"""Benchmarks of the processor time, memory and discovery traffic of the sidecar.

Run `python -m benchmarks.membership_cost` or `python -m benchmarks.control_cost`; `--help` lists the options.
The figures depend on the machine and on what else runs there. The sidecar does not import this package.
"""
