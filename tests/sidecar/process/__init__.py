"""Tests of `balancer.sidecar.process`."""
