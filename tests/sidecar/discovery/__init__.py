"""Tests of `balancer.sidecar.discovery`."""
