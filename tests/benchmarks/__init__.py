"""Tests of the benchmarks: their command line, their results, and the processes that they run."""
