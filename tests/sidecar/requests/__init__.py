"""Tests of `balancer.sidecar.requests`."""
