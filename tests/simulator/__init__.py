"""Tests of the simulator's adapter."""
