"""Tests of the sidecar's side of the clients."""
