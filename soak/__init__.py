"""A randomized fault soak: real sidecar processes on loopback under overlapping faults, judged by invariants.

Run it with `python -m soak --seed N --seconds S --json FILE`. `python -m soak.mutation_testing` shows that it
notices defects.
"""
