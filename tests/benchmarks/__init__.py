"""Tests of the benchmarks: their command line, their results, and the servers that they run."""
