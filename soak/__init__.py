"""A randomized fault soak: real sidecars on loopback under overlapping faults, judged by invariants.

It is started with `python -m soak --seed N --seconds S --json FILE`.
"""
