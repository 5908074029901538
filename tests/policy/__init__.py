"""Tests of the decisions, `balancer.policy`."""
