"""The adapter that runs the policies of many simulated sidecars over the simulator's binary protocol."""
