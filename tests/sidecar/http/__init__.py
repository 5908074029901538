"""Tests of `balancer.sidecar.http`."""
