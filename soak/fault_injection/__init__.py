"""Injects the planned faults into the running fleet. There is a class for each kind of target."""
