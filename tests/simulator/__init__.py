"""Tests of the adapter for the simulator."""
