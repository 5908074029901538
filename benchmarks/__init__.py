"""Benchmarks of the processor time, memory and discovery traffic of the sidecar.

Run `python -m benchmarks.NAME`, where NAME is `membership_cost`, `control_cost`, `endpoint_turnover` or
`request_cost`; `--help` lists the options.
The figures depend on the machine and on what else runs there. The sidecar does not import this package.
"""
