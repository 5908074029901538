"""Tests of the side that faces the application's clients, `balancer.sidecar.downstream`."""
