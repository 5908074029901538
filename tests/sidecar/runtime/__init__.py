"""Tests of `balancer.sidecar.runtime`."""
