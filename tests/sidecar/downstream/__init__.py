"""Tests of `balancer.sidecar.downstream`."""
