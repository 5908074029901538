"""A soak test with fault injection: real sidecar processes on loopback, under overlapping random faults.

The recorded history is checked against invariants. Run it with `python -m soak --seed N --seconds S --json
FILE`. `python -m soak.mutation_testing` tests whether the soak notices defects of the sidecar.
"""
