"""The tests; their folders mirror those of the modules under test."""
