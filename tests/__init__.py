"""The tests, laid out after the modules under test."""
