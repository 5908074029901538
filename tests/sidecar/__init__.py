"""Tests of the real sidecar, over loopback sockets."""
