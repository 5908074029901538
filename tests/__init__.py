"""The tests, in the same folders as the modules under test."""
