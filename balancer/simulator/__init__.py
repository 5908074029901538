"""Runs the decisions of many sidecars on the binary wire of the simulator."""
