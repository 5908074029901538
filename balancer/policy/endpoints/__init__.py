"""The endpoint list, and what this sidecar has observed about each endpoint in it."""
